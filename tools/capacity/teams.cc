#include <memory>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/fair_scheduler.h"
#include "sapphirewheel/coordination/token_escrow.h"
#include "tools/capacity/fixtures.h"
#include "tools/capacity/roles.h"

namespace sapphirewheel::capacity {
namespace {

constexpr int kSeconds = 40;
constexpr int kStepsPerSecond = 10;

// Demand of a team at one node, in slots: 10 for 5 s of every 20 s, otherwise 1.
std::int64_t DemandSlots(int team, std::int64_t step) {
  const std::int64_t second = step / kStepsPerSecond + team * 7;
  return second % 20 < 5 ? 10 : 1;
}

struct Rates {
  double cpu_percent = 0;
  double reads = 0;
  double writes = 0;
};

Rates RunEscrow(FakeTable& table, TokenEscrow& escrow, int teams, bool busy) {
  std::vector<std::int64_t> taken(static_cast<std::size_t>(teams));
  const std::int64_t reads = table.row_reads();
  const std::int64_t writes = table.row_writes();
  const double start = CpuSeconds();
  std::int64_t tick = 0;
  RunTicks(table, Millis(kSeconds * 1000), kCoreTick, [&](MonotonicTime now) {
    escrow.Tick(now);
    if (!busy || ++tick % 5 != 0) return;
    for (int i = 0; i < teams; ++i) {
      std::int64_t& slots = taken[static_cast<std::size_t>(i)];
      const std::int64_t wanted = DemandSlots(i, tick / 5);
      while (slots < wanted && escrow.TryTake(TeamName(i), Slots(1))) ++slots;
      for (; slots > wanted; --slots) escrow.Release(TeamName(i), Slots(1));
    }
  });
  return {(CpuSeconds() - start) / kSeconds * 100,
          static_cast<double>(table.row_reads() - reads) / kSeconds,
          static_cast<double>(table.row_writes() - writes) / kSeconds};
}

std::vector<double> MeasureEscrow(std::uint64_t seed, double size) {
  const int teams = static_cast<int>(size);
  FakeTable table(seed);
  TokenEscrow::Settings settings;
  settings.self = NodeId("entry-1#1");
  const double heap = HeapBytes();
  TokenEscrow escrow(settings,
                     {table.Hooks(), table.random(), table.clock(), [](const TeamId&) {}});
  escrow.OnConfig(MakeConfig(5, teams, 50));
  RunTicks(table, Millis(2000), kCoreTick, [&](MonotonicTime now) { escrow.Tick(now); });
  // Includes the rows of the fake table.
  const double memory = (HeapBytes() - heap) / size;
  const Rates idle = RunEscrow(table, escrow, teams, false);
  const Rates busy = RunEscrow(table, escrow, teams, true);
  return {idle.cpu_percent, idle.reads, busy.cpu_percent, busy.reads, busy.writes, memory};
}

std::vector<double> MeasureScheduler(double size) {
  const int teams = static_cast<int>(size);
  constexpr int kItemsPerTeam = 20;
  FairScheduler scheduler({});
  scheduler.OnConfig(MakeConfig(kPools, teams, kWorkers));
  const double heap = HeapBytes();
  MonotonicTime now{Millis(1000)};
  const double enqueue_start = CpuSeconds();
  int items = 0;
  for (int team = 0; team < teams; ++team) {
    for (int i = 0; i < kItemsPerTeam; ++i) {
      WorkItem item;
      item.task = TaskId("task-" + std::to_string(items++));
      item.team = TeamName(team);
      item.service = ServiceName((team + i % 2) % kPools);
      item.urgent = i % 10 == 0;
      item.arrived = now;
      static_cast<void>(scheduler.Enqueue(item).has_value());
    }
  }
  const double enqueue = (CpuSeconds() - enqueue_start) / items;
  const double memory = (HeapBytes() - heap) / items;
  const auto no_slots = [](const ServiceId&) { return Slots(0); };
  constexpr int kRejectedPasses = 20;
  const double rejected_start = CpuSeconds();
  for (int i = 0; i < kRejectedPasses; ++i) {
    static_cast<void>(scheduler.Dispatch([](const WorkItem&) { return false; }, no_slots, now));
  }
  const double rejected = (CpuSeconds() - rejected_start) / kRejectedPasses;
  const double place_start = CpuSeconds();
  const auto placed = scheduler.Dispatch([](const WorkItem&) { return true; },
                                         [](const ServiceId&) { return Slots(1000); }, now);
  const double place = (CpuSeconds() - place_start) / static_cast<double>(placed);
  return {enqueue * 1e6, place * 1e6, rejected * 1e3, memory};
}

}  // namespace

std::vector<Series> MeasureTeams(std::uint64_t seed) {
  return {
      MeasureSeries("TokenEscrow: one node, idle, then with peaks of every team", "teams", kTeams,
                    {"CPU % idle", "row reads/s idle", "CPU % busy", "row reads/s busy",
                     "row writes/s busy", "heap bytes/team"},
                    {6, 60, 260}, [seed](double x) { return MeasureEscrow(seed, x); }),
      MeasureSeries("FairScheduler: 20 waiting items a team", "teams", kTeams,
                    {"CPU µs/enqueue", "CPU µs/placed item", "CPU ms/pass when nothing fits",
                     "heap bytes/item"},
                    {6, 60, 260}, MeasureScheduler),
  };
}

}  // namespace sapphirewheel::capacity
