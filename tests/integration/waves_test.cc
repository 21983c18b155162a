#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <string>

#include "sapphirewheel/state/json.h"
#include "tests/integration/invariant_checks.h"
#include "tests/standins/support.h"

#include "CppUTest/TestHarness.h"

namespace json = boost::json;
using sapphirewheel::TextField;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

// Two data centres with three workers each, all in one rack of their data centre.
constexpr int kWorkersEach = 3;
constexpr std::int64_t kMaxOut = 2;
constexpr std::int64_t kMaxOutPerRack = 1;

FleetOptions WaveFleet() {
  FleetOptions options = FastPollFleet();
  options.workers = kWorkersEach;
  return options;
}

json::object WaveIntent(const char* id) {
  return {{"kind", "wave"}, {"wave", id}, {"action", "start"}, {"pools", json::array{"mixers"}}};
}

CallOptions ShortCalls(int) { return {.repeatable = true, .run_ms = 50, .deadline_ms = 10000}; }

std::size_t Reboots(const Fleet& fleet) {
  std::size_t n = 0;
  for (const auto& entry : fleet.Transactions()) n += entry.contains("reboot") ? 1 : 0;
  return n;
}

// No VM of the pool is out and no wave holds one.
bool AllActive(const Fleet& fleet) {
  const json::object dump = fleet.ControlPlatform({{"op", "dump"}, {"table", "vms"}});
  for (const auto& item : dump.at("rows").as_array()) {
    const auto row = sapphirewheel::ParseObject(TextField(item.as_object(), "value"));
    const std::string phase = row ? TextField(row.value(), "phase") : "";
    if (phase != "active" || !TextField(row.value(), "wave").empty()) return false;
  }
  return true;
}

// Waits until every worker is in the pool, because a wave covers the VMs that are in its pools when
// it starts.
bool AwaitAssigned(const Fleet& fleet) {
  return WaitUntil(
      [&]() {
        const json::object dump = fleet.ControlPlatform({{"op", "dump"}, {"table", "vms"}});
        return dump.at("rows").as_array().size() == 2 * kWorkersEach && AllActive(fleet);
      },
      30s);
}

void CheckBudget(const Fleet& fleet) {
  std::cout << " [" << Reboots(fleet) << " reboots] ";
  STRCMP_EQUAL(
      "", CheckOutage(fleet.Transactions(), fleet.WorkerEvents(), kMaxOut, kMaxOutPerRack).c_str());
}

bool AwaitWaveEnd(const Fleet& fleet, std::size_t reboots) {
  return WaitUntil([&]() { return Reboots(fleet) >= reboots && AllActive(fleet); }, 90s);
}

}  // namespace

// clang-format off
TEST_GROUP(Waves) {};
// clang-format on

// Guards against a wave that takes more VMs out than the budget, or that does not end.
TEST(Waves, WaveUnderLoadKeepsTheBudgetAndEnds) {
  Fleet fleet(WaveFleet());
  CHECK_TRUE(SetUpOpenService(fleet, 2 * kWorkersEach, kMaxOut, kMaxOutPerRack));
  CHECK_TRUE(AwaitAssigned(fleet));
  CallerLoad load(fleet, "wave", 4, ShortCalls);
  LONGS_EQUAL(200, fleet.Apply("dc1-e1", WaveIntent("w1")).response.status);
  const bool ended = AwaitWaveEnd(fleet, 2 * kWorkersEach);
  std::cout << " [" << Summary(load.Finish()) << "] ";
  CheckBudget(fleet);
  CHECK_TRUE(ended);
}

// Guards against two waves that each count only their own VMs against the budget.
TEST(Waves, OverlappingWavesShareTheBudget) {
  Fleet fleet(WaveFleet());
  CHECK_TRUE(SetUpOpenService(fleet, 2 * kWorkersEach, kMaxOut, kMaxOutPerRack));
  CHECK_TRUE(AwaitAssigned(fleet));
  LONGS_EQUAL(200, fleet.Apply("dc1-e1", WaveIntent("w1")).response.status);
  const HttpOutcome second = fleet.Apply("dc2-e1", WaveIntent("w2"));
  std::cout << " [second wave " << second.response.status << "] ";
  CHECK_TRUE(WaitUntil([&]() { return Reboots(fleet) >= 4; }, 60s));
  CheckBudget(fleet);
}

// Guards against a new owner of a wave that does not count VMs that are already out.
TEST(Waves, OwnerOfTheWaveKilled) {
  Fleet fleet(WaveFleet());
  CHECK_TRUE(SetUpOpenService(fleet, 2 * kWorkersEach, kMaxOut, kMaxOutPerRack));
  CHECK_TRUE(AwaitAssigned(fleet));
  LONGS_EQUAL(200, fleet.Apply("dc2-e1", WaveIntent("w1")).response.status);
  CHECK_TRUE(WaitUntil([&]() { return Reboots(fleet) >= 1; }, 20s));
  // Only one of the two can run the wave, and either may; so both are killed, the second one after
  // the next reboot.
  for (const char* vm : {"dc1-e1", "dc2-e1"}) {
    const std::size_t before = Reboots(fleet);
    fleet.Kill(vm);
    fleet.Start(vm);
    (void)WaitUntil([&]() { return Reboots(fleet) > before; }, 10s);
  }
  CHECK_TRUE(fleet.AwaitReady(20s));
  const bool continued = WaitUntil([&]() { return Reboots(fleet) >= 2; }, 45s);
  CheckBudget(fleet);
  CHECK_TRUE(continued);
}
