#pragma once

#include <string>

#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/table.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel::schema {

// Tables in the platform's table service. Section 3 of docs/design.md names the writer of each.
inline constexpr const char* kConfig = "config";
inline constexpr const char* kConfigHead = "config_head";
inline constexpr const char* kPlans = "plans";
inline constexpr const char* kMembers = "members";
inline constexpr const char* kVms = "vms";
inline constexpr const char* kQuota = "quota";
inline constexpr const char* kRanges = "ranges";
inline constexpr const char* kClaims = "claims";
inline constexpr const char* kJobs = "jobs";
inline constexpr const char* kJobIndex = "job_index";
inline constexpr const char* kWaves = "waves";
inline constexpr const char* kBudgets = "budgets";
inline constexpr const char* kLeases = "leases";

// Returns the decimal number padded to 20 digits, so that keys sort in numeric order.
[[nodiscard]] std::string PaddedNumber(std::uint64_t n);

[[nodiscard]] RowKey ConfigHead();
[[nodiscard]] RowKey ConfigRow(ConfigVersion version);
// Names the newest configuration snapshot in the object store.
[[nodiscard]] RowKey ConfigSnapshotRow();
[[nodiscard]] RowKey PlanRow(const PlanId& plan);
[[nodiscard]] RowKey MemberRow(const NodeId& node);
[[nodiscard]] RowKey VmRow(const VmId& vm);
// Free tokens of a team.
[[nodiscard]] RowKey QuotaFree(const TeamId& team);
// Tokens of a team held by a node.
[[nodiscard]] RowKey QuotaHeld(const TeamId& team, const NodeId& node);
[[nodiscard]] RowKey RangeRow(int range);
[[nodiscard]] RowKey ClaimRow(int range, Epoch epoch, std::uint64_t sequence);
[[nodiscard]] RowKey JobRow(const JobId& job);
[[nodiscard]] RowKey JobIndexRow(const NodeId& holder, const JobId& job);
[[nodiscard]] RowKey WaveRow(const WaveId& wave);
[[nodiscard]] RowKey BudgetRow(const PoolId& pool);
[[nodiscard]] RowKey LeaseRow(const std::string& name);

// Returns the first key after all keys with a prefix, as the end of a scan.
[[nodiscard]] std::string PrefixEnd(std::string prefix);

}  // namespace sapphirewheel::schema
