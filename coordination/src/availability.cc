#include "sapphirewheel/coordination/availability.h"

#include <algorithm>
#include <boost/json/serialize.hpp>

#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

bool AcceptsWork(const VmAssignment& row) {
  return row.phase == AssignmentPhase::kActive && row.wave.empty();
}

PoolMember MakeMember(const VmAssignment& row, const FleetSnapshot& fleet) {
  const auto info = fleet.vms.find(row.vm);
  if (info == fleet.vms.end()) return {RackId(), false, false, row.revision};
  const bool live = info->second.phase == VmPhase::kLive;
  return {info->second.rack, live, live && AcceptsWork(row), row.revision};
}

}  // namespace

std::string EncodeBudget(const BudgetRecord& budget) {
  boost::json::object out;
  for (const auto& [vm, wave] : budget.out) out[vm.str()] = wave.str();
  return boost::json::serialize(boost::json::object{{"out", out}, {"missing", budget.missing}});
}

BudgetRecord DecodeBudget(const std::string& text, Revision revision) {
  BudgetRecord budget;
  budget.revision = revision;
  auto object = ParseObject(text);
  if (!object) return budget;
  budget.missing = IntField(object.value(), "missing");
  const auto* out = object.value().if_contains("out");
  if (out == nullptr || !out->is_object()) return budget;
  for (const auto& entry : out->as_object()) {
    if (!entry.value().is_string()) continue;
    budget.out[VmId(std::string(entry.key()))] =
        WaveId(std::string(entry.value().as_string().c_str()));
  }
  return budget;
}

std::map<PoolId, PoolMembers> MembersByPool(const FleetSnapshot& fleet) {
  std::map<PoolId, PoolMembers> pools;
  for (const auto& [vm, row] : fleet.assignments) {
    pools[row.pool].emplace(vm, MakeMember(row, fleet));
  }
  return pools;
}

PoolMembers MembersOf(const PoolId& pool, const FleetSnapshot& fleet) {
  PoolMembers members;
  for (const auto& [vm, row] : fleet.assignments) {
    if (row.pool == pool) members.emplace(vm, MakeMember(row, fleet));
  }
  return members;
}

std::vector<RowKey> MemberKeys(const PoolMembers& members) {
  std::vector<RowKey> keys;
  keys.reserve(members.size());
  for (const auto& [vm, member] : members) keys.push_back(schema::VmRow(vm));
  return keys;
}

void RefreshMembers(const PoolId& pool, PoolMembers& members, const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    const auto it = members.find(VmId(row.key.key));
    if (row.key.table != schema::kVms || it == members.end()) continue;
    const VmAssignment current = DecodeAssignment(it->first, row.value, row.revision);
    if (current.pool != pool) {
      members.erase(it);
      continue;
    }
    it->second.serving = it->second.live && AcceptsWork(current);
    it->second.revision = row.revision;
  }
}

PoolOutage CountOutage(const PoolChange& pool, const PoolMembers& members,
                       const BudgetRecord& budget) {
  PoolOutage outage;
  outage.assigned = static_cast<std::int64_t>(members.size());
  const auto add = [&](const RackId& rack) {
    ++outage.out;
    // A member that is absent from the VM list has no rack here and counts only for the pool: a VM
    // that no longer exists cannot worsen the spread over racks.
    if (!rack.empty()) ++outage.out_by_rack[rack];
  };
  for (const auto& [vm, member] : members) {
    const bool listed = budget.out.contains(vm) && member.revision <= budget.revision;
    if (!member.serving || listed) add(member.rack);
  }
  for (const auto& [vm, wave] : budget.out) {
    if (members.contains(vm)) continue;
    ++outage.out;
    ++outage.out_of_unknown_rack;
  }
  const std::int64_t below = std::max<std::int64_t>(0, pool.size - outage.assigned);
  if (!pool.spare) outage.out += std::clamp<std::int64_t>(budget.missing, 0, below);
  return outage;
}

bool PruneBudget(const PoolId& pool, BudgetRecord& budget, const FleetSnapshot& fleet) {
  const auto outdated = [&](const auto& entry) {
    const auto it = fleet.assignments.find(entry.first);
    if (it == fleet.assignments.end() || it->second.revision <= budget.revision) return false;
    return it->second.pool != pool || AcceptsWork(it->second);
  };
  return std::erase_if(budget.out, outdated) > 0;
}

bool BudgetAllows(const PoolChange& pool, const PoolOutage& outage, const RackId& rack) {
  const auto it = outage.out_by_rack.find(rack);
  const std::int64_t in_rack =
      outage.out_of_unknown_rack + (it == outage.out_by_rack.end() ? 0 : it->second);
  return outage.out < pool.max_out && in_rack < pool.max_out_per_rack;
}

}  // namespace sapphirewheel
