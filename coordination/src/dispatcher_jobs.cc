#include <algorithm>
#include <utility>

#include "dispatcher_state.h"

namespace sapphirewheel {
namespace {

// The part of a progress row, as a divisor, that open occurrences may take; the rest is for failed
// runs.
constexpr std::size_t kOpenPartOfRow = 2;

// Describes the size of a job briefly, for the log.
std::string Describe(const WorkSpec& spec) {
  std::string text;
  for (const StepSpec& it : spec.steps) {
    text += " [" + std::to_string(it.count) + " x " + std::to_string(it.per_task.cpu_millis) +
            " mcpu " + std::to_string(it.per_task.memory_mib) + " MiB " +
            std::to_string(it.estimate.count()) + " ms";
    if (it.long_running) text += " lasting";
    if (it.best_effort) text += " fills";
    if (it.gang) text += " gang";
    if (it.per_server_limit > 0) text += " apart " + std::to_string(it.per_server_limit);
    if (it.latency_target.count() > 0) {
      text += " target " + std::to_string(it.latency_target.count());
    }
    if (it.unavailable_budget) text += " budget " + std::to_string(*it.unavailable_budget);
    text += "]";
  }
  return text;
}

}  // namespace

void Dispatcher::Impl::MarkDirty(JobEntry& job) {
  ++last_change;
  if (job.dirty_since != 0) return;
  job.dirty_since = last_change;
  dirty[last_change] = job.stored.id;
}

TaskRef Dispatcher::Impl::Find(const TaskKey& key) {
  const auto job = jobs.find(key.job);
  if (job == jobs.end()) return {};
  const auto occurrence = job->second->open.find(key.occurrence);
  if (occurrence == job->second->open.end()) return {};
  auto& steps = occurrence->second.steps;
  if (key.step >= static_cast<int>(steps.size())) return {};
  StepState& step = steps[key.step];
  if (key.index >= static_cast<int>(step.tasks.size())) return {};
  return TaskRef{job->second.get(),
                 &occurrence->second,
                 &step,
                 &job->second->stored.spec.steps[key.step],
                 &step.tasks[key.index],
                 key.step,
                 key.index};
}

const StepSpec* Dispatcher::Impl::FindStep(const TaskKey& key) {
  const auto job = jobs.find(key.job);
  if (job == jobs.end()) return nullptr;
  const auto& steps = job->second->stored.spec.steps;
  return key.step < static_cast<int>(steps.size()) ? &steps[key.step] : nullptr;
}

TaskRef Dispatcher::Impl::FindStarted(const TaskKey& key) {
  const auto found = jobs.find(key.job);
  if (found == jobs.end()) return {};
  JobEntry& job = *found->second;
  const bool later =
      key.occurrence >= job.next_occurrence && key.occurrence < job.stored.spec.repetitions;
  if (later && job.IsOpen() && job.open.count(key.occurrence) == 0 &&
      !job.progress.IsFinished(key.occurrence)) {
    OpenOccurrence(job, key.occurrence);
    place_due = true;
  }
  return Find(key);
}

void Dispatcher::Impl::AddJob(StoredJob stored, const std::optional<JobProgress>& progress,
                              bool inherited) {
  if (const auto known = jobs.find(stored.id); known != jobs.end()) {
    if (stored.cancelled) CancelJob(stored.id);
    return;
  }
  auto owned = std::make_unique<JobEntry>();
  JobEntry& job = *owned;
  job.stored = std::move(stored);
  job.queue = config ? config->FindQueue(job.stored.queue) : nullptr;
  job.inherited = inherited;
  newest_job = std::max(newest_job, job.stored.revision);
  if (progress) {
    job.progress = *progress;
    job.inherited_runs = progress->reserved_runs;
  }
  const JobId id = job.stored.id;
  jobs[id] = std::move(owned);
  if (!job.IsOpen()) {
    job.end_written = true;
    job.ended_at = now_;
    removable.emplace_back(now_, id);
    return;
  }
  if (job.stored.cancelled) {
    EndJob(job, JobOutcome::kCancelled, "cancelled by its caller");
    return;
  }
  open_jobs.insert(&job);
  AddRoute(job);
  const TeamPolicy* team = config ? config->FindTeam(job.stored.team) : nullptr;
  job.over_share =
      team != nullptr && !share_meter.Take(team->id, team->share, job.stored.accepted_at);
  if (job.stored.spec.repetitions == 0) {
    OpenOccurrence(job, 0);
  } else {
    const std::size_t bytes = JobProgress::MaxOccurrenceBytes(job.stored.spec);
    job.max_open = std::max<std::size_t>(1, settings.max_row_bytes / kOpenPartOfRow / bytes);
    timed_jobs.insert(&job);
  }
  place_due = true;
  Report(DecisionKind::kJobTaken, id, "", BackendId(), RunNumber(),
         std::string(inherited ? "inherited" : "new") +
             (job.over_share ? ", over its team's share" : "") + Describe(job.stored.spec));
}

void Dispatcher::Impl::CountArrival(const JobEntry& job) {
  if (job.queue == nullptr || job.inherited) return;
  for (const StepSpec& it : job.stored.spec.steps) {
    if (it.long_running) continue;
    arrived_work[job.queue->pool] += ExpectedWork(it) * it.count;
  }
}

void Dispatcher::Impl::OpenOccurrence(JobEntry& job, int number) {
  const WorkSpec& spec = job.stored.spec;
  CountArrival(job);
  OccurrenceState& occurrence = job.open[number];
  occurrence.number = number;
  occurrence.due = spec.repetitions == 0
                       ? job.stored.accepted_at
                       : UnixMillis(spec.first_due.count() + number * spec.interval.count());
  for (std::size_t n = 0; n < spec.steps.size(); ++n) {
    StepState step;
    step.tasks.resize(spec.steps[n].count);
    for (int index = 0; index < spec.steps[n].count; ++index) {
      const TaskKey key{job.stored.id, number, static_cast<int>(n), index};
      if (!job.progress.IsDone(key)) continue;
      step.tasks[index].phase = TaskPhase::kClosed;
      ++step.done;
      job.any_started = true;
    }
    step.done_before = step.done == spec.steps[n].count;
    occurrence.steps.push_back(std::move(step));
  }
  UpdateReady(job, occurrence);
  for (const StepSpec& it : spec.steps) {
    if (it.IsOpenEnded()) continue;
    occurrence.total_work += it.per_task.cpu_millis * it.estimate.count() * it.count;
  }
  served_by_size[job.stored.queue].AddArrival(occurrence.total_work);
  FinishStepIfDone(job, occurrence);
}

void Dispatcher::Impl::UpdateReady(JobEntry& job, OccurrenceState& occurrence) {
  const WorkSpec& spec = job.stored.spec;
  for (std::size_t n = 0; n < spec.steps.size(); ++n) {
    const auto& after = spec.steps[n].after;
    occurrence.steps[n].ready = std::all_of(after.begin(), after.end(), [&](int it) {
      return occurrence.steps[it].done == spec.steps[it].count;
    });
  }
  UpdatePaths(job, occurrence);
}

void Dispatcher::Impl::OpenDueOccurrences() {
  if (timed_jobs.empty()) return;
  const UnixMillis now = hooks.wall_clock();
  const std::vector<JobEntry*> timed(timed_jobs.begin(), timed_jobs.end());
  for (JobEntry* job : timed) {
    ForgetFinishedOccurrences(*job);
    OpenDueOccurrences(*job, now);
  }
}

void Dispatcher::Impl::OpenDueOccurrences(JobEntry& job, UnixMillis now) {
  const WorkSpec& spec = job.stored.spec;
  while (job.next_occurrence < spec.repetitions) {
    const std::int64_t due = spec.first_due.count() + job.next_occurrence * spec.interval.count();
    if (now.count() + settings.max_early_start.count() < due) break;
    const bool open = job.open.count(job.next_occurrence) > 0;
    if (!open && !job.progress.IsFinished(job.next_occurrence)) {
      if (job.open.size() >= job.max_open) {
        if (!std::exchange(job.occurrences_wait, true)) {
          Report(DecisionKind::kOccurrencesWait, job.stored.id, "", BackendId(), RunNumber(),
                 "number " + std::to_string(job.next_occurrence) + " is due while " +
                     std::to_string(job.open.size()) + " are open");
        }
        return;
      }
      OpenOccurrence(job, job.next_occurrence);
      place_due = true;
    }
    ++job.next_occurrence;
  }
  job.occurrences_wait = false;
}

void Dispatcher::Impl::ForgetFinishedOccurrences(JobEntry& job) {
  if (!job.has_finished_open) return;
  job.has_finished_open = false;
  std::erase_if(job.open, [&](const auto& it) {
    if (!job.progress.IsFinished(it.first)) return false;
    const bool runs = it.second.HasRuns();
    job.has_finished_open = job.has_finished_open || runs;
    return !runs;
  });
}

// Called after a task was marked done. Enables the steps that follow, or ends the occurrence or the
// job.
void Dispatcher::Impl::FinishStepIfDone(JobEntry& job, OccurrenceState& occurrence) {
  UpdateReady(job, occurrence);
  place_due = true;
  const WorkSpec& spec = job.stored.spec;
  for (std::size_t n = 0; n < spec.steps.size(); ++n) {
    if (occurrence.steps[n].done < spec.steps[n].count) return;
  }
  CountServed(job, occurrence);
  job.progress.FinishOccurrence(occurrence.number);
  job.has_finished_open = true;
  MarkDirty(job);
  if (job.progress.FinishedCount() >= static_cast<std::size_t>(std::max(1, spec.repetitions))) {
    EndJob(job, JobOutcome::kCompleted, "all tasks done");
  }
}

void Dispatcher::Impl::EndJob(JobEntry& job, JobOutcome outcome, const std::string& why) {
  if (!job.IsOpen()) return;
  job.progress.outcome = outcome;
  job.ended_at = now_;
  open_jobs.erase(&job);
  timed_jobs.erase(&job);
  MarkDirty(job);
  CloseOpenTasks(job);
  Report(DecisionKind::kJobEnded, job.stored.id, "", BackendId(), RunNumber(),
         std::string(OutcomeName(outcome)) + ": " + why);
}

void Dispatcher::Impl::FailJobsWithoutAttempts() {
  std::vector<std::pair<JobEntry*, TaskKey>> failed;
  for (JobEntry* job : open_jobs) {
    if (job->queue == nullptr) continue;
    const auto tasks = job->progress.TasksWithFailures(job->stored.id, job->queue->attempts);
    const auto waiting = std::find_if(tasks.begin(), tasks.end(), [this](const TaskKey& it) {
      const TaskRef ref = Find(it);
      return ref && ref.task->phase == TaskPhase::kWaiting;
    });
    if (waiting != tasks.end()) failed.emplace_back(job, *waiting);
  }
  for (const auto& [job, task] : failed) {
    EndJob(*job, JobOutcome::kFailed,
           task.str() + " has failed " + std::to_string(job->queue->attempts) + " times");
  }
}

void Dispatcher::Impl::CloseOpenTasks(JobEntry& job) {
  for (auto& [number, occurrence] : job.open) {
    for (std::size_t n = 0; n < occurrence.steps.size(); ++n) {
      auto& tasks = occurrence.steps[n].tasks;
      for (std::size_t index = 0; index < tasks.size(); ++index) {
        const TaskKey key{job.stored.id, number, static_cast<int>(n), static_cast<int>(index)};
        if (tasks[index].phase == TaskPhase::kWaiting) tasks[index].phase = TaskPhase::kClosed;
        const TaskRef ref = Find(key);
        if (tasks[index].backend != nullptr) BeginStop(key, ref, "no longer needed");
        if (const TaskRef copy = CopyOf(ref)) BeginStop(key, copy, "no longer needed");
      }
    }
  }
}

void Dispatcher::Impl::CancelJob(const JobId& id) {
  const auto it = jobs.find(id);
  if (it == jobs.end()) return;
  it->second->stored.cancelled = true;
  EndJob(*it->second, JobOutcome::kCancelled, "cancelled by its caller");
}

// The sequence number up to which all changes have been written.
std::uint64_t Dispatcher::Impl::WrittenUpTo() const {
  std::uint64_t least = last_change + 1;
  if (!dirty.empty()) least = std::min(least, dirty.begin()->first);
  if (!writing.empty()) least = std::min(least, writing.begin()->first);
  return least - 1;
}

void Dispatcher::Impl::AcknowledgeEnds(BackendEntry& backend, std::uint64_t written) {
  auto& waiting = backend.unacknowledged;
  while (!waiting.empty() && waiting.front().second <= written) {
    backend.ends_acknowledged = waiting.front().first;
    waiting.pop_front();
  }
}

}  // namespace sapphirewheel
