#include "sapphirewheel/coordination/leader_lease.h"

#include <memory>

#include "coordination/tests/sim_rows.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;

namespace {

// Several nodes that compete for one lease and tick every 100 ms.
struct Candidates {
  SimRows sim;
  std::vector<std::unique_ptr<LeaderLease>> leases;
  Epoch highest;
  bool monotonic = true;

  Candidates(std::uint64_t seed, int nodes) : sim(seed) {
    for (int i = 0; i < nodes; ++i) {
      LeaderLease::Settings settings;
      settings.self = NodeId("n" + std::to_string(i) + "#1");
      settings.name = "planner";
      leases.push_back(std::make_unique<LeaderLease>(
          settings, LeaderLease::Hooks{sim.HooksFor(i), [this] { return sim.Random(); }}));
      Schedule(i);
    }
  }
  void Schedule(int node) {
    sim.Post(node, Millis(100), [this, node] {
      leases[static_cast<std::size_t>(node)]->Tick(sim.now());
      Schedule(node);
    });
  }
  // Number of nodes that may act now; also checks that their epochs never decrease.
  int Holders(const std::vector<int>& except = {}) {
    int holders = 0;
    for (std::size_t i = 0; i < leases.size(); ++i) {
      if (std::find(except.begin(), except.end(), static_cast<int>(i)) != except.end()) continue;
      if (!leases[i]->Held(sim.now())) continue;
      ++holders;
      monotonic = monotonic && leases[i]->epoch() >= highest;
      highest = std::max(highest, leases[i]->epoch());
    }
    return holders;
  }
  int Holder() {
    for (std::size_t i = 0; i < leases.size(); ++i) {
      if (leases[i]->Held(sim.now())) return static_cast<int>(i);
    }
    return -1;
  }
};

}  // namespace

// clang-format off
TEST_GROUP(LeaderLease) {};
// clang-format on

// Guards against two nodes that act at the same time, caused by pauses, lost replies and refused
// calls.
TEST(LeaderLease, HasAtMostOneHolderUnderFaults) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Candidates all(seed, 4);
    all.sim.lost_answers = 15;
    all.sim.unavailable = 15;
    all.sim.max_delay_ms = 300;
    int held_samples = 0;
    int paused = -1;
    for (int step = 0; step < 3000; ++step) {
      all.sim.RunFor(Millis(100));
      const int holders = all.Holders();
      CHECK_TRUE(holders <= 1);
      held_samples += holders;
      if (step % 300 == 150) {
        paused = all.Holder();
        if (paused >= 0) all.sim.Pause(paused);
      }
      if (step % 300 == 290 && paused >= 0) {
        all.sim.Wake(paused);
        CHECK_TRUE(all.Holders() <= 1);
      }
    }
    CHECK_TRUE(all.monotonic);
    CHECK_TRUE(held_samples > 1000);
  }
}

// Guards against a lease that nobody takes over after its holder was killed, and against a new
// holder with the same epoch.
TEST(LeaderLease, PassesToAnotherNodeWithAHigherEpoch) {
  Candidates all(7, 3);
  all.sim.RunFor(Millis(10000));
  const int first = all.Holder();
  CHECK_TRUE(first >= 0);
  const Epoch epoch = all.leases[static_cast<std::size_t>(first)]->epoch();
  all.sim.Kill(first);
  all.sim.RunFor(Millis(15000));
  LONGS_EQUAL(1, all.Holders({first}));
  CHECK_TRUE(all.highest > epoch);
}

// Guards against a fencing check that still succeeds after the lease passed to another node.
TEST(LeaderLease, FenceOfAnOldHolderConflicts) {
  Candidates all(9, 2);
  all.sim.RunFor(Millis(10000));
  const int first = all.Holder();
  const RowCheck fence = all.leases[static_cast<std::size_t>(first)]->Fence();
  all.sim.Pause(first);
  all.sim.RunFor(Millis(15000));
  TransactOutcome outcome = TransactOutcome::kUncertain;
  Transaction late{AttemptId("late"), {fence}, {{RowKey{"vms", "v"}, "x"}}};
  all.sim.HooksFor(1 - first).transact(late, [&](TransactResult r) { outcome = r.outcome; });
  all.sim.RunFor(Millis(1000));
  CHECK_TRUE(outcome == TransactOutcome::kConflict);
}

// Guards against a draining node that keeps the lease until it expires.
TEST(LeaderLease, ResigningPassesTheLeaseWithoutTheTakeoverDelay) {
  Candidates all(11, 2);
  all.sim.RunFor(Millis(10000));
  const int first = all.Holder();
  all.leases[static_cast<std::size_t>(first)]->Resign();
  CHECK_EQUAL(0, all.Holders());
  all.sim.RunFor(Millis(4000));
  CHECK_TRUE(all.Holder() >= 0 && all.Holder() != first);
}

// Guards against a lease that nobody takes after a platform outage.
TEST(LeaderLease, HasAHolderAgainAfterAnOutage) {
  Candidates all(13, 3);
  all.sim.RunFor(Millis(10000));
  all.sim.outage = true;
  all.sim.RunFor(Millis(60000));
  CHECK_EQUAL(0, all.Holders());
  all.sim.outage = false;
  all.sim.RunFor(Millis(10000));
  CHECK_EQUAL(1, all.Holders());
}
