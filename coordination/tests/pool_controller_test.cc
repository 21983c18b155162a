#include "sapphirewheel/coordination/pool_controller.h"

#include <memory>
#include <set>

#include "coordination/tests/sim_rows.h"
#include "sapphirewheel/state/schema.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;

namespace {

// Several nodes with the planner's duty over one table; each node's view of the VM rows lags.
struct Planners {
  SimRows sim;
  FleetConfig config;
  std::map<VmId, VmInfo> vms;
  std::vector<std::map<VmId, VmAssignment>> views;
  std::vector<std::unique_ptr<PoolController>> duties;
  std::vector<ServiceDemand> demand;
  std::int64_t running = 0;
  std::int64_t worst_short = 0;

  Planners(std::uint64_t seed, std::size_t nodes) : sim(seed), views(nodes) {
    for (const char* name : {"a", "b", "spare"}) AddPool(name);
    for (int i = 0; i < 14; ++i) AddVm(i);
    sim.on_commit = [this] { Check(); };
    for (std::size_t i = 0; i < nodes; ++i) {
      const int node = static_cast<int>(i);
      PoolController::Settings settings;
      settings.self = NodeId("n" + std::to_string(i) + "#1");
      const auto count = [this, node](VmId, std::function<void(std::optional<std::int64_t>)> done) {
        sim.Post(node, Millis(5), [this, done] { done(running); });
      };
      duties.push_back(std::make_unique<PoolController>(
          settings, VmMover::Hooks{sim.HooksFor(node), [this] { return sim.Random(); }, count,
                                   [this] { return sim.now(); }}));
      Schedule(node);
    }
  }
  void AddPool(const std::string& name) {
    PoolChange pool;
    pool.pool = PoolId(name);
    pool.spare = name == "spare";
    if (!pool.spare) pool.services = {ServiceId(name)};
    pool.size = pool.spare ? 0 : 5;
    pool.max_out = 2;
    config.pools[pool.pool] = pool;
  }
  void AddVm(int n) {
    VmInfo info;
    info.vm = VmId("vm" + std::to_string(n));
    info.rack = RackId("r" + std::to_string(n / 2));
    info.slots = Slots(8);
    vms[info.vm] = info;
  }
  void Schedule(int node) {
    sim.Post(node, Millis(100), [this, node] {
      auto& view = views[static_cast<std::size_t>(node)];
      if (sim.Chance(30)) view = Rows();
      duties[static_cast<std::size_t>(node)]->Tick({config, vms, view}, demand, {}, sim.now());
      Schedule(node);
    });
  }
  std::map<VmId, VmAssignment> Rows() const {
    std::map<VmId, VmAssignment> rows;
    for (const auto& [key, row] : sim.rows()) {
      if (key.table != schema::kVms) continue;
      rows[VmId(key.key)] = DecodeAssignment(VmId(key.key), row.value, row.revision);
    }
    return rows;
  }
  // Every row names one pool that exists, and no pool lacks more than its budget once filled.
  void Check() {
    std::map<PoolId, std::int64_t> serving;
    const auto rows = Rows();
    for (const auto& [vm, row] : rows) {
      CHECK_TRUE(config.pools.contains(row.pool));
      if (row.phase == AssignmentPhase::kActive) ++serving[row.pool];
    }
    if (rows.size() < vms.size()) return;
    for (const auto& [id, pool] : config.pools) {
      if (!pool.spare) worst_short = std::max(worst_short, pool.size - serving[id]);
    }
  }
  std::uint64_t Completed() const {
    std::uint64_t n = 0;
    for (const auto& duty : duties) n += duty->mover().completed();
    return n;
  }
  void Peak(const char* service) {
    demand = {{ServiceId(service), Slots(200), Slots(40), Slots(0)}};
  }
  std::int64_t Size(const char* pool) const {
    std::int64_t n = 0;
    for (const auto& [vm, row] : Rows()) n += row.pool == PoolId(pool) ? 1 : 0;
    return n;
  }
};

}  // namespace

// clang-format off
TEST_GROUP(PoolController) {};
// clang-format on

// Guards against VMs in no or several pools and pools below their budget, while planners race,
// pause past their lease and wake, and answers are lost after the effect.
TEST(PoolController, KeepsEachVmInOnePoolWhilePlannersRace) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Planners all(seed, 3);
    all.sim.lost_answers = 10;
    all.sim.unavailable = 10;
    all.sim.max_delay_ms = 200;
    for (int round = 0; round < 30; ++round) {
      all.Peak(round % 2 == 0 ? "a" : "b");
      const int paused = static_cast<int>(all.sim.Random() % 3);
      if (round % 3 == 1) all.sim.Pause(paused);
      all.sim.RunFor(Millis(20000));
      all.sim.Wake(paused);
    }
    LONGS_EQUAL(14, all.Rows().size());
    CHECK_TRUE(all.worst_short <= 2);
    CHECK_TRUE(all.Completed() > 10);
  }
}

// Guards against a VM that moves while tasks run on it, and one that stays draining for ever.
TEST(PoolController, ReturnsAVmWhoseTasksDoNotEnd) {
  Planners all(3, 1);
  all.running = 1;
  all.sim.RunFor(Millis(5000));
  const auto before = all.Size("b");
  all.Peak("a");
  all.sim.RunFor(Millis(20000));
  CHECK_EQUAL(before, all.Size("b"));
  all.demand.clear();
  // The nine VMs of the pool are tried two at a time for 30 s each, then not again for 300 s.
  all.sim.RunFor(Millis(200000));
  for (const auto& [vm, row] : all.Rows()) CHECK_TRUE(row.phase == AssignmentPhase::kActive);
}

// Guards against a VM left draining by a planner that was killed.
TEST(PoolController, SuccessorFinishesWhatAKilledPlannerLeft) {
  Planners all(5, 2);
  all.running = 1;
  all.sim.RunFor(Millis(10000));
  all.Peak("a");
  bool draining = false;
  for (int i = 0; i < 600 && !draining; ++i) {
    all.sim.RunFor(Millis(100));
    for (const auto& [vm, row] : all.Rows()) {
      draining = draining || row.phase == AssignmentPhase::kDraining;
    }
  }
  CHECK_TRUE(draining);
  all.sim.Kill(all.duties[0]->lease().Held(all.sim.now()) ? 0 : 1);
  all.demand.clear();
  all.sim.RunFor(Millis(90000));
  for (const auto& [vm, row] : all.Rows()) CHECK_TRUE(row.phase == AssignmentPhase::kActive);
}

// Guards against rows of removed VMs that count as out of service for ever.
TEST(PoolController, RemovesRowsOfVmsThatAreGoneAndRefillsTheirPool) {
  Planners all(8, 1);
  all.sim.RunFor(Millis(15000));
  VmId gone;
  for (const auto& [vm, row] : all.Rows()) {
    if (row.pool == PoolId("a")) gone = vm;
  }
  all.vms.erase(gone);
  all.sim.RunFor(Millis(90000));
  LONGS_EQUAL(13, all.Rows().size());
  LONGS_EQUAL(5, all.Size("a"));
}
