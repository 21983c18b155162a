#include "sapphirewheel/coordination/fleet_lease.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

// A node id consists of the VM id, a '#' and the incarnation of the process.
std::string VmOf(const NodeId& node) { return node.str().substr(0, node.str().find('#')); }

constexpr int kFullCapability = 100;
// A change of owner interrupts the placement of work, so small differences do not justify one.
constexpr int kMinCapabilityGain = 25;
// Interval of requests for the ownership by one node; a request is refused if it meets a renewal.
constexpr Millis kRequestInterval{1000};
// Time by which other nodes let the successor that a released row names claim it first.
constexpr Millis kSuccessorTime{500};
// Time for the holder to renew after an outage of the table service; it retries more often.
constexpr Millis kRenewalAfterOutage{400};

}  // namespace

std::string OwnerRow::Encode() const {
  boost::json::object row;
  row["holder"] = holder.str();
  row["token"] = static_cast<std::int64_t>(token.count());
  row["started"] = started.count();
  if (released) row["released"] = true;
  if (loads_failed != 0) row["loads_failed"] = loads_failed;
  if (capability != kFullCapability) row["capability"] = capability;
  if (!successor.empty()) row["successor"] = successor.str();
  return boost::json::serialize(row);
}

Result<OwnerRow> OwnerRow::Decode(std::string_view text) {
  constexpr std::int64_t kMaxToken = std::int64_t{1} << 53;
  BOOST_OUTCOME_TRY(const boost::json::object object, ParseObject(text));
  OwnerRow row;
  BOOST_OUTCOME_TRY(const std::string holder, RequireText(object, "holder"));
  BOOST_OUTCOME_TRY(const std::int64_t token, RequireInt(object, "token", 0, kMaxToken));
  row.holder = NodeId(holder);
  row.token = Epoch(static_cast<std::uint64_t>(token));
  row.released = BoolField(object, "released");
  row.started = UnixMillis(IntField(object, "started"));
  constexpr std::int64_t kMaxLoadsFailed = 1000;
  const std::int64_t loads_failed = IntField(object, "loads_failed");
  row.loads_failed = static_cast<int>(std::clamp<std::int64_t>(loads_failed, 0, kMaxLoadsFailed));
  if (object.contains("capability")) {
    BOOST_OUTCOME_TRY(const std::int64_t capability,
                      RequireInt(object, "capability", 0, kFullCapability));
    row.capability = static_cast<int>(capability);
  }
  if (object.contains("successor")) {
    BOOST_OUTCOME_TRY(const std::string successor, RequireText(object, "successor"));
    row.successor = NodeId(successor);
  }
  return row;
}

void FleetLease::Observe(const std::optional<OwnerRow>& row, Revision revision, MonotonicTime now) {
  if (std::exchange(unreadable_, false)) readable_since_ = now;
  if (ever_observed_ && revision < revision_) return;
  if (!ever_observed_ || revision != revision_) revision_seen_at_ = now;
  if (row && row_ && row->token == row_->token) {
    renewal_seen_ = renewal_seen_ || revision != revision_;
  } else {
    token_seen_at_ = now;
    renewal_seen_ = false;
  }
  observed_ = true;
  ever_observed_ = true;
  revision_ = revision;
  row_ = row;
  if (owner_ && (!row_ || row_->holder != settings_.self || row_->released)) EndOwnership();
}

MonotonicTime FleetLease::ClaimableAt(Millis store_delay) const {
  if (!row_) return revision_seen_at_ + settings_.claim_delay;
  if (row_->released) {
    if (row_->successor == settings_.self) return revision_seen_at_;
    Millis delay = settings_.started > row_->started ? Millis(0) : settings_.older_node_delay;
    if (!row_->successor.empty()) delay = kSuccessorTime;
    return revision_seen_at_ + delay + settings_.claim_delay;
  }
  // A VM runs only one process of the daemon, so an earlier one has ended. A row with this node's
  // own id is a claim whose reply was lost.
  if (VmOf(row_->holder) == VmOf(settings_.self)) return revision_seen_at_ + settings_.claim_delay;
  // The delays of a renewal, of reading it here, and of a repeated renewal.
  constexpr int kStoreDelays = 3;
  return std::max(revision_seen_at_ + settings_.lease, readable_since_ + kRenewalAfterOutage) +
         settings_.takeover_margin + settings_.claim_delay + kStoreDelays * store_delay;
}

std::optional<FleetLease::Write> FleetLease::Claim(MonotonicTime now, Millis store_delay) {
  if (!observed_ || owner_ || claiming_ || now < back_off_until_ ||
      now < ClaimableAt(store_delay)) {
    return std::nullopt;
  }
  claiming_ = true;
  const std::uint64_t token = row_ ? row_->token.count() + 1 : 1;
  const int loads_failed = (row_ ? row_->loads_failed : 0) + 1;
  const OwnerRow row{settings_.self, Epoch(token),         false,   settings_.started,
                     loads_failed,   settings_.capability, NodeId()};
  return Write{row, revision_};
}

std::optional<FleetLease::Write> FleetLease::Request(MonotonicTime now) {
  if (!observed_ || owner_ || claiming_ || !row_ || now < next_request_) return std::nullopt;
  if (row_->released || !row_->successor.empty() || now < back_off_until_) return std::nullopt;
  if (settings_.capability < row_->capability + kMinCapabilityGain) return std::nullopt;
  // A request changes the revision, so it would delay the takeover from a holder that has failed.
  const bool alive = renewal_seen_ && now < revision_seen_at_ + 2 * settings_.renew_interval;
  const MonotonicTime due = token_seen_at_ + settings_.takeover_margin + settings_.claim_delay;
  if (!alive || now < due) return std::nullopt;
  claiming_ = true;
  next_request_ = now + kRequestInterval;
  Write write{*row_, revision_};
  write.row.successor = settings_.self;
  return write;
}

void FleetLease::OnRequestWritten(const OwnerRow& row, Revision revision, MonotonicTime now) {
  claiming_ = false;
  Observe(row, revision, now);
}

bool FleetLease::RenewalDue(MonotonicTime now) const {
  return owner_ && now >= renewed_at_ + settings_.renew_interval;
}

FleetLease::Write FleetLease::Renewal() const { return Write{*row_, revision_}; }

FleetLease::Write FleetLease::Release() const {
  Write write{*row_, revision_};
  write.row.released = true;
  return write;
}

void FleetLease::OnWriteSucceeded(const OwnerRow& row, Revision revision, MonotonicTime sent) {
  claiming_ = false;
  row_ = row;
  revision_ = revision;
  revision_seen_at_ = sent;
  renewed_at_ = sent;
  valid_until_ = sent + settings_.lease;
  if (row.released) {
    EndOwnership();
    return;
  }
  // Copies of an earlier permit of this node must not be prolonged.
  if (!owner_) permit_ = OrderPermit(row.token, valid_until_);
  owner_ = true;
  permit_.SetEnd(valid_until_);
}

void FleetLease::EndOwnership() {
  owner_ = false;
  permit_.SetEnd(MonotonicTime());
}

void FleetLease::OnWriteFailed() {
  claiming_ = false;
  observed_ = observed_ && owner_;
}

void FleetLease::MarkLoaded() {
  if (row_) row_->loads_failed = 0;
}

void FleetLease::StepDown() {
  EndOwnership();
  claiming_ = false;
  observed_ = false;
}

}  // namespace sapphirewheel
