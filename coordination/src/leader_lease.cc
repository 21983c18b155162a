#include "sapphirewheel/coordination/leader_lease.h"

#include <boost/json/serialize.hpp>

#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

std::string EncodeLease(const NodeId& holder, Epoch epoch) {
  return boost::json::serialize(boost::json::object{
      {"holder", holder.str()}, {"epoch", static_cast<std::int64_t>(epoch.count())}});
}

}  // namespace

LeaderLease::LeaderLease(Settings settings, Hooks hooks)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      lease_key_(schema::LeaseRow(settings_.name)),
      renewal_key_(schema::LeaseRow(settings_.name + "/renewal")) {}

bool LeaderLease::Held(MonotonicTime now) const {
  return !resigned_ && holder_ == settings_.self && now < held_until_;
}

RowCheck LeaderLease::Fence() const { return {lease_key_, lease_revision_}; }

void LeaderLease::OnFenced() {
  held_until_ = {};
  known_ = false;
  next_action_ = {};
}

void LeaderLease::Resign() {
  resigned_ = true;
  next_action_ = {};
}

void LeaderLease::Tick(MonotonicTime now) {
  now_ = now;
  if (known_ && !unchanged_since_) unchanged_since_ = now;
  if (busy_ || now < next_action_) return;
  const bool own = known_ && holder_ == settings_.self;
  next_action_ = now + (own ? settings_.renew_interval : settings_.observe_interval);
  if (!known_) {
    Observe();
  } else if (own) {
    resigned_ ? ReleaseLease(now) : Renew(now);
  } else if (!resigned_) {
    const bool expired = unchanged_since_ && now >= *unchanged_since_ + settings_.takeover_delay;
    expired || holder_.empty() ? TakeOver(now) : Observe();
  }
}

Transaction LeaderLease::NewTransaction() {
  Transaction transaction;
  transaction.attempt =
      AttemptId(settings_.self.str() + "/" + settings_.name + "/" +
                schema::PaddedNumber(hooks_.random()) + schema::PaddedNumber(hooks_.random()));
  transaction.checks.push_back({lease_key_, lease_revision_});
  return transaction;
}

void LeaderLease::Observe() {
  busy_ = true;
  hooks_.table.read({lease_key_, renewal_key_}, [this](Result<std::vector<Row>> rows) {
    busy_ = false;
    if (rows && rows.value().size() == 2) OnRows(rows.value(), now_);
  });
}

void LeaderLease::OnRows(const std::vector<Row>& rows, MonotonicTime now) {
  const bool changed = !known_ || !unchanged_since_ || rows[0].revision != lease_revision_ ||
                       rows[1].revision != renewal_revision_;
  known_ = true;
  lease_revision_ = rows[0].revision;
  renewal_revision_ = rows[1].revision;
  holder_ = NodeId();
  auto object = ParseObject(rows[0].value);
  if (object) {
    holder_ = NodeId(TextField(object.value(), "holder"));
    epoch_ = Epoch(static_cast<std::uint64_t>(IntField(object.value(), "epoch")));
  }
  if (changed) {
    // Set by the next tick: the reply may be delivered late, after a pause, so that the time of the
    // latest tick would be too early.
    unchanged_since_.reset();
    // No need to wait if the lease is free, or if an earlier uncertain transaction of this node won
    // it.
    if (holder_.empty() || holder_ == settings_.self) next_action_ = now;
  }
}

void LeaderLease::TakeOver(MonotonicTime now) {
  Transaction transaction = NewTransaction();
  // A renewal in the meantime makes this transaction conflict.
  transaction.checks.push_back({renewal_key_, renewal_revision_});
  const Epoch next(epoch_.count() + 1);
  transaction.writes.push_back({lease_key_, EncodeLease(settings_.self, next)});
  transaction.writes.push_back({renewal_key_, EncodeLease(settings_.self, next)});
  busy_ = true;
  hooks_.table.transact(std::move(transaction), [this, now](const TransactResult& result) {
    OnLeaseWritten(result, true, now);
  });
}

void LeaderLease::Renew(MonotonicTime now) {
  Transaction transaction = NewTransaction();
  transaction.writes.push_back({renewal_key_, EncodeLease(settings_.self, epoch_)});
  busy_ = true;
  hooks_.table.transact(std::move(transaction), [this, now](const TransactResult& result) {
    OnLeaseWritten(result, false, now);
  });
}

void LeaderLease::ReleaseLease(MonotonicTime) {
  held_until_ = {};
  Transaction transaction = NewTransaction();
  transaction.writes.push_back({lease_key_, EncodeLease(NodeId(), epoch_)});
  busy_ = true;
  hooks_.table.transact(std::move(transaction), [this](const TransactResult& result) {
    busy_ = false;
    if (result.outcome == TransactOutcome::kCommitted) holder_ = NodeId();
    if (result.outcome == TransactOutcome::kConflict) known_ = false;
  });
}

void LeaderLease::OnLeaseWritten(const TransactResult& result, bool is_takeover,
                                 MonotonicTime sent) {
  busy_ = false;
  switch (result.outcome) {
    case TransactOutcome::kCommitted:
      if (is_takeover) {
        epoch_ = Epoch(epoch_.count() + 1);
        lease_revision_ = result.revision;
        holder_ = settings_.self;
      }
      renewal_revision_ = result.revision;
      held_until_ = sent + settings_.lease_duration;
      next_action_ = sent + settings_.renew_interval;
      break;
    case TransactOutcome::kConflict:
      // Another node holds the lease, or an earlier attempt of this node won it; reading the rows
      // shows which.
      OnFenced();
      break;
    case TransactOutcome::kUnavailable:
      break;
    case TransactOutcome::kUncertain:
      // An uncertain renewal can only have changed the renewal row.
      if (is_takeover) OnFenced();
      break;
  }
}

}  // namespace sapphirewheel
