#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "sapphirewheel/state/json.h"
#include "tests/integration/invariant_checks.h"

#include "CppUTest/TestHarness.h"

namespace json = boost::json;
using sapphirewheel::TextField;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kWorkers = 4;

// Sends the keys PREFIX-0... each through every daemon at the same time, as call number `n`.
std::vector<CallerCall> SendToAll(const Fleet& fleet, const std::string& prefix, int keys, int n,
                                  const CallOptions& options) {
  const auto vms = fleet.entries();
  std::vector<CallerCall> calls(static_cast<std::size_t>(keys) * vms.size());
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const std::string vm = vms[i % vms.size()];
    const std::string key = prefix + "-" + std::to_string(i / vms.size());
    const int number = n * 10 + static_cast<int>(i % vms.size());
    threads.emplace_back([&calls, i, vm, address = fleet.Address(vm), key, number, options]() {
      calls[i] = CallOnce(vm, address, key, number, options);
    });
  }
  for (auto& thread : threads) thread.join();
  return calls;
}

void Append(std::vector<CallerCall>& to, const std::vector<CallerCall>& more) {
  to.insert(to.end(), more.begin(), more.end());
}

// Repeats every key through all daemons until none is answered "not-run" by all of them.
void RetryAll(const Fleet& fleet, const std::string& prefix, int keys,
              std::vector<CallerCall>& calls) {
  // Above the numbers of earlier calls, so that each call keeps a name of its own.
  int n = 100;
  const auto settled = [&]() {
    const auto round = SendToAll(fleet, prefix, keys, ++n, {});
    Append(calls, round);
    return std::none_of(round.begin(), round.end(),
                        [](const auto& call) { return call.run == "not-run"; });
  };
  CHECK_TRUE(WaitUntil(settled, 20s));
}

void CheckAll(const Fleet& fleet, const std::vector<CallerCall>& calls) {
  std::cout << " [" << Summary(calls) << "] ";
  const auto events = fleet.WorkerEvents();
  STRCMP_EQUAL("", CheckAtMostOnce(calls, events).c_str());
  STRCMP_EQUAL("", CheckNotRun(calls, events).c_str());
  STRCMP_EQUAL("", CheckEchoes(calls).c_str());
}

// Waits until a transaction that writes claims has been committed after the first `seen` ones.
bool AwaitClaims(const Fleet& fleet, std::size_t seen) {
  return WaitUntil(
      [&]() {
        const auto entries = fleet.Transactions();
        for (std::size_t i = seen; i < entries.size(); ++i) {
          const auto* writes = entries[i].if_contains("writes");
          if (writes == nullptr) continue;
          for (const auto& write : writes->as_array()) {
            if (TextField(write.as_object(), "table") == "claims") return true;
          }
        }
        return false;
      },
      10s);
}

json::object Rule(const char* action, const std::string& source, const std::string& destination,
                  const char* direction) {
  return {{"op", "add"},
          {"id", "r"},
          {"action", action},
          {"source", source},
          {"direction", direction},
          {"destination", destination}};
}

// Half of the keys may be repeated; short deadlines, so that some pass during a fault.
CallOptions Mixed(int number) {
  return {.repeatable = number % 2 == 0, .run_ms = 10 + number % 3 * 40, .deadline_ms = 1000};
}

}  // namespace

// clang-format off
TEST_GROUP(AtMostOnce) {};
// clang-format on

// Guards against two daemons that both dispatch the same request.
TEST(AtMostOnce, SameIdThroughTwoDaemonsAtOnce) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  auto calls = SendToAll(fleet, "same", 30, 1, {});
  const auto served = std::count_if(calls.begin(), calls.end(), [](const auto& call) {
    return call.outcome.response.status == 200;
  });
  CHECK_TRUE(served >= 15);
  Append(calls, SendToAll(fleet, "same", 30, 2, {}));
  CheckAll(fleet, calls);
}

// Guards against a new owner of a claim range that does not know the claims of a killed one.
TEST(AtMostOnce, OwnerKilledBetweenClaimAndDispatch) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  const std::size_t seen = fleet.Transactions().size();
  // Claims are committed, but their owners learn of it after the kill.
  fleet.ControlPlatform({{"op", "slow"}, {"after_ms", 500}});
  std::vector<CallerCall> calls;
  std::thread callers([&]() { calls = SendToAll(fleet, "owner", 20, 1, {}); });
  const bool claimed = AwaitClaims(fleet, seen);
  fleet.Kill("dc1-e1");
  callers.join();
  fleet.ControlPlatform({{"op", "slow"}});
  CHECK_TRUE(claimed);
  fleet.Start("dc1-e1");
  CHECK_TRUE(fleet.AwaitReady(20s));
  RetryAll(fleet, "owner", 20, calls);
  CheckAll(fleet, calls);
}

