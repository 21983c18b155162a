#include "sapphirewheel/coordination/wave_controller.h"

#include <memory>
#include <set>

#include "coordination/tests/sim_rows.h"
#include "sapphirewheel/state/schema.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;

namespace {

// A VM as it really is.
struct Machine {
  std::int64_t tasks = 0;
  int boot = 1;
  int reboots = 0;
  bool up = true;
  bool fit = true;
};

// Nodes with the waves' duty, two pools of eight VMs in racks of four, budgets 3 and 2 a rack.
struct Waves {
  SimRows sim;
  FleetConfig config;
  std::map<VmId, VmInfo> list;
  std::map<VmId, Machine> machines;
  std::vector<std::map<VmId, VmAssignment>> views;
  std::vector<std::unique_ptr<WaveController>> nodes;
  std::uint64_t version = 0;
  std::int64_t most_out = 0;
  std::int64_t aborted = 0;
  int checkpoints = 0;

  Waves(std::uint64_t seed, std::size_t n) : sim(seed), views(n) {
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
    machines[info.vm].tasks = 1;
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
        const Machine& machine = machines[vm];
        done(machine.up ? std::optional(machine.tasks) : std::nullopt);
      });
    };
    hooks.checkpoint = [this](VmId vm) {
      ++checkpoints;
      machines[vm].tasks = 0;
    };
    hooks.read_boot_id = [this, node](VmId vm, auto done) {
      sim.Post(node, Millis(10), [this, vm, done] {
        done(machines[vm].up ? "b" + std::to_string(machines[vm].boot) : std::string());
      });
    };
    hooks.reboot = [this](VmId vm) { Reboot(vm); };
    hooks.verify = [this, node](VmId vm, auto done) {
      sim.Post(node, Millis(10), [this, vm, done] { done(machines[vm].up && machines[vm].fit); });
    };
    nodes.push_back(std::make_unique<WaveController>(settings, hooks));
    Schedule(node);
  }
  void Reboot(const VmId& vm) {
    Machine& machine = machines[vm];
    const VmAssignment row = RowOf(vm);
    if (machine.tasks > 0 || row.phase == AssignmentPhase::kActive) ++aborted;
    ++machine.reboots;
    machine.up = false;
    sim.Post(1000, Millis(3000), [this, vm] {
      ++machines[vm].boot;
      machines[vm].up = true;
    });
  }
  void Schedule(int node) {
    sim.Post(node, Millis(100), [this, node] {
      auto& view = views[static_cast<std::size_t>(node)];
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
    for (const auto& [vm, machine] : machines) {
      if (sim.rows().contains(schema::VmRow(vm))) rows[vm] = RowOf(vm);
    }
    return rows;
  }
  // VMs of a pool that are taken out or not in the list.
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
  void Act(const std::string& wave, WaveAction action, std::vector<PoolId> pools = {}) {
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

// Guards against VMs left out, rebooted with running tasks, or a wave without checkpoints.
TEST(WaveController, MaintainsEachVmOnceAndReturnsIt) {
  Waves all(1, 1);
  all.Act("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
  CHECK_TRUE(all.RunUntilPhase("w", WavePhase::kDone, 600));
  for (const auto& [vm, machine] : all.machines) LONGS_EQUAL(1, machine.reboots);
  LONGS_EQUAL(16, all.checkpoints);
  LONGS_EQUAL(0, all.aborted);
  CHECK_TRUE(all.most_out == 3);
  all.CheckAllReturned();
}

// Guards against a budget that is exceeded by two waves over one pool under lost answers.
TEST(WaveController, OverlappingWavesShareTheBudgetUnderFaults) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Waves all(seed, 3);
    all.sim.lost_answers = 10;
    all.sim.unavailable = 10;
    all.sim.max_delay_ms = 100;
    all.Act("v", WaveAction::kStart, {PoolId("a")});
    all.Act("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
    CHECK_TRUE(all.RunUntilPhase("v", WavePhase::kDone, 1500));
    CHECK_TRUE(all.RunUntilPhase("w", WavePhase::kDone, 1500));
    CHECK_TRUE(all.most_out <= 3);
    LONGS_EQUAL(0, all.aborted);
    all.CheckAllReturned();
  }
}

// Guards against a wave that stops with its owner, and an owner that wakes and reboots VMs which
// its successor has returned.
TEST(WaveController, AnyNodeContinuesAndAWokenOwnerDoesNoHarm) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Waves all(seed, 4);
    all.Act("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
    all.sim.RunFor(Millis(10000 + static_cast<std::int64_t>(seed) * 777));
    const int paused = all.Holder();
    CHECK_TRUE(paused >= 0);
    all.sim.Pause(paused);
    all.sim.RunFor(Millis(30000));
    const int killed = all.Holder();
    CHECK_TRUE(killed >= 0 && killed != paused);
    all.sim.Wake(paused);
    all.sim.RunFor(Millis(5000));
    all.sim.Kill(killed);
    CHECK_TRUE(all.RunUntilPhase("w", WavePhase::kDone, 900));
    CHECK_TRUE(all.most_out <= 3);
    LONGS_EQUAL(0, all.aborted);
    all.CheckAllReturned();
  }
}

// Guards against a reboot sent by an owner that was paused right after its transaction, when its
// successor has returned the VM and tasks run on it again.
TEST(WaveController, OwnerPausedBeforeTheRebootDoesNotSendItLate) {
  Waves all(2, 2);
  int paused = -1;
  all.sim.on_commit = [&] {
    for (const auto& [vm, row] : all.Rows()) {
      if (paused >= 0 || row.phase != AssignmentPhase::kRebooting) continue;
      paused = all.Holder();
      all.sim.Pause(paused);
    }
  };
  all.Act("w", WaveAction::kStart, {PoolId("a")});
  CHECK_TRUE(all.RunUntilPhase("w", WavePhase::kDone, 600));
  CHECK_TRUE(paused >= 0);
  for (auto& [vm, machine] : all.machines) machine.tasks = 1;
  all.sim.Wake(paused);
  all.sim.RunFor(Millis(10000));
  LONGS_EQUAL(0, all.aborted);
}

// Guards against VMs that are down for other reasons and not counted.
TEST(WaveController, CountsVmsThatAreDownForOtherReasons) {
  Waves all(3, 1);
  all.list[VmId("a0")].phase = VmPhase::kLeaving;
  all.list[VmId("a5")].phase = VmPhase::kLeaving;
  all.Act("w", WaveAction::kStart, {PoolId("a")});
  all.sim.RunFor(Millis(300000));
  CHECK_TRUE(all.most_out <= 3);
  CHECK_TRUE(all.Phase("w") == WavePhase::kRunning);
  all.list[VmId("a0")].phase = VmPhase::kLive;
  all.list[VmId("a5")].phase = VmPhase::kLive;
  CHECK_TRUE(all.RunUntilPhase("w", WavePhase::kDone, 300));
}

// Guards against VMs that the planner lent away and the wave does not count.
TEST(WaveController, CountsVmsThatThePoolGaveAway) {
  Waves all(4, 1);
  BudgetRecord budget;
  budget.missing = 3;
  all.sim.Put(schema::BudgetRow(PoolId("a")), EncodeBudget(budget));
  for (const char* vm : {"a0", "a1", "a2"}) {
    VmAssignment row;
    row.pool = PoolId("b");
    all.sim.Put(schema::VmRow(VmId(vm)), EncodeAssignment(row));
  }
  all.Act("w", WaveAction::kStart, {PoolId("a")});
  all.sim.RunFor(Millis(120000));
  LONGS_EQUAL(0, all.Out(PoolId("a")));
}

// Guards against a wave that goes on after correlated failures, and one that cannot be resumed.
TEST(WaveController, PausesOnTwoFailuresOfARackAndResumes) {
  Waves all(5, 2);
  for (const char* vm : {"a0", "a1", "a2", "a3"}) all.machines[VmId(vm)].fit = false;
  all.Act("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
  CHECK_TRUE(all.RunUntilPhase("w", WavePhase::kPaused, 300));
  all.sim.RunFor(Millis(60000));
  int rebooted = 0;
  for (const char* vm : {"a0", "a1", "a2", "a3"}) rebooted += all.machines[VmId(vm)].reboots;
  LONGS_EQUAL(2, rebooted);
  for (auto& [vm, machine] : all.machines) machine.fit = true;
  all.Act("w", WaveAction::kResume);
  CHECK_TRUE(all.RunUntilPhase("w", WavePhase::kDone, 600));
  all.CheckAllReturned();
}

// Guards against failures spread over racks that do not pause the wave.
TEST(WaveController, PausesOnThreeFailuresOfTheWave) {
  Waves all(6, 1);
  for (const char* vm : {"a0", "a4", "b0"}) all.machines[VmId(vm)].fit = false;
  all.Act("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
  CHECK_TRUE(all.RunUntilPhase("w", WavePhase::kPaused, 600));
}

// Guards against VMs that stay out after a wave is cancelled, and reboots after it.
TEST(WaveController, CancelReturnsTheVmsUnderWay) {
  for (std::int64_t after = 3; after < 30; after += 3) {
    Waves all(7, 1);
    all.Act("w", WaveAction::kStart, {PoolId("a"), PoolId("b")});
    all.sim.RunFor(Millis(after * 1000));
    all.Act("w", WaveAction::kCancel);
    all.sim.RunFor(Millis(60000));
    if (all.sim.rows().contains(schema::WaveRow(WaveId("w")))) {
      CHECK_TRUE(all.Phase("w") == WavePhase::kCancelled);
    }
    all.CheckAllReturned();
    LONGS_EQUAL(0, all.aborted);
  }
}

// Guards against a wave that never ends because a VM was removed while it waited or was held.
TEST(WaveController, GoesOnWithoutVmsThatWereRemoved) {
  Waves all(8, 1);
  all.Act("w", WaveAction::kStart, {PoolId("a")});
  all.sim.RunFor(Millis(8000));
  VmId held;
  for (const auto& [vm, row] : all.Rows()) {
    if (!row.wave.empty()) held = vm;
  }
  CHECK_FALSE(held.empty());
  all.list.erase(held);
  all.machines[held].up = false;
  all.sim.RunFor(Millis(240000));
  const auto progress = all.nodes[0]->Waves();
  LONGS_EQUAL(1, progress.size());
  LONGS_EQUAL(8, progress[0].done);
}
