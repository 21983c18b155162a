#include <algorithm>

#include "dispatcher_state.h"

namespace sapphirewheel {
namespace {

// Maximum number of ends that a backend server lists in one reply.
constexpr std::size_t kMaxEndsPerPoll = 500;
// A reply this recent shows that a server is reachable although another order had no reply. Shorter
// than the timeout of an order.
constexpr Millis kRecentReply{400};
// Penalty of a backend server after it refused a start, such as for lack of capacity or health, and
// delay of a task after a refusal as malformed, which will not change by itself.
constexpr Millis kRefusedPenalty{300};
constexpr Millis kMalformedDelay{2000};

// Why a backend server refused a start; null if it did not.
const char* RefusalName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kFenced:
      return "higher fencing token";
    case OrderOutcome::kStaleRun:
      return "run number too low";
    case OrderOutcome::kLeaseExpired:
      return "lease has ended";
    case OrderOutcome::kNoRoom:
      return "no room";
    case OrderOutcome::kTicketRefused:
      return "ticket";
    case OrderOutcome::kMalformed:
      return "malformed";
    case OrderOutcome::kBusy:
      return "busy";
    case OrderOutcome::kDone:
    case OrderOutcome::kWrongIncarnation:
    case OrderOutcome::kNotSent:
    case OrderOutcome::kUnknown:
      return nullptr;
  }
  return nullptr;
}

}  // namespace

BackendEntry* Dispatcher::Impl::FindBackend(const BackendId& id) {
  const auto it = backends.find(id);
  return it == backends.end() ? nullptr : it->second.get();
}

void Dispatcher::Impl::Charge(const TaskKey& key, const TaskRef& ref, BackendEntry& backend) {
  ref.step->any_placed = true;
  ref.task->backend = &backend;
  ref.task->disturbed_since.reset();
  ref.task->adopted_at.reset();
  ref.task->measured_from.reset();
  ref.task->moved_from = BackendId();
  backend.tasks.insert(key);
  backend.used += ref.spec->Charge();
  if (ref.spec->IsOpenEnded()) backend.open_ended_use += ref.spec->Charge();
  backend.long_running_tasks += ref.spec->long_running ? 1 : 0;
  CountKind(*ref.spec, backend, 1);
  team_use[ref.job->stored.team] += ref.spec->per_task;
}

void Dispatcher::Impl::Release(const TaskKey& key, const TaskRef& ref, TaskPhase next) {
  TaskState& task = *ref.task;
  const bool was_running = task.backend != nullptr;
  if (was_running) {
    BackendEntry& backend = *task.backend;
    backend.tasks.erase(key);
    backend.used -= ref.spec->Charge();
    if (ref.spec->IsOpenEnded()) backend.open_ended_use -= ref.spec->Charge();
    backend.long_running_tasks -= ref.spec->long_running ? 1 : 0;
    CountKind(*ref.spec, backend, -1);
    team_use[ref.job->stored.team] -= ref.spec->per_task;
  }
  task.backend = nullptr;
  task.phase = next;
  task.percent = 0;
  task.pace = kFullPercent;
  task.order_in_flight = false;
  task.may_be_running = false;
  task.stop_confirmed = false;
  place_due = true;
  if (ref.is_copy) {
    if (was_running) RemoveCopy(ref);
  } else if (task.has_copy && next == TaskPhase::kWaiting) {
    KeepCopyInstead(ref);
  }
}

// Lets a task start again, unless it is no longer needed.
void Dispatcher::Impl::Requeue(const TaskKey& key, const TaskRef& ref) {
  const bool wanted = ref.job->IsOpen() && !ref.job->progress.IsDone(key);
  Release(key, ref, wanted ? TaskPhase::kWaiting : TaskPhase::kClosed);
}

