#include <cstdlib>
#include <iostream>
#include <set>
#include <string>
#include <utility>

#include "fleet_sim.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::FleetSim;

namespace {

constexpr std::int64_t kLoadStart = 1500;
constexpr std::int64_t kLoadDuration = 20'000;
// Time after the last fault for takeovers, leases, and the remaining work.
constexpr std::int64_t kSettleDuration = 45'000;

using FaultInjector = std::function<void(FleetSim&)>;

// Runs one seed with load and three faults at random times, and then until all work must be done.
void RunSeed(const FleetSim::Settings& settings, const FaultInjector& inject_fault) {
  FleetSim sim(settings);
  // Owners that follow one another within a lease do not extend it.
  sim.lease_expiry_forbidden = false;
  sim.RunUntil(kLoadStart);
  for (int n = 0; n < 40; ++n) {
    sim.At(kLoadStart + sim.Draw(static_cast<int>(kLoadDuration)),
           [&sim] { sim.SubmitRandomJob(); });
  }
  for (int n = 0; n < 3; ++n) {
    sim.At(3000 + sim.Draw(static_cast<int>(kLoadDuration) - 3000),
           [&sim, &inject_fault] { inject_fault(sim); });
  }
  const std::int64_t end = kLoadDuration + kSettleDuration;
  for (std::int64_t at = 3000; at < end; at += 1700) {
    sim.At(at, [&sim] {
      for (auto& [id, job] : sim.jobs) sim.Poll(job);
    });
  }
  sim.RunUntil(end + 5000);
  auto violations = sim.Violations();
  for (const auto& it : sim.Unfinished()) violations.push_back("UNFINISHED: " + it);
  if (violations.empty()) return;
  std::cout << "seed " << settings.seed << "\n";
  for (std::size_t n = 0; n < violations.size() && n < 8; ++n) {
    std::cout << "  " << violations[n] << "\n";
  }
  FAIL("an invariant was violated");
}

std::uint64_t Number(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

void RunSeeds(FleetSim::Settings settings, const FaultInjector& inject_fault) {
  const std::uint64_t first = Number("FLEET_FIRST_SEED", 1);
  const std::uint64_t seeds = Number("FLEET_SEEDS", 40);
  for (settings.seed = first; settings.seed < first + seeds; ++settings.seed) {
    RunSeed(settings, inject_fault);
  }
}

BackendId AnyBackend(FleetSim& sim) {
  return std::next(sim.backends.begin(), sim.Draw(static_cast<int>(sim.backends.size())))->first;
}

void KillOwner(FleetSim& sim) {
  const int owner = sim.OwnerNode();
  if (owner < 0) return;
  sim.Trace(owner, "killed");
  sim.KillNode(owner);
  sim.At(sim.now() + 200 + sim.Draw(4000), [&sim, owner] { sim.StartNode(owner); });
}

void FreezeOwner(FleetSim& sim) {
  const int owner = sim.OwnerNode();
  if (owner < 0) return;
  sim.Trace(owner, "frozen");
  sim.SetFrozen(owner, true);
  sim.At(sim.now() + 500 + sim.Draw(8000), [&sim, owner] { sim.SetFrozen(owner, false); });
}

// Cuts some backend servers off from one node.
void CutSome(FleetSim& sim) {
  const int node = sim.Draw(static_cast<int>(sim.nodes.size()));
  for (int n = 0; n < 3; ++n) {
    const std::pair<int, BackendId> cut(node, AnyBackend(sim));
    sim.Trace(node, "cut off from " + cut.second.str());
    sim.cuts.insert(cut);
    sim.At(sim.now() + 1000 + sim.Draw(12'000), [&sim, cut] { sim.cuts.erase(cut); });
  }
}

void SlowStore(FleetSim& sim) {
  sim.store_reply_delay = 100 + sim.Draw(900);
  sim.Trace(-1, "store slow " + std::to_string(sim.store_reply_delay));
  sim.At(sim.now() + 1000 + sim.Draw(8000), [&sim] { sim.store_reply_delay = 0; });
}

// Ends the owner, and its successors soon after they have taken over.
void KillOwnersInTurn(FleetSim& sim) {
  KillOwner(sim);
  for (int n = 0; n < 3; ++n) {
    sim.At(sim.now() + 3000 + sim.Draw(5000), [&sim] { KillOwner(sim); });
  }
}

FleetSim::Settings LongRunningJobs() {
  FleetSim::Settings settings;
  settings.long_running_jobs = 1;
  return settings;
}

// Hands in some jobs and runs until their tasks are at work.
void RunLongRunningJobs(FleetSim& sim) {
  sim.lease_expiry_forbidden = false;
  sim.RunUntil(kLoadStart);
  for (int n = 0; n < 8; ++n) sim.SubmitRandomJob();
  sim.RunUntil(8000);
}

// Checks that each of these tasks runs at that time.
void CheckBackBy(FleetSim& sim, std::set<std::string> lost, std::int64_t at) {
  sim.RunUntil(at);
  for (const auto& [id, backend] : sim.backends) {
    for (const auto& [task, run] : backend.running) lost.erase(task);
  }
  for (const std::string& task : lost) FAIL(task.c_str());
  for (const auto& it : sim.Violations()) FAIL(it.c_str());
}

}  // namespace

TEST_GROUP(FleetTakeoverSchedule){};

TEST(FleetTakeoverSchedule, OwnersAreKilledInTurnWhileServersAreCutOffFromSomeNodes) {
  FleetSim::Settings settings;
  settings.faults = {0.02, 0.02, 0.03, 0.03};
  RunSeeds(settings, [](FleetSim& sim) {
    CutSome(sim);
    CutSome(sim);
    KillOwnersInTurn(sim);
  });
}

TEST(FleetTakeoverSchedule, OwnersFreezeWhileServersAreCutOffFromSomeNodes) {
  FleetSim::Settings settings;
  settings.faults = {0.02, 0.02, 0.03, 0.03};
  RunSeeds(settings, [](FleetSim& sim) {
    CutSome(sim);
    CutSome(sim);
    FreezeOwner(sim);
    sim.At(sim.now() + 3000 + sim.Draw(3000), [&sim] { FreezeOwner(sim); });
  });
}

TEST(FleetTakeoverSchedule, OwnersAreKilledWhileTheStoreIsSlow) {
  FleetSim::Settings settings;
  settings.faults = {0.02, 0.02, 0.03, 0.03};
  RunSeeds(settings, [](FleetSim& sim) {
    CutSome(sim);
    SlowStore(sim);
    sim.At(sim.now() + 500 + sim.Draw(6000), [&sim] { KillOwnersInTurn(sim); });
  });
}

// Guards against work that is started while it still runs on a silent backend server of the pool in
// which its queue was before.
TEST(FleetTakeoverSchedule, QueuesMoveBetweenPoolsWhileOwnersChangeAndServersAreCutOff) {
  FleetSim::Settings settings;
  settings.faults = {0.02, 0.02, 0.02, 0.02};
  RunSeeds(settings, [](FleetSim& sim) {
    sim.MoveQueue(sim.Draw(2), sim.Draw(2));
    sim.At(sim.now() + sim.Draw(3000), [&sim] { CutSome(sim); });
    sim.At(sim.now() + 500 + sim.Draw(3000), [&sim] {
      const BackendId id = AnyBackend(sim);
      sim.Trace(-1, "cut off " + id.str());
      sim.backends.at(id).disconnected = true;
      sim.At(sim.now() + 1000 + sim.Draw(6000),
             [&sim, id] { sim.backends.at(id).disconnected = false; });
    });
    sim.At(sim.now() + 1000 + sim.Draw(3000), [&sim] { KillOwner(sim); });
  });
}

// Guards against work that is started while it still runs on a silent backend server: the owner
// wrote when its lease ends by the store's clock, which it knew from a reply that took long, and
// the time was too early by that.
TEST(FleetTakeoverSchedule, ASlowReplyOfTheStoreDoesNotShortenTheLeaseOfASilentServer) {
  FleetSim sim({});
  sim.lease_expiry_forbidden = false;
  sim.RunUntil(kLoadStart);
  for (int n = 0; n < 60; ++n) sim.At(kLoadStart + 50 * n, [&sim] { sim.SubmitRandomJob(); });
  sim.RunUntil(5000);
  sim.store_reply_delay = 1000;
  sim.RunUntil(9000);
  for (auto& [id, backend] : sim.backends) {
    if (id.str().ends_with("-2") || id.str().ends_with("-3")) sim.unheard.insert(id);
  }
  // The owner writes that it gives these servers up.
  sim.RunUntil(12'500);
  const int owner = sim.OwnerNode();
  for (auto& [id, backend] : sim.backends) backend.disconnected = sim.unheard.count(id) > 0;
  sim.nodes[owner].entry->BeginStop();
  sim.store_reply_delay = 0;
  sim.RunUntil(13'500);
  CHECK(sim.OwnerNode() >= 0 && sim.OwnerNode() != owner);
  sim.RunUntil(20'000);
  for (const auto& it : sim.Violations()) FAIL(it.c_str());
}

// Guards against long-running tasks that are down for 12 s because their servers leave while the
// owner is stopped as planned: a successor that did not know whether these servers had restarted
// waited for the longest lease that they accept.
TEST(FleetTakeoverSchedule, TasksOfServersThatLeaveDuringAPlannedStopAreBackInTime) {
  FleetSim sim(LongRunningJobs());
  RunLongRunningJobs(sim);
  const int owner = sim.OwnerNode();
  CHECK(owner >= 0);
  sim.nodes[owner].entry->BeginStop();
  sim.RunUntil(8300);
  std::set<std::string> lost;
  for (auto& [id, backend] : sim.backends) {
    if (!id.str().ends_with("-0")) continue;
    for (const auto& [task, run] : backend.running) lost.insert(task);
  }
  CHECK_FALSE(lost.empty());
  constexpr std::int64_t kNever = 1'000'000;
  for (const char* id : {"b0-0", "b1-0"}) sim.CrashBackend(BackendId(id), kNever, false);
  // Time in which a long-running task has to be back at work.
  constexpr std::int64_t kBack = 9000;
  CheckBackBy(sim, std::move(lost), 8300 + kBack);
}

// The same for an owner that is killed: it has told its successor that the servers, which drain,
// get no further starts.
TEST(FleetTakeoverSchedule, TasksOfDrainingServersAreBackInTimeAfterTheOwnerIsKilled) {
  FleetSim sim(LongRunningJobs());
  RunLongRunningJobs(sim);
  for (const char* id : {"b0-0", "b1-0"}) sim.SetDraining(BackendId(id));
  sim.RunUntil(8150);
  const int owner = sim.OwnerNode();
  CHECK(owner >= 0);
  sim.KillNode(owner);
  std::set<std::string> lost;
  for (const char* id : {"b0-0", "b1-0"}) {
    for (const auto& [task, run] : sim.backends.at(BackendId(id)).running) lost.insert(task);
  }
  CHECK_FALSE(lost.empty());
  constexpr std::int64_t kNever = 1'000'000;
  for (const char* id : {"b0-0", "b1-0"}) sim.CrashBackend(BackendId(id), kNever, false);
  while (sim.OwnerNode() < 0) sim.RunUntil(sim.now() + 10);
  // Time in which a long-running task has to be back at work once there is an owner.
  constexpr std::int64_t kBack = 9000;
  CheckBackBy(sim, std::move(lost), sim.now() + kBack);
}
