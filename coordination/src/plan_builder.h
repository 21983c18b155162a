#pragma once

#include <map>
#include <string>

#include "sapphirewheel/coordination/intent_planner.h"

namespace sapphirewheel {

// What a plan is computed from.
struct PlanInput {
  const FleetConfig& config;
  const FleetInventory& facts;
  // The VM of a vm-pool change, read from its row; an empty id for other changes.
  VmAssignment vm;
};

// Refuses mistakes in a change: invalid ids and figures, unknown teams, pools, keys, VMs and waves,
// and actions that do not fit the present state. Errors: kInvalidArgument, kNotFound, kConflict.
[[nodiscard]] Result<void> CheckChange(const ConfigChange& change, const PlanInput& input);

// Versions of the entities that a plan for the change depends on; 0 for those that do not exist.
[[nodiscard]] std::map<std::string, ConfigVersion> BasisOf(const ConfigChange& change,
                                                           const FleetConfig& config);
// Name in a basis of the row of a VM.
[[nodiscard]] std::string VmBasisName(const VmId& vm);

// Fills in the sentences, cost, budgets and duration of a plan whose change is set and valid.
void DescribePlan(Plan& plan, const PlanInput& input);

// Slots that each team gets when the fleet is full: by share of the total, at most its upper limit;
// what a limit leaves over goes to the other teams by share.
[[nodiscard]] std::map<TeamId, double> Entitlements(const std::map<TeamId, TeamChange>& teams,
                                                    double total_slots);

}  // namespace sapphirewheel
