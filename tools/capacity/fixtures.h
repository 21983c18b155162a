#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "coordination/tests/fake_table.h"
#include "sapphirewheel/coordination/peer_report.h"
#include "sapphirewheel/state/fleet_config.h"
#include "sapphirewheel/state/fleet_view.h"
#include "tools/capacity/series.h"

namespace sapphirewheel::capacity {

using testing::FakeTable;

// The fleet size that the design targets, with an assumed number of daemons.
inline constexpr int kWorkers = 14000;
inline constexpr int kPools = 263;
inline constexpr int kTeams = 260;
inline constexpr int kDataCentres = 9;
inline constexpr int kDaemonsPerDataCentre = 9;
inline constexpr int kDaemons = kDataCentres * kDaemonsPerDataCentre;
// 65,000 configuration changes a day.
inline constexpr double kConfigChangesPerSecond = 65000.0 / 86400.0;
inline constexpr int kVmsPerPool = 53;
// Interval of the daemon's core loop (apps/daemon/src/core_loop.cc).
inline constexpr Millis kCoreTick{20};

// CPU time that this process has used so far, in seconds.
[[nodiscard]] double CpuSeconds();
// Bytes currently allocated on the heap.
[[nodiscard]] double HeapBytes();

// Runs the tasks of the fake table for `length` of virtual time, and calls `tick` after each
// `interval`.
void RunTicks(FakeTable& table, Millis length, Millis interval,
              const std::function<void(MonotonicTime)>& tick);

// Ids with a five-digit number, such as pool-00012.
[[nodiscard]] PoolId PoolName(int n);
[[nodiscard]] TeamId TeamName(int n);
[[nodiscard]] ServiceId ServiceName(int n);
[[nodiscard]] VmId VmName(int n);
// Workers spread over `data_centres`, four to a rack, with 8 slots and 32 cores each.
[[nodiscard]] VmList MakeVms(int n, int data_centres);
[[nodiscard]] std::map<VmId, VmInfo> ById(const VmList& list);
// Assigns VM i to pool i modulo `pools`.
[[nodiscard]] std::map<VmId, VmAssignment> MakeAssignments(int vms, int pools);
// One service per pool, and teams with an upper limit of 200 slots each.
[[nodiscard]] FleetConfig MakeConfig(int pools, int teams, int vms);
// The report of a node that has work of all services and teams.
[[nodiscard]] PeerReport MakeReport(int services, int teams);

}  // namespace sapphirewheel::capacity
