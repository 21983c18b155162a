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

// I9: time limit after which a leaving backend server receives no new work.
constexpr std::int64_t kLeavingLimitUs = 5'000'000;
constexpr int kWorkers = 4;

// Runs of up to 600 ms, so that requests are in progress at every step of a stop. The deadline is
// longer than every wait for a worker, so that no call reaches it.
CallOptions MixedCalls(int number) {
  return {.repeatable = number % 2 == 0, .run_ms = 20 + number % 4 * 190, .deadline_ms = 14000};
}

// Starts on `vm` that were accepted or refused after `since_us`, one per line.
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

// Waits until the limit and another second have passed, and then until 20 more calls are served.
void ServePastTheLeavingLimit(CallerLoad& load, std::int64_t marked_us) {
  CHECK_TRUE(WaitUntil(
      [&]() { return MonotonicMicros() > marked_us + kLeavingLimitUs + 1'000'000; }, 10s));
  CHECK_TRUE(load.AwaitServed(20, 10s));
}

}  // namespace

// clang-format off
TEST_GROUP(Stops) {};
// clang-format on

// Guards against a planned stop that breaks a caller's connection, leaves the outcome of a call
// unknown, starts a request twice or does not exit cleanly.
TEST(Stops, RollingRestartBreaksNoCall) {
  FleetOptions options = FastPollFleet();
  options.entries = 2;
  Fleet fleet(options);
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  CallerLoad load(fleet, "stop", 8, MixedCalls);
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

// Guards against a leaving daemon that keeps forwarded requests while its backend servers move to
// another daemon: the requests would wait there until their deadlines.
TEST(Stops, LeavingDaemonReturnsForwardedRequests) {
  FleetOptions options = FastPollFleet();
  options.data_centres = 1;
  options.entries = 2;
  Fleet fleet(options);
  CHECK_TRUE(SetUpOpenService(fleet, options.workers));
  // More callers than the backend servers have slots, so that requests are forwarded and queued.
  CallerLoad load(fleet, "back", 24, MixedCalls);
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
  // All backend servers together complete the queued requests in about a second, well within the
  // deadline.
  const auto late = std::count_if(calls.begin(), calls.end(), [](const CallerCall& it) {
    return it.outcome.response.status == 504;
  });
  LONGS_EQUAL(0, late);
  STRCMP_EQUAL("", CheckNotRun(calls, fleet.WorkerEvents()).c_str());
}

// Guards against a planned stop that breaks a caller's persistent connection.
TEST(Stops, PersistentConnectionsEndBetweenRequests) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  PersistentConnection connection(fleet.Address("dc1-e1"));
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
  // The daemon announced the end of the connection in its last response.
  CHECK_TRUE(n < 500);
  STRCMP_EQUAL("", CheckNoBrokenCall(calls).c_str());
  LONGS_EQUAL(0, *fleet.Stop("dc1-e1", 20s));
}

// Guards against a daemon that ignores the phase of a worker in the platform's VM list.
TEST(Stops, WorkerMarkedLeavingInTheVmListGetsNoWork) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  CallerLoad load(fleet, "list", 8, MixedCalls);
  CHECK_TRUE(AwaitStart(fleet, "dc1-w1", 0));
  fleet.ControlPlatform({{"op", "phase"}, {"vm", "dc1-w1"}, {"phase", "leaving"}});
  const std::int64_t marked = MonotonicMicros();
  ServePastTheLeavingLimit(load, marked);
  (void)load.Finish();
  STRCMP_EQUAL("",
               DispatchesAfter(fleet.WorkerEvents(), "dc1-w1", marked + kLeavingLimitUs).c_str());
}

// Guards against a daemon that still sends tasks to a worker that reports that it is leaving.
TEST(Stops, WorkerThatReportsLeavingGetsNoWork) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  CallerLoad load(fleet, "notice", 8, MixedCalls);
  CHECK_TRUE(AwaitStart(fleet, "dc1-w1", 0));
  fleet.ControlWorker("dc1-w1", {{"op", "leaving"}});
  const std::int64_t marked = MonotonicMicros();
  ServePastTheLeavingLimit(load, marked);
  (void)load.Finish();
  STRCMP_EQUAL("",
               DispatchesAfter(fleet.WorkerEvents(), "dc1-w1", marked + kLeavingLimitUs).c_str());
}

// Guards against a new owner that does not know that its worker is leaving.
TEST(Stops, LeavingWorkerGetsNoWorkFromANewOwner) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  CallerLoad load(fleet, "owner", 8, MixedCalls);
  CHECK_TRUE(AwaitStart(fleet, "dc1-w1", 0));
  CHECK_TRUE(AwaitStart(fleet, "dc1-w2", 0));
  fleet.ControlPlatform({{"op", "phase"}, {"vm", "dc1-w1"}, {"phase", "leaving"}});
  fleet.ControlWorker("dc1-w2", {{"op", "leaving"}});
  const std::int64_t marked = MonotonicMicros();
  const auto status = fleet.Stop("dc1-e1", 20s);
  CHECK_TRUE(status == 0);
  fleet.Start("dc1-e1");
  ServePastTheLeavingLimit(load, marked);
  (void)load.Finish();
  const auto events = fleet.WorkerEvents();
  STRCMP_EQUAL("", DispatchesAfter(events, "dc1-w1", marked + kLeavingLimitUs).c_str());
  STRCMP_EQUAL("", DispatchesAfter(events, "dc1-w2", marked + kLeavingLimitUs).c_str());
}
