#include <algorithm>
#include <utility>

#include "dispatcher_state.h"

// The leases of backend servers. They are granted as times on the clock of an incarnation, and
// bounded here by the owner's clock.

namespace sapphirewheel {

BackendClock Dispatcher::Impl::NewLeaseEnd(const BackendEntry& backend) const {
  const auto since_read = static_cast<double>((now_ - backend.clock_read_at).count());
  const auto passed = static_cast<std::int64_t>(since_read * (1 - kClockDrift));
  return BackendClock(backend.clock->count() + passed + settings.lease.count());
}

bool Dispatcher::Impl::IsByOtherClock(const BackendEntry& backend, BackendClock until) const {
  return until.count() > NewLeaseEnd(backend).count() + kLeaseSlack.count();
}

void Dispatcher::Impl::ExtendLease(BackendEntry& backend) {
  backend.lease_end = std::max(backend.lease_end, now_ + LeaseBound());
}

// Records the lease that an order granted, by the backend server's clock in its reply.
void Dispatcher::Impl::RecordLease(BackendEntry& backend, BackendClock until,
                                   const std::optional<BackendClock>& clock) {
  if (!clock) return;
  const Millis left(until.count() - clock->count());
  backend.lease_end =
      std::max(backend.lease_end, now_ + LeaseTime(std::min(left, settings.max_lease)));
  if (left <= settings.lease + kLeaseSlack) return;
  // Its clock has restarted, so another incarnation has carried the order out. Orders that are
  // under way may prolong its lease as much, and further ones need its clock.
  MonotonicTime latest = std::max(now_, backend.last_lease_order.value_or(now_) + kOrderDelivery);
  if (backend.last_lease_unanswered) {
    latest = std::max(latest, *backend.last_lease_unanswered + kMaxOrderDelay);
  }
  KeepLongerLease(backend, latest + LeaseTime(settings.max_lease));
  backend.runs_in_unlisted = true;
  backend.has_replied = false;
  backend.clock.reset();
  backend.next_poll = now_;
}

void Dispatcher::Impl::KeepLongerLease(BackendEntry& backend, MonotonicTime end) {
  backend.lease_end = std::max(backend.lease_end, end);
  backend.longer_lease_until = std::max(backend.longer_lease_until, end);
}

void Dispatcher::Impl::MarkRunLost(const BackendEntry& backend, const TaskKey& key,
                                   const std::string& why) {
  const TaskRef ref = FindOn(key, backend);
  Report(DecisionKind::kTaskLost, key.job, key.str(), backend.report.id, ref.task->run, why);
  Requeue(key, ref);
}

void Dispatcher::Impl::MarkRunsLost(BackendEntry& backend, const std::string& why) {
  const std::vector<TaskKey> keys(backend.tasks.begin(), backend.tasks.end());
  for (const TaskKey& key : keys) MarkRunLost(backend, key, why);
  backend.orphans.clear();
}

// The backend server has restarted under the same id, and its end numbers restart too. The lists of
// the new incarnation show which runs are gone, as some may already have been started there.
void Dispatcher::Impl::HandleRestart(BackendEntry& backend, UnixMillis started_at) {
  Report(DecisionKind::kBackendGone, JobId(), "", backend.report.id, RunNumber(),
         "restarted, start time " + std::to_string(started_at.count()));
  backend.report.started_at = started_at;
  backend.start_changed_at = now_;
  backend.has_replied = false;
  backend.clock.reset();
  backend.ends_seen = backend.ends_acknowledged = backend.ends_ack_sent = 0;
  backend.unacknowledged.clear();
  backend.next_poll = now_;
  ExpectLateStarts(backend);
}

// Until `latest` the backend server may receive a lease until `until`, which is a time of another
// incarnation's clock.
void Dispatcher::Impl::ExpectLongerLease(BackendEntry& backend, MonotonicTime latest,
                                         BackendClock until) const {
  const Millis left(until.count() - backend.clock->count());
  if (left <= settings.lease) return;
  const MonotonicTime end =
      std::min(now_ + LeaseTime(left), std::max(now_, latest) + LeaseTime(settings.max_lease));
  KeepLongerLease(backend, end);
  // What is placed then may run for the usual lease, at least until the longer one is over.
  backend.unusable_until = std::max(backend.unusable_until, end - LeaseBound());
}

void Dispatcher::Impl::RecordClock(BackendEntry& backend, const PollReply& reply) {
  // Until this poll an earlier owner may have extended the lease.
  const auto pending = roster_pending.find(backend.report.id);
  if (pending != roster_pending.end()) {
    const MonotonicTime longest = now_ + LeaseTime(settings.max_lease);
    backend.lease_end =
        std::max(backend.lease_end, std::min(longest, *pending->second.runs_end_by));
  }
  const bool restarted =
      backend.listed_incarnation && *backend.listed_incarnation != reply.started_at;
  backend.listed_incarnation = reply.started_at;
  backend.clock = reply.clock;
  backend.clock_read_at = now_;
  backend.runs_in_unlisted = false;
  if (!restarted) return;
  const auto longest = std::exchange(backend.longest_lease, std::nullopt);
  if (!longest) return;
  const MonotonicTime started = now_ - LeaseTime(Millis(reply.clock.count()));
  // An order with a reply has reached it only if it was sent since it has started.
  if (backend.last_lease_order && *backend.last_lease_order + kOrderDelivery > started) {
    ExpectLongerLease(backend, *backend.last_lease_order + kOrderDelivery, *longest);
  }
  const auto unanswered = backend.last_lease_unanswered;
  if (unanswered && *unanswered + kMaxOrderDelay > started) {
    // One that was given up before may have waited for it, and then has been carried out by now.
    const MonotonicTime latest = *unanswered > started ? *unanswered + kMaxOrderDelay : now_;
    ExpectLongerLease(backend, latest, *longest);
  }
}

void Dispatcher::Impl::RecordLeaseOrder(BackendEntry& backend, BackendClock until) {
  backend.last_lease_order = now_;
  backend.longest_lease = std::max(backend.longest_lease.value_or(until), until);
  ExtendLease(backend);
}

// An order that extends the lease to `until` had no reply.
void Dispatcher::Impl::RecordUnansweredLease(BackendEntry& backend,
                                             const std::optional<BackendClock>& until) {
  if (!until) return;
  backend.last_lease_unanswered = now_;
  if (backend.runs_in_unlisted) {
    KeepLongerLease(backend, now_ + LongestLeaseBound(kMaxOrderDelay));
  }
  if (!backend.clock) return;
  if (IsByOtherClock(backend, *until)) {
    ExpectLongerLease(backend, now_ + kMaxOrderDelay, *until);
  }
}

std::string Dispatcher::Impl::DescribeIncarnation(const BackendEntry& backend) const {
  std::string text = "start time " + std::to_string(backend.report.started_at.count());
  if (!backend.clock) return text + ", clock not known";
  return text + ", clock " + std::to_string(backend.clock->count()) + " read " +
         std::to_string((now_ - backend.clock_read_at).count()) + " ms ago";
}

std::string Dispatcher::Impl::DescribeLease(const BackendEntry& backend) const {
  const auto age = [this](MonotonicTime at) { return std::to_string((now_ - at).count()); };
  std::string text = DescribeIncarnation(backend);
  if (backend.last_lease_order) {
    text += ", last extended " + age(*backend.last_lease_order) + " ms ago";
  }
  if (backend.last_lease_unanswered) {
    text += ", last without a reply " + age(*backend.last_lease_unanswered) + " ms ago";
  }
  return text + ", ended " + age(backend.lease_end) + " ms ago";
}

}  // namespace sapphirewheel
