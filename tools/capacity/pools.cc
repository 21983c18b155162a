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

// Interval of FleetControllers (apps/daemon/src/fleet_controllers.h).
constexpr Millis kDutyTick{100};

// Workers of one data centre in pools, with their rows in the table. Pools own whole racks.
struct Fleet {
  FakeTable table;
  FleetConfig config;
  std::map<VmId, VmInfo> vms;
  std::map<VmId, VmAssignment> rows;
  std::map<VmId, int> boots;
  double processor_seconds = 0;

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
    ReadRows();
  }
  // Without the counters and the processor time of the daemon's scans, which are counted apart.
  void ReadRows() {
    for (const auto& [vm, info] : vms) {
      const Row row = table.Get(schema::VmRow(vm));
      VmAssignment& known = rows[vm];
      if (row.revision != known.revision) known = DecodeAssignment(vm, row.value, row.revision);
    }
  }
  // Runs a duty; its row reads, row writes and processor time are counted. Rows are read each 2 s.
  void Run(Millis length, const std::function<void(MonotonicTime)>& tick) {
    std::int64_t n = 0;
    RunTicks(table, length, kDutyTick, [&](MonotonicTime now) {
      if (n++ % 20 == 0) ReadRows();
      const double start = CpuSeconds();
      tick(now);
      processor_seconds += CpuSeconds() - start;
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
  // Half of the slots of a pool.
  constexpr Slots kHalf(std::int64_t{kVmsPerPool} * 4);
  std::vector<ServiceDemand> demand;
  demand.reserve(static_cast<std::size_t>(pools));
  for (int i = 0; i < static_cast<int>(pools); ++i) {
    demand.push_back({ServiceName(i), Slots(0), kHalf, kHalf});
  }
  const double heap = HeapBytes();
  PoolController duty(settings, hooks);
  const auto tick = [&](MonotonicTime now) {
    duty.Tick({fleet.config, fleet.vms, fleet.rows}, demand, {}, now);
  };
  fleet.Run(Millis(12000), tick);
  const double memory = HeapBytes() - heap;
  const std::int64_t reads = fleet.table.row_reads();
  const std::int64_t writes = fleet.table.row_writes();
  fleet.processor_seconds = 0;
  fleet.Run(Millis(kSeconds * 1000), tick);
  return {fleet.processor_seconds / kSeconds * 1000,
          fleet.processor_seconds / kSeconds * 100,
          static_cast<double>(fleet.table.row_reads() - reads) / kSeconds,
          static_cast<double>(fleet.table.row_writes() - writes) / kSeconds,
          memory / 1e6,
          static_cast<double>(duty.mover().completed())};
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
    done("boot-" + std::to_string(fleet.boots[vm]));
  };
  // Reboots take 30 s.
  hooks.reboot = [&fleet](const VmId& vm) {
    fleet.table.After(Millis(30000), [&fleet, vm] { ++fleet.boots[vm]; });
  };
  hooks.verify = [](const VmId&, const std::function<void(bool)>& done) { done(true); };
  return hooks;
}

std::int64_t DoneVms(const WaveController& waves) {
  std::int64_t done = 0;
  for (const WaveProgress& wave : waves.Waves()) done += wave.done;
  return done;
}

// Waves over all pools, each over at most `pools_per_wave` of them.
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
      waves_->Tick({fleet_.config, fleet_.vms, fleet_.rows}, now);
    });
  }
  [[nodiscard]] Fleet& fleet() noexcept { return fleet_; }
  [[nodiscard]] const WaveController& waves() const noexcept { return *waves_; }

 private:
  Fleet fleet_;
  std::unique_ptr<WaveController> waves_;
};

// From 45 s on, when the first VMs have returned.
std::vector<double> MeasureWave(std::uint64_t seed, double pools) {
  constexpr int kSeconds = 30;
  constexpr int kPoolsPerWave = 50;
  WaveRun run(seed, static_cast<int>(pools), kPoolsPerWave);
  const double heap = HeapBytes();
  run.Run(Millis(45000));
  const double memory = HeapBytes() - heap;
  Fleet& fleet = run.fleet();
  const std::int64_t done = DoneVms(run.waves());
  const std::int64_t reads = fleet.table.row_reads();
  const std::int64_t writes = fleet.table.row_writes();
  fleet.processor_seconds = 0;
  run.Run(Millis(kSeconds * 1000));
  const auto maintained = static_cast<double>(DoneVms(run.waves()) - done);
  const double n = std::max(1.0, maintained);
  return {maintained / kSeconds * 3600, static_cast<double>(fleet.table.row_reads() - reads) / n,
          static_cast<double>(fleet.table.row_writes() - writes) / n,
          fleet.processor_seconds / kSeconds * 100, memory / 1e6};
}

// The first seconds of one wave over all pools.
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
