#include "request_executor.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace sapphirewheel {
namespace {

Error NotRun(ErrorKind kind, std::string message, std::string remedy, Millis retry_after) {
  return Error{kind, std::move(message), std::move(remedy), RunState::kNotRun, retry_after};
}

Error Unknown(ErrorKind kind, std::string message) {
  return Error{kind, std::move(message),
               "check with the service whether the request took effect before sending it again",
               RunState::kUnknown, std::nullopt};
}

bool HasSlots(const std::vector<ServiceLoad>& loads, const ServiceId& service) {
  return std::any_of(loads.begin(), loads.end(), [&](const ServiceLoad& it) {
    return it.service == service && (it.free_slots + it.running).count() > 0;
  });
}

ClaimKey KeyOf(const ServiceRequest& request) { return ClaimKey{request.team, request.request}; }

Error DuplicateError(const ClaimReply& reply) {
  Error error{ErrorKind::kDuplicateRequest,
              "a request with this Idempotency-Key was accepted before",
              "check with the service how it ended; use a new key for new work",
              reply.done ? RunState::kDone : RunState::kUnknown, std::nullopt};
  return error;
}

}  // namespace

RequestExecutor::RequestExecutor(Settings settings, Parts parts)
    : settings_(std::move(settings)), parts_(std::move(parts)) {}

TaskId RequestExecutor::NewTaskId() {
  char buf[17];
  std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(parts_.random()));
  return TaskId("r-" + std::string(buf));
}

void RequestExecutor::Submit(ServiceRequest request, AnswerCallback answer) {
  const TaskId task = NewTaskId();
  const MonotonicTime now = parts_.clock();
  Pending pending;
  pending.item.task = task;
  pending.item.team = request.team;
  pending.item.service = request.service;
  pending.item.urgent = request.urgent;
  pending.item.arrived = now;
  pending.item.deadline = now + request.timeout;
  pending.request = std::move(request);
  pending.answer = std::move(answer);
  const Pending& stored = pending_.emplace(task, std::move(pending)).first->second;
  if (auto peer = ForwardTarget(stored.request)) return Forward(task, *peer);
  Enqueue(task);
}

std::optional<MemberRecord> RequestExecutor::ForwardTarget(const ServiceRequest& request) {
  if (request.hops_left < 1) return std::nullopt;
  if (auto peer = PeerWithCapacity(request)) return peer;
  if (request.hops_left < 2) return std::nullopt;
  return RemoteNode(request.service);
}

bool RequestExecutor::OwnsWorkerOf(const ServiceId& service) const {
  return HasSlots(parts_.registry.Loads(parts_.config.config(), parts_.clock()), service);
}

bool RequestExecutor::IsServedHere(const ServiceId& service) const {
  if (OwnsWorkerOf(service)) return true;
  const auto peers = parts_.membership.LocalPeers(parts_.clock());
  return std::any_of(peers.begin(), peers.end(),
                     [&](const PeerReport& peer) { return HasSlots(peer.loads, service); });
}

std::optional<MemberRecord> RequestExecutor::RemoteNode(const ServiceId& service) {
  if (IsServedHere(service)) return std::nullopt;
  const auto serving = parts_.registry.ServingDataCentres(service, parts_.config.config());
  std::vector<MemberRecord> candidates;
  for (const NodeId& node : parts_.membership.LiveNodes(parts_.clock())) {
    auto member = parts_.membership.Find(node);
    const bool elsewhere = member && member->data_centre != settings_.data_centre;
    if (elsewhere && serving.contains(member->data_centre)) {
      candidates.push_back(std::move(*member));
    }
  }
  if (candidates.empty()) return std::nullopt;
  return candidates[parts_.random() % candidates.size()];
}

void RequestExecutor::ForwardWaiting(MonotonicTime now) {
  if (now < next_forward_) return;
  next_forward_ = now + settings_.forward_interval;
  estimate_.OnLoads(parts_.registry.Loads(parts_.config.config(), now));
  std::vector<std::pair<TaskId, MemberRecord>> to_forward;
  std::vector<TaskId> to_return;
  for (const auto& [task, pending] : pending_) {
    const bool waits =
        pending.phase == Phase::kQueued && now - pending.item.arrived >= settings_.forward_interval;
    if (!waits) continue;
    if (auto peer = ForwardTarget(pending.request)) {
      to_forward.emplace_back(task, std::move(*peer));
    } else if (pending.request.Forwarded() && !OwnsWorkerOf(pending.request.service)) {
      to_return.push_back(task);
    }
    if (to_forward.size() + to_return.size() >= settings_.max_forwards) break;
  }
  for (const auto& [task, peer] : to_forward) {
    if (parts_.scheduler.Remove(task)) Forward(task, peer);
  }
  for (const TaskId& task : to_return) {
    if (parts_.scheduler.Remove(task)) ReturnToForwarder(task);
  }
}

