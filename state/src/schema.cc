#include "sapphirewheel/state/schema.h"

#include <cstdio>

namespace sapphirewheel::schema {

std::string PaddedNumber(std::uint64_t n) {
  std::string digits = std::to_string(n);
  constexpr std::size_t kDigits = 20;
  return std::string(kDigits - digits.size(), '0') + digits;
}

RowKey ConfigHead() { return {kConfigHead, "head"}; }

RowKey ConfigRow(ConfigVersion version) { return {kConfig, PaddedNumber(version.count())}; }

RowKey ConfigSnapshotRow() { return {kConfig, "snapshot"}; }

RowKey PlanRow(const PlanId& plan) { return {kPlans, plan.str()}; }

RowKey MemberRow(const NodeId& node) { return {kMembers, node.str()}; }

RowKey VmRow(const VmId& vm) { return {kVms, vm.str()}; }

RowKey QuotaFree(const TeamId& team) { return {kQuota, team.str()}; }

RowKey QuotaHeld(const TeamId& team, const NodeId& node) {
  return {kQuota, team.str() + "/" + node.str()};
}

RowKey RangeRow(int range) { return {kRanges, PaddedNumber(static_cast<std::uint64_t>(range))}; }

RowKey ClaimRow(int range, Epoch epoch, std::uint64_t sequence) {
  return {kClaims, PaddedNumber(static_cast<std::uint64_t>(range)) + "/" +
                       PaddedNumber(epoch.count()) + "/" + PaddedNumber(sequence)};
}

RowKey JobRow(const JobId& job) { return {kJobs, job.str()}; }

RowKey JobIndexRow(const NodeId& holder, const JobId& job) {
  return {kJobIndex, holder.str() + "/" + job.str()};
}

RowKey WaveRow(const WaveId& wave) { return {kWaves, wave.str()}; }

RowKey BudgetRow(const PoolId& pool) { return {kBudgets, pool.str()}; }

RowKey LeaseRow(const std::string& name) { return {kLeases, name}; }

std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) prefix.pop_back();
  if (!prefix.empty()) prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

}  // namespace sapphirewheel::schema
