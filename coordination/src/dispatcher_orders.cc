#include <algorithm>
#include <utility>

#include "dispatcher_state.h"

namespace sapphirewheel {
namespace {

// A task without progress for this time and for half of its estimate is stuck.
constexpr Millis kStuckAfter{2500};
// A reply that is this much later than the wait of its poll counts as lost. Polls extend the lease,
// and waiting for the whole timeout would leave too little of it.
constexpr Millis kPollOverdue{250};
// Longest wait of a poll of a server with a long-running task that is not ready yet: the next task
// of its step may be moved only then.
constexpr Millis kStartupPollWait{150};
// Time after a list in which its incarnation cannot have been followed by one with ends of its own.
constexpr Millis kListIsFresh{350};
// Age at which the clock of an idle backend server is read again, as the leases that are computed
// with it become shorter.
constexpr Millis kMaxClockAge{60'000};
// Time after a list of runs in which the end of a stop is known that an earlier owner had ordered
// before it.
constexpr Millis kStopIsKnown{800};
// Age at which it is determined again which pools have waiting work, for the order of first polls.
constexpr Millis kContactPoolsAge{100};
// A task leaves a draining server this long before the server goes, so that its end is known and it
// can start elsewhere.
constexpr Millis kLeaveReserve{1000};
// How long a draining server is taken to stay if it does not tell.
constexpr Millis kUsualDrainTime{2000};
// Longest time for which a task stays on a draining server because of stops on other servers. If
// these are not known to be carried out by then, their servers do not reply.
constexpr Millis kLongestStopWait{1500};

// Whether a task of the job can start once there is a backend server for it.
bool HasWaitingTask(const JobEntry& job) {
  const auto waits = [](const TaskState& it) { return it.phase == TaskPhase::kWaiting; };
  for (const auto& [number, occurrence] : job.open) {
    for (const StepState& step : occurrence.steps) {
      if (step.ready && std::any_of(step.tasks.begin(), step.tasks.end(), waits)) return true;
    }
  }
  return false;
}

}  // namespace

bool Dispatcher::Impl::IsTrusted(const BackendEntry& backend) const {
  return !backend.failing ||
         now_ - backend.last_reply < settings.suspect_after + settings.poll_wait;
}

void Dispatcher::Impl::UpdateInRoster(BackendEntry& backend) const {
  const auto it = roster_written.find(backend.report.id);
  const bool listed = it != roster_written.end() && !it->second.runs_end_by;
  backend.in_roster = listed && given_up.count(backend.report.id) == 0;
  const bool closed = listed && it->second.closed_by == settings.token;
  backend.open_to_starts = !closed && closing.count(backend.report.id) == 0;
}

void Dispatcher::Impl::UpdateInRoster() {
  for (auto& [id, backend] : backends) UpdateInRoster(*backend);
}

bool Dispatcher::Impl::IsStartingUp(const BackendEntry& backend) {
  if (backend.long_running_tasks == 0) return false;
  return std::any_of(backend.tasks.begin(), backend.tasks.end(), [&](const TaskKey& key) {
    const TaskRef ref = FindOn(key, backend);
    return ref.spec->long_running && ref.task->phase != TaskPhase::kStopping &&
           ref.task->percent < kFullPercent;
  });
}

void Dispatcher::Impl::SendPoll(BackendEntry& backend) {
  PollOrder order;
  order.backend = backend.report.id;
  order.address = backend.report.address;
  order.token = settings.token;
  // Another incarnation under the same id would drop its own ends, which have the same numbers.
  if (now_ - backend.last_list <= kListIsFresh) {
    order.acknowledged_end = backend.ends_acknowledged;
    backend.ends_ack_sent = backend.ends_acknowledged;
  }
  // The roster may state that the runs of a server that left the registry or does not reply have
  // ended, so its lease must not be extended.
  const bool extend = backend.registered && IsTrusted(backend) && backend.in_roster;
  if (extend && backend.HasRuns() && backend.clock) {
    order.lease_until = NewLeaseEnd(backend);
    RecordLeaseOrder(backend, *order.lease_until);
  }
  const bool repeated = backend.poll_in_flight;
  if (!backend.first_polled_at) {
    backend.first_polled_at = now_;
    // It was not silent before.
    backend.last_reply = now_;
  }
  const bool at_once = std::exchange(backend.list_wanted, false);
  if (backend.HasRuns() && backend.has_replied && !backend.failing && !repeated && !at_once) {
    order.wait = IsStartingUp(backend) ? kStartupPollWait : settings.poll_wait;
  }
  order.sequence = ++backend.last_poll_sent;
  backend.poll_in_flight = true;
  backend.repeat_poll_at.reset();
  if ((!repeated || at_once) && !backend.failing) {
    backend.repeat_poll_at = now_ + order.wait + kPollOverdue;
  }
  hooks.poll(order);
}

void Dispatcher::Impl::SendPolls() {
  FirstContact::OpenCalls open;
  std::vector<BackendEntry*> contacts;
  unasked = 0;
  for (auto& [id, backend] : backends) {
    BackendEntry& it = *backend;
    unasked += it.registered && !it.first_polled_at ? 1 : 0;
    open.all += it.poll_in_flight ? 1 : 0;
    open.contacts += it.poll_in_flight && !it.has_replied ? 1 : 0;
    const bool overdue = it.poll_in_flight && it.repeat_poll_at && now_ >= *it.repeat_poll_at;
    const bool at_once = overdue || it.list_wanted;
    if (!at_once && (it.poll_in_flight || now_ < it.next_poll)) continue;
    if (!it.registered && !it.HasRuns() && it.ends_ack_sent >= it.ends_acknowledged) continue;
    const bool due = it.HasRuns() || !it.has_replied || it.failing ||
                     it.ends_acknowledged > it.ends_ack_sent ||
                     now_ - it.clock_read_at > kMaxClockAge;
    if (!due) continue;
    if (it.has_replied || it.HasRuns()) {
      open.all += it.poll_in_flight ? 0 : 1;
      SendPoll(it);
    } else {
      contacts.push_back(&it);
    }
  }
  if (!contacts.empty()) SendFirstPolls(contacts, open);
}

Dispatcher::ContactStatus Dispatcher::contact_status() const noexcept {
  return {impl_->unasked, impl_->first_contact.round_size()};
}

void Dispatcher::Impl::SendFirstPolls(const std::vector<BackendEntry*>& due,
                                      const FirstContact::OpenCalls& open) {
  if (first_contact.Allowance(open) == 0) return;
  UpdateContactPools();
  std::vector<FirstContact::Candidate> candidates;
  candidates.reserve(due.size());
  for (const BackendEntry* it : due) {
    candidates.push_back(
        {ContactRank(*it), it->first_polled_at.has_value(), it->report.pool, candidates.size()});
  }
  for (const std::size_t n : first_contact.Choose(candidates, open)) SendPoll(*due[n]);
}

FirstContact::Rank Dispatcher::Impl::ContactRank(const BackendEntry& backend) const {
  const PoolId& pool = backend.report.pool;
  if (contact_pools.spare.count(pool) > 0) return FirstContact::Rank::kSpare;
  const bool waiting = contact_pools.waiting.count(pool) > 0;
  if (roster_pending.count(backend.report.id) > 0) {
    return waiting ? FirstContact::Rank::kMayRunWaitingWork : FirstContact::Rank::kMayRun;
  }
  return waiting ? FirstContact::Rank::kWaitingWork : FirstContact::Rank::kOther;
}

void Dispatcher::Impl::UpdateContactPools() {
  if (now_ < contact_pools.valid_until) return;
  contact_pools = {{}, {}, now_ + kContactPoolsAge};
  if (!config) return;
  for (const PoolPolicy& it : config->pools) {
    if (it.spare) contact_pools.spare.insert(it.id);
  }
  for (const JobEntry* job : open_jobs) {
    if (job->queue == nullptr || contact_pools.waiting.count(job->queue->pool) > 0) continue;
    if (HasWaitingTask(*job)) contact_pools.waiting.insert(job->queue->pool);
  }
}

void Dispatcher::Impl::SendStart(const TaskKey& key, const TaskRef& ref) {
  TaskState& task = *ref.task;
  task.order_in_flight = true;
  retry_backends.insert(task.backend->report.id);
  RecordLeaseOrder(*task.backend, task.lease_until);
  StartOrder order{task.backend->report.id,
                   task.backend->report.address,
                   settings.token,
                   key,
                   task.run,
                   ref.job->stored.spec.payload,
                   task.checkpoint,
                   task.lease_until,
                   ""};
  const auto advice = ref.step->advice.find(order.backend);
  if (advice != ref.step->advice.end()) order.ticket = advice->second.ticket;
  hooks.start(order);
}

bool Dispatcher::Impl::SendRetries(BackendEntry& backend) {
  bool open = !backend.orphans.empty();
  const std::vector<TaskKey> keys(backend.tasks.begin(), backend.tasks.end());
  for (const TaskKey& key : keys) {
    const TaskRef ref = FindOn(key, backend);
    TaskState& task = *ref.task;
    // A repeated start would be a new one there. The stop keeps an earlier one from being carried
    // out late.
    const bool overdue = !task.order_in_flight && now_ >= task.retry_at;
    const bool leaving = backend.report.draining || InEvacuation(backend);
    if (leaving && task.phase == TaskPhase::kStarting && overdue) {
      BeginStop(key, ref,
                backend.report.draining ? "start without a reply on a draining server"
                                        : "start without a reply in an evacuated data centre");
    }
    const bool starting = task.phase == TaskPhase::kStarting;
    const bool stopping = task.phase == TaskPhase::kStopping && !task.stop_confirmed;
    open = open || starting || stopping;
    if (task.order_in_flight || now_ < task.retry_at) continue;
    if (starting) {
      // Only after a poll: another incarnation would take the lease as a time on its own clock.
      if (backend.failing || !backend.has_replied || !backend.clock) continue;
      // A repeated start extends the lease, so the roster must not say that it ends.
      if (!backend.in_roster || !backend.open_to_starts || !MayPlace()) continue;
      task.lease_until = NewLeaseEnd(backend);
      SendStart(key, ref);
    } else if (stopping) {
      task.order_in_flight = true;
      hooks.stop(
          StopOrder{backend.report.id, backend.report.address, settings.token, key, task.run});
    }
  }
  for (auto& [run, orphan] : backend.orphans) {
    if (orphan.order_in_flight || now_ < orphan.retry_at) continue;
    orphan.order_in_flight = true;
    hooks.stop(StopOrder{backend.report.id, backend.report.address, settings.token, run.first,
                         run.second});
  }
  const bool late = StopLateStarts(backend);
  return open || late;
}

void Dispatcher::Impl::EndLease(BackendEntry& backend) {
  const std::vector<TaskKey> keys(backend.tasks.begin(), backend.tasks.end());
  for (const TaskKey& key : keys) {
    if (now_ <= RunEndsBy(backend, key)) continue;
    MarkRunLost(backend, key, "its lease has ended: " + DescribeLease(backend));
  }
  backend.orphans.clear();
  // Its next list shows the ends, which have to be acknowledged.
  backend.has_replied = false;
}

void Dispatcher::Impl::ExpireLeases() {
  std::erase_if(backends, [&](const auto& row) {
    BackendEntry& backend = *row.second;
    if (backend.HasRuns() && now_ > backend.lease_end) EndLease(backend);
    ForgetLateStarts(backend);
    const bool forget = !backend.registered && !backend.HasRuns() && !backend.poll_in_flight &&
                        backend.unacknowledged.empty() && backend.unanswered_starts.empty() &&
                        (backend.ends_ack_sent >= backend.ends_acknowledged || backend.failing);
    if (forget) {
      pool_servers_valid = false;
      retry_backends.erase(backend.report.id);
    }
    return forget;
  });
  const auto removed = std::erase_if(roster_pending, [&](const auto& row) {
    const auto& [id, entry] = row;
    if (now_ <= *entry.runs_end_by || AwaitsFirstList(id)) return false;
    Report(DecisionKind::kBackendGone, JobId(), "", id, RunNumber(),
           "no reply since the takeover; what earlier owners started there ended " +
               std::to_string((now_ - *entry.runs_end_by).count()) + " ms ago at the latest");
    return true;
  });
  if (removed > 0) place_due = true;
}

// A server whose runs are over may still list that they are done. With many servers, its turn to be
// polled may come after their end.
bool Dispatcher::Impl::AwaitsFirstList(const BackendId& id) const {
  const auto it = backends.find(id);
  if (it == backends.end() || !it->second->registered) return false;
  const auto& polled_at = it->second->first_polled_at;
  return !polled_at || now_ <= std::max(first_lists_by, *polled_at + kFirstPollTime);
}

void Dispatcher::Impl::StopStuckTasks(BackendEntry& backend) {
  if (backend.failing) return;
  const std::vector<TaskKey> keys(backend.tasks.begin(), backend.tasks.end());
  for (const TaskKey& key : keys) {
    const TaskRef ref = FindOn(key, backend);
    const TaskState& task = *ref.task;
    if (task.phase != TaskPhase::kRunning || ref.spec->long_running || ref.spec->gang ||
        ref.spec->best_effort) {
      continue;
    }
    // Only the list of runs shows whether there is progress.
    const Millis stalled = backend.last_list - std::max(task.last_progress, task.confirmed_at);
    if (stalled <= std::max(kStuckAfter, ref.spec->estimate / 2)) continue;
    ref.task->failed_at = backend.report.id;
    backend.penalized_until = now_ + kPenaltyTime;
    BeginStop(key, ref, "stuck");
  }
}

// Whether a long-running task is known to be ready, on a backend server that has replied recently.
bool Dispatcher::Impl::IsAvailable(const TaskState& task) const {
  if (task.phase != TaskPhase::kRunning || task.percent < kFullPercent) return false;
  return !task.backend->failing &&
         now_ - task.backend->last_reply < settings.poll_wait + settings.suspect_after;
}

bool Dispatcher::Impl::IsAway(const TaskState& task) const {
  if (!IsAvailable(task) || MayBeStopping(task)) return true;
  return task.backend->report.draining || !task.backend->registered;
}

bool Dispatcher::Impl::MayBeStopping(const TaskState& task) const {
  if (task.phase == TaskPhase::kStopping) return true;
  return task.adopted_at && now_ < *task.adopted_at + kStopIsKnown;
}

bool Dispatcher::Impl::IsSoundStopUnderWay(const TaskRef& ref) const {
  const bool runs_known = AllRunsKnown(*ref.job);
  return std::any_of(ref.step->tasks.begin(), ref.step->tasks.end(), [&](const TaskState& it) {
    if (&it == ref.task) return false;
    if (it.backend == nullptr) return !runs_known && !it.located;
    return MayBeStopping(it) && !it.backend->report.draining;
  });
}

bool Dispatcher::Impl::MustLeaveNow(const BackendEntry& backend) const {
  const Millis stays = backend.report.remaining.value_or(kUsualDrainTime);
  return now_ >= backend.draining_since + std::min(stays - kLeaveReserve, kLongestStopWait);
}

int Dispatcher::Impl::CountOthersAway(const TaskRef& ref) const {
  return static_cast<int>(
      std::count_if(ref.step->tasks.begin(), ref.step->tasks.end(),
                    [&](const TaskState& it) { return &it != ref.task && IsAway(it); }));
}

// Stops take effect in another order than they were decided in. So what is away soon counts from
// when that is known, and the budget holds in whichever order the tasks end.
bool Dispatcher::Impl::MayStop(const TaskRef& ref) const {
  if (CountOthersAway(ref) < ref.spec->unavailable_budget.value_or(1)) return true;
  const BackendEntry& backend = *ref.task->backend;
  // The task has to leave. Its end would only be too early for a task of a sound server that is
  // being stopped.
  return backend.report.draining && (!IsSoundStopUnderWay(ref) || MustLeaveNow(backend));
}

const char* Dispatcher::Impl::ReasonToLeave(const BackendEntry& backend) const {
  if (backend.report.draining) return "draining";
  return InEvacuation(backend) ? "in an evacuated data centre" : "due for maintenance";
}

// Moves long-running tasks away from a backend server that is draining, due for maintenance, or in
// an evacuated data centre. The budget allows few at a time, so this begins when maintenance is due
// and not when it is the server's turn.
void Dispatcher::Impl::Evacuate(BackendEntry& backend) {
  const std::vector<TaskKey> keys(backend.tasks.begin(), backend.tasks.end());
  for (const TaskKey& key : keys) {
    const TaskRef ref = FindOn(key, backend);
    if (!ref.spec->long_running || ref.task->phase != TaskPhase::kRunning || !ref.job->IsOpen()) {
      continue;
    }
    const QueuePolicy* queue = ref.job->queue;
    if (queue == nullptr) continue;
    if (!MayStop(ref)) continue;
    BackendEntry* target = Pick(*queue, *ref.spec, *ref.step, *ref.task, {});
    if (target == nullptr) continue;
    const bool urgent = backend.report.draining || backend.evacuating || InEvacuation(backend);
    if (!urgent && target->avoided) continue;
    if (IsDisturbed(*ref.spec, *target) && !(urgent && AcceptsDisturbance(*ref.step, *ref.task))) {
      continue;
    }
    if (!backend.report.draining && IsGangInEvacuation(ref) && !MayMoveGang(*queue, ref)) continue;
    MoveTask(key, ref, *target, ReasonToLeave(backend));
  }
}

// Two tasks must not be stopped for the same room, as one of them would stay without a place.
void Dispatcher::Impl::MoveTask(const TaskKey& key, const TaskRef& ref, BackendEntry& target,
                                const char* why) {
  const std::int64_t free_cpu = FreeOn(target).cpu_millis;
  if (!ref.spec->gang) Promise(key, *ref.task, *ref.spec, target);
  UpdateFree(target, free_cpu);
  BeginStop(key, ref,
            std::string("moved: ") + why + ", to " + target.report.id.str() + ", " +
                std::to_string(CountOthersAway(ref)) + " others of its step away");
}

}  // namespace sapphirewheel
