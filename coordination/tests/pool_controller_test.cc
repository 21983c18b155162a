#include "sapphirewheel/coordination/pool_controller.h"

#include <memory>
#include <set>

#include "coordination/tests/sim_rows.h"
#include "sapphirewheel/state/schema.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;

namespace {

// Several nodes that each run a PoolController over one table. Each node's view of the VM rows
// lags.
struct PlannerFixture {
  SimRows sim;
  FleetConfig config;
  std::map<VmId, VmInfo> vms;
  std::vector<std::map<VmId, VmAssignment>> node_views;
  std::vector<std::unique_ptr<PoolController>> controllers;
  std::vector<ServiceDemand> demand;
  std::int64_t running = 0;
  std::int64_t max_shortfall = 0;

  PlannerFixture(std::uint64_t seed, std::size_t nodes) : sim(seed), node_views(nodes) {
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
      controllers.push_back(std::make_unique<PoolController>(
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
      auto& view = node_views[static_cast<std::size_t>(node)];
      if (sim.Chance(30)) view = Rows();
      controllers[static_cast<std::size_t>(node)]->Tick({config, vms, view}, demand, {}, sim.now());
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
  // Checks that every row names an existing pool, and records by how many serving VMs a pool falls
  // short of its size once all VMs have rows.
  void Check() {
    std::map<PoolId, std::int64_t> serving;
    const auto rows = Rows();
    for (const auto& [vm, row] : rows) {
      CHECK_TRUE(config.pools.contains(row.pool));
      if (row.phase == AssignmentPhase::kActive) ++serving[row.pool];
    }
    if (rows.size() < vms.size()) return;
    for (const auto& [id, pool] : config.pools) {
      if (!pool.spare) max_shortfall = std::max(max_shortfall, pool.size - serving[id]);
    }
  }
  std::uint64_t Completed() const {
    std::uint64_t n = 0;
    for (const auto& controller : controllers) n += controller->mover().completed();
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

// Guards against VMs in no or several pools and against pools short of more VMs than their budget,
// when planners compete, are paused beyond their lease and resume, and answers of transactions that
// took effect are lost.
TEST(PoolController, KeepsEachVmInOnePoolWhilePlannersCompete) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    PlannerFixture fixture(seed, 3);
    fixture.sim.lost_answers = 10;
    fixture.sim.unavailable = 10;
    fixture.sim.max_delay_ms = 200;
    for (int round = 0; round < 30; ++round) {
      fixture.Peak(round % 2 == 0 ? "a" : "b");
      const int paused = static_cast<int>(fixture.sim.Random() % 3);
      if (round % 3 == 1) fixture.sim.Pause(paused);
      fixture.sim.RunFor(Millis(20000));
      fixture.sim.Wake(paused);
    }
    LONGS_EQUAL(14, fixture.Rows().size());
    CHECK_TRUE(fixture.max_shortfall <= 2);
    CHECK_TRUE(fixture.Completed() > 10);
  }
}

// Guards against a VM that is moved while tasks run on it, or that stays in draining forever
// because its tasks do not end.
TEST(PoolController, ReturnsAVmWhoseTasksDoNotEnd) {
  PlannerFixture fixture(3, 1);
  fixture.running = 1;
  fixture.sim.RunFor(Millis(5000));
  const auto before = fixture.Size("b");
  fixture.Peak("a");
  fixture.sim.RunFor(Millis(20000));
  CHECK_EQUAL(before, fixture.Size("b"));
  fixture.demand.clear();
  // The nine VMs of the pool are drained two at a time for 30 s each, then not again for 300 s.
  fixture.sim.RunFor(Millis(200000));
  for (const auto& [vm, row] : fixture.Rows()) CHECK_TRUE(row.phase == AssignmentPhase::kActive);
}

// Guards against a VM that stays in draining because its planner was killed.
TEST(PoolController, SuccessorReturnsVmsOfAKilledPlanner) {
  PlannerFixture fixture(5, 2);
  fixture.running = 1;
  fixture.sim.RunFor(Millis(10000));
  fixture.Peak("a");
  bool draining = false;
  for (int i = 0; i < 600 && !draining; ++i) {
    fixture.sim.RunFor(Millis(100));
    for (const auto& [vm, row] : fixture.Rows()) {
      draining = draining || row.phase == AssignmentPhase::kDraining;
    }
  }
  CHECK_TRUE(draining);
  fixture.sim.Kill(fixture.controllers[0]->lease().Held(fixture.sim.now()) ? 0 : 1);
  fixture.demand.clear();
  fixture.sim.RunFor(Millis(90000));
  for (const auto& [vm, row] : fixture.Rows()) CHECK_TRUE(row.phase == AssignmentPhase::kActive);
}

// Guards against rows of removed VMs that count as out of service forever.
TEST(PoolController, DeletesRowsOfRemovedVmsAndRefillsTheirPool) {
  PlannerFixture fixture(8, 1);
  fixture.sim.RunFor(Millis(15000));
  VmId gone;
  for (const auto& [vm, row] : fixture.Rows()) {
    if (row.pool == PoolId("a")) gone = vm;
  }
  fixture.vms.erase(gone);
  fixture.sim.RunFor(Millis(90000));
  LONGS_EQUAL(13, fixture.Rows().size());
  LONGS_EQUAL(5, fixture.Size("a"));
}
