#include "fleet_schedule_runner.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::FleetSim;
using sapphirewheel::testing::KillOwner;
using sapphirewheel::testing::RunSeeds;

namespace {

FleetSim::Settings QueuedCalls() {
  FleetSim::Settings settings;
  settings.long_running_jobs = 0.5;
  settings.capacity = {16'000, 100'000, 0};
  settings.faults.queued_calls = 0.7;
  return settings;
}

// Restarts half of the backend servers under their ids while jobs are handed in, and disconnects
// each for some seconds up to `connected_for` after its return. Each drains before, for up to
// `longest_drain` if that is not 0.
void RestartAndDisconnect(FleetSim& sim, int longest_down, int connected_for,
                          int longest_drain = 0) {
  // Nobody can extend the leases of the disconnected servers.
  sim.lease_expiry_forbidden = false;
  constexpr int kJobs = 8;
  for (int n = 0; n < kJobs; ++n) sim.SubmitRandomJob();
  for (auto& [id, backend] : sim.backends) {
    if (sim.Draw(2) == 0) continue;
    const int drain = longest_drain > 0 ? 1 + sim.Draw(longest_drain) : 0;
    if (drain > 0) sim.SetDraining(id);
    sim.At(sim.now() + drain + 10 + sim.Draw(150), [&sim, id = id, longest_down, connected_for] {
      if (!sim.backends.at(id).alive) return;
      const std::int64_t down_for = 100 + sim.Draw(longest_down);
      sim.CrashBackend(id, down_for, true, sim.Draw(3000));
      sim.At(sim.now() + down_for + 1 + sim.Draw(connected_for), [&sim, id] {
        sim.backends.at(id).disconnected = true;
        sim.At(sim.now() + 3000 + sim.Draw(9000), [&sim, id] {
          sim.backends.at(id).disconnected = false;
          sim.backends.at(id).reconnected_at = sim.now();
        });
      });
    });
  }
}

// Stops the owner as planned, and starts its node again later.
void StopOwner(FleetSim& sim) {
  const int owner = sim.OwnerNode();
  if (owner < 0) return;
  sim.Trace(owner, "stopped");
  sim.nodes[owner].entry->BeginStop();
  constexpr std::int64_t kDrain = 2500;
  sim.At(sim.now() + kDrain, [&sim, owner] { sim.KillNode(owner); });
  sim.At(sim.now() + kDrain + sim.Draw(2000), [&sim, owner] { sim.StartNode(owner); });
}

}  // namespace

TEST_GROUP(FleetRestartSchedule){};

// Guards against two runs of a task: a poll that was given up before a server restarted prolongs,
// by the clock of the earlier incarnation, the lease of what is started on the next one.
TEST(FleetRestartSchedule, CallsThatWereGivenUpReachTheNextIncarnation) {
  constexpr int kLongestDown = 4000;
  constexpr int kConnectedFor = 2500;
  RunSeeds(QueuedCalls(),
           [](FleetSim& sim, int) { RestartAndDisconnect(sim, kLongestDown, kConnectedFor); });
}

// Guards against two runs of a task after a change of owner: a restarted server took a start of the
// owner that was killed, which therefore could not tell its successor of the longer lease.
TEST(FleetRestartSchedule, TheOwnerIsKilledBeforeItKnowsOfARestart) {
  constexpr int kLongestDown = 600;
  constexpr int kConnectedFor = 200;
  RunSeeds(QueuedCalls(), [](FleetSim& sim, int) {
    RestartAndDisconnect(sim, kLongestDown, kConnectedFor);
    sim.At(sim.now() + 100 + sim.Draw(1500), [&sim] { KillOwner(sim); });
  });
}

// The same for an owner that stops as planned: it tells its successor which servers may have taken
// a start that way, and of the others that the usual lease is enough.
TEST(FleetRestartSchedule, TheOwnerStopsBeforeItKnowsOfARestart) {
  constexpr int kLongestDown = 600;
  constexpr int kConnectedFor = 200;
  RunSeeds(QueuedCalls(), [](FleetSim& sim, int) {
    RestartAndDisconnect(sim, kLongestDown, kConnectedFor);
    sim.At(sim.now() + 100 + sim.Draw(1500), [&sim] { StopOwner(sim); });
  });
}

// Guards against a successor that believes what the last but one owner told, although the last one
// has extended leases since.
TEST(FleetRestartSchedule, AnOwnerIsStoppedAndItsSuccessorKilled) {
  constexpr int kLongestDown = 600;
  constexpr int kConnectedFor = 200;
  RunSeeds(QueuedCalls(), [](FleetSim& sim, int) {
    sim.At(sim.now() + 100 + sim.Draw(1500), [&sim] { StopOwner(sim); });
    sim.At(sim.now() + 500 + sim.Draw(1500),
           [&sim] { RestartAndDisconnect(sim, kLongestDown, kConnectedFor); });
    sim.At(sim.now() + 1500 + sim.Draw(2500), [&sim] { KillOwner(sim); });
  });
}

// Guards against two runs of a task: a roster said of a draining server that it gets no further
// starts, and the server restarted under its id and got one.
TEST(FleetRestartSchedule, DrainingServersRestartAndOwnersAreKilled) {
  constexpr int kLongestDown = 600;
  constexpr int kConnectedFor = 1500;
  constexpr int kLongestDrain = 1000;
  RunSeeds(QueuedCalls(), [](FleetSim& sim, int) {
    RestartAndDisconnect(sim, kLongestDown, kConnectedFor, kLongestDrain);
    sim.At(sim.now() + 100 + sim.Draw(1500), [&sim] { KillOwner(sim); });
    sim.At(sim.now() + 1000 + sim.Draw(4000), [&sim] { KillOwner(sim); });
  });
}