void RequestExecutor::ReturnToForwarder(const TaskId& task) {
  const ServiceRequest& request = pending_.at(task).request;
  Finish(task, NotRun(ErrorKind::kNoCapacity,
                      "node " + settings_.self.str() + " no longer owns a worker of service " +
                          request.service.str(),
                      "send the request again", settings_.retry_after));
}

std::optional<MemberRecord> RequestExecutor::PeerWithCapacity(const ServiceRequest& request) const {
  const MonotonicTime now = parts_.clock();
  const Slots one(1);
  const bool has_free_slot =
      parts_.registry.Choose(request.service, request.team, one, parts_.config.config(), now)
          .has_value();
  if (has_free_slot && parts_.escrow.Free(request.team) >= one) return std::nullopt;
  // Without a worker for the service this node cannot run the request, so any peer that would
  // queue it is better.
  const bool cannot_run_here = !OwnsWorkerOf(request.service);
  const PeerReport* best = nullptr;
  std::int64_t best_free = 0;
  const auto peers = parts_.membership.LocalPeers(now);
  for (const PeerReport& peer : peers) {
    if (peer.leaving) continue;
    for (const ServiceLoad& load : peer.loads) {
      if (load.service != request.service) continue;
      const std::int64_t free = load.free_slots.count() - load.queued;
      const bool can_queue = cannot_run_here && (load.free_slots + load.running).count() > 0;
      if (best == nullptr ? free <= 0 && !can_queue : free <= best_free) continue;
      bool has_tokens = false;
      for (const TeamTokens& it : peer.tokens) {
        has_tokens = has_tokens || (it.team == request.team && it.free_tokens >= one);
      }
      // When no worker here has a free slot, a peer with one may still acquire tokens. When only
      // tokens are missing here, only a peer that has both can start the request at once.
      if (!has_tokens && has_free_slot) continue;
      best = &peer;
      best_free = free;
    }
  }
  return best == nullptr ? std::nullopt : parts_.membership.Find(best->node);
}

void RequestExecutor::Forward(const TaskId& task, const MemberRecord& peer) {
  Pending& pending = pending_.at(task);
  pending.phase = Phase::kForwarded;
  const bool same_data_centre = peer.data_centre == settings_.data_centre;
  pending.peer = peer.node;
  const ServiceRequest& request = pending.request;
  ForwardCall call;
  call.team = request.team;
  call.service = request.service;
  call.request = request.request;
  call.repeatable = request.repeatable;
  call.urgent = request.urgent;
  const Millis left = pending.item.deadline - parts_.clock() - settings_.forward_reserve;
  call.deadline = std::max(Millis(1), left);
  call.body = request.body;
  call.traceparent = request.traceparent;
  call.hops_left = same_data_centre ? 0 : 1;
  parts_.peers.forward(peer.peer_address, std::move(call), [this, task](ForwardReply reply) {
    auto it = pending_.find(task);
    if (it == pending_.end()) return;
    if (!reply.error) {
      return Finish(task,
                    ServiceAnswer{reply.status, reply.content_type, reply.body, reply.replayed});
    }
    // A request that certainly did not run at the peer can still run here.
    const bool may_retry =
        reply.error->run == RunState::kNotRun && reply.error->kind != ErrorKind::kDeadlineExceeded;
    if (may_retry) return Enqueue(task);
    Finish(task, *reply.error);
  });
}

void RequestExecutor::Enqueue(const TaskId& task) {
  Pending& pending = pending_.at(task);
  pending.phase = Phase::kQueued;
  const ServiceRequest& request = pending.request;
  const Millis wait = estimate_.Wait(request.team, request.service, request.urgent,
                                     parts_.scheduler, parts_.config.config());
  const Millis left = pending.item.deadline - parts_.clock();
  // Adds a quarter to the estimates, since they are mean values.
  const Millis needed = (wait + estimate_.RunTime(request.service)) * 5 / 4;
  if (wait.count() > 0 && needed > left) {
    return Finish(task, NotRun(ErrorKind::kOverloaded,
                               "the request would wait for " + std::to_string(wait.count()) +
                                   " ms, longer than its deadline",
                               "retry later or with a longer deadline", wait));
  }
  if (auto queued = parts_.scheduler.Enqueue(pending.item); !queued) {
    Finish(task, queued.error());
  }
}

