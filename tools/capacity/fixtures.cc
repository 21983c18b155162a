#include "tools/capacity/fixtures.h"

#include <malloc.h>

#include <ctime>

namespace sapphirewheel::capacity {
namespace {

std::string NumberedName(const char* prefix, int n) {
  std::string digits = std::to_string(n);
  digits.insert(0, digits.size() < 5 ? 5 - digits.size() : 0, '0');
  return prefix + digits;
}

}  // namespace

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

void RunTicks(FakeTable& table, Millis length, Millis interval,
              const std::function<void(MonotonicTime)>& tick) {
  const MonotonicTime end = table.now() + length;
  while (table.now() < end) {
    table.RunFor(interval);
    tick(table.now());
  }
}

PoolId PoolName(int n) { return PoolId(NumberedName("pool-", n)); }
TeamId TeamName(int n) { return TeamId(NumberedName("team-", n)); }
ServiceId ServiceName(int n) { return ServiceId(NumberedName("service-", n)); }
VmId VmName(int n) { return VmId(NumberedName("vm-", n)); }

VmList MakeVms(int n, int data_centres) {
  VmList list;
  list.vms.reserve(static_cast<std::size_t>(n));
  for (int i = 0; i < n; ++i) {
    VmInfo info;
    info.vm = VmName(i);
    info.data_centre = DataCentreId("dc" + std::to_string(i % data_centres + 1));
    info.rack = RackId(NumberedName("rack-", i / 4));
    info.address = "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8080";
    info.slots = Slots(8);
    info.cores = 32;
    info.memory_mb = 65536;
    list.vms.push_back(info);
  }
  return list;
}

std::map<VmId, VmInfo> ById(const VmList& list) {
  std::map<VmId, VmInfo> vms;
  for (const VmInfo& info : list.vms) vms[info.vm] = info;
  return vms;
}

std::map<VmId, VmAssignment> MakeAssignments(int vms, int pools) {
  std::map<VmId, VmAssignment> rows;
  for (int i = 0; i < vms; ++i) {
    VmAssignment& row = rows[VmName(i)];
    row.vm = VmName(i);
    row.pool = PoolName(i % pools);
  }
  return rows;
}

FleetConfig MakeConfig(int pools, int teams, int vms) {
  FleetConfig config;
  config.version = ConfigVersion(1);
  for (int i = 0; i < pools; ++i) {
    PoolChange pool;
    pool.pool = PoolName(i);
    pool.services = {ServiceName(i)};
    pool.size = vms / pools;
    pool.max_out = 3;
    pool.max_out_per_rack = 2;
    config.pools[pool.pool] = pool;
  }
  for (int i = 0; i < teams; ++i) {
    config.teams[TeamName(i)] = {TeamName(i), Share(1 + i % 4), Slots(200)};
  }
  return config;
}

PeerReport MakeReport(int services, int teams) {
  PeerReport report;
  for (int i = 0; i < services; ++i) {
    report.loads.push_back({ServiceName(i), Slots(4), Slots(12), 3, 1});
  }
  for (int i = 0; i < teams; ++i) report.tokens.push_back({TeamName(i), Slots(5)});
  return report;
}

}  // namespace sapphirewheel::capacity
