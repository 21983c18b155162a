#pragma once

#include <optional>
#include <string>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

// Elects one node at a time as the leader for a role of the fleet (planner, waves). The row
// `leases/<name>` contains the holder and its epoch. It changes only with the holder, so that
// checks of its revision fence every transaction of the leader. The row `leases/<name>/renewal` is
// rewritten by each renewal. All times are of each node's own monotonic clock: an observer takes
// over when it has seen no change for `takeover_delay`, and the holder stops acting
// `lease_duration` after it sent its last successful renewal, which is earlier.
class LeaderLease {
 public:
  struct Settings {
    NodeId self;
    std::string name;
    Millis renew_interval{1000};
    // Long enough to survive three consecutive failed renewals.
    Millis lease_duration{4000};
    // Twice `lease_duration`, so that two nodes cannot act at once as long as the rates of their
    // clocks differ by less than half.
    Millis takeover_delay{8000};
    // Long, because in a larger fleet the nodes together still read the rows often enough.
    Millis observe_interval{2000};
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
  };

  LeaderLease(Settings settings, Hooks hooks);

  // Renews, observes or takes over the lease when due.
  void Tick(MonotonicTime now);

  // Whether this node may act as the leader. Check again before each action with the current time.
  [[nodiscard]] bool Held(MonotonicTime now) const;
  // Epoch of the lease; increases with each holder. Only meaningful while the lease is held.
  [[nodiscard]] Epoch epoch() const noexcept { return epoch_; }
  // Check to add to every transaction of the leader: it fails once the lease has passed to another
  // node.
  [[nodiscard]] RowCheck Fence() const;
  // The latest known holder; empty if there is none.
  [[nodiscard]] const NodeId& holder() const noexcept { return holder_; }

  // Stops acting at once. Call this when the check of Fence() failed in a transaction.
  void OnFenced();
  // Releases the lease and does not take it again; for the drain of this node.
  void Resign();

 private:
  [[nodiscard]] Transaction NewTransaction();
  void Observe();
  void OnRows(const std::vector<Row>& rows, MonotonicTime now);
  void TakeOver(MonotonicTime now);
  void Renew(MonotonicTime now);
  void ReleaseLease(MonotonicTime now);
  void OnLeaseWritten(const TransactResult& result, bool is_takeover, MonotonicTime sent);

  Settings settings_;
  Hooks hooks_;
  RowKey lease_key_;
  RowKey renewal_key_;
  NodeId holder_;
  Epoch epoch_;
  Revision lease_revision_;
  Revision renewal_revision_;
  // Time of the latest tick. Callbacks use it, so that a late reply never extends a time limit.
  MonotonicTime now_{};
  MonotonicTime held_until_{};
  MonotonicTime next_action_{};
  // When the rows were first seen in their current state.
  std::optional<MonotonicTime> unchanged_since_;
  bool known_ = false;
  bool busy_ = false;
  bool resigned_ = false;
};

}  // namespace sapphirewheel
