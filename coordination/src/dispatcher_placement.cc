#include <algorithm>

#include "dispatcher_state.h"

// Placement rounds: which tasks are to start, and in which order.

namespace sapphirewheel {
namespace {

// Tiers in placement order: long-running tasks, those of StartTier, and best-effort tasks.
constexpr int kLongRunningTier = 0;
constexpr int kFirstStartTier = 1;
constexpr int kBestEffortTier = 10;

// Maximum number of backend servers in one advice call, which takes time for each.
constexpr std::size_t kAdvicePerCall = 30;

// Run numbers are written as JSON numbers, which are exact up to this one.
constexpr std::int64_t kMaxRunNumber = std::int64_t{1} << 53;
// How many numbers a job reserves at a time, and how many are left when it reserves further ones,
// so that they are written before they are used.
constexpr std::int64_t kReservedRuns = 100;
constexpr std::int64_t kReserveAhead = 50;

bool IsWithin(std::int64_t use, std::int64_t limit) { return limit == 0 || use <= limit; }

}  // namespace

// What an earlier owner may have running on backend servers that have not replied, by team.
void Dispatcher::Impl::UpdateInherited() {
  unknown_pools.clear();
  inherited_use.clear();
  for (const auto& [id, entry] : roster_pending) unknown_pools.insert(entry.pool);
  CountUnknownCopies();
  if (unknown_pools.empty()) return;
  for (const JobEntry* job : open_jobs) {
    if (AllRunsKnown(*job)) continue;
    Resources& use = inherited_use[job->stored.team];
    for (const auto& [number, occurrence] : job->open) {
      for (std::size_t n = 0; n < occurrence.steps.size(); ++n) {
        if (!occurrence.steps[n].ready) continue;
        for (const TaskState& it : occurrence.steps[n].tasks) {
          if (it.phase == TaskPhase::kWaiting && !it.located) {
            use += job->stored.spec.steps[n].per_task;
          }
        }
      }
    }
  }
}

bool Dispatcher::Impl::IsWithinLimit(const TeamId& team, const Resources& more) const {
  const TeamPolicy* policy = config->FindTeam(team);
  if (policy == nullptr) return true;
  const auto used = team_use.find(team);
  Resources use = more;
  if (const auto it = inherited_use.find(team); it != inherited_use.end()) use += it->second;
  if (used != team_use.end()) use += used->second;
  return IsWithin(use.cpu_millis, policy->limit.cpu_millis) &&
         IsWithin(use.memory_mib, policy->limit.memory_mib) &&
         IsWithin(use.accelerators, policy->limit.accelerators);
}

bool Dispatcher::Impl::MayStart(const TaskState& task, bool runs_known) const {
  if (task.phase != TaskPhase::kWaiting || task.not_before > now_ || task.has_copy) return false;
  return runs_known || task.located;
}

RunNumber Dispatcher::Impl::NextRun(const JobEntry& job, const TaskState& task) const {
  const auto base = (static_cast<std::int64_t>(settings.token.count()) - 1) * kRunNumbersPerOwner;
  const RunNumber used = std::max({task.highest_run, job.inherited_runs, RunNumber(base)});
  return RunNumber(std::min(used.count(), kMaxRunNumber - 1) + 1);
}

void Dispatcher::Impl::ReserveRuns(JobEntry& job, RunNumber run) {
  const RunNumber range_end(static_cast<std::int64_t>(settings.token.count()) *
                            kRunNumbersPerOwner);
  const RunNumber left_out = std::max(range_end, job.progress.reserved_runs);
  if (run.count() + kReserveAhead <= left_out.count()) return;
  job.progress.reserved_runs = RunNumber(run.count() + kReservedRuns);
  MarkDirty(job);
}

void Dispatcher::Impl::RecordRunNumber(const TaskRef& ref, RunNumber run) {
  ref.task->highest_run = std::max(ref.task->highest_run, run);
  TaskState& original = ref.step->tasks[ref.index];
  original.highest_run = std::max(original.highest_run, run);
}

void Dispatcher::Impl::SkipUsedNumbers(const TaskRef& ref) {
  // Limits how far repeated refusals, for whatever reason, take the numbers.
  constexpr std::int64_t kMaxSkip = 1'000'000;
  std::int64_t& skip = ref.step->tasks[ref.index].numbers_to_skip;
  RecordRunNumber(ref, RunNumber(ref.task->run.count() + skip));
  skip = std::clamp<std::int64_t>(2 * skip, 1, kMaxSkip);
}

void Dispatcher::Impl::StartTask(const TaskKey& key, const TaskRef& ref, BackendEntry& backend,
                                 RunNumber run) {
  TaskState& task = *ref.task;
  const std::int64_t free_cpu = FreeOn(backend).cpu_millis;
  ReleasePromise(key, task);
  Charge(key, ref, backend);
  UpdateFree(backend, free_cpu);
  task.phase = TaskPhase::kStarting;
  task.run = run;
  RecordRunNumber(ref, run);
  ReserveRuns(*ref.job, run);
  task.ordered_at = now_;
  task.lease_until = NewLeaseEnd(backend);
  task.located = true;
  Report(DecisionKind::kTaskStarted, key.job, key.str(), backend.report.id, run,
         "used " + std::to_string(backend.used.cpu_millis) + "/" +
             std::to_string(backend.report.capacity.cpu_millis) + " mcpu");
  SendStart(key, ref);
}

bool Dispatcher::Impl::IsStartable(const StepState& step, const StepSpec& spec,
                                   bool runs_known) const {
  if (!step.ready || step.done == spec.count) return false;
  return std::any_of(step.tasks.begin(), step.tasks.end(),
                     [&](const TaskState& it) { return MayStart(it, runs_known); });
}

void Dispatcher::Impl::CollectCandidates(std::vector<Candidate>& candidates) {
  RankOpenJobs();
  const UnixMillis wall = hooks.wall_clock();
  for (JobEntry* job : open_jobs) {
    const QueuePolicy* queue = job->queue;
    if (queue == nullptr) continue;
    if (!job->inherited && job->stored.revision > start_horizon) continue;
    if (!routes_written.Contains(queue->id, queue->pool)) continue;
    const Resources& largest_free = ServersOf(queue->pool).largest_free;
    const bool runs_known = AllRunsKnown(*job);
    for (auto& [number, occurrence] : job->open) {
      const StartRank rank = RankOf(*job, occurrence, wall);
      for (std::size_t n = 0; n < occurrence.steps.size(); ++n) {
        const StepSpec& spec = job->stored.spec.steps[n];
        // A long-running step without room reserves a server.
        if (!spec.long_running && !spec.Charge().FitsIn(largest_free)) continue;
        if (!IsStartable(occurrence.steps[n], spec, runs_known)) continue;
        Candidate candidate{kFirstStartTier + static_cast<int>(rank.tier),
                            queue->priority,
                            rank.unstarted,
                            rank.deadline.count(),
                            rank.work,
                            job,
                            &occurrence,
                            static_cast<int>(n)};
        if (spec.long_running) candidate.tier = kLongRunningTier;
        if (spec.best_effort) candidate.tier = kBestEffortTier;
        candidates.push_back(candidate);
      }
    }
  }
}

void Dispatcher::Impl::Place() {
  if (!config) return;
  pool_servers_valid = false;
  FailJobsWithoutAttempts();
  ReleaseUnneededPromises();
  UpdateInherited();
  std::vector<Candidate> candidates;
  CollectCandidates(candidates);
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.tier, a.priority, a.unstarted, a.deadline, a.work, a.job->stored.id,
                    a.occurrence->number, a.step) < std::tie(b.tier, b.priority, b.unstarted,
                                                             b.deadline, b.work, b.job->stored.id,
                                                             b.occurrence->number, b.step);
  });
  steps_without_room.clear();
  ++placement_work.rounds;
  placement_work.candidates += candidates.size();
  for (const Candidate& it : candidates) PlaceStep(it);
  for (auto& [id, backend] : backends) {
    backend->was_reserved = backend->reserved.has_value();
    backend->reserved.reset();
  }
}

