#include <algorithm>
#include <memory>
#include <set>

#include "sapphirewheel/coordination/pool_controller.h"
#include "sapphirewheel/coordination/wave_controller.h"
#include "sapphirewheel/state/schema.h"
#include "tools/capacity/fixtures.h"
#include "tools/capacity/roles.h"

namespace sapphirewheel::capacity {
namespace {

// Tick interval of FleetControllers (apps/daemon/src/fleet_controllers.h).
constexpr Millis kControllerTick{100};

// Workers of one data centre, assigned to pools, with their rows in the table. Each rack has VMs of
// several pools.
struct Fleet {
  FakeTable table;
  FleetConfig config;
  std::map<VmId, VmInfo> vms;
  std::map<VmId, VmAssignment> assignments;
  std::map<VmId, int> boot_counts;
  double cpu_seconds = 0;

  Fleet(std::uint64_t seed, int pools) : table(seed) {
    const int n = pools * kVmsPerPool;
    config = MakeConfig(pools, 6, n);
    vms = ById(MakeVms(n, 1));
    for (const auto& [vm, row] : MakeAssignments(n, pools)) {
      table.Put(schema::VmRow(vm), EncodeAssignment(row));
    }
    for (const auto& [id, pool] : config.pools) {
      table.Put(schema::BudgetRow(id), EncodeBudget(BudgetRecord()));
    }
    ReadAssignments();
  }
  // Excluded from the row reads and the CPU time, because the daemon's scans are accounted for by
  // CountScans and MeasureFleetView.
  void ReadAssignments() {
    for (const auto& [vm, info] : vms) {
      const Row row = table.Get(schema::VmRow(vm));
      VmAssignment& known = assignments[vm];
      if (row.revision != known.revision) known = DecodeAssignment(vm, row.value, row.revision);
    }
  }
  // Runs a controller and counts its row reads, row writes and CPU time. Assignments are read every
  // 2 s.
  void Run(Millis length, const std::function<void(MonotonicTime)>& tick) {
    std::int64_t n = 0;
    RunTicks(table, length, kControllerTick, [&](MonotonicTime now) {
      if (n++ % 20 == 0) ReadAssignments();
      const double start = CpuSeconds();
      tick(now);
      cpu_seconds += CpuSeconds() - start;
    });
  }
};

std::vector<double> MeasurePlanner(std::uint64_t seed, double pools) {
  constexpr int kSeconds = 10;
  Fleet fleet(seed, static_cast<int>(pools));
  PoolController::Settings settings;
  settings.self = NodeId("entry-1#1");
  VmMover::Hooks hooks;
  hooks.table = fleet.table.Hooks();
  hooks.random = fleet.table.random();
  hooks.clock = fleet.table.clock();
  hooks.count_running =
      [](const VmId&, const std::function<void(std::optional<std::int64_t>)>& done) { done(0); };
  // Half of the slots of a pool, with 8 slots per VM; the other half is free.
  constexpr Slots kHalfOfPoolSlots(std::int64_t{kVmsPerPool} * 4);
  std::vector<ServiceDemand> demand;
  demand.reserve(static_cast<std::size_t>(pools));
  for (int i = 0; i < static_cast<int>(pools); ++i) {
    demand.push_back({ServiceName(i), Slots(0), kHalfOfPoolSlots, kHalfOfPoolSlots});
  }
  const double heap = HeapBytes();
  PoolController controller(settings, hooks);
  const auto tick = [&](MonotonicTime now) {
    controller.Tick({fleet.config, fleet.vms, fleet.assignments}, demand, {}, now);
  };
  fleet.Run(Millis(12000), tick);
  const double memory = HeapBytes() - heap;
  const std::int64_t reads = fleet.table.row_reads();
  const std::int64_t writes = fleet.table.row_writes();
  fleet.cpu_seconds = 0;
  fleet.Run(Millis(kSeconds * 1000), tick);
  return {fleet.cpu_seconds / kSeconds * 1000,
          fleet.cpu_seconds / kSeconds * 100,
          static_cast<double>(fleet.table.row_reads() - reads) / kSeconds,
          static_cast<double>(fleet.table.row_writes() - writes) / kSeconds,
          memory / 1e6,
          static_cast<double>(controller.mover().completed())};
}

WaveController::Hooks WaveHooks(Fleet& fleet) {
  WaveController::Hooks hooks;
  hooks.table = fleet.table.Hooks();
  hooks.random = fleet.table.random();
  hooks.clock = fleet.table.clock();
  hooks.count_running =
      [](const VmId&, const std::function<void(std::optional<std::int64_t>)>& done) { done(0); };
  hooks.checkpoint = [](const VmId&) {};
  hooks.read_boot_id = [&fleet](const VmId& vm, const std::function<void(std::string)>& done) {
    done("boot-" + std::to_string(fleet.boot_counts[vm]));
  };
  // A reboot takes 30 s.
  hooks.reboot = [&fleet](const VmId& vm) {
    fleet.table.After(Millis(30000), [&fleet, vm] { ++fleet.boot_counts[vm]; });
  };
  hooks.verify = [](const VmId&, const std::function<void(bool)>& done) { done(true); };
  return hooks;
}

std::int64_t CompletedVms(const WaveController& waves) {
  std::int64_t done = 0;
  for (const WaveProgress& wave : waves.Waves()) done += wave.done;
  return done;
}

// Runs maintenance waves over all pools, with at most `pools_per_wave` pools in each wave.
class WaveRun {
 public:
  WaveRun(std::uint64_t seed, int pools, int pools_per_wave) : fleet_(seed, pools) {
    int n = 0;
    for (const auto& [id, pool] : fleet_.config.pools) {
      const WaveId wave("wave-" + std::to_string(n++ / pools_per_wave));
      fleet_.config.waves[wave].pools.push_back(id);
      fleet_.config.entity_versions["wave/" + wave.str()] = ConfigVersion(2);
    }
    fleet_.config.version = ConfigVersion(2);
    WaveController::Settings settings;
    settings.self = NodeId("entry-1#1");
    waves_ = std::make_unique<WaveController>(settings, WaveHooks(fleet_));
  }
  void Run(Millis length) {
    fleet_.Run(length, [this](MonotonicTime now) {
      waves_->Tick({fleet_.config, fleet_.vms, fleet_.assignments}, now);
    });
  }
  [[nodiscard]] Fleet& fleet() noexcept { return fleet_; }
  [[nodiscard]] const WaveController& waves() const noexcept { return *waves_; }