void Dispatcher::Impl::BeginStop(const TaskKey& key, const TaskRef& ref, const std::string& why) {
  TaskState& task = *ref.task;
  if (task.backend == nullptr || task.phase == TaskPhase::kStopping) return;
  task.phase = TaskPhase::kStopping;
  task.order_in_flight = false;
  task.stop_confirmed = false;
  task.retry_at = now_;
  retry_backends.insert(task.backend->report.id);
  Report(DecisionKind::kTaskStopped, key.job, key.str(), task.backend->report.id, task.run,
         ref.job->IsOpen() ? why : OutcomeName(ref.job->progress.outcome));
}

void Dispatcher::Impl::BeginDraining(BackendEntry& backend, const BackendReport& report) const {
  backend.draining_since = now_;
  std::string detail = "pool=" + report.pool.str() + " ";
  detail += report.remaining
                ? "stays for " + std::to_string(report.remaining->count()) + " ms at least"
                : "does not tell for how long it stays";
  Report(DecisionKind::kBackendDraining, JobId(), "", report.id, RunNumber(), detail);
}

void Dispatcher::Impl::RecordReply(BackendEntry& backend) {
  backend.last_reply = now_;
  if (backend.failing) {
    backend.failing = false;
    place_due = true;
    if (backend.suspect_reported) {
      Report(DecisionKind::kBackendSeen, JobId(), "", backend.report.id, RunNumber(),
             "replies again");
    }
    backend.suspect_reported = false;
  }
}

void Dispatcher::Impl::RecordMissingReply(BackendEntry& backend) {
  // A single lost reply among others does not indicate a failing server.
  if (now_ - backend.last_reply < kRecentReply) return;
  backend.failing = true;
  if (!backend.suspect_reported && now_ - backend.last_reply > settings.suspect_after) {
    backend.suspect_reported = true;
    Report(DecisionKind::kBackendSuspect, JobId(), "", backend.report.id, RunNumber(),
           "last reply " + std::to_string((now_ - backend.last_reply).count()) + " ms ago");
  }
}

// The pause between two polls of a backend server. An owner that is short of processor time polls
// less often, so that each poll returns more ends.
Millis Dispatcher::Impl::PollPause() const {
  constexpr double kTicks = 4;
  return std::max(settings.poll_pause,
                  Millis(static_cast<std::int64_t>(kTicks * tick_interval_ms)));
}

// An incarnation with another id replies from the address, so this one has ended.
void Dispatcher::Impl::HandleReplaced(BackendEntry& backend) {
  MarkRunsLost(backend, "another backend server replies from its address");
  roster_pending.erase(backend.report.id);
  backend.has_replied = false;
  backend.failing = true;
  backend.unacknowledged.clear();
  backend.ends_acknowledged = backend.ends_ack_sent;
  backend.next_poll = now_ + kUnresponsivePollInterval;
}

// Updates the backend server from the reply to an order. Returns null if the order has no further
// effect.
BackendEntry* Dispatcher::Impl::ProcessReply(const BackendId& id, const std::string& address,
                                             const OrderReply& reply) {
  BackendEntry* backend = FindBackend(id);
  if (backend == nullptr) return nullptr;
  if (reply.outcome == OrderOutcome::kFenced) fenced = true;
  const bool another = reply.outcome == OrderOutcome::kWrongIncarnation;
  if (reply.clock && !another) RecordReply(*backend);
  // Only its present address tells whether it has ended.
  if (!another || address != backend->report.address) return backend;
  HandleReplaced(*backend);
  return nullptr;
}