void Dispatcher::Impl::PlaceStep(const Candidate& candidate) {
  JobEntry& job = *candidate.job;
  const QueuePolicy* queue = job.queue;
  const StepSpec& spec = job.stored.spec.steps[candidate.step];
  StepState& step = candidate.occurrence->steps[candidate.step];
  const bool runs_known = AllRunsKnown(job);
  if (spec.gang) {
    PlaceGang(candidate, *queue);
    return;
  }
  for (int index = 0; index < spec.count; ++index) {
    TaskState& task = step.tasks[index];
    if (!MayStart(task, runs_known)) continue;
    if (!IsWithinLimit(job.stored.team, spec.per_task)) {
      ReportWaiting(candidate, *queue, index);
      return;
    }
    const TaskKey key{job.stored.id, candidate.occurrence->number, candidate.step, index};
    BackendEntry* backend = PromisedServer(*queue, step, key, task);
    if (backend == nullptr) {
      ReleasePromise(key, task);
      backend = PickToStart(*queue, spec, step, task, {});
    }
    if (backend == nullptr && spec.long_running) backend = PickBeingFreed(*queue, spec, step);
    if (backend == nullptr) {
      ReportWaiting(candidate, *queue, index);
      if (queue->advice) RequestAdvice(candidate, *queue);
      if (candidate.tier == kLongRunningTier) Reserve(*queue, spec, step, 1);
      if (spec.long_running && !WillHaveRoom(queue->pool, spec)) ++steps_without_room[queue->pool];
      return;
    }
    StartTask(key, Find(key), *backend, NextRun(job, task));
  }
}

