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

// Sends the keys PREFIX-0... through every daemon at the same time; `n` is the number of the round
// and distinguishes its calls from those of other rounds.
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

// Repeats every key through all daemons until no call of a round has the result "not-run".
void RetryUntilSettled(const Fleet& fleet, const std::string& prefix, int keys,
                       std::vector<CallerCall>& calls) {
  // Above the numbers of earlier rounds, so that the name of each call is unique.
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

// Waits until a transaction that writes claims is committed after the first `seen` transactions.
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

json::object ProxyRule(const char* action, const std::string& source,
                       const std::string& destination, const char* direction) {
  return {{"op", "add"},
          {"id", "r"},
          {"action", action},
          {"source", source},
          {"direction", direction},
          {"destination", destination}};
}

// Half of the requests may be repeated. The deadlines are short, so that some expire during a
// fault.
CallOptions MixedCalls(int number) {
  return {.repeatable = number % 2 == 0, .run_ms = 10 + number % 3 * 40, .deadline_ms = 1000};
}

}  // namespace

// clang-format off
TEST_GROUP(AtMostOnce) {};
// clang-format on

// Guards against two daemons that both dispatch the same request.
TEST(AtMostOnce, SameKeyThroughTwoDaemonsAtOnce) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  auto calls = SendToAll(fleet, "same", 30, 1, {});
  const auto served = std::count_if(calls.begin(), calls.end(), [](const auto& call) {
    return call.outcome.response.status == 200;
  });
  CHECK_TRUE(served >= 15);
  Append(calls, SendToAll(fleet, "same", 30, 2, {}));
  CheckAll(fleet, calls);
}

// Guards against a new owner of a claim range that does not know the claims of its killed
// predecessor.
TEST(AtMostOnce, OwnerKilledBetweenClaimAndDispatch) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  const std::size_t seen = fleet.Transactions().size();
  // Claims are committed at once, but the responses are delayed until after the kill.
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
  RetryUntilSettled(fleet, "owner", 20, calls);
  CheckAll(fleet, calls);
}

// Guards against a claim that counts as absent because the response to its transaction was lost.
TEST(AtMostOnce, LostResponsesToClaims) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  fleet.ControlPlatform(
      {{"op", "lose_answers"}, {"probability", 0.5}, {"seed", 7}, {"target", "/v1/transact"}});
  auto calls = SendToAll(fleet, "lost", 20, 1, {});
  Append(calls, SendToAll(fleet, "lost", 20, 2, {}));
  fleet.ControlPlatform({{"op", "lose_answers"}});
  RetryUntilSettled(fleet, "lost", 20, calls);
  CheckAll(fleet, calls);
}

// Guards against a daemon that dispatches requests without a recorded claim during an outage.
TEST(AtMostOnce, PlatformDown) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
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
  RetryUntilSettled(fleet, "down", 10, calls);
  CheckAll(fleet, calls);
}

// Guards against a retry after the result "unknown" that runs the request again.
TEST(AtMostOnce, RetryAfterUnknown) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  fleet.ControlWorker("*", {{"op", "answers"}, {"mode", "dropped"}, {"next", 1000}});
  auto calls = SendToAll(fleet, "again", 10, 1, {});
  CHECK_TRUE(CountRun(calls, "unknown") > 0);
  fleet.ControlWorker("*", {{"op", "answers"}, {"mode", ""}});
  RetryUntilSettled(fleet, "again", 10, calls);
  CheckAll(fleet, calls);
}

// Guards against the result "not-run" for a dispatch that a cut delayed, or whose response a cut
// discarded.
TEST(AtMostOnce, NotRunIsTrueWithCutsAroundTheDispatch) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  CallerLoad load(fleet, "cut", 12, MixedCalls);
  CHECK_TRUE(load.AwaitServed(20, 10s));
  const std::string workers = fleet.Address("dc1-w1").substr(0, 8);
  for (const char* action : {"cut", "blackhole", "reset"}) {
    for (const char* direction : {"out", "back"}) {
      const std::size_t before = load.Calls().size();
      fleet.ControlProxy(ProxyRule(action, "dc1-e1", workers, direction));
      (void)WaitUntil([&]() { return load.Calls().size() >= before + 12; }, 1500ms);
      fleet.ControlProxy({{"op", "clear"}});
      CHECK_TRUE(load.AwaitServed(5, 10s));
    }
  }
  CheckAll(fleet, load.Finish());
}

// Guards against the result "not-run" for requests that a killed daemon or backend server had
// started.
TEST(AtMostOnce, NotRunIsTrueWithKills) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  CallerLoad load(fleet, "kill", 12, MixedCalls);
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

// Guards against the result "not-run" for a repeatable request whose first attempt was lost with
// its worker and whose deadline expires while it waits for another worker.
TEST(AtMostOnce, NotRunIsTrueAfterALostAttempt) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
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
