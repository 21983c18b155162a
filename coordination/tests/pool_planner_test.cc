#include "sapphirewheel/coordination/pool_planner.h"

#include <string>

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;

namespace {

MonotonicTime At(std::int64_t ms) { return MonotonicTime(Millis(ms)); }

// Two service pools "a" and "b" with four VMs each, one in each of four racks, and two spare VMs.
struct Fleet {
  FleetConfig config;
  std::map<VmId, VmInfo> vms;
  std::map<VmId, VmAssignment> assignments;
  std::map<PoolId, BudgetRecord> budgets;
  std::vector<ServiceDemand> demand;

  Fleet() {
    for (const char* name : {"a", "b"}) {
      PoolChange pool;
      pool.pool = PoolId(name);
      pool.services = {ServiceId(name)};
      pool.size = 4;
      pool.max_out = 2;
      config.pools[pool.pool] = pool;
      for (int i = 0; i < 4; ++i) Add(name + std::to_string(i), "r" + std::to_string(i), name);
    }
    PoolChange spare;
    spare.pool = PoolId("spare");
    spare.spare = true;
    config.pools[spare.pool] = spare;
    Add("s0", "r0", "spare");
    Add("s1", "r1", "spare");
  }
  void Add(const std::string& vm, const std::string& rack, const std::string& pool) {
    VmInfo info;
    info.vm = VmId(vm);
    info.rack = RackId(rack);
    info.slots = Slots(8);
    vms[info.vm] = info;
    if (pool.empty()) return;
    VmAssignment row;
    row.vm = info.vm;
    row.pool = PoolId(pool);
    assignments[info.vm] = row;
  }
  void Demand(std::int64_t a_queued, std::int64_t a_running, std::int64_t b_queued,
              std::int64_t b_running) {
    demand = {{ServiceId("a"), Slots(a_queued), Slots(a_running), Slots(0)},
              {ServiceId("b"), Slots(b_queued), Slots(b_running), Slots(0)}};
  }
  [[nodiscard]] PoolPlanner::Input Input() const {
    return {{config, vms, assignments}, demand, budgets, {}, {}, {}};
  }
  // Plans once a second under constant demand and applies the moves at once.
  std::vector<VmMove> Run(PoolPlanner& planner, int from_s, int to_s) {
    std::vector<VmMove> moves;
    for (int second = from_s; second < to_s; ++second) {
      for (const VmMove& move : planner.Plan(Input(), At(second * 1000))) {
        assignments[move.vm].vm = move.vm;
        assignments[move.vm].pool = move.to;
        moves.push_back(move);
      }
    }
    return moves;
  }
  [[nodiscard]] int Size(const char* pool) const {
    int n = 0;
    for (const auto& [vm, row] : assignments) n += row.pool == PoolId(pool) ? 1 : 0;
    return n;
  }
};

}  // namespace

// clang-format off
TEST_GROUP(PoolPlanner) {};
// clang-format on

// Guards against new VMs that are assigned to no pool, or to a full pool while another one is below
// its size.
TEST(PoolPlanner, PutsNewVmsIntoPoolsBelowTheirSizeThenIntoSpare) {
  Fleet fleet;
  PoolPlanner planner({});
  fleet.assignments.erase(VmId("b0"));
  fleet.Add("new", "r7", "");
  fleet.Run(planner, 1, 2);
  LONGS_EQUAL(4, fleet.Size("a"));
  LONGS_EQUAL(4, fleet.Size("b"));
  LONGS_EQUAL(3, fleet.Size("spare"));
}

// Guards against queued work during a peak while spare VMs are idle, and against lent VMs that are
// never returned.
TEST(PoolPlanner, LendsSpareVmsToAPeakAndReturnsThem) {
  Fleet fleet;
  PoolPlanner planner({});
  fleet.Demand(80, 32, 0, 2);
  fleet.Run(planner, 1, 6);
  CHECK_TRUE(fleet.Size("a") >= 6);
  fleet.Demand(0, 2, 0, 2);
  fleet.Run(planner, 6, 60);
  LONGS_EQUAL(4, fleet.Size("a"));
  LONGS_EQUAL(4, fleet.Size("b"));
  LONGS_EQUAL(2, fleet.Size("spare"));
}