// Guards against a claim that counts as absent because the answer to its transaction was lost.
TEST(AtMostOnce, LostAnswersOfClaims) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  fleet.ControlPlatform(
      {{"op", "lose_answers"}, {"probability", 0.5}, {"seed", 7}, {"target", "/v1/transact"}});
  auto calls = SendToAll(fleet, "lost", 20, 1, {});
  Append(calls, SendToAll(fleet, "lost", 20, 2, {}));
  fleet.ControlPlatform({{"op", "lose_answers"}});
  RetryAll(fleet, "lost", 20, calls);
  CheckAll(fleet, calls);
}

// Guards against a daemon that dispatches without a recorded claim during an outage.
TEST(AtMostOnce, PlatformDown) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  std::vector<CallerCall> calls;
  int n = 0;
  for (const char* mode : {"503", "drop", "hang"}) {
    fleet.ControlPlatform({{"op", "outage"}, {"mode", mode}});
    Append(calls, SendToAll(fleet, "down", 10, ++n, {.deadline_ms = 1500}));
  }
  LONGS_EQUAL(0, std::count_if(calls.begin(), calls.end(), [](const auto& call) {
                return call.outcome.response.status == 200;
              }));
  CHECK_TRUE(CountRun(calls, "not-run") > 0);
  fleet.ControlPlatform({{"op", "outage"}, {"mode", ""}});
  RetryAll(fleet, "down", 10, calls);
  CheckAll(fleet, calls);
}

// Guards against a retry after "unknown" that runs the request again.
TEST(AtMostOnce, RetryAfterUnknown) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  fleet.ControlWorker("*", {{"op", "answers"}, {"mode", "dropped"}, {"next", 1000}});
  auto calls = SendToAll(fleet, "again", 10, 1, {});
  CHECK_TRUE(CountRun(calls, "unknown") > 0);
  fleet.ControlWorker("*", {{"op", "answers"}, {"mode", ""}});
  RetryAll(fleet, "again", 10, calls);
  CheckAll(fleet, calls);
}

// Guards against "not-run" for a dispatch that a cut held back or whose answer it swallowed.
TEST(AtMostOnce, NotRunIsTrueWithCutsAroundTheDispatch) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  CallerLoad load(fleet, "cut", 12, Mixed);
  CHECK_TRUE(load.AwaitServed(20, 10s));
  const std::string workers = fleet.Address("dc1-w1").substr(0, 8);
  for (const char* action : {"cut", "blackhole", "reset"}) {
    for (const char* direction : {"out", "back"}) {
      const std::size_t before = load.Calls().size();
      fleet.ControlProxy(Rule(action, "dc1-e1", workers, direction));
      (void)WaitUntil([&]() { return load.Calls().size() >= before + 12; }, 1500ms);
      fleet.ControlProxy({{"op", "clear"}});
      CHECK_TRUE(load.AwaitServed(5, 10s));
    }
  }
  CheckAll(fleet, load.Finish());
}

// Guards against "not-run" for requests that a killed daemon or backend server had started.
TEST(AtMostOnce, NotRunIsTrueWithKills) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  CallerLoad load(fleet, "kill", 12, Mixed);
  CHECK_TRUE(load.AwaitServed(20, 10s));
  for (const char* vm : {"dc1-w1", "dc2-w2", "dc1-w2"}) {
    fleet.ControlWorker(vm, {{"op", "restart"}, {"down_ms", 300}});
    CHECK_TRUE(load.AwaitServed(10, 10s));
  }
  for (const char* vm : {"dc1-e1", "dc2-e1"}) {
    fleet.Kill(vm);
    fleet.Start(vm);
    CHECK_TRUE(load.AwaitServed(10, 15s));
  }
  CheckAll(fleet, load.Finish());
}

// Guards against "not-run" for a repeatable request whose first attempt was lost with its worker
// and whose deadline passes while it waits for another one.
TEST(AtMostOnce, NotRunIsTrueAfterALostAttempt) {
  Fleet fleet(QuickFleet());
  CHECK_TRUE(OpenService(fleet, kWorkers));
  std::vector<CallerCall> calls;
  std::thread callers([&]() {
    calls = SendToAll(fleet, "attempt", 4, 1,
                      {.repeatable = true, .run_ms = 2500, .deadline_ms = 3000});
  });
  const auto started = [&]() {
    std::size_t n = 0;
    for (const auto& event : fleet.WorkerEvents()) {
      const bool ours = TextField(event, "request").rfind("attempt", 0) == 0;
      n += TextField(event, "event") == "start" && ours ? 1 : 0;
    }
    return n >= 8;
  };
  const bool all_started = WaitUntil(started, 2s);
  fleet.ControlWorker("*", {{"op", "die"}, {"permanent", true}});
  callers.join();
  CHECK_TRUE(all_started);
  CheckAll(fleet, calls);
}