void Dispatcher::OnStart(const StartOrder& order, const OrderReply& reply, MonotonicTime now) {
  impl_->now_ = now;
  BackendEntry* backend = impl_->ProcessReply(order.backend, order.address, reply);
  if (backend == nullptr) return;
  if (reply.outcome == OrderOutcome::kUnknown) {
    impl_->RecordUnansweredLease(*backend, order.lease_until);
    impl_->RecordUnansweredStart(*backend, order.task, order.run);
  }
  const TaskRef ref = impl_->FindOn(order.task, *backend);
  if (!ref || ref.task->backend != backend || ref.task->run != order.run) return;
  TaskState& task = *ref.task;
  const bool starting = task.phase == TaskPhase::kStarting;
  if (!starting) return;
  task.order_in_flight = false;
  if (const char* why = RefusalName(reply.outcome)) {
    impl_->Report(DecisionKind::kStartRefused, order.task.job, order.task.str(), order.backend,
                  order.run, why);
  }
  switch (reply.outcome) {
    case OrderOutcome::kDone:
      task.phase = TaskPhase::kRunning;
      ref.step->tasks[ref.index].numbers_to_skip = 0;
      if (Impl::IsMeasurable(ref, *backend)) task.measured_from = now;
      ref.job->any_started = true;
      task.confirmed_at = task.last_progress = now;
      impl_->RecordLease(*backend, order.lease_until, reply.clock);
      return;
    case OrderOutcome::kUnknown:
      impl_->RecordMissingReply(*backend);
      task.may_be_running = true;
      task.retry_at = now + kStartRetry;
      return;
    case OrderOutcome::kNotSent:
      impl_->RecordMissingReply(*backend);
      break;
    case OrderOutcome::kStaleRun:
      // The run ended before this reply, or an earlier owner has used a higher number. The next
      // list shows which, and is read at once.
      ref.job->any_started = true;
      if (!task.may_be_running) Impl::SkipUsedNumbers(ref);
      backend->list_wanted = true;
      task.phase = TaskPhase::kStopping;
      task.stop_confirmed = true;
      task.confirmed_at = now;
      return;
    case OrderOutcome::kTicketRefused:
      ref.step->advice.erase(order.backend);
      break;
    case OrderOutcome::kMalformed:
      task.not_before = now + kMalformedDelay;
      break;
    default:
      backend->penalized_until = std::max(backend->penalized_until, now + kRefusedPenalty);
      task.not_before = now + kFailedTaskDelay;
      break;
  }
  if (!task.may_be_running) {
    impl_->Requeue(order.task, ref);
  } else if (reply.outcome == OrderOutcome::kNotSent) {
    task.retry_at = now + kStartRetry;
  } else {
    impl_->BeginStop(order.task, ref, "refused after a start without a reply");
  }
}

void Dispatcher::OnPace(const PaceOrder& order, const OrderReply& reply, MonotonicTime now) {
  impl_->now_ = now;
  const BackendEntry* backend = impl_->ProcessReply(order.backend, order.address, reply);
  if (backend == nullptr || reply.outcome == OrderOutcome::kDone) return;
  const TaskRef ref = impl_->FindOn(order.task, *backend);
  if (!ref || ref.task->backend != backend || ref.task->run != order.run) return;
  if (ref.task->pace == order.percent) ref.task->pace = kUnknownPace;
}

void Dispatcher::OnStop(const StopOrder& order, const OrderReply& reply, MonotonicTime now) {
  impl_->now_ = now;
  BackendEntry* backend = impl_->ProcessReply(order.backend, order.address, reply);
  if (backend == nullptr) return;
  const bool done = reply.outcome == OrderOutcome::kDone;
  if (!done) impl_->RecordMissingReply(*backend);
  impl_->RecordStopReply(*backend, order, done);
  if (const auto orphan = backend->orphans.find({order.task, order.run});
      orphan != backend->orphans.end()) {
    orphan->second.order_in_flight = false;
    orphan->second.retry_at = now + kStopRetry;
  }
  const TaskRef ref = impl_->FindOn(order.task, *backend);
  if (!ref || ref.task->backend != backend || ref.task->run != order.run) return;
  TaskState& task = *ref.task;
  if (task.phase != TaskPhase::kStopping) return;
  task.order_in_flight = false;
  if (reply.outcome == OrderOutcome::kDone) {
    task.stop_confirmed = true;
    task.confirmed_at = now;
  } else {
    task.retry_at = now + kStopRetry;
  }
}

