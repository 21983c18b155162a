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

// Answers how many tasks run on a VM. The answer must come from the VM's owner after it has applied
// the draining phase, so that zero stays zero; nothing while that is not known.
using RunningTasks = std::function<void(VmId, std::function<void(std::optional<std::int64_t>)>)>;

// Carries moves out: the VM drains (no new work, running tasks end), then its single row changes
// pool. Every step is a transaction over the VM row, the budget rows of both pools and the fence
// of the planner's lease, so each VM is in exactly one pool whoever else writes, and a successor
// sees from the rows what is unfinished.
class VmMover {
 public:
  struct Settings {
    NodeId self;
    // Before the VM's owner is first asked for its tasks. The owner answers only after it has
    // applied the draining phase, so this only spares calls.
    Millis settle{500};
    // A VM whose tasks have not ended by then returns to its pool.
    Millis drain_limit{30000};
    Millis poll_interval{500};
    // A VM whose drain did not end is not tried again for so long: long jobs run for minutes, and
    // each try takes the VM out of service.
    Millis retry_drain{300000};
    // A VM that the list lacks for so long has been removed; the list lags by up to 10 s.
    Millis gone_after{60000};
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    RunningTasks running;
    Clock clock;
  };

  VmMover(Settings settings, Hooks hooks);

  void Start(const VmMove& move, MonotonicTime now);
  // Takes the next steps; does nothing and forgets all moves when the lease is not held.
  void Tick(const FleetSnapshot& fleet, LeaderLease& lease, MonotonicTime now);

  [[nodiscard]] std::map<VmId, PoolId> Moving() const;
  // VMs whose tasks did not end lately: not to be drained again soon.
  [[nodiscard]] std::set<VmId> HeldBack(MonotonicTime now) const;
  // Moves between pools that were completed; without first assignments and returns after a drain
  // that did not end.
  [[nodiscard]] std::uint64_t completed() const noexcept { return completed_; }

 private:
  struct Work {
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
  void AskRunning(const VmId& vm, Work& work);
  void BeginStep(const VmId& vm, Work& work, const FleetSnapshot& fleet, LeaderLease& lease);
  using OnRead = void (VmMover::*)(Step, const std::vector<Row>&, LeaderLease&);
  void Read(std::vector<RowKey> keys, Step step, LeaderLease& lease, OnRead next);
  void OnBudgets(Step step, const std::vector<Row>& rows, LeaderLease& lease);
  void OnRows(Step step, const std::vector<Row>& rows, LeaderLease& lease);
  [[nodiscard]] bool Decide(Step& step, Work& work, const VmAssignment& row);
  [[nodiscard]] bool DecideActive(Step& step, const Work& work, const VmAssignment& row);
  void Commit(Step step, LeaderLease& lease);
  void OnCommitted(const Step& step, Work& work);

  Settings settings_;
  Hooks hooks_;
  std::uint64_t completed_ = 0;
  MonotonicTime next_search_{};
  std::map<VmId, Work> work_;
  std::map<VmId, MonotonicTime> absent_since_;
  std::map<VmId, MonotonicTime> held_back_until_;
};

}  // namespace sapphirewheel