bool RequestExecutor::TryPlace(const WorkItem& item) {
  auto it = pending_.find(item.task);
  if (it == pending_.end()) return true;
  Pending& pending = it->second;
  // While other requests wait, one that cannot finish in time is not started, so that the worker
  // serves one that can.
  const Millis left = item.deadline - parts_.clock();
  const std::int64_t waiting =
      parts_.scheduler.Queued(item.service, true) + parts_.scheduler.Queued(item.service, false);
  if (waiting > 1 && left < estimate_.RunTime(item.service) * 5 / 4) {
    OnExpired(item);
    return true;
  }
  pending.worker = parts_.running.Begin(item, parts_.config.config());
  if (!pending.worker) return false;
  if (pending.request.repeatable || pending.claimed) {
    StartTask(item.task);
  } else {
    RequestClaim(item.task);
  }
  return true;
}

void RequestExecutor::RequestClaim(const TaskId& task) {
  Pending& pending = pending_.at(task);
  pending.phase = Phase::kClaiming;
  const ClaimKey key = KeyOf(pending.request);
  const NodeId owner = parts_.claims.OwnerOf(key);
  std::function<void(ClaimReply)> done = [this, task](ClaimReply reply) {
    OnClaim(task, std::move(reply));
  };
  if (const auto& observe = parts_.peers.observe_claim) {
    done = observe(pending.request.traceparent, owner != settings_.self, std::move(done));
  }
  if (owner == settings_.self) return parts_.claims.Claim(key, settings_.self, std::move(done));
  const auto member = parts_.membership.Find(owner);
  if (!member) {
    ClaimReply refused;
    refused.message = "no owner of the claim range is known";
    return done(std::move(refused));
  }
  parts_.peers.claim(member->peer_address, key, settings_.self, std::move(done));
}

void RequestExecutor::OnClaim(const TaskId& task, ClaimReply reply) {
  auto it = pending_.find(task);
  const std::string& subject = task.str();
  if (it == pending_.end()) {
    // The deadline passed while the claim was recorded, and the caller was told "not run": the
    // task must not be started.
    parts_.running.End(task, TaskTracker::TaskEnd::kNotRun, subject);
    return;
  }
  Pending& pending = it->second;
  if (reply.verdict == ClaimVerdict::kGranted) {
    pending.claimed = true;
    return StartTask(task);
  }
  parts_.running.End(task, TaskTracker::TaskEnd::kNotRun, subject);
  if (reply.verdict == ClaimVerdict::kDuplicate) {
    if (reply.done && reply.answer) {
      return Finish(task, ServiceAnswer{reply.answer->status, reply.answer->content_type,
                                        reply.answer->body, true});
    }
    return Finish(task, DuplicateError(reply));
  }
  // An uncertain claim may have been recorded, but only this node could start a task under it, and
  // it does not. The claim is not released, because a late release could remove the next claim of
  // the same key.
  Finish(task, NotRun(ErrorKind::kPlatformUnavailable,
                      "the claim of the request could not be recorded: " + reply.message,
                      "retry with the same Idempotency-Key", settings_.retry_after));
}

void RequestExecutor::StartTask(const TaskId& task) {
  Pending& pending = pending_.at(task);
  pending.phase = Phase::kRunning;
  ++pending.attempts;
  pending.started = parts_.clock();
  TaskStart start;
  start.task = task;
  start.vm = pending.worker->info.vm;
  start.address = pending.worker->info.address;
  start.node = settings_.self;
  start.epoch = pending.worker->epoch;
  start.team = pending.request.team;
  start.service = pending.request.service;
  start.body = pending.request.body;
  start.timeout = std::max(Millis(1), pending.item.deadline - parts_.clock());
  start.traceparent = pending.request.traceparent;
  parts_.workers.start(std::move(start),
                       [this, task](TaskStartReply reply) { OnTaskReply(task, std::move(reply)); });
}

void RequestExecutor::OnTaskReply(const TaskId& task, TaskStartReply reply) {
  auto it = pending_.find(task);
  const std::string& subject = task.str();
  using TaskEnd = TaskTracker::TaskEnd;
  if (reply.outcome == TaskStartOutcome::kUnknown) {
    parts_.running.StopAndEnd(task, subject);
  } else {
    const TaskEnd end = reply.outcome == TaskStartOutcome::kDone     ? TaskEnd::kSucceeded
                        : reply.outcome == TaskStartOutcome::kFailed ? TaskEnd::kFailed
                                                                     : TaskEnd::kNotRun;
    parts_.running.End(task, end, subject);
  }
  if (it == pending_.end()) return;
  if (reply.outcome == TaskStartOutcome::kDone) {
    estimate_.OnTaskEnded(it->second.request.service, parts_.clock() - it->second.started);
  }
  switch (reply.outcome) {
    case TaskStartOutcome::kDone:
      return Finish(task, ServiceAnswer{200, reply.content_type, std::move(reply.answer), false});
    case TaskStartOutcome::kFailed: {
      Error error{ErrorKind::kWorkerFailed, "the service failed: " + reply.reason,
                  "correct the request, or send it again if it is repeatable", RunState::kDone,
                  std::nullopt};
      if (it->second.request.repeatable) return Retry(task, error);
      return Finish(task, error);
    }
    case TaskStartOutcome::kNotRun:
      return Retry(task,
                   NotRun(ErrorKind::kNoCapacity, "no worker accepted the task: " + reply.reason,
                          "send the request again later", settings_.retry_after));
    case TaskStartOutcome::kUnknown: {
      const Error error =
          Unknown(ErrorKind::kOutcomeUnknown, "the worker's response was lost: " + reply.reason);
      if (it->second.request.repeatable) return Retry(task, error);
      return Finish(task, error);
    }
  }
}

