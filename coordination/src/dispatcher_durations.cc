#include <algorithm>

#include "dispatcher_state.h"

// How long tasks last, by the runs that this owner has seen, and what follows from it.

namespace sapphirewheel {
namespace {

// Shortest time between two updates of the critical paths of all open jobs.
constexpr Millis kPathUpdateInterval{500};
// Largest work of one step, which is also that of a submitted job by its estimates; sums of the
// work of many jobs fit in 64 bits.
constexpr std::int64_t kMaxStepWork = 1'000'000'000'000'000;

// Longest way through the steps for which `is_open` is true.
template <typename IsOpen>
Millis LongestPath(const WorkSpec& spec, const std::vector<Millis>& expected,
                   const IsOpen& is_open) {
  std::vector<Millis> finish(spec.steps.size(), Millis(0));
  Millis longest{0};
  for (std::size_t n = 0; n < spec.steps.size(); ++n) {
    Millis start{0};
    for (const int it : spec.steps[n].after) start = std::max(start, finish[it]);
    finish[n] = start + (is_open(n) ? expected[n] : Millis(0));
    longest = std::max(longest, finish[n]);
  }
  return longest;
}

}  // namespace

// A run that continues an earlier one is shorter than others; one far from its data, or with what
// other tasks leave of the processor, is longer.
bool Dispatcher::Impl::IsMeasurable(const TaskRef& ref, const BackendEntry& backend) {
  const StepSpec& spec = *ref.spec;
  if (spec.image.empty() || spec.IsOpenEnded()) return false;
  if (!spec.near_rack.empty() && !HasLabel(backend.report, spec.near_rack)) return false;
  // An order without a reply may have started the run before.
  return ref.task->checkpoint.empty() && !ref.task->may_be_running;
}

void Dispatcher::Impl::ObserveDuration(const TaskRef& ref) {
  const TaskState& task = *ref.task;
  if (!task.measured_from || task.phase != TaskPhase::kRunning) return;
  durations.Observe(ref.spec->image, ref.spec->estimate, now_ - *task.measured_from, now_);
}

Millis Dispatcher::Impl::ExpectedDuration(const StepSpec& spec) {
  if (spec.IsOpenEnded()) return spec.estimate;
  return durations.Expected(spec.image, spec.estimate);
}

std::int64_t Dispatcher::Impl::ExpectedWork(const StepSpec& spec) {
  const std::int64_t cpu = spec.Charge().cpu_millis;
  if (spec.IsOpenEnded()) return cpu * spec.estimate.count();
  const Millis mean = durations.Mean(spec.image, spec.estimate);
  if (mean == spec.estimate) return cpu * spec.estimate.count();
  return std::min(cpu * mean.count(), kMaxStepWork / spec.count);
}

void Dispatcher::Impl::UpdatePaths(const JobEntry& job, OccurrenceState& occurrence) {
  const WorkSpec& spec = job.stored.spec;
  std::vector<Millis> expected;
  expected.reserve(spec.steps.size());
  for (const StepSpec& it : spec.steps) expected.push_back(ExpectedDuration(it));
  const auto& steps = occurrence.steps;
  occurrence.remaining_path = LongestPath(
      spec, expected, [&](std::size_t n) { return steps[n].done < spec.steps[n].count; });
  occurrence.critical_path =
      LongestPath(spec, expected, [&](std::size_t n) { return !steps[n].done_before; });
}

void Dispatcher::Impl::UpdateAllPaths() {
  if (durations.revision() == paths_revision || now_ < next_path_update) return;
  paths_revision = durations.revision();
  next_path_update = now_ + kPathUpdateInterval;
  for (JobEntry* job : open_jobs) {
    for (auto& [number, occurrence] : job->open) UpdatePaths(*job, occurrence);
  }
}

}  // namespace sapphirewheel
