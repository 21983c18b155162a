#pragma once

#include <map>
#include <vector>

#include "sapphirewheel/coordination/vm_mover.h"

namespace sapphirewheel {

// The planner's duty of one node: takes the lease, plans and moves. Every node runs one; only the
// holder of the lease acts.
class PoolDuty {
 public:
  struct Settings {
    NodeId self;
    PoolPlanner::Settings planner;
    Millis plan_interval{1000};
  };

  PoolDuty(Settings settings, VmMover::Hooks hooks);

  // Call often (every 100 ms); `running` are the slots in use on each VM, as far as known.
  void Tick(const FleetSnapshot& fleet, const std::vector<ServiceDemand>& demand,
            const std::map<VmId, std::int64_t>& running, MonotonicTime now);

  // Gives the duty up; for the drain of this node.
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
  // Holds a complete reading of the budgets of the current holding.
  bool budgets_known_ = false;
  std::map<PoolId, BudgetRecord> budgets_;
};

}  // namespace sapphirewheel