 private:
  Fleet fleet_;
  std::unique_ptr<WaveController> waves_;
};

// Measures from 45 s on, when the first VMs have returned to service.
std::vector<double> MeasureWave(std::uint64_t seed, double pools) {
  constexpr int kSeconds = 30;
  constexpr int kPoolsPerWave = 50;
  WaveRun run(seed, static_cast<int>(pools), kPoolsPerWave);
  const double heap = HeapBytes();
  run.Run(Millis(45000));
  const double memory = HeapBytes() - heap;
  Fleet& fleet = run.fleet();
  const std::int64_t done = CompletedVms(run.waves());
  const std::int64_t reads = fleet.table.row_reads();
  const std::int64_t writes = fleet.table.row_writes();
  fleet.cpu_seconds = 0;
  run.Run(Millis(kSeconds * 1000));
  const auto maintained = static_cast<double>(CompletedVms(run.waves()) - done);
  const double n = std::max(1.0, maintained);
  return {maintained / kSeconds * 3600, static_cast<double>(fleet.table.row_reads() - reads) / n,
          static_cast<double>(fleet.table.row_writes() - writes) / n,
          fleet.cpu_seconds / kSeconds * 100, memory / 1e6};
}

// Measures the first 5 s of one wave over all pools.
std::vector<double> MeasureWaveStart(std::uint64_t seed, double pools) {
  WaveRun run(seed, static_cast<int>(pools), static_cast<int>(pools));
  run.Run(Millis(5000));
  std::int64_t started = 0;
  for (const WaveProgress& wave : run.waves().Waves()) started += wave.todo + wave.under_way;
  return {static_cast<double>(started), static_cast<double>(run.fleet().table.limit_violations())};
}

}  // namespace

std::vector<Series> MeasurePools(std::uint64_t seed) {
  return {MeasureSeries(
      "PoolController (planner and mover): 53 VMs a pool, no peaks; the node that holds the duty",
      "pools", kPools,
      {"CPU ms/plan", "CPU % of a core", "row reads/s", "row writes/s", "heap MB", "moves"},
      {5, 50, 263}, [seed](double pools) { return MeasurePlanner(seed, pools); })};
}

std::vector<Series> MeasureWaves(std::uint64_t seed) {
  std::vector<Series> series = {
      MeasureSeries("WaveController: waves over all pools, at most 50 pools each; the node that "
                    "holds the duty",
                    "pools", kPools,
                    {"VMs maintained/h", "row reads/VM", "row writes/VM", "CPU % of a core",
                     "heap MB (with table rows)"},
                    {5, 50, 263}, [seed](double pools) { return MeasureWave(seed, pools); }),
      MeasureSeries("WaveController: one wave over all pools, first 5 s", "pools", 0,
                    {"VMs of the started wave", "transactions above 200 rows (refused)"},
                    {5, 50, 90, 263},
                    [seed](double pools) { return MeasureWaveStart(seed, pools); }),
  };
  series.at(1).linear = false;
  return series;
}

}  // namespace sapphirewheel::capacity
