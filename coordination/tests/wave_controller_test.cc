#include "sapphirewheel/coordination/wave_controller.h"

#include <memory>
#include <set>

#include "coordination/tests/sim_rows.h"
#include "sapphirewheel/state/schema.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;

namespace {

// The actual state of a simulated VM, as opposed to its rows.
struct SimVm {
  std::int64_t tasks = 0;
  int boot = 1;
  int reboots = 0;
  bool up = true;
  bool fit = true;
};

// Nodes that each run a WaveController over one table, and two pools of eight VMs in racks of four.
// The budget of each pool is three VMs, and two per rack.
struct WaveFixture {
  SimRows sim;
  FleetConfig config;
  std::map<VmId, VmInfo> list;
  std::map<VmId, SimVm> vms;
  std::vector<std::map<VmId, VmAssignment>> node_views;
  std::vector<std::unique_ptr<WaveController>> nodes;
  std::uint64_t version = 0;
  std::int64_t most_out = 0;
  std::int64_t aborted = 0;
  int checkpoints = 0;

  WaveFixture(std::uint64_t seed, std::size_t n) : sim(seed), node_views(n) {
    for (const char* name : {"a", "b"}) {
      PoolChange pool;
      pool.pool = PoolId(name);
      pool.size = 8;
      pool.max_out = 3;
      pool.max_out_per_rack = 2;
      config.pools[pool.pool] = pool;
      for (int i = 0; i < 8; ++i) AddVm(name + std::to_string(i), i / 4, name);
    }
    sim.on_commit = [this] { Check(); };
    for (std::size_t i = 0; i < n; ++i) AddNode(static_cast<int>(i));
  }
  void AddVm(const std::string& name, int rack, const char* pool) {
    VmInfo info;
    info.vm = VmId(name);
    info.rack = RackId(name.substr(0, 1) + "r" + std::to_string(rack));
    list[info.vm] = info;
    vms[info.vm].tasks = 1;
    VmAssignment row;
    row.pool = PoolId(pool);
    sim.Put(schema::VmRow(info.vm), EncodeAssignment(row));
  }
  void AddNode(int node) {
    WaveController::Settings settings;
    settings.self = NodeId("n" + std::to_string(node) + "#1");
    settings.reboot_retry_interval = Millis(10000);
    settings.verify_timeout = Millis(5000);
    settings.recheck_interval = Millis(5000);
    settings.removal_timeout = Millis(30000);
    WaveController::Hooks hooks;
    hooks.table = sim.HooksFor(node);
    hooks.random = [this] { return sim.Random(); };
    hooks.clock = [this] { return sim.now(); };
    hooks.count_running = [this, node](VmId vm, auto done) {
      sim.Post(node, Millis(10), [this, vm, done] {
        const SimVm& sim_vm = vms[vm];
        done(sim_vm.up ? std::optional(sim_vm.tasks) : std::nullopt);
      });
    };
    hooks.checkpoint = [this](VmId vm) {
      ++checkpoints;
      vms[vm].tasks = 0;
    };
    hooks.read_boot_id = [this, node](VmId vm, auto done) {
      sim.Post(node, Millis(10), [this, vm, done] {
        done(vms[vm].up ? "b" + std::to_string(vms[vm].boot) : std::string());
      });
    };
    hooks.reboot = [this](VmId vm) { Reboot(vm); };
    hooks.verify = [this, node](VmId vm, auto done) {
      sim.Post(node, Millis(10), [this, vm, done] { done(vms[vm].up && vms[vm].fit); });
    };
    nodes.push_back(std::make_unique<WaveController>(settings, hooks));
    Schedule(node);
  }
  void Reboot(const VmId& vm) {
    SimVm& sim_vm = vms[vm];
    const VmAssignment row = RowOf(vm);
    if (sim_vm.tasks > 0 || row.phase == AssignmentPhase::kActive) ++aborted;
    ++sim_vm.reboots;
    sim_vm.up = false;
    sim.Post(1000, Millis(3000), [this, vm] {
      ++vms[vm].boot;
      vms[vm].up = true;
    });
  }
  void Schedule(int node) {
    sim.Post(node, Millis(100), [this, node] {
      auto& view = node_views[static_cast<std::size_t>(node)];
      if (sim.Chance(20)) view = Rows();
      nodes[static_cast<std::size_t>(node)]->Tick({config, list, view}, sim.now());
      Schedule(node);
    });
  }
  VmAssignment RowOf(const VmId& vm) const {
    const auto it = sim.rows().find(schema::VmRow(vm));
    if (it == sim.rows().end()) return {};
    return DecodeAssignment(vm, it->second.value, it->second.revision);
  }
  std::map<VmId, VmAssignment> Rows() const {
    std::map<VmId, VmAssignment> rows;
    for (const auto& [vm, sim_vm] : vms) {
      if (sim.rows().contains(schema::VmRow(vm))) rows[vm] = RowOf(vm);
    }
    return rows;
  }
  // Number of VMs of a pool that are taken out of service, leaving, or absent from the VM list.
  std::int64_t Out(const PoolId& pool, const RackId& rack = {}) const {
    std::int64_t out = 0;
    for (const auto& [vm, row] : Rows()) {
      const auto info = list.find(vm);
      const bool live = info != list.end() && info->second.phase == VmPhase::kLive;
      if (row.pool != pool || (live && row.phase == AssignmentPhase::kActive)) continue;
      if (rack.empty() || (info != list.end() && info->second.rack == rack)) ++out;
    }
    return out;
  }
  void Check() {
    for (const auto& [id, pool] : config.pools) {
      most_out = std::max(most_out, Out(id));
      for (const char* rack : {"r0", "r1"}) {
        CHECK_TRUE(Out(id, RackId(id.str() + rack)) <= pool.max_out_per_rack);
      }
    }
  }
  void ConfirmAction(const std::string& wave, WaveAction action, std::vector<PoolId> pools = {}) {
    WaveState& state = config.waves[WaveId(wave)];
    if (!pools.empty()) state.pools = std::move(pools);
    state.action = action;
    config.entity_versions["wave/" + wave] = ConfigVersion(++version);
  }
  WavePhase Phase(const std::string& wave) const {
    const auto it = sim.rows().find(schema::WaveRow(WaveId(wave)));
    return it == sim.rows().end() ? WavePhase::kRunning
                                  : DecodeWave(it->second.value).value().phase;
  }
  bool RunUntilPhase(const std::string& wave, WavePhase phase, int seconds) {
    for (int i = 0; i < seconds && Phase(wave) != phase; ++i) sim.RunFor(Millis(1000));
    return Phase(wave) == phase;
  }
  int Holder() const {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i]->lease().Held(sim.now())) return static_cast<int>(i);
    }
    return -1;
  }
  void CheckAllReturned() const {
    for (const auto& [vm, row] : Rows()) {
      CHECK_TRUE(row.phase == AssignmentPhase::kActive && row.wave.empty());
    }
    for (const auto& [key, row] : sim.rows()) {
      if (key.table != schema::kBudgets) continue;
      CHECK_TRUE(DecodeBudget(row.value, row.revision).out.empty());
    }
  }
};

}  // namespace

