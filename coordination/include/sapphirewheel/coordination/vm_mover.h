#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/leader_lease.h"
#include "sapphirewheel/coordination/pool_planner.h"

namespace sapphirewheel {

// Passes the number of tasks that run on a VM to the callback, or nullopt while it is unknown. The
// count must come from the VM's owner after it has applied the draining phase, so that a count of
// zero stays zero.
using CountRunningTasks =
    std::function<void(VmId, std::function<void(std::optional<std::int64_t>)>)>;

// Moves VMs between pools: the VM drains (it gets no new tasks and its running tasks end), then the
// pool in its row changes. Every step is a transaction over the VM row, the budget rows of both
// pools and the fence of the planner's lease. Each VM is therefore in exactly one pool whatever
// other writers do, and the next holder of the lease finds unfinished moves in the rows.
class VmMover {
 public:
  struct Settings {
    NodeId self;
    // Delay before the VM's owner is first queried for its running tasks. The owner replies only
    // after it has applied the draining phase, so the delay only saves calls.
    Millis settle{500};
    // A VM whose tasks have not ended within this time returns to its pool.
    Millis drain_timeout{30000};
    Millis poll_interval{500};
    // A VM whose drain timed out is not drained again for this long: long jobs run for minutes, and
    // each attempt takes the VM out of service.
    Millis drain_retry_delay{300000};
    // A VM that is absent from the VM list for this long counts as removed; the list lags by up to
    // 10 s.
    Millis removal_timeout{60000};
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    CountRunningTasks count_running;
    Clock clock;
  };

  VmMover(Settings settings, Hooks hooks);

  void Start(const VmMove& move, MonotonicTime now);
  // Starts the steps that are due. Without the lease it drops all moves and does nothing else.
  void Tick(const FleetSnapshot& fleet, LeaderLease& lease, MonotonicTime now);

  [[nodiscard]] std::map<VmId, PoolId> Moving() const;
  // VMs whose last drain timed out and that must not be drained again yet.
  [[nodiscard]] std::set<VmId> InDrainBackoff(MonotonicTime now) const;
  // Number of completed moves between pools. First assignments and returns after a drain that timed
  // out do not count.
  [[nodiscard]] std::uint64_t completed() const noexcept { return completed_; }

 private:
  struct MoveState {
    VmMove move;
    // Returns the VM to active service in its pool.
    bool cancel = false;
    // Deletes the row of a VM that was removed.
    bool remove = false;
    bool busy = false;
    bool drained = false;
    std::optional<MonotonicTime> draining_since;
    MonotonicTime next_step{};
    int attempts = 0;
  };
  struct Step;

  void FindUnfinished(const FleetSnapshot& fleet, MonotonicTime now);
  void QueryRunning(const VmId& vm, MoveState& state);
  void StartStep(const VmId& vm, MoveState& state, const FleetSnapshot& fleet, LeaderLease& lease);
  using OnRead = void (VmMover::*)(Step, const std::vector<Row>&, LeaderLease&);
  void Read(std::vector<RowKey> keys, Step step, LeaderLease& lease, OnRead next);
  void OnBudgets(Step step, const std::vector<Row>& rows, LeaderLease& lease);
  void OnRows(Step step, const std::vector<Row>& rows, LeaderLease& lease);
  [[nodiscard]] bool Decide(Step& step, MoveState& state, const VmAssignment& row);
  [[nodiscard]] bool DecideActive(Step& step, const MoveState& state, const VmAssignment& row);
  void Commit(Step step, LeaderLease& lease);
  void OnCommitted(const Step& step, MoveState& state);

  Settings settings_;
  Hooks hooks_;
  std::uint64_t completed_ = 0;
  MonotonicTime next_search_{};
  std::map<VmId, MoveState> moves_;
  std::map<VmId, MonotonicTime> absent_since_;
  std::map<VmId, MonotonicTime> drain_backoff_until_;
};

}  // namespace sapphirewheel
