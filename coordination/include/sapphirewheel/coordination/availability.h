#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sapphirewheel/state/fleet_config.h"
#include "sapphirewheel/state/fleet_view.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

// The fleet as this node currently knows it: the configuration, the platform's VM list and the VM
// rows.
struct FleetSnapshot {
  const FleetConfig& config;
  const std::map<VmId, VmInfo>& vms;
  const std::map<VmId, VmAssignment>& assignments;
};

// The availability budget in use by a pool, stored in table `budgets`. Each transaction that takes
// a VM out of service or returns it also writes this row, so that waves and moves together cannot
// exceed the budget.
struct BudgetRecord {
  // VMs that waves or moves have taken out of service, with the wave (empty for a move).
  std::map<VmId, WaveId> out;
  // VMs that the pool has given to other pools or lost, below its target size, and that have not
  // been replaced yet.
  std::int64_t missing = 0;
  Revision revision;
};

[[nodiscard]] std::string EncodeBudget(const BudgetRecord& budget);
// Returns an empty record when the text is empty or not valid.
[[nodiscard]] BudgetRecord DecodeBudget(const std::string& text, Revision revision);

// A VM of a pool.
struct PoolMember {
  RackId rack;
  // In the VM list and not leaving.
  bool live = false;
  // Live, and its row allows new tasks.
  bool serving = false;
  // Revision of its row.
  Revision revision;
};
using PoolMembers = std::map<VmId, PoolMember>;
[[nodiscard]] std::map<PoolId, PoolMembers> MembersByPool(const FleetSnapshot& fleet);
[[nodiscard]] PoolMembers MembersOf(const PoolId& pool, const FleetSnapshot& fleet);
// MemberKeys returns the keys of the members' rows; RefreshMembers updates the members from these
// rows. When the rows are read after the pool's budget row, and the transaction checks the revision
// of the budget row, no move or wave can have changed the members in between.
[[nodiscard]] std::vector<RowKey> MemberKeys(const PoolMembers& members);
void RefreshMembers(const PoolId& pool, PoolMembers& members, const std::vector<Row>& rows);

// VMs of a pool that are out of service for any reason.
struct PoolOutage {
  std::int64_t assigned = 0;
  // VMs that are taken out, not live in the VM list, or missing below the target size.
  std::int64_t out = 0;
  std::map<RackId, std::int64_t> out_by_rack;
  // VMs out of service whose rack is unknown; counted in every rack.
  std::int64_t out_of_unknown_rack = 0;
};

// Counts the VMs out of service. The members may be older than the budget row, so a VM that the
// budget row lists counts as out unless the VM's own row is newer.
[[nodiscard]] PoolOutage CountOutage(const PoolChange& pool, const PoolMembers& members,
                                     const BudgetRecord& budget);

// Removes listed VMs whose own, newer rows show them in another pool or in service, because an
// operator's change of a VM's pool does not write budget rows. Returns whether any were removed.
bool PruneBudget(const PoolId& pool, BudgetRecord& budget, const FleetSnapshot& fleet);

// Whether one more VM of the rack may go out of service.
[[nodiscard]] bool BudgetAllows(const PoolChange& pool, const PoolOutage& outage,
                                const RackId& rack);

}  // namespace sapphirewheel