// clang-format off
TEST_GROUP(WaveController) {};
// clang-format on

// Guards against VMs that a wave skips, keeps out of service, reboots while tasks run on them, or
// drains without a checkpoint.
TEST(WaveController, MaintainsEachVmOnceAndReturnsIt) {
  WaveFixture fixture(1, 1);
  fixture.ConfirmAction("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
  CHECK_TRUE(fixture.RunUntilPhase("w", WavePhase::kDone, 600));
  for (const auto& [vm, sim_vm] : fixture.vms) LONGS_EQUAL(1, sim_vm.reboots);
  LONGS_EQUAL(16, fixture.checkpoints);
  LONGS_EQUAL(0, fixture.aborted);
  CHECK_TRUE(fixture.most_out == 3);
  fixture.CheckAllReturned();
}

// Guards against two waves over the same pool that together exceed its budget, when answers are
// lost and the table is unavailable at times.
TEST(WaveController, OverlappingWavesShareTheBudgetUnderFaults) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    WaveFixture fixture(seed, 3);
    fixture.sim.lost_answers = 10;
    fixture.sim.unavailable = 10;
    fixture.sim.max_delay_ms = 100;
    fixture.ConfirmAction("v", WaveAction::kStart, {PoolId("a")});
    fixture.ConfirmAction("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
    CHECK_TRUE(fixture.RunUntilPhase("v", WavePhase::kDone, 1500));
    CHECK_TRUE(fixture.RunUntilPhase("w", WavePhase::kDone, 1500));
    CHECK_TRUE(fixture.most_out <= 3);
    LONGS_EQUAL(0, fixture.aborted);
    fixture.CheckAllReturned();
  }
}