// Guards against an idle pool that lends more VMs than its budget allows, which a wave may need.
TEST(PoolPlanner, NeverTakesMoreThanTheBudgetOfAPool) {
  Fleet fleet;
  PoolPlanner planner({});
  fleet.budgets[PoolId("b")].missing = 4;
  fleet.Demand(400, 32, 0, 0);
  fleet.Run(planner, 1, 60);
  CHECK_TRUE(fleet.Size("b") >= 2);
  CHECK_TRUE(fleet.Size("a") > 6);
}

// Guards against moves of VMs that a wave holds, that are draining, or that are leaving.
TEST(PoolPlanner, DoesNotMoveWaveDrainingOrLeavingVms) {
  Fleet fleet;
  PoolPlanner planner({});
  fleet.assignments[VmId("s0")].wave = WaveId("w");
  fleet.assignments[VmId("s1")].phase = AssignmentPhase::kDraining;
  for (const char* vm : {"b0", "b1", "b2", "b3"}) fleet.vms[VmId(vm)].phase = VmPhase::kLeaving;
  fleet.Demand(400, 32, 0, 0);
  LONGS_EQUAL(0, fleet.Run(planner, 1, 20).size());
}

// Guards against a pool that loses its only VM in a rack while it has two in another rack.
TEST(PoolPlanner, KeepsTheSpreadOverRacks) {
  Fleet fleet;
  PoolPlanner planner({});
  fleet.assignments.erase(VmId("s0"));
  fleet.assignments.erase(VmId("s1"));
  fleet.vms.erase(VmId("s0"));
  fleet.vms.erase(VmId("s1"));
  fleet.vms[VmId("b3")].rack = RackId("r2");
  fleet.Demand(400, 32, 0, 0);
  const auto moves = fleet.Run(planner, 1, 20);
  CHECK_TRUE(!moves.empty());
  CHECK_TRUE(moves[0].vm == VmId("b2") || moves[0].vm == VmId("b3"));
}

// Guards against moves for a short queue, which cost more than the waiting that they save.
TEST(PoolPlanner, DoesNotMoveForAShortQueue) {
  Fleet fleet;
  PoolPlanner planner({});
  fleet.Demand(1, 32, 0, 2);
  LONGS_EQUAL(0, fleet.Run(planner, 1, 20).size());
}

// Guards against VMs that move back and forth whenever the demand alternates between pools.
TEST(PoolPlanner, HigherWeightOfMovesMakesThemRarer) {
  std::size_t moves[2] = {0, 0};
  for (int i = 0; i < 2; ++i) {
    Fleet fleet;
    PoolPlanner::Settings settings;
    settings.profile.moves = i == 0 ? 1 : 4;
    PoolPlanner planner(settings);
    for (int second = 1; second < 600; second += 10) {
      const bool a_peaks = second % 20 == 1;
      a_peaks ? fleet.Demand(24, 32, 0, 2) : fleet.Demand(0, 2, 24, 32);
      moves[i] += fleet.Run(planner, second, second + 10).size();
    }
  }
  CHECK_TRUE(moves[0] > 0);
  CHECK_TRUE(moves[1] < moves[0]);
}

// Guards against a misspelled profile that is silently treated as neutral.
TEST(PoolPlanner, ParsesProfiles) {
  CHECK_EQUAL(2.0, ParseProfile("brunner").value().moves);
  CHECK_EQUAL(2.0, ParseProfile("graxaria").value().buffer);
  CHECK_EQUAL(3.0, ParseProfile("moves=3").value().moves);
  CHECK_TRUE(ParseProfile("movs=3").has_error());
  CHECK_TRUE(ParseProfile("moves=0").has_error());
  CHECK_TRUE(ParseProfile("moves=2x").has_error());
}
