#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "sapphirewheel/state/json.h"
#include "tests/integration/invariant_checks.h"
#include "tests/standins/support.h"

#include "CppUTest/TestHarness.h"

namespace json = boost::json;
using sapphirewheel::IntField;
using sapphirewheel::TextField;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

// I9: the time after which a leaving backend server receives no new work.
constexpr std::int64_t kLeavingLimitUs = 5'000'000;
constexpr int kWorkers = 4;

// Runs of up to 600 ms, so that requests are under way at every step of a stop; the deadline is
// beyond every wait for a worker, so that no call ends by it.
CallOptions Mixed(int number) {
  return {.repeatable = number % 2 == 0, .run_ms = 20 + number % 4 * 190, .deadline_ms = 14000};
}

// Starts on `vm` that were accepted or refused after `since_us`, one a line.
std::string DispatchesAfter(const std::vector<json::object>& events, const std::string& vm,
                            std::int64_t since_us) {
  std::string found;
  for (const auto& event : events) {
    const std::string kind = TextField(event, "event");
    const bool dispatch = kind == "start" || kind == "refuse";
    if (dispatch && TextField(event, "vm") == vm && IntField(event, "at_us") > since_us) {
      found += kind + " of " + TextField(event, "request") + " after " +
               std::to_string(IntField(event, "at_us") - since_us) + " us\n";
    }
  }
  return found;
}

bool AwaitStart(const Fleet& fleet, const std::string& vm, std::int64_t since_us) {
  return WaitUntil([&]() { return !DispatchesAfter(fleet.WorkerEvents(), vm, since_us).empty(); },
                   15s);
}

// Waits until the limit has passed and callers were served for another second.
void ServeOverTheLimit(CallerLoad& load, std::int64_t marked_us) {
  CHECK_TRUE(WaitUntil(
      [&]() { return MonotonicMicros() > marked_us + kLeavingLimitUs + 1'000'000; }, 10s));
  CHECK_TRUE(load.AwaitServed(20, 10s));
}

}  // namespace

// clang-format off
TEST_GROUP(Stops) {};
// clang-format on

// Guards against a planned stop that closes a connection on a caller or leaves something behind.
TEST(Stops, EveryDaemonIsReplacedInTurn) {
  FleetOptions options = QuickFleet();
  options.entries = 2;
  Fleet fleet(options);
  CHECK_TRUE(OpenService(fleet, kWorkers));
  CallerLoad load(fleet, "stop", 8, Mixed);
  CHECK_TRUE(load.AwaitServed(10, 10s));
  for (const std::string& vm : fleet.entries()) {
    const auto status = fleet.Stop(vm, 20s);
    CHECK_TRUE(status.has_value());
    LONGS_EQUAL(0, *status);
    fleet.Start(vm);
    CHECK_TRUE(load.AwaitServed(10, 10s));
  }
  const auto calls = load.Finish();
  std::cout << " [" << Summary(calls) << "] ";
  STRCMP_EQUAL("", CheckNoBrokenCall(calls).c_str());
  STRCMP_EQUAL("", CheckNoneUnknown(calls).c_str());
  const auto events = fleet.WorkerEvents();
  STRCMP_EQUAL("", CheckAtMostOnce(calls, events).c_str());
  STRCMP_EQUAL("", CheckNotRun(calls, events).c_str());
  STRCMP_EQUAL("", CheckEchoes(calls).c_str());
}

// Guards against a leaving daemon that keeps requests which were forwarded to it while its backend
// servers pass to another daemon: they would wait there until their deadlines.
TEST(Stops, LeavingDaemonHandsBackForwardedRequests) {
  FleetOptions options = QuickFleet();
  options.data_centres = 1;
  options.entries = 2;
  Fleet fleet(options);
  CHECK_TRUE(OpenService(fleet, options.workers));
  // More callers than the backend servers have places, so that requests are forwarded and wait.
  CallerLoad load(fleet, "back", 24, Mixed);
  for (int round = 0; round < 2; ++round) {
    for (const std::string& vm : fleet.entries()) {
      CHECK_TRUE(load.AwaitServed(30, 10s));
      const auto status = fleet.Stop(vm, 20s);
      CHECK_TRUE(status.has_value());
      LONGS_EQUAL(0, *status);
      fleet.Start(vm);
    }
  }
  const auto calls = load.Finish();
  std::cout << " [" << Summary(calls) << "] ";
  // All backend servers together need about a second for what waits, far below the deadline.
  const auto late = std::count_if(calls.begin(), calls.end(), [](const CallerCall& it) {
    return it.outcome.response.status == 504;
  });
  LONGS_EQUAL(0, late);
  STRCMP_EQUAL("", CheckNotRun(calls, fleet.WorkerEvents()).c_str());
}

