#include <algorithm>

#include "dispatcher_state.h"

// Copies: second runs of tasks that last unusually long, on other backend servers. The state of a
// copy is a TaskState beside that of its task. Both runs are never on the same backend server, so a
// task and a backend server tell which of the two is meant.

namespace sapphirewheel {
namespace {

constexpr Millis kCopyInterval{200};

// Whether earlier owners may have made copies of the step's tasks, or this one may.
bool MayHaveCopies(const StepSpec& spec) {
  return spec.allows_copies && !spec.image.empty() && !spec.gang && !spec.IsOpenEnded();
}

}  // namespace

TaskRef Dispatcher::Impl::RunOn(TaskRef ref, const BackendEntry& backend) {
  if (!ref || ref.task->backend == &backend) return ref;
  const auto copy = ref.step->copies.find(ref.index);
  if (copy == ref.step->copies.end() || copy->second.backend != &backend) return ref;
  ref.task = &copy->second;
  ref.is_copy = true;
  return ref;
}

TaskRef Dispatcher::Impl::FindOn(const TaskKey& key, const BackendEntry& backend) {
  return RunOn(Find(key), backend);
}

TaskRef Dispatcher::Impl::CopyOf(TaskRef ref) {
  const auto copy = ref.step->copies.find(ref.index);
  if (copy == ref.step->copies.end() || copy->second.backend == nullptr) return {};
  ref.task = &copy->second;
  ref.is_copy = true;
  return ref;
}

TaskRef Dispatcher::Impl::AddCopy(TaskRef ref) {
  TaskState& task = *ref.task;
  task.has_copy = true;
  ++ref.job->copies;
  ref.job->had_copies = true;
  TaskState& copy = ref.step->copies[ref.index];
  copy = TaskState{};
  copy.checkpoint = task.checkpoint;
  copy.failed_at = task.failed_at;
  copy.other_run_on = task.backend->report.id;
  ref.task = &copy;
  ref.is_copy = true;
  return ref;
}

void Dispatcher::Impl::RemoveCopy(const TaskRef& ref) {
  ref.task->phase = TaskPhase::kClosed;
  ref.step->tasks[ref.index].has_copy = false;
  --ref.job->copies;
}

// The run of the task has ended without being done, and that of its copy goes on.
void Dispatcher::Impl::KeepCopyInstead(const TaskRef& ref) {
  const TaskRef copy = CopyOf(ref);
  if (!copy || copy.task->phase == TaskPhase::kStopping) return;
  TaskState& task = *ref.task;
  const RunNumber highest = std::max(task.highest_run, copy.task->highest_run);
  task = *copy.task;
  task.highest_run = highest;
  task.other_run_on = BackendId();
  copy.task->backend = nullptr;
  RemoveCopy(copy);
}

void Dispatcher::Impl::StopOtherRun(const TaskKey& key, const TaskRef& done, bool current) {
  TaskRef task = Find(key);
  const TaskRef copy = CopyOf(task);
  const bool by_copy = current && done.is_copy;
  if (by_copy) {
    copy_policy.RecordWin();
    Report(DecisionKind::kCopyDone, key.job, key.str(), done.task->backend->report.id,
           done.task->run, "before run " + std::to_string(task.task->run.count()));
  }
  if (copy && !by_copy) BeginStop(key, copy, "done by another run");
  const bool ended = current && !done.is_copy;
  if (task.task->backend != nullptr && !ended) BeginStop(key, task, "done by another run");
}

// A second run, which an earlier owner made; a third one is an orphan.
bool Dispatcher::Impl::IsSecondRun(const TaskKey& key, const TaskRef& ref,
                                   const BackendEntry& backend) {
  if (!ref || ref.is_copy || !MayHaveCopies(*ref.spec)) return false;
  if (!ref.job->IsOpen() || ref.job->progress.IsDone(key)) return false;
  const TaskState& task = *ref.task;
  return task.backend != nullptr && task.backend != &backend && !task.has_copy;
}

Resources Dispatcher::Impl::PossibleCopy(const JobEntry& job) {
  Resources use;
  for (const StepSpec& it : job.stored.spec.steps) {
    if (MayHaveCopies(it)) use = LargerOf(use, it.per_task);
  }
  return use;
}

// A job has at most one copy at a time, so that a new owner knows how much it may not know of.
void Dispatcher::Impl::CountUnknownCopies() {
  for (const auto& [id, backend] : backends) {
    for (const auto& [run, orphan] : backend->orphans) {
      // The occurrences of an ended job are not open.
      const TaskKey& key = run.first;
      const auto job = jobs.find(key.job);
      if (job == jobs.end()) continue;
      const StoredJob& stored = job->second->stored;
      if (key.step >= static_cast<int>(stored.spec.steps.size())) continue;
      inherited_use[stored.team] += stored.spec.steps[key.step].per_task;
    }
  }
  if (unknown_pools.empty()) return;
  for (const auto& [id, job] : jobs) {
    if (!AllRunsKnown(*job)) inherited_use[job->stored.team] += PossibleCopy(*job);
  }
}

std::map<PoolId, CopyPolicy::Pool> Dispatcher::Impl::CountRuns(std::vector<TaskRef>& candidates) {
  std::map<PoolId, CopyPolicy::Pool> pools;
  for (JobEntry* job : open_jobs) {
    if (job->queue == nullptr) continue;
    CopyPolicy::Pool& pool = pools[job->queue->pool];
    pool.copies += job->copies;
    for (auto& [number, occurrence] : job->open) {
      for (std::size_t n = 0; n < occurrence.steps.size(); ++n) {
        StepState& step = occurrence.steps[n];
        const StepSpec& spec = job->stored.spec.steps[n];
        if (!step.ready || step.done == spec.count) continue;
        const bool may_copy = MayHaveCopies(spec) && job->copies == 0 && AllRunsKnown(*job);
        for (int index = 0; index < spec.count; ++index) {
          TaskState& task = step.tasks[index];
          if (task.phase == TaskPhase::kWaiting) ++pool.waiting;
          if (task.backend != nullptr) ++pool.running;
          if (!may_copy || task.phase != TaskPhase::kRunning) continue;
          candidates.push_back(
              {job, &occurrence, &step, &spec, &task, static_cast<int>(n), index, false});
        }
      }
    }
  }
  for (const auto& [id, backend] : backends) {
    if (!IsUsable(*backend)) continue;
    const auto pool = pools.find(backend->report.pool);
    if (pool == pools.end()) continue;
    pool->second.capacity += backend->report.capacity;
    pool->second.free += FreeOn(*backend);
  }
  return pools;
}

bool Dispatcher::Impl::IsLong(const TaskRef& ref) {
  const std::string& image = ref.spec->image;
  const Millis estimate = ref.spec->estimate;
  CopyPolicy::Run run;
  run.high = durations.High(image, estimate);
  run.elapsed = now_ - ref.task->confirmed_at;
  if (!run.high || run.elapsed <= *run.high) return false;
  run.percent = ref.task->percent;
  run.usual = durations.Expected(image, estimate);
  run.remaining = durations.RemainingAfter(image, estimate, run.elapsed);
  run.charge = ref.spec->Charge();
  return copy_policy.IsLong(run);
}

// Whether a start of a copy is allowed by all rules that hold for each start. A run that has failed
// unnoticed must not be the last one that is allowed.
bool Dispatcher::Impl::MayCopy(const TaskKey& key, const TaskRef& ref) const {
  const JobEntry& job = *ref.job;
  if (!job.inherited && job.stored.revision > start_horizon) return false;
  if (!routes_written.Contains(job.queue->id, job.queue->pool)) return false;
  if (job.progress.FailureCount(key) + 1 >= job.queue->attempts) return false;
  return IsWithinLimit(job.stored.team, ref.spec->per_task);
}

void Dispatcher::Impl::StartCopy(const TaskKey& key, const TaskRef& ref, BackendEntry& backend) {
  TaskState& task = *ref.task;
  const RunNumber run = NextRun(*ref.job, task);
  Report(DecisionKind::kCopyStarted, key.job, key.str(), backend.report.id, run,
         "run " + std::to_string(task.run.count()) + " on " + task.backend->report.id.str() +
             " has lasted " + std::to_string((now_ - task.confirmed_at).count()) + " ms, usual " +
             std::to_string(ExpectedDuration(*ref.spec).count()) + " ms");
  const TaskRef copy = AddCopy(ref);
  copy_policy.RecordStart();
  StartTask(key, copy, backend, run);
}

void Dispatcher::Impl::MakeCopies() {
  if (!settings.copies || !config || now_ < next_copies || durations.images() == 0) return;
  next_copies = now_ + kCopyInterval;
  std::vector<TaskRef> candidates;
  auto pools = CountRuns(candidates);
  std::erase_if(candidates, [this](const TaskRef& it) { return !IsLong(it); });
  // The longest first.
  std::sort(candidates.begin(), candidates.end(), [](const TaskRef& a, const TaskRef& b) {
    return a.task->confirmed_at < b.task->confirmed_at;
  });
  for (const TaskRef& ref : candidates) {
    const TaskKey key{ref.job->stored.id, ref.occurrence->number, ref.step_number, ref.index};
    CopyPolicy::Pool& pool = pools[ref.job->queue->pool];
    const Resources charge = ref.spec->Charge();
    if (ref.job->copies > 0 || !copy_policy.HasRoom(pool, charge)) continue;
    if (!copy_policy.IsWithinBudget(pool, now_) || !MayCopy(key, ref)) continue;
    TaskState choice;
    choice.failed_at = ref.task->failed_at;
    choice.other_run_on = ref.task->backend->report.id;
    BackendEntry* backend = Pick(*ref.job->queue, *ref.spec, *ref.step, choice, {});
    if (backend == nullptr || IsDisturbed(*ref.spec, *backend)) continue;
    if (backend->MayHaveRunOf(key)) continue;
    StartCopy(key, ref, *backend);
    ++pool.copies;
    pool.free -= charge;
  }
}

}  // namespace sapphirewheel
