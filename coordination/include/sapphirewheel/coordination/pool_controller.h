#pragma once

#include <map>
#include <vector>

#include "sapphirewheel/coordination/vm_mover.h"

namespace sapphirewheel {

// Plans and moves VMs between pools on the node that holds the lease `planner`. Every node runs
// one; only the holder of the lease acts.
class PoolController {
 public:
  struct Settings {
    NodeId self;
    PoolPlanner::Settings planner;
    Millis plan_interval{1000};
  };

  PoolController(Settings settings, VmMover::Hooks hooks);

  // To be called about every 100 ms. `running` holds the slots in use on each VM, as far as known.
  void Tick(const FleetSnapshot& fleet, const std::vector<ServiceDemand>& demand,
            const std::map<VmId, std::int64_t>& running, MonotonicTime now);

  // Gives up the lease when this node drains.
  void Resign() { lease_.Resign(); }
  [[nodiscard]] const LeaderLease& lease() const noexcept { return lease_; }
  [[nodiscard]] const VmMover& mover() const noexcept { return mover_; }

 private:
  void ReadBudgets(const std::string& first);
  void PruneBudgets(const FleetSnapshot& fleet);

  Settings settings_;
  VmMover::Hooks hooks_;
  LeaderLease lease_;
  PoolPlanner planner_;
  VmMover mover_;
  MonotonicTime next_plan_{};
  bool reading_ = false;
  // True once all budget rows have been read since this node took the lease.
  bool budgets_known_ = false;
  std::map<PoolId, BudgetRecord> budgets_;
};

}  // namespace sapphirewheel
