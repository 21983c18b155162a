#include <algorithm>

#include "dispatcher_state.h"

// The runs that backend servers list as running or ended.

namespace sapphirewheel {
namespace {

// Number of different jobs with failed runs in a row after which a backend server is penalized.
constexpr std::size_t kPenaltyThreshold = 3;

const char* RunEndName(RunEnd how) {
  switch (how) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseExpired:
      return "lease expired";
    case RunEnd::kGangMemberEnded:
      return "another gang member ended";
    case RunEnd::kGangIncomplete:
      return "gang members missing";
  }
  return "ended";
}

}  // namespace

void Dispatcher::Impl::HandleEnd(BackendEntry& backend, const ListedEnd& end) {
  if (backend.orphans.erase({end.task, end.run}) > 0) place_due = true;
  const TaskRef ref = RunOn(FindStarted(end.task), backend);
  if (!ref) return;
  ref.job->any_started = true;
  RecordRunNumber(ref, end.run);
  TaskState& task = *ref.task;
  const bool current = task.backend == &backend && task.run == end.run;
  if (current && !end.checkpoint.empty()) task.checkpoint = end.checkpoint;
  Report(DecisionKind::kTaskEnded, end.task.job, end.task.str(), backend.report.id, end.run,
         RunEndName(end.how));
  if (ref.spec->long_running) {
    if (current) {
      Requeue(end.task, ref);
      if (end.how == RunEnd::kFailed) {
        task.failed_at = backend.report.id;
        task.not_before = now_ + kFailedTaskDelay;
      }
    }
    const bool waiting = task.phase == TaskPhase::kWaiting;
    if (waiting && end.how == RunEnd::kStopped) task.moved_from = backend.report.id;
  } else if (end.how == RunEnd::kDone) {
    HandleDone(backend, end, ref, current);
  } else if (end.how == RunEnd::kFailed) {
    HandleFailed(backend, end, ref, current);
  } else if (current) {
    Requeue(end.task, ref);
  }
}

void Dispatcher::Impl::HandleDone(BackendEntry& backend, const ListedEnd& end, const TaskRef& ref,
                                  bool current) {
  backend.failed_jobs.clear();
  if (current) ObserveDuration(ref);
  JobEntry& job = *ref.job;
  const int members = ref.spec->gang ? ref.spec->count : 1;
  for (int n = 0; n < members; ++n) {
    TaskKey key = end.task;
    if (ref.spec->gang) key.index = n;
    if (!job.IsOpen() || !job.progress.MarkDone(key)) continue;
    ++ref.step->done;
    MarkDirty(job);
    TaskState& task = ref.step->tasks[key.index];
    if (task.phase == TaskPhase::kWaiting) task.phase = TaskPhase::kClosed;
    if (!ref.spec->gang) {
      StopOtherRun(key, ref, current);
      continue;
    }
    // The rest of the gang is no longer needed.
    const bool ended = current && key.index == end.task.index;
    if (task.backend != nullptr && !ended) BeginStop(key, Find(key), "done by another run");
  }
  if (current) Requeue(end.task, ref);
  if (job.IsOpen()) FinishStepIfDone(job, *ref.occurrence);
}

void Dispatcher::Impl::HandleFailed(BackendEntry& backend, const ListedEnd& end, const TaskRef& ref,
                                    bool current) {
  JobEntry& job = *ref.job;
  if (current) {
    Requeue(end.task, ref);
    ref.task->not_before = now_ + kFailedTaskDelay;
  }
  if (!job.IsOpen() || job.progress.IsDone(end.task)) return;
  TaskKey counted = end.task;
  // A gang fails as a whole.
  if (ref.spec->gang) counted.index = 0;
  const int failures = job.progress.CountFailure(counted, end.run);
  MarkDirty(job);
  RecordFailedRun(backend, job.stored.id);
  ref.task->failed_at = backend.report.id;
  if (job.queue != nullptr && failures >= job.queue->attempts) {
    EndJob(job, JobOutcome::kFailed,
           end.task.str() + " failed " + std::to_string(failures) + " times");
  }
}

// Counts a failed run against the backend server; failed runs of different jobs in a row penalize
// it.
void Dispatcher::Impl::RecordFailedRun(BackendEntry& backend, const JobId& job) {
  backend.failed_jobs.insert(job);
  if (backend.failed_jobs.size() < kPenaltyThreshold) return;
  backend.penalized_until = now_ + kPenaltyTime;
  backend.failed_jobs.clear();
}