// Guards against a wave that stops when its node is killed, and against a paused node that resumes
// and reboots VMs which its successor has returned to service.
TEST(WaveController, AnyNodeContinuesAndAResumedNodeAbortsNoTasks) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    WaveFixture fixture(seed, 4);
    fixture.ConfirmAction("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
    fixture.sim.RunFor(Millis(10000 + static_cast<std::int64_t>(seed) * 777));
    const int paused = fixture.Holder();
    CHECK_TRUE(paused >= 0);
    fixture.sim.Pause(paused);
    fixture.sim.RunFor(Millis(30000));
    const int killed = fixture.Holder();
    CHECK_TRUE(killed >= 0 && killed != paused);
    fixture.sim.Wake(paused);
    fixture.sim.RunFor(Millis(5000));
    fixture.sim.Kill(killed);
    CHECK_TRUE(fixture.RunUntilPhase("w", WavePhase::kDone, 900));
    CHECK_TRUE(fixture.most_out <= 3);
    LONGS_EQUAL(0, fixture.aborted);
    fixture.CheckAllReturned();
  }
}

// Guards against a late reboot: a node is paused after the transaction that precedes the reboot,
// and its successor returns the VM, on which tasks run again when the node resumes.
TEST(WaveController, NodePausedBeforeTheRebootDoesNotSendItLate) {
  WaveFixture fixture(2, 2);
  int paused = -1;
  fixture.sim.on_commit = [&] {
    for (const auto& [vm, row] : fixture.Rows()) {
      if (paused >= 0 || row.phase != AssignmentPhase::kRebooting) continue;
      paused = fixture.Holder();
      fixture.sim.Pause(paused);
    }
  };
  fixture.ConfirmAction("w", WaveAction::kStart, {PoolId("a")});
  CHECK_TRUE(fixture.RunUntilPhase("w", WavePhase::kDone, 600));
  CHECK_TRUE(paused >= 0);
  for (auto& [vm, sim_vm] : fixture.vms) sim_vm.tasks = 1;
  fixture.sim.Wake(paused);
  fixture.sim.RunFor(Millis(10000));
  LONGS_EQUAL(0, fixture.aborted);
}

// Guards against an exceeded budget when VMs are out of service for other reasons than the wave.
TEST(WaveController, CountsVmsThatAreDownForOtherReasons) {
  WaveFixture fixture(3, 1);
  fixture.list[VmId("a0")].phase = VmPhase::kLeaving;
  fixture.list[VmId("a5")].phase = VmPhase::kLeaving;
  fixture.ConfirmAction("w", WaveAction::kStart, {PoolId("a")});
  fixture.sim.RunFor(Millis(300000));
  CHECK_TRUE(fixture.most_out <= 3);
  CHECK_TRUE(fixture.Phase("w") == WavePhase::kRunning);
  fixture.list[VmId("a0")].phase = VmPhase::kLive;
  fixture.list[VmId("a5")].phase = VmPhase::kLive;
  CHECK_TRUE(fixture.RunUntilPhase("w", WavePhase::kDone, 300));
}