void RequestExecutor::Retry(const TaskId& task, const Error& last) {
  auto node = pending_.extract(task);
  Pending& pending = node.mapped();
  const bool not_run = last.run == RunState::kNotRun;
  pending.may_have_run = pending.may_have_run || !not_run;
  const bool expired = parts_.clock() >= pending.item.deadline;
  if (expired || (!not_run && pending.attempts >= settings_.max_attempts)) {
    pending_.insert(std::move(node));
    return Finish(task, last);
  }
  // Each attempt has its own id, so that a late reply cannot be mistaken for that of a newer
  // attempt.
  const TaskId next = NewTaskId();
  node.key() = next;
  pending.item.task = next;
  if (not_run) {
    pending.phase = Phase::kBackoff;
    pending.next_try = parts_.clock() + settings_.refusal_backoff;
  }
  pending_.insert(std::move(node));
  if (!not_run) Enqueue(next);
}

void RequestExecutor::OnExpired(const WorkItem& item) {
  if (!pending_.contains(item.task)) return;
  Finish(item.task,
         NotRun(ErrorKind::kDeadlineExceeded,
                "the deadline passed before a worker was free for team " + item.team.str(),
                "send the request again with a longer deadline", settings_.retry_after));
}

std::string RequestExecutor::LateReason(const Pending& pending) const {
  if (pending.phase == Phase::kForwarded) {
    return "the deadline passed before node " + pending.peer.str() + " answered";
  }
  const Millis ran = parts_.clock() - pending.started;
  return "the deadline passed while it was running on " + pending.worker->info.vm.str() + " for " +
         std::to_string(ran.count()) + " ms";
}

void RequestExecutor::Tick(MonotonicTime now) {
  ForwardWaiting(now);
  std::vector<TaskId> late;
  std::vector<TaskId> due;
  for (const auto& [task, pending] : pending_) {
    if (pending.phase == Phase::kBackoff && now >= pending.next_try) due.push_back(task);
    if (pending.phase != Phase::kQueued && now >= pending.item.deadline) late.push_back(task);
  }
  for (const TaskId& task : late) {
    const Phase phase = pending_.at(task).phase;
    if (phase == Phase::kClaiming || phase == Phase::kBackoff) {
      OnExpired(pending_.at(task).item);
      continue;
    }
    // The reply of a running task is still processed and frees the worker's slot.
    Finish(task, Unknown(ErrorKind::kDeadlineExceeded, LateReason(pending_.at(task))));
  }
  for (const TaskId& task : due) {
    if (pending_.contains(task)) Enqueue(task);
  }
}

void RequestExecutor::Finish(const TaskId& task, Result<ServiceAnswer> result) {
  auto node = pending_.extract(task);
  if (node.empty()) return;
  const Pending& pending = node.mapped();
  if (pending.may_have_run && !result && result.error().run == RunState::kNotRun) {
    // Only the last attempt is known not to have run.
    result =
        Unknown(result.error().kind, result.error().message + "; an earlier attempt may have run");
  }
  if (pending.claimed) {
    const ClaimKey key = KeyOf(pending.request);
    if (result.has_value()) {
      const ServiceAnswer& answer = result.value();
      RecordOutcome(key, ClaimOutcome::kDone,
                    CachedResponse{answer.status, answer.content_type, answer.body});
    } else if (result.error().run == RunState::kNotRun) {
      RecordOutcome(key, ClaimOutcome::kReleased, std::nullopt);
    } else if (result.error().run == RunState::kDone) {
      RecordOutcome(key, ClaimOutcome::kDone, std::nullopt);
    }
  }
  pending.answer(std::move(result));
}

void RequestExecutor::RecordOutcome(const ClaimKey& key, ClaimOutcome outcome,
                                    std::optional<CachedResponse> response) {
  const NodeId owner = parts_.claims.OwnerOf(key);
  if (owner == settings_.self) {
    return parts_.claims.RecordOutcome(key, settings_.self, outcome, std::move(response));
  }
  if (const auto member = parts_.membership.Find(owner)) {
    parts_.peers.record_outcome(member->peer_address, key, settings_.self, outcome,
                                std::move(response));
  }
}

}  // namespace sapphirewheel
