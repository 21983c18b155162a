#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// The row that names the node which places work and orders maintenance.
struct OwnerRow {
  NodeId holder;
  // Fencing token; grows with each new holder.
  Epoch token;
  // The holder gave the ownership up in a planned stop.
  bool released = false;
  // Time of day at which the holder's process started.
  UnixMillis started;

  [[nodiscard]] std::string Encode() const;
  // Errors: kInvalidArgument.
  [[nodiscard]] static Result<OwnerRow> Decode(std::string_view text);
};

// Decides when this node may take the ownership and until when it may act as owner. A holder acts
// for the lease time after it sent its last successful renewal; another node takes over when it saw
// the same revision for longer than that, measured on its own clock, by a write that requires this
// revision. So two nodes never act at once, however their clocks differ.
class FleetLease {
 public:
  struct Settings {
    NodeId self;
    // Time for which a renewal entitles the holder to act.
    Millis lease{3000};
    Millis renew_interval{1000};
    // Added to the lease before another node takes over.
    Millis takeover_margin{300};
    // Time of day at which this process started.
    UnixMillis started;
    // After a release, nodes that started before the last holder let the others go first: in a
    // rolling restart they are stopped next.
    Millis older_node_delay{150};
    // Added to every claim, so that VMs with more processors and a faster link go first.
    Millis claim_delay{0};
  };
  // A conditional write of the row that the caller makes at the table service.
  struct Write {
    OwnerRow row;
    Revision expected;
  };

  explicit FleetLease(Settings settings) : settings_(std::move(settings)) {}

  // The row as read at the table service; an absent row has revision 0.
  void Observe(const std::optional<OwnerRow>& row, Revision revision, MonotonicTime now);

  // The write by which this node takes over, when it is due. One at a time. `store_delay` is how
  // late the table service's answers are, so that a holder's renewal is not missed while it is
  // slow.
  [[nodiscard]] std::optional<Write> Claim(MonotonicTime now, Millis store_delay = Millis(0));
  // The write by which the owner renews, when it is due.
  [[nodiscard]] bool RenewalDue(MonotonicTime now) const;
  [[nodiscard]] Write Renewal() const;
  // The write by which the owner gives up.
  [[nodiscard]] Write Release() const;

  // A claim or renewal that was sent at `sent` succeeded with a new revision.
  void OnWriteSucceeded(const OwnerRow& row, Revision revision, MonotonicTime sent);
  // A claim or renewal was refused or its outcome is unknown. The row has to be read again.
  void OnWriteFailed();
  // Another owner was met; this node acts no more.
  void StepDown();

  [[nodiscard]] bool owner() const noexcept { return owner_; }
  // Whether orders may be given now.
  [[nodiscard]] bool MayAct(MonotonicTime now) const noexcept {
    return owner_ && now < valid_until_;
  }
  [[nodiscard]] Epoch token() const noexcept { return row_ ? row_->token : Epoch(); }
  [[nodiscard]] Revision revision() const noexcept { return revision_; }
  [[nodiscard]] const std::optional<OwnerRow>& row() const noexcept { return row_; }

 private:
  [[nodiscard]] MonotonicTime ClaimableAt(Millis store_delay) const;

  Settings settings_;
  std::optional<OwnerRow> row_;
  Revision revision_;
  // The row was read since the last claim or renewal that did not succeed.
  bool observed_ = false;
  bool ever_observed_ = false;
  bool claiming_ = false;
  bool owner_ = false;
  // When the present revision was first seen.
  MonotonicTime revision_seen_at_;
  MonotonicTime renewed_at_;
  MonotonicTime valid_until_;
};

}  // namespace sapphirewheel
