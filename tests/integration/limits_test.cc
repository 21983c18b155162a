#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <string>

#include "sapphirewheel/state/json.h"
#include "tests/integration/fleet_setup.h"
#include "tests/standins/support.h"

// clang-format off
#include "CppUTest/TestHarness.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"
// clang-format on

namespace json = boost::json;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kLimit = 6;
// Callers at each of the two entry VMs; five times the limit in total.
constexpr int kCallers = 15;

// Number of starts on workers since `from_us`.
std::size_t Starts(const Fleet& fleet, std::int64_t from_us) {
  std::size_t n = 0;
  for (const auto& start : RunningSlots(fleet, kTeam)) n += start.at_us >= from_us ? 1 : 0;
  return n;
}

bool AwaitStarts(const Fleet& fleet, std::int64_t from_us, std::size_t n) {
  return WaitUntil([&]() { return Starts(fleet, from_us) >= n; }, 20s);
}

// Waits until `time` has elapsed since `from_us` on the monotonic clock: the length of a fault.
void WaitUntilElapsed(std::int64_t from_us, std::chrono::microseconds time) {
  CHECK_TRUE(WaitUntil([&]() { return MonotonicMicros() >= from_us + time.count(); }, 30s));
}

void Report(const char* test, const Fleet& fleet) {
  std::cout << "\n"
            << test << ": limit " << kLimit << ", peak " << PeakSlots(fleet, kTeam) << " slots in "
            << Starts(fleet, 0) << " starts" << std::endl;
}

}  // namespace

// clang-format off
TEST_GROUP(Limits) {
  // Makes the leak check safe for the threads of the callers.
  void setup() override { MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads(); }
};
// clang-format on

// Guards against nodes or data centres that each admit requests up to the limit, and against a
// limit that cannot be used in full.
TEST(Limits, DemandInAllDataCentresStaysWithinTheLimit) {
  Fleet fleet(SmallFleet(1, 2));
  const std::string token = SetUpTeam(fleet, 4, kLimit);
  const std::int64_t from = MonotonicMicros();
  RequestLoad one(fleet, "dc1-e1", token, {{"run_ms", 100}}, kCallers);
  RequestLoad two(fleet, "dc2-e1", token, {{"run_ms", 100}}, kCallers);
  CHECK_TRUE(AwaitStarts(fleet, from, 100));
  one.Stop();
  two.Stop();
  Report("demand", fleet);
  LONGS_EQUAL(kLimit, PeakSlots(fleet, kTeam));
}

// Guards against a data centre that grants itself tokens while it cannot reach the platform.
TEST(Limits, PartitionedDataCentreStaysWithinTheLimit) {
  Fleet fleet(SmallFleet(1, 2));
  const std::string token = SetUpTeam(fleet, 4, kLimit);
  const std::string grace_token = GrantKey(fleet, "dc1-e1", "brewers-2", kTeam, 60000);
  CHECK_TRUE(WaitUntil(
      [&]() {
        return fleet.Call("dc2-e1", ServiceCall(grace_token, {{"run_ms", 1}})).response.status ==
               200;
      },
      10s));
  RequestLoad one(fleet, "dc1-e1", grace_token, {{"run_ms", 100}}, kCallers);
  RequestLoad two(fleet, "dc2-e1", grace_token, {{"run_ms", 100}}, kCallers);
  CHECK_TRUE(AwaitStarts(fleet, 0, 40));
  const std::int64_t cut = MonotonicMicros();
  PartitionDataCentre(fleet, 2);
  WaitUntilElapsed(cut, 4s);
  CHECK_TRUE(AwaitStarts(fleet, cut, 20));
  const std::int64_t joined = MonotonicMicros();
  HealPartition(fleet);
  CHECK_TRUE(AwaitStarts(fleet, joined, 60));
  one.Stop();
  two.Stop();
  Report("cut off", fleet);
  CHECK_TRUE(PeakSlots(fleet, kTeam) <= kLimit);
}