void Dispatcher::Impl::HandleRunning(BackendEntry& backend, const ListedRun& row) {
  const TaskRef ref = RunOn(FindStarted(row.task), backend);
  if (ref) {
    ref.job->any_started = true;
    RecordRunNumber(ref, row.run);
  }
  if (ref && ref.task->backend == &backend && ref.task->run == row.run) {
    TaskState& task = *ref.task;
    if (task.phase == TaskPhase::kStarting) {
      const bool repeated = backend.unanswered_starts.count({row.task, row.run}) > 0;
      if (repeated || IsByOtherClock(backend, task.lease_until)) {
        backend.lease_end = RunsEndBy(backend);
      } else {
        RecordLease(backend, task.lease_until, backend.clock);
      }
      task.phase = TaskPhase::kRunning;
      task.confirmed_at = now_;
      task.last_progress = now_;
      task.order_in_flight = false;
    }
    if (row.percent != task.percent) task.last_progress = now_;
    task.percent = row.percent;
    task.load = row.load;
    if (!row.checkpoint.empty()) task.checkpoint = row.checkpoint;
    return;
  }
  // The preceding steps may seem incomplete, because other backend servers may list their ends
  // later.
  const bool adoptable = ref && ref.task->phase == TaskPhase::kWaiting && ref.job->IsOpen();
  if (adoptable) {
    AdoptRun(backend, row, ref);
    return;
  }
  if (IsSecondRun(row.task, ref, backend)) {
    AdoptRun(backend, row, AddCopy(ref));
    return;
  }
  const auto [it, added] = backend.orphans.try_emplace({row.task, row.run});
  if (!added) return;
  ExtendLease(backend);
  it->second.retry_at = now_;
  retry_backends.insert(backend.report.id);
  const StepSpec* spec = FindStep(row.task);
  it->second.unknown_size = spec == nullptr;
  if (spec != nullptr) it->second.charge = spec->Charge();
  Report(DecisionKind::kTaskStopped, row.task.job, row.task.str(), backend.report.id, row.run,
         "orphan run, no longer needed; " + DescribeIncarnation(backend));
}

void Dispatcher::Impl::AdoptRun(BackendEntry& backend, const ListedRun& row, const TaskRef& ref) {
  TaskState& task = *ref.task;
  Charge(row.task, ref, backend);
  // An earlier owner may have extended the lease shortly before.
  ExtendLease(backend);
  task.phase = TaskPhase::kRunning;
  task.run = row.run;
  RecordRunNumber(ref, row.run);
  task.ordered_at = task.last_progress = task.confirmed_at = now_;
  task.located = true;
  task.adopted_at = now_;
  // An earlier owner may have paced it.
  task.pace = kUnknownPace;
  task.percent = row.percent;
  task.load = row.load;
  task.checkpoint = row.checkpoint;
  Report(DecisionKind::kTaskStarted, row.task.job, row.task.str(), backend.report.id, row.run,
         "found running; " + DescribeIncarnation(backend));
}

// Requeues tasks that a poll does not list although it was sent after their order was confirmed.
void Dispatcher::Impl::ReconcileUnlisted(BackendEntry& backend, const std::set<TaskKey>& listed,
                                         MonotonicTime sent) {
  const std::vector<TaskKey> keys(backend.tasks.begin(), backend.tasks.end());
  for (const TaskKey& key : keys) {
    if (listed.count(key) > 0) continue;
    const TaskRef ref = FindOn(key, backend);
    TaskState& task = *ref.task;
    if (task.confirmed_at >= sent) continue;
    const bool stopped = task.phase == TaskPhase::kStopping && task.stop_confirmed;
    if (stopped || task.phase == TaskPhase::kRunning) {
      if (!stopped && MayStartLate(backend, key, task.run)) {
        BeginStop(key, ref, "its start may still reach the new incarnation");
        continue;
      }
      if (!stopped) {
        Report(DecisionKind::kTaskLost, key.job, key.str(), backend.report.id, task.run,
               "listed neither as running nor as ended");
      }
      Requeue(key, ref);
    }
  }
  std::erase_if(backend.orphans,
                [&](const auto& orphan) { return listed.count(orphan.first.first) == 0; });
}

}  // namespace sapphirewheel
