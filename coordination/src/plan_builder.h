#pragma once

#include <map>
#include <string>

#include "sapphirewheel/coordination/intent_planner.h"

namespace sapphirewheel {

// The input of a plan.
struct PlanInput {
  const FleetConfig& config;
  const FleetInventory& inventory;
  // The assignment of the VM of a vm-pool change, read from its row; its id is empty for other
  // changes.
  VmAssignment vm;
};

// Validates a change: ids and numbers, the existence of its teams, pools, keys, VMs and waves, and
// whether its action is possible in the current state. Errors: kInvalidArgument, kNotFound,
// kConflict.
[[nodiscard]] Result<void> CheckChange(const ConfigChange& change, const PlanInput& input);

// Returns the versions of the entities that a plan for the change depends on; 0 for entities that
// do not exist.
[[nodiscard]] std::map<std::string, ConfigVersion> BasisOf(const ConfigChange& change,
                                                           const FleetConfig& config);
// Name of a VM's row in a basis.
[[nodiscard]] std::string VmBasisName(const VmId& vm);

// Sets the descriptions, cost, budgets and duration of a plan whose change is set and valid.
void DescribePlan(Plan& plan, const PlanInput& input);

// Returns the slots that each team gets in a full fleet. The slots are divided in proportion to the
// shares, up to each team's upper limit; slots that a limit leaves over are divided among the other
// teams in the same way.
[[nodiscard]] std::map<TeamId, double> Entitlements(const std::map<TeamId, TeamChange>& teams,
                                                    double total_slots);

}  // namespace sapphirewheel
