#pragma once

#include <optional>
#include <string>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

// Gives a duty (planner, waves) to one node at a time. Two rows: `leases/<duty>` names the holder
// and its epoch and changes only with the holder, so that its revision fences every transaction of
// the duty; `leases/<duty>/renewal` is rewritten by each renewal. Times are those of each node's
// own monotonic clock: an observer takes over after it has seen no change for `takeover`, and the
// holder stops acting `hold` after it sent its last successful renewal, which is sooner.
class LeaderLease {
 public:
  struct Settings {
    NodeId self;
    std::string name;
    Millis renew_interval{1000};
    // Three failed renewals in a row are survived.
    Millis hold{4000};
    // Twice `hold`, so that clocks whose rates differ by less than half cannot overlap.
    Millis takeover{8000};
    // A larger fleet reads the row often enough in sum; one node need not.
    Millis observe_interval{2000};
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
  };

  LeaderLease(Settings settings, Hooks hooks);

  // Renews, observes or takes over when that is due.
  void Tick(MonotonicTime now);

  // Whether this node may act for the duty. Ask again before each action with a current time.
  [[nodiscard]] bool Held(MonotonicTime now) const;
  // Number of the holding; grows with each holder. Only meaningful while held.
  [[nodiscard]] Epoch epoch() const noexcept { return epoch_; }
  // Part of every transaction of the holder: it conflicts when the duty has passed to another node.
  [[nodiscard]] RowCheck Fence() const;
  // The latest known holder; empty when there is none.
  [[nodiscard]] const NodeId& holder() const noexcept { return holder_; }

  // A transaction with the fence found another revision: stops acting at once.
  void OnFenced();
  // Gives the duty up, and does not take it again; for the drain of this node.
  void Resign();

 private:
  [[nodiscard]] Transaction Begin();
  void Observe();
  void OnRows(const std::vector<Row>& rows, MonotonicTime now);
  void TakeOver(MonotonicTime now);
  void Renew(MonotonicTime now);
  void GiveUp(MonotonicTime now);
  void OnWritten(const TransactResult& result, bool takes_over, MonotonicTime asked);

  Settings settings_;
  Hooks hooks_;
  RowKey lease_key_;
  RowKey renewal_key_;
  NodeId holder_;
  Epoch epoch_;
  Revision lease_revision_;
  Revision renewal_revision_;
  // Time of the latest tick; callbacks use it, so that a late answer never extends anything.
  MonotonicTime now_{};
  MonotonicTime held_until_{};
  MonotonicTime next_action_{};
  // Since when the rows are seen as they are now.
  std::optional<MonotonicTime> unchanged_since_;
  bool known_ = false;
  bool busy_ = false;
  bool resigned_ = false;
};

}  // namespace sapphirewheel
