#include <algorithm>

#include "dispatcher_state.h"

// Best-effort tasks and the serving tasks that they may slow on the same backend server.

namespace sapphirewheel {
namespace {

using Verdict = InterferenceModel::Verdict;

// Best-effort tasks are resumed when the tail latencies of all serving tasks are below this
// fraction of their targets. Far enough below kPauseAbove that a pause lasts for several reports.
constexpr double kResumeBelow = 0.45;
// Time for which a task waits for a backend server that has no serving tasks, or no best-effort
// ones, before it shares one with them.
constexpr Millis kUndisturbedWait{1500};
// Time that a report covers, with the delay of an order to change the pace and of the report.
constexpr Millis kReportSpan{800};
// Reports of the same half second say the same twice, so one in this time is used.
constexpr Millis kObservationInterval{500};
// Maximum number of pairs of images whose verdict is remembered for the log.
constexpr std::size_t kMaxVerdicts = 1000;

bool IsServing(const StepSpec& spec) { return spec.latency_target.count() > 0; }

void Count(InterferenceModel::Neighbours& images, const std::string& image, int change) {
  int& n = images[image];
  n += change;
  if (n == 0) images.erase(image);
}

// The worse of two verdicts: harmful, unknown, harmless.
Verdict Worse(Verdict a, Verdict b) {
  if (a == Verdict::kHarmful || b == Verdict::kHarmful) return Verdict::kHarmful;
  return a == Verdict::kHarmless ? b : a;
}

const char* VerdictName(Verdict verdict) {
  return verdict == Verdict::kHarmless ? "harmless" : "harmful";
}

}  // namespace

void Dispatcher::Impl::CountKind(const StepSpec& spec, BackendEntry& backend, int change) const {
  if (IsServing(spec)) {
    backend.serving_tasks += change;
    Count(backend.serving_images, spec.image, change);
  }
  if (spec.best_effort) {
    backend.best_effort_tasks += change;
    Count(backend.best_effort_images, spec.image, change);
    backend.best_effort_changed_at = now_;
  }
}

Verdict Dispatcher::Impl::JudgeSharing(const StepSpec& spec, const BackendEntry& backend) const {
  Verdict verdict = Verdict::kHarmless;
  if (spec.best_effort && backend.serving_tasks > 0) {
    InterferenceModel::Neighbours neighbours = backend.best_effort_images;
    ++neighbours[spec.image];
    for (const auto& [image, n] : backend.serving_images) {
      verdict = Worse(verdict, interference.Judge(image, neighbours, now_));
    }
  } else if (!spec.best_effort && IsServing(spec) && backend.best_effort_tasks > 0) {
    verdict = interference.Judge(spec.image, backend.best_effort_images, now_);
  }
  return verdict;
}

bool Dispatcher::Impl::IsDisturbed(const StepSpec& spec, const BackendEntry& backend) const {
  return JudgeSharing(spec, backend) != Verdict::kHarmless;
}

bool Dispatcher::Impl::AcceptsDisturbance(StepState& step, TaskState& task) const {
  // All tasks of a step wait at the same time.
  for (TaskState& it : step.tasks) {
    const bool waits = &it == &task || it.phase == TaskPhase::kWaiting;
    if (waits && !it.disturbed_since) it.disturbed_since = now_;
  }
  return now_ - *task.disturbed_since >= kUndisturbedWait;
}

std::optional<InterferenceModel::Neighbours> Dispatcher::Impl::NeighboursAtWork(
    const BackendEntry& backend) {
  if (now_ - backend.best_effort_changed_at < kReportSpan) return std::nullopt;
  InterferenceModel::Neighbours neighbours;
  if (backend.best_effort_tasks == 0) return neighbours;
  for (const TaskKey& key : backend.tasks) {
    const TaskRef ref = FindOn(key, backend);
    if (!ref.spec->best_effort || ref.task->pace == 0) continue;
    if (ref.task->phase != TaskPhase::kRunning || ref.task->pace != kFullPercent) {
      return std::nullopt;
    }
    ++neighbours[ref.spec->image];
  }
  return neighbours;
}

void Dispatcher::Impl::ObserveInterference(BackendEntry& backend) {
  if (backend.serving_tasks == 0) return;
  if (now_ - backend.tails_observed_at < kObservationInterval) return;
  const auto neighbours = NeighboursAtWork(backend);
  if (!neighbours) return;
  backend.tails_observed_at = now_;
  for (const TaskKey& key : backend.tasks) {
    const TaskRef ref = FindOn(key, backend);
    if (!IsServing(*ref.spec) || ref.spec->best_effort) continue;
    // One that is starting up, or has no users, shows no tail latency.
    const TaskState& task = *ref.task;
    if (task.phase != TaskPhase::kRunning || task.percent < kFullPercent || task.load <= 0) {
      continue;
    }
    const double tail =
        static_cast<double>(task.load) / static_cast<double>(ref.spec->latency_target.count());
    interference.Observe(ref.spec->image, *neighbours, tail, now_);
    ReportVerdict(backend, ref.spec->image, *neighbours);
  }
}

void Dispatcher::Impl::ReportVerdict(const BackendEntry& backend, const std::string& serving,
                                     const InterferenceModel::Neighbours& neighbours) {
  if (neighbours.size() != 1) return;
  const std::string& best_effort = neighbours.begin()->first;
  const InterferenceModel::Neighbours one{{best_effort, 1}};
  const Verdict verdict = interference.Judge(serving, one, now_);
  if (verdict == Verdict::kUnknown) return;
  if (verdicts.size() >= kMaxVerdicts) verdicts.clear();
  const auto [it, added] = verdicts.try_emplace({serving, best_effort}, verdict);
  if (!added && std::exchange(it->second, verdict) == verdict) return;
  const int percent = static_cast<int>(100 * *interference.Expected(serving, one, now_));
  Report(DecisionKind::kInterference, JobId(), "", backend.report.id, RunNumber(),
         "image " + best_effort + " is " + VerdictName(verdict) + " to " + serving +
             ", expected tail latency " + std::to_string(percent) + " % of the target");
}

// Paces best-effort tasks beside a serving task by how near its tail latency is to the target. All
// of them, whatever is known of their images: who causes a rise is not known at once.
void Dispatcher::Impl::PaceBestEffortTasks(BackendEntry& backend) {
  if (backend.best_effort_tasks == 0 || !hooks.pace) return;
  double worst = 0;
  for (const TaskKey& key : backend.tasks) {
    const TaskRef ref = FindOn(key, backend);
    const auto target = ref.spec->latency_target.count();
    if (target > 0) {
      worst = std::max(worst, static_cast<double>(ref.task->load) / static_cast<double>(target));
    }
  }
  for (const TaskKey& key : backend.tasks) {
    const TaskRef ref = FindOn(key, backend);
    TaskState& task = *ref.task;
    if (!ref.spec->best_effort || task.phase != TaskPhase::kRunning) continue;
    int pace = task.pace;
    if (worst > InterferenceModel::kPauseAbove) pace = 0;
    if (worst < kResumeBelow) pace = kFullPercent;
    if (pace == task.pace) continue;
    task.pace = pace;
    task.measured_from.reset();
    backend.best_effort_changed_at = now_;
    hooks.pace(
        PaceOrder{backend.report.id, backend.report.address, settings.token, key, task.run, pace});
  }
}

void Dispatcher::Impl::SeparateBestEffortTasks(BackendEntry& backend) {
  if (backend.serving_tasks == 0 || backend.best_effort_tasks == 0) return;
  const bool harmless = std::all_of(
      backend.serving_images.begin(), backend.serving_images.end(), [&](const auto& it) {
        return interference.Judge(it.first, backend.best_effort_images, now_) == Verdict::kHarmless;
      });
  if (harmless) return;
  const std::vector<TaskKey> keys(backend.tasks.begin(), backend.tasks.end());
  for (const TaskKey& key : keys) {
    const TaskRef ref = FindOn(key, backend);
    if (!ref.spec->best_effort || !ref.spec->long_running) continue;
    if (ref.task->phase != TaskPhase::kRunning || !ref.job->IsOpen()) continue;
    const QueuePolicy* queue = ref.job->queue;
    if (queue == nullptr || ref.spec->gang || !MayStop(ref)) continue;
    BackendEntry* target = Pick(*queue, *ref.spec, *ref.step, *ref.task, {});
    if (target == nullptr || target->avoided || IsDisturbed(*ref.spec, *target)) continue;
    MoveTask(key, ref, *target, "separated from serving tasks");
  }
}

}  // namespace sapphirewheel