void Dispatcher::OnPoll(const PollOrder& order, const PollReply& reply, MonotonicTime sent,
                        MonotonicTime now) {
  impl_->now_ = now;
  BackendEntry* backend = impl_->FindBackend(order.backend);
  if (backend == nullptr) return;
  if (reply.outcome == OrderOutcome::kFenced) impl_->fenced = true;
  // The poll was sent for an earlier entry of this id, which has been removed since.
  if (order.sequence > backend->last_poll_sent) return;
  const bool newest = order.sequence == backend->last_poll_sent;
  if (reply.outcome == OrderOutcome::kUnknown) {
    impl_->RecordUnansweredLease(*backend, order.lease_until);
  }
  // A poll that was repeated: later replies supersede its own reply or failure.
  if (order.sequence <= backend->last_poll_replied) return;
  if (!newest && reply.outcome != OrderOutcome::kDone) return;
  if (newest) {
    backend->poll_in_flight = false;
    // What an earlier owner started there lasts no longer than its lease.
    const bool may_run = backend->HasRuns() || impl_->roster_pending.count(order.backend) > 0;
    backend->next_poll = now + (may_run ? kPollRetry : kUnresponsivePollInterval);
  }
  if (reply.outcome == OrderOutcome::kWrongIncarnation &&
      order.address == backend->report.address) {
    impl_->HandleReplaced(*backend);
    return;
  }
  if (reply.outcome != OrderOutcome::kDone) {
    // The acknowledgement may have been lost, so it is sent again.
    backend->ends_ack_sent = 0;
    impl_->RecordMissingReply(*backend);
    return;
  }
  backend->last_poll_replied = order.sequence;
  if (reply.started_at != backend->report.started_at) {
    // A reply of an earlier incarnation does not describe the present one. One to a poll sent after
    // the later start time was seen shows that this time was wrong.
    const bool earlier = reply.started_at < backend->report.started_at;
    if (earlier && sent <= backend->start_changed_at) return;
    impl_->HandleRestart(*backend, reply.started_at);
  }
  if (newest && !backend->has_replied) impl_->first_contact.OnReply(now - sent);
  impl_->RecordReply(*backend);
  impl_->RecordClock(*backend, reply);
  backend->last_list = now;
  if (!backend->has_replied) {
    backend->has_replied = true;
    impl_->place_due = true;
  }
  // Ends that did not fit into the reply come next; until then a task that is not listed may have
  // ended.
  const bool cut = reply.ended.size() >= kMaxEndsPerPoll;
  if (!cut) impl_->roster_pending.erase(backend->report.id);
  // The poll with their acknowledgement was lost, or is still on the way.
  const bool listed_again =
      !reply.ended.empty() && reply.ended.front().number <= backend->ends_ack_sent;
  if (newest && listed_again) backend->ends_ack_sent = 0;
  const std::int64_t seen = backend->ends_seen;
  for (const ListedEnd& end : reply.ended) {
    if (end.number <= seen) continue;
    impl_->HandleEnd(*backend, end);
    backend->ends_seen = std::max(backend->ends_seen, end.number);
  }
  if (backend->ends_seen > seen) {
    backend->unacknowledged.emplace_back(backend->ends_seen, impl_->last_change);
  }
  std::set<TaskKey> listed;
  for (const ListedRun& row : reply.running) {
    listed.insert(row.task);
    impl_->HandleRunning(*backend, row);
  }
  if (!cut) impl_->ReconcileUnlisted(*backend, listed, sent);
  impl_->ObserveInterference(*backend);
  impl_->PaceBestEffortTasks(*backend);
  Impl::AcknowledgeEnds(*backend, impl_->WrittenUpTo());
  if (newest) backend->next_poll = cut ? now : now + impl_->PollPause();
}

}  // namespace sapphirewheel
