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

// Cost of a plan in the four measures by which users compare plans.
struct PlanCost {
  // Idle core-seconds per hour held in reserve for peaks.
  double buffer_core_seconds_per_hour = 0;
  Millis roll_out{0};
  std::int64_t vm_moves = 0;
  // Change of each team's entitlement in a full fleet, in slots.
  std::map<TeamId, double> entitlement_change;
};

// What an intent would change. A plan is confirmed as a whole or not at all.
struct Plan {
  PlanId id;
  PlanState state = PlanState::kPending;
  ConfigChange change;
  // Descriptions of the changes for people, one sentence each.
  std::vector<std::string> changes;
  PlanCost cost;
  // Pools whose availability budget the plan uses or changes.
  std::vector<PoolId> budgets;
  // Expected time until the change is complete.
  Millis duration{0};
  // Configuration version that the plan was computed on, and the versions of the entities that it
  // depends on. For a vm-pool change `basis` also holds the revision of the VM's row, under the
  // name "vms/<vm>".
  ConfigVersion ground;
  std::map<std::string, ConfigVersion> basis;
  // Configuration version of the confirmed change.
  ConfigVersion confirmed_version;
  // The bearer token of a granted key; only in the reply to the first plan, never stored.
  std::string token;
  Revision revision;
};

[[nodiscard]] std::string EncodePlan(const Plan& plan);
[[nodiscard]] Result<Plan> DecodePlan(std::string_view text);

// The VMs and their assignments, from which plans and their costs are computed.
struct FleetInventory {
  VmList vms;
  std::map<VmId, VmAssignment> assignments;
};

// Turns intents into plans and confirms plans. Plans are stored in table `plans`, so any daemon can
// confirm a plan that another one made.
class IntentPlanner {
 public:
  struct Hooks {
    TableHooks table;
    RandomSource random;
    std::function<FleetInventory()> inventory;
  };
  using PlanCallback = std::function<void(Result<Plan>)>;

  // `log` must outlive the planner, and the planner must outlive its pending calls.
  IntentPlanner(Hooks hooks, ConfigLog& log);

  // Checks the change against the configuration, stores the plan and returns it. Errors:
  // kInvalidArgument, kNotFound (unknown team, pool, key, VM or wave), kPlatformUnavailable.
  void MakePlan(ConfigChange change, PlanCallback done);
  void GetPlan(const PlanId& plan, PlanCallback done);
  // Confirms a plan. Confirming it again returns the same result. Errors: kNotFound, kPlanOutdated
  // (`fresh` then holds a new plan for the same change), kPlatformUnavailable, kOutcomeUnknown.
  using ConfirmCallback = std::function<void(Result<Plan>, std::optional<Plan> fresh)>;
  void Confirm(const PlanId& plan, ConfirmCallback done);

 private:
  // Assignment of the VM of a vm-pool change; the revision is 0 when it has no row.
  using VmRowCallback = std::function<void(Result<VmAssignment>)>;

  void ReadVm(const VmId& vm, VmRowCallback done);
  void BuildAndStore(ConfigChange change, const VmAssignment& vm, PlanCallback done);
  void Store(const Plan& plan, const Transaction& transaction, int sends, PlanCallback done);
  void Append(const Plan& plan, ConfirmCallback done);
  // Handles a refused confirmation: returns the result of a concurrent confirmation if there was
  // one, or else makes a new plan for the operator.
  void OnOutdated(const Plan& plan, const Error& reason, ConfirmCallback done);

  Hooks hooks_;
  ConfigLog& log_;
};

}  // namespace sapphirewheel
