#include <algorithm>

#include "dispatcher_state.h"

// Starts without a reply, which a later incarnation of their server may still carry out.

namespace sapphirewheel {

void Dispatcher::Impl::RecordUnansweredStart(BackendEntry& backend, const TaskKey& key,
                                             RunNumber run) const {
  UnansweredStart& start = backend.unanswered_starts[{key, run}];
  start.at = now_;
  start.harmless_in = backend.report.started_at;
  start.not_delivered = false;
}

void Dispatcher::Impl::ExpectLateStarts(BackendEntry& backend) {
  if (backend.unanswered_starts.empty()) return;
  retry_backends.insert(backend.report.id);
  for (const TaskKey& key : backend.tasks) {
    TaskState& task = *FindOn(key, backend).task;
    const bool stopped = task.phase == TaskPhase::kStopping && task.stop_confirmed;
    if (!stopped || !MayStartLate(backend, key, task.run)) continue;
    // The earlier incarnation has confirmed the stop, not the present one.
    task.stop_confirmed = false;
    task.retry_at = now_;
  }
}

bool Dispatcher::Impl::MayStartLate(const BackendEntry& backend, const TaskKey& key,
                                    RunNumber run) const {
  const auto it = backend.unanswered_starts.find({key, run});
  if (it == backend.unanswered_starts.end()) return false;
  return it->second.harmless_in != backend.report.started_at &&
         now_ <= it->second.at + kMaxOrderDelay;
}

void Dispatcher::Impl::RecordStopReply(BackendEntry& backend, const StopOrder& order,
                                       bool done) const {
  const auto it = backend.unanswered_starts.find({order.task, order.run});
  if (it == backend.unanswered_starts.end()) return;
  it->second.stop_in_flight = false;
  it->second.retry_at = now_ + kStopRetry;
  if (done) it->second.harmless_in = backend.report.started_at;
}

bool Dispatcher::Impl::StopLateStarts(BackendEntry& backend) {
  bool open = false;
  for (auto& [run, start] : backend.unanswered_starts) {
    const auto& [key, number] = run;
    if (!MayStartLate(backend, key, number)) continue;
    const TaskRef ref = FindOn(key, backend);
    const bool current = ref && ref.task->backend == &backend && ref.task->run == number;
    if (current) continue;
    open = true;
    // The stop has to reach the present incarnation.
    if (backend.failing || !backend.has_replied) continue;
    if (start.stop_in_flight || now_ < start.retry_at) continue;
    start.stop_in_flight = true;
    Report(DecisionKind::kTaskStopped, key.job, key.str(), backend.report.id, number,
           "its start, without a reply " + std::to_string((now_ - start.at).count()) +
               " ms ago, may reach the new incarnation");
    hooks.stop(StopOrder{backend.report.id, backend.report.address, settings.token, key, number});
  }
  return open;
}

MonotonicTime Dispatcher::Impl::RunEndsBy(const BackendEntry& backend, const TaskKey& key) {
  const TaskState& task = *FindOn(key, backend).task;
  const auto it = backend.unanswered_starts.find({key, task.run});
  if (it == backend.unanswered_starts.end()) {
    if (task.phase != TaskPhase::kStarting || !backend.last_lease_order) return backend.lease_end;
    // It is not known yet which incarnation the start reaches.
    return std::max(backend.lease_end,
                    *backend.last_lease_order + LongestLeaseBound(kOrderDelivery));
  }
  const UnansweredStart& start = it->second;
  const MonotonicTime at = start.at;
  if (start.not_delivered) return backend.lease_end;
  if (task.confirmed_at > at) {
    // What is left are copies that come late. A later incarnation refuses them only when it has
    // been told to.
    if (start.harmless_in == backend.report.started_at) return backend.lease_end;
    return std::max(backend.lease_end, at + LongestLeaseBound(kMaxOrderDelay));
  }
  const bool restarted =
      backend.listed_incarnation && *backend.listed_incarnation != backend.report.started_at;
  const MonotonicTime last = std::max(at, backend.last_lease_order.value_or(at));
  const Millis delivery = restarted ? kMaxOrderDelay : kOrderDelivery;
  return std::max(backend.lease_end, last + LongestLeaseBound(delivery));
}

MonotonicTime Dispatcher::Impl::RunsEndBy(const BackendEntry& backend) {
  MonotonicTime end = backend.lease_end;
  for (const TaskKey& key : backend.tasks) end = std::max(end, RunEndsBy(backend, key));
  return end;
}

// Whether each start there was confirmed by the incarnation whose list is known, so that no other
// one can have runs.
bool Dispatcher::Impl::AllStartsConfirmed(const BackendEntry& backend) {
  if (!backend.has_replied || backend.runs_in_unlisted) return false;
  if (!backend.unanswered_starts.empty() || backend.longer_lease_until > now_) return false;
  return std::none_of(backend.tasks.begin(), backend.tasks.end(), [&](const TaskKey& key) {
    const TaskState& task = *FindOn(key, backend).task;
    // A run that is being stopped may have been ordered so recently that its start has no reply.
    return task.phase == TaskPhase::kStarting || now_ <= task.ordered_at + kOrderDelivery;
  });
}

bool Dispatcher::Impl::MayClose(const BackendEntry& backend) {
  if (!backend.report.draining || !AllStartsConfirmed(backend)) return false;
  return !backend.HasRuns() || RunsEndBy(backend) <= now_ + LeaseBound();
}

void Dispatcher::Impl::RecordVmWithoutServer(BackendEntry& backend, MonotonicTime as_of) {
  for (auto& [run, start] : backend.unanswered_starts) {
    start.not_delivered = start.not_delivered || as_of > start.at + kOrderDelivery;
  }
}

void Dispatcher::Impl::ForgetLateStarts(BackendEntry& backend) const {
  const Millis keep = LongestLeaseBound(kMaxOrderDelay);
  std::erase_if(backend.unanswered_starts,
                [&](const auto& it) { return now_ > it.second.at + keep; });
}

}  // namespace sapphirewheel