// Guards against tokens of a killed daemon that are reused while its tasks still run on workers.
TEST(Limits, TokensOfAKilledDaemonAreReclaimedAfterItsTasks) {
  Fleet fleet(SmallFleet(1, 2));
  const std::string token = SetUpTeam(fleet, 4, kLimit);
  RequestLoad killed_load(fleet, "dc2-e1", token, {{"run_ms", 8000}}, kCallers);
  CHECK_TRUE(AwaitStarts(fleet, 0, 3));
  RequestLoad other(fleet, "dc1-e1", token, {{"run_ms", 100}}, kCallers);
  const std::int64_t killed = MonotonicMicros();
  fleet.Replace("dc2-e1", "dc2-e2");
  RequestLoad next(fleet, "dc2-e2", token, {{"run_ms", 100}}, kCallers);
  // All tokens are reclaimed once as many slots as the limit are in use after the tasks of the
  // killed daemon.
  const bool recovered =
      WaitUntil([&]() { return PeakSlots(fleet, kTeam, killed + 8500000) >= kLimit; }, 20s);
  const double after = static_cast<double>(MonotonicMicros() - killed) / 1e6;
  killed_load.Stop();
  other.Stop();
  next.Stop();
  Report("killed and replaced", fleet);
  std::cout << "full limit in use again after " << after << " s" << std::endl;
  CHECK_TRUE(PeakSlots(fleet, kTeam) <= kLimit);
  CHECK_TRUE(recovered);
}

// Guards against a daemon that continues to use its tokens after others have reclaimed them.
TEST(Limits, DaemonFrozenPastItsLeaseStaysWithinTheLimit) {
  Fleet fleet(SmallFleet(1, 2));
  const std::string token = SetUpTeam(fleet, 4, kLimit);
  RequestLoad one(fleet, "dc1-e1", token, {{"run_ms", 100}}, kCallers);
  RequestLoad two(fleet, "dc2-e1", token, {{"run_ms", 100}}, kCallers);
  CHECK_TRUE(AwaitStarts(fleet, 0, 40));
  const std::int64_t frozen = MonotonicMicros();
  fleet.Freeze("dc2-e1");
  WaitUntilElapsed(frozen, 6s);
  const std::int64_t thawed = MonotonicMicros();
  fleet.Thaw("dc2-e1");
  const bool served = AwaitStarts(fleet, thawed, 60);
  one.Stop();
  two.Stop();
  Report("frozen", fleet);
  CHECK_TRUE(served);
  CHECK_TRUE(PeakSlots(fleet, kTeam) <= kLimit);
}

// Guards against starts above a lowered limit once it is in force.
TEST(Limits, LoweredLimitHoldsForEveryLaterStart) {
  constexpr int kLower = 2;
  Fleet fleet(SmallFleet(1, 2));
  const std::string token = SetUpTeam(fleet, 4, kLimit);
  RequestLoad one(fleet, "dc1-e1", token, {{"run_ms", 400}}, kCallers);
  RequestLoad two(fleet, "dc2-e1", token, {{"run_ms", 400}}, kCallers);
  CHECK_TRUE(WaitUntil([&]() { return PeakSlots(fleet, kTeam) >= kLimit; }, 20s));
  const std::int64_t confirmed = MonotonicMicros();
  ApplyOrThrow(fleet, "dc1-e1", TeamIntent(kTeam, kLower));
  // A change is in force everywhere within 6 s of its confirmation.
  const std::int64_t in_force = confirmed + 6000000;
  CHECK_TRUE(AwaitStarts(fleet, in_force, 10));
  one.Stop();
  two.Stop();
  std::int64_t last_above = confirmed;
  for (const auto& start : RunningSlots(fleet, kTeam)) {
    if (start.slots > kLower) last_above = std::max(last_above, start.at_us);
  }
  std::cout << "\nlowered from " << kLimit << " to " << kLower << ": last start above it "
            << static_cast<double>(last_above - confirmed) / 1e6 << " s after the confirmation"
            << std::endl;
  CHECK_TRUE(PeakSlots(fleet, kTeam, in_force) <= kLower);
}
