#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/config_log.h"
#include "sapphirewheel/state/fleet_view.h"

namespace sapphirewheel {

enum class PlanState { kPending, kConfirmed };

// Cost of a plan in the four measures that users compare.
struct PlanCost {
  // Idle core-seconds an hour held against peaks.
  double buffer_core_seconds_per_hour = 0;
  Millis roll_out{0};
  std::int64_t vm_moves = 0;
  // Change of each team's entitlement when the fleet is full, in slots.
  std::map<TeamId, double> entitlement_change;
};

// The answer to an intent. It is confirmed as a whole or not at all.
struct Plan {
  PlanId id;
  PlanState state = PlanState::kPending;
  ConfigChange change;
  // What will change, one plain sentence each.
  std::vector<std::string> changes;
  PlanCost cost;
  // Pools whose availability budget the plan touches.
  std::vector<PoolId> budgets;
  // Expected time until the outcome is reached.
  Millis duration{0};
  // Configuration version the plan was computed on, and the versions of the entities it reads. A
  // vm-pool change also holds the revision of the VM's row, under the name "vms/<vm>".
  ConfigVersion ground;
  std::map<std::string, ConfigVersion> basis;
  // Version of the confirmed change.
  ConfigVersion confirmed_version;
  // The bearer token of a granted key; only in the answer to the first plan, never stored.
  std::string token;
  Revision revision;
};

[[nodiscard]] std::string EncodePlan(const Plan& plan);
[[nodiscard]] Result<Plan> DecodePlan(std::string_view text);

// What the planner reads of the fleet to compute costs.
struct FleetInventory {
  VmList vms;
  std::map<VmId, VmAssignment> assignments;
};

// Turns intents into plans and confirms them. Plans are rows in table `plans`, so any daemon can
// confirm a plan that another one made.
class IntentPlanner {
 public:
  struct Hooks {
    TableHooks table;
    RandomSource random;
    std::function<FleetInventory()> inventory;
  };
  using PlanCallback = std::function<void(Result<Plan>)>;

  // `log` must outlive the planner, and the planner its calls that are under way.
  IntentPlanner(Hooks hooks, ConfigLog& log);

  // Checks the change against the configuration, stores the plan and answers it. Errors:
  // kInvalidArgument, kNotFound (unknown team, pool, key, VM or wave), kPlatformUnavailable.
  void MakePlan(ConfigChange change, PlanCallback done);
  void GetPlan(const PlanId& plan, PlanCallback done);
  // Confirms a plan. Confirming again answers the same result. Errors: kNotFound, kPlanOutdated
  // (`fresh` then holds a new plan for the same change), kPlatformUnavailable, kOutcomeUnknown.
  using ConfirmCallback = std::function<void(Result<Plan>, std::optional<Plan> fresh)>;
  void Confirm(const PlanId& plan, ConfirmCallback done);

 private:
  // Revision of the VM's row that a vm-pool change reads; absent rows have revision 0.
  using VmRowCallback = std::function<void(Result<VmAssignment>)>;

  void ReadVm(const VmId& vm, VmRowCallback done);
  void BuildAndStore(ConfigChange change, const VmAssignment& vm, PlanCallback done);
  void Store(const Plan& plan, const Transaction& transaction, int sends, PlanCallback done);
  void Append(const Plan& plan, ConfirmCallback done);
  // Settles a refused confirmation: another one may have won, else the operator gets a new plan.
  void OnOutdated(const Plan& plan, const Error& reason, ConfirmCallback done);

  Hooks hooks_;
  ConfigLog& log_;
};

}  // namespace sapphirewheel