// Guards against a planned stop that breaks the connections that a caller keeps open.
TEST(Stops, KeptConnectionsEndBetweenRequests) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  KeptConnection connection(fleet.Address("dc1-e1"));
  std::vector<CallerCall> calls;
  int n = 0;
  const auto call = [&]() {
    calls.push_back(connection.Call("dc1-e1", "kept-" + std::to_string(++n), 1,
                                    {.repeatable = n % 2 == 0, .run_ms = 30}));
  };
  while (n < 5) call();
  fleet.Daemon("dc1-e1").Signal(SIGTERM);
  while (connection.open() && n < 500) call();
  std::cout << " [" << Summary(calls) << "] ";
  // The daemon announced the end of the connection with its last answer.
  CHECK_TRUE(n < 500);
  STRCMP_EQUAL("", CheckNoBrokenCall(calls).c_str());
  LONGS_EQUAL(0, *fleet.Stop("dc1-e1", 20s));
}

// Guards against a daemon that ignores the phase of a worker in the platform's list.
TEST(Stops, WorkerLeavingByTheListGetsNoWork) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  CallerLoad load(fleet, "list", 8, Mixed);
  CHECK_TRUE(AwaitStart(fleet, "dc1-w1", 0));
  fleet.ControlPlatform({{"op", "phase"}, {"vm", "dc1-w1"}, {"phase", "leaving"}});
  const std::int64_t marked = MonotonicMicros();
  ServeOverTheLimit(load, marked);
  (void)load.Finish();
  STRCMP_EQUAL("",
               DispatchesAfter(fleet.WorkerEvents(), "dc1-w1", marked + kLeavingLimitUs).c_str());
}

// Guards against a daemon that still sends tasks to a worker that gave notice.
TEST(Stops, WorkerLeavingByItsNoticeGetsNoWork) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  CallerLoad load(fleet, "notice", 8, Mixed);
  CHECK_TRUE(AwaitStart(fleet, "dc1-w1", 0));
  fleet.ControlWorker("dc1-w1", {{"op", "leaving"}});
  const std::int64_t marked = MonotonicMicros();
  ServeOverTheLimit(load, marked);
  (void)load.Finish();
  STRCMP_EQUAL("",
               DispatchesAfter(fleet.WorkerEvents(), "dc1-w1", marked + kLeavingLimitUs).c_str());
}

// Guards against a new owner that does not know that its worker is leaving.
TEST(Stops, LeavingWorkerGetsNoWorkFromANewOwner) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  CallerLoad load(fleet, "owner", 8, Mixed);
  CHECK_TRUE(AwaitStart(fleet, "dc1-w1", 0));
  CHECK_TRUE(AwaitStart(fleet, "dc1-w2", 0));
  fleet.ControlPlatform({{"op", "phase"}, {"vm", "dc1-w1"}, {"phase", "leaving"}});
  fleet.ControlWorker("dc1-w2", {{"op", "leaving"}});
  const std::int64_t marked = MonotonicMicros();
  const auto status = fleet.Stop("dc1-e1", 20s);
  CHECK_TRUE(status == 0);
  fleet.Start("dc1-e1");
  ServeOverTheLimit(load, marked);
  (void)load.Finish();
  const auto events = fleet.WorkerEvents();
  STRCMP_EQUAL("", DispatchesAfter(events, "dc1-w1", marked + kLeavingLimitUs).c_str());
  STRCMP_EQUAL("", DispatchesAfter(events, "dc1-w2", marked + kLeavingLimitUs).c_str());
}