// Guards against an exceeded budget when the planner has lent VMs of the pool to another pool.
TEST(WaveController, CountsVmsThatThePoolHasLent) {
  WaveFixture fixture(4, 1);
  BudgetRecord budget;
  budget.missing = 3;
  fixture.sim.Put(schema::BudgetRow(PoolId("a")), EncodeBudget(budget));
  for (const char* vm : {"a0", "a1", "a2"}) {
    VmAssignment row;
    row.pool = PoolId("b");
    fixture.sim.Put(schema::VmRow(VmId(vm)), EncodeAssignment(row));
  }
  fixture.ConfirmAction("w", WaveAction::kStart, {PoolId("a")});
  fixture.sim.RunFor(Millis(120000));
  LONGS_EQUAL(0, fixture.Out(PoolId("a")));
}

// Guards against a wave that continues after correlated failures in a rack, and against a paused
// wave that cannot be resumed after the repair.
TEST(WaveController, PausesOnTwoFailuresOfARackAndResumes) {
  WaveFixture fixture(5, 2);
  for (const char* vm : {"a0", "a1", "a2", "a3"}) fixture.vms[VmId(vm)].fit = false;
  fixture.ConfirmAction("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
  CHECK_TRUE(fixture.RunUntilPhase("w", WavePhase::kPaused, 300));
  fixture.sim.RunFor(Millis(60000));
  int rebooted = 0;
  for (const char* vm : {"a0", "a1", "a2", "a3"}) rebooted += fixture.vms[VmId(vm)].reboots;
  LONGS_EQUAL(2, rebooted);
  for (auto& [vm, sim_vm] : fixture.vms) sim_vm.fit = true;
  fixture.ConfirmAction("w", WaveAction::kResume);
  CHECK_TRUE(fixture.RunUntilPhase("w", WavePhase::kDone, 600));
  fixture.CheckAllReturned();
}

// Guards against a wave that continues because its failures are spread over racks.
TEST(WaveController, PausesOnThreeFailuresOfTheWave) {
  WaveFixture fixture(6, 1);
  for (const char* vm : {"a0", "a4", "b0"}) fixture.vms[VmId(vm)].fit = false;
  fixture.ConfirmAction("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
  CHECK_TRUE(fixture.RunUntilPhase("w", WavePhase::kPaused, 600));
}

// Guards against VMs that stay out of service or are rebooted after the wave was cancelled,
// at different points of their maintenance.
TEST(WaveController, CancelReturnsTheVmsUnderWay) {
  for (std::int64_t after = 3; after < 30; after += 3) {
    WaveFixture fixture(7, 1);
    fixture.ConfirmAction("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
    fixture.sim.RunFor(Millis(after * 1000));
    fixture.ConfirmAction("w", WaveAction::kCancel);
    fixture.sim.RunFor(Millis(60000));
    if (fixture.sim.rows().contains(schema::WaveRow(WaveId("w")))) {
      CHECK_TRUE(fixture.Phase("w") == WavePhase::kCancelled);
    }
    fixture.CheckAllReturned();
    LONGS_EQUAL(0, fixture.aborted);
  }
}

// Guards against a wave that never ends because the platform removed a VM that was pending or held
// by the wave.
TEST(WaveController, ContinuesWithoutRemovedVms) {
  WaveFixture fixture(8, 1);
  fixture.ConfirmAction("w", WaveAction::kStart, {PoolId("a")});
  fixture.sim.RunFor(Millis(8000));
  VmId held;
  for (const auto& [vm, row] : fixture.Rows()) {
    if (!row.wave.empty()) held = vm;
  }
  CHECK_FALSE(held.empty());
  fixture.list.erase(held);
  fixture.vms[held].up = false;
  fixture.sim.RunFor(Millis(240000));
  const auto progress = fixture.nodes[0]->Waves();
  LONGS_EQUAL(1, progress.size());
  LONGS_EQUAL(8, progress[0].done);
}