// Asks for advice about the backend servers that have capacity and for which there is no advice or
// only an expired ticket.
void Dispatcher::Impl::RequestAdvice(const Candidate& candidate, const QueuePolicy& queue) {
  if (advice_in_flight || !hooks.advise) return;
  const StepSpec& spec = candidate.job->stored.spec.steps[candidate.step];
  const StepState& step = candidate.occurrence->steps[candidate.step];
  AdviceOrder order{candidate.job->stored.id, candidate.occurrence->number, candidate.step, {}};
  for (const FreeServer& server : ServersOf(queue.pool).usable) {
    const BackendEntry* it = server.backend;
    if (order.backends.size() >= kAdvicePerCall) break;
    if (it->reserved || !spec.Charge().FitsIn(FreeOn(*it))) continue;
    if (!spec.required_label.empty() && !HasLabel(it->report, spec.required_label)) continue;
    if (!IsRefused(step, *it) && !HasValidTicket(step, *it)) {
      order.backends.push_back(it->report.id);
    }
  }
  if (order.backends.empty()) return;
  advice_in_flight = true;
  hooks.advise(order);
}

// Starts all members of a gang together, or none.
void Dispatcher::Impl::PlaceGang(const Candidate& candidate, const QueuePolicy& queue) {
  JobEntry& job = *candidate.job;
  const StepSpec& spec = job.stored.spec.steps[candidate.step];
  StepState& step = candidate.occurrence->steps[candidate.step];
  Resources sum;
  RunNumber run;
  std::string checkpoint;
  const bool runs_known = AllRunsKnown(job);
  for (const TaskState& it : step.tasks) {
    if (!MayStart(it, runs_known)) return;
    sum += spec.per_task;
    run = std::max(run, NextRun(job, it));
    if (it.checkpoint > checkpoint) checkpoint = it.checkpoint;
  }
  if (!IsWithinLimit(job.stored.team, sum)) return;
  Plan plan;
  std::vector<BackendEntry*> places;
  for (TaskState& it : step.tasks) {
    BackendEntry* backend = PickToStart(queue, spec, step, it, plan);
    if (backend == nullptr) {
      ReportWaiting(candidate, queue, static_cast<int>(places.size()));
      if (queue.advice) RequestAdvice(candidate, queue);
      if (candidate.tier == kLongRunningTier) Reserve(queue, spec, step, spec.count);
      return;
    }
    ++plan[backend];
    places.push_back(backend);
  }
  for (int index = 0; index < spec.count; ++index) {
    const TaskKey key{job.stored.id, candidate.occurrence->number, candidate.step, index};
    step.tasks[index].checkpoint = checkpoint;
    StartTask(key, Find(key), *places[index], run);
  }
}

std::string AdviceOrder::StepName() const {
  return job.str() + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

void Dispatcher::OnAdvice(const AdviceOrder& order, const AdviceReply& reply, MonotonicTime now) {
  impl_->now_ = now;
  impl_->advice_in_flight = false;
  impl_->place_due = reply.complete;
  const TaskRef ref = impl_->Find({order.job, order.occurrence, order.step, 0});
  if (!ref || !reply.complete) return;
  for (const BackendId& it : order.backends) {
    const auto ticket = reply.tickets.find(it);
    ref.step->advice[it] = {ticket == reply.tickets.end() ? "" : ticket->second,
                            now + reply.validity};
  }
}

}  // namespace sapphirewheel
