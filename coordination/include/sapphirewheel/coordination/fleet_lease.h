#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/coordination/order_permit.h"
#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// The row that names the node that places work and orders maintenance.
struct OwnerRow {
  NodeId holder;
  // Fencing token; increases with each new holder.
  Epoch token;
  // The holder released the ownership in a planned stop.
  bool released = false;
  // Time of day at which the holder's process started.
  UnixMillis started;
  // Number of owners in a row, up to this one, that have not loaded the stored state.
  int loads_failed = 0;
  // Capability of the holder's VM, see FleetLease::Settings.
  int capability = 100;
  // A node on a more capable VM that asked for the ownership; empty if there is none.
  NodeId successor;

  [[nodiscard]] std::string Encode() const;
  // Errors: kInvalidArgument.
  [[nodiscard]] static Result<OwnerRow> Decode(std::string_view text);
};

// Decides when this node may take the ownership and how long it may act as owner. A holder may act
// for the lease time, counted from when it sent its last successful renewal. Another node takes
// over only after it has seen the same revision for longer than that, measured on its own clock,
// and only by a write conditional on this revision. So two nodes never act at the same time,
// however their clocks differ.
//
// A node on a much more capable VM than the holder's asks for the ownership by writing its id into
// the row. The holder then releases the row, and the node that asked claims it first.
class FleetLease {
 public:
  struct Settings {
    NodeId self;
    // Time for which the holder may act after a renewal.
    Millis lease{3000};
    Millis renew_interval{1000};
    // Added to the lease before another node takes over.
    Millis takeover_margin{300};
    // Time of day at which this process started.
    UnixMillis started;
    // After a release, nodes that started before the last holder delay their claim by this, so that
    // others claim first: in a rolling restart the older nodes are stopped next.
    Millis older_node_delay{150};
    // Delay of every claim by this node, so that VMs with more processors and a faster link claim
    // first.
    Millis claim_delay{0};
    // How much of the resources that an owner needs the VM has, in percent, 0 to 100.
    int capability = 100;
  };
  // A conditional write of the row, to be sent to the table service by the caller.
  struct Write {
    OwnerRow row;
    Revision expected;
  };

  explicit FleetLease(Settings settings) : settings_(std::move(settings)) {}

  // Records the row as read from the table service; an absent row has revision 0.
  void Observe(const std::optional<OwnerRow>& row, Revision revision, MonotonicTime now);
  // The row could not be read. Renewals may have failed for the same reason, so the holder gets
  // time to renew when the row can be read again.
  void OnUnreadable() { unreadable_ = true; }

  // The write by which this node takes over, if it is due. Only one claim is open at a time.
  // `store_delay` is the present delay of the table service's replies; it extends the wait, so that
  // a holder's renewal is not missed while the service is slow.
  [[nodiscard]] std::optional<Write> Claim(MonotonicTime now, Millis store_delay = Millis(0));
  // The write by which this node asks the holder for the ownership, if it is due.
  [[nodiscard]] std::optional<Write> Request(MonotonicTime now);
  [[nodiscard]] bool RenewalDue(MonotonicTime now) const;
  // The write by which the owner renews its lease.
  [[nodiscard]] Write Renewal() const;
  // The write by which the owner releases the ownership.
  [[nodiscard]] Write Release() const;

  // A claim, renewal or release that was sent at `sent` succeeded with a new revision.
  void OnWriteSucceeded(const OwnerRow& row, Revision revision, MonotonicTime sent);
  // A claim, request or renewal was refused or its outcome is unknown. The row has to be read again
  // before the next claim or request.
  void OnWriteFailed();
  // A request was written with a new revision.
  void OnRequestWritten(const OwnerRow& row, Revision revision, MonotonicTime now);
  // The owner has loaded the stored state; its next renewal says so.
  void MarkLoaded();
  // This node claims nothing before `until`.
  void BackOff(MonotonicTime until) { back_off_until_ = until; }
  // Another owner was detected; this node stops acting as owner.
  void StepDown();

  [[nodiscard]] bool owner() const noexcept { return owner_; }
  // Whether another node has asked this owner for the ownership.
  [[nodiscard]] bool asked_to_release() const noexcept {
    return owner_ && row_ && !row_->successor.empty();
  }
  // Whether the last renewal is recent enough for orders that the next owner has to learn of.
  [[nodiscard]] bool RenewedRecently(MonotonicTime now) const noexcept {
    return owner_ && now < renewed_at_ + settings_.lease / 2;
  }
  // Whether this node may send orders at `now`.
  [[nodiscard]] bool MayAct(MonotonicTime now) const noexcept {
    return owner_ && now < valid_until_;
  }
  // The permit of the present ownership; it ends with the lease, or with the ownership.
  [[nodiscard]] const OrderPermit& permit() const noexcept { return permit_; }
  [[nodiscard]] Epoch token() const noexcept { return row_ ? row_->token : Epoch(); }
  [[nodiscard]] Revision revision() const noexcept { return revision_; }
  [[nodiscard]] const std::optional<OwnerRow>& row() const noexcept { return row_; }

 private:
  [[nodiscard]] MonotonicTime ClaimableAt(Millis store_delay) const;
  void EndOwnership();

  Settings settings_;
  std::optional<OwnerRow> row_;
  Revision revision_;
  // The row has been read since the last claim or renewal that did not succeed.
  bool observed_ = false;
  bool ever_observed_ = false;
  bool claiming_ = false;
  bool owner_ = false;
  // When the present revision was first seen by this node.
  MonotonicTime revision_seen_at_;
  // Whether the last read of the row failed, and when it could be read again.
  bool unreadable_ = false;
  MonotonicTime readable_since_;
  // When the present token was first seen, and whether it has been renewed since.
  MonotonicTime token_seen_at_;
  bool renewal_seen_ = false;
  MonotonicTime next_request_;
  MonotonicTime renewed_at_;
  MonotonicTime valid_until_;
  MonotonicTime back_off_until_;
  OrderPermit permit_;
};

}  // namespace sapphirewheel
