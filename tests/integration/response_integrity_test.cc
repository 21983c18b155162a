#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/invariant_checks.h"

#include "CppUTest/TestHarness.h"

namespace json = boost::json;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kWorkers = 4;
constexpr int kCallers = 12;
constexpr int kCallsEach = 15;

// Larger than one TCP segment and than the buffers for a short response.
constexpr std::size_t kPadding = 6000;

CallOptions Options(int number) {
  return {.repeatable = number % 2 == 0,
          .run_ms = 5 + number % 3 * 10,
          .deadline_ms = 1500,
          .padding = number % 3 == 0 ? kPadding : 0};
}

// Makes the calls of one caller over a persistent connection, and over a new one when it has ended.
std::vector<CallerCall> RunCaller(const std::string& vm, const std::string& address,
                                  const std::string& prefix) {
  std::vector<CallerCall> calls;
  auto connection = std::make_unique<PersistentConnection>(address);
  for (int n = 0; n < kCallsEach; ++n) {
    calls.push_back(connection->Call(vm, prefix + "-" + std::to_string(n), 1, Options(n)));
    if (!connection->open()) connection = std::make_unique<PersistentConnection>(address);
  }
  return calls;
}

// Runs all callers at the same time, distributed over the daemons.
std::vector<CallerCall> RunCallers(const Fleet& fleet, const std::string& prefix) {
  const auto vms = fleet.entries();
  std::vector<std::vector<CallerCall>> parts(kCallers);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const std::string vm = vms[i % vms.size()];
    threads.emplace_back([&parts, i, vm, address = fleet.Address(vm), prefix]() {
      parts[i] = RunCaller(vm, address, prefix + std::to_string(i));
    });
  }
  for (auto& thread : threads) thread.join();
  std::vector<CallerCall> calls;
  for (const auto& part : parts) calls.insert(calls.end(), part.begin(), part.end());
  std::cout << " [" << Summary(calls) << "] ";
  return calls;
}

std::size_t Served(const std::vector<CallerCall>& calls) {
  return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [](const auto& call) {
    return call.outcome.response.status == 200;
  }));
}

// Injects a fault into a part of the backend servers' responses. Each caller must get the complete
// response to its own request, or an error.
void RunWithFault(const json::object& fault) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  json::object body{{"op", "answers"}, {"probability", 0.4}, {"seed", 3}};
  body.insert(fault.begin(), fault.end());
  fleet.ControlWorker("*", body);
  auto calls = RunCallers(fleet, "fault");
  fleet.ControlWorker("*", {{"op", "answers"}, {"mode", ""}});
  CHECK_TRUE(Served(calls) > 0);
  // No bytes of earlier responses remain on the connections between daemons and workers.
  const auto after = RunCallers(fleet, "after");
  CHECK_TRUE(Served(after) > 0);
  calls.insert(calls.end(), after.begin(), after.end());
  STRCMP_EQUAL("", CheckEchoes(calls).c_str());
  STRCMP_EQUAL("", CheckNoBrokenCall(calls).c_str());
  const auto events = fleet.WorkerEvents();
  STRCMP_EQUAL("", CheckAtMostOnce(calls, events).c_str());
  STRCMP_EQUAL("", CheckNotRun(calls, events).c_str());
}

}  // namespace

// clang-format off
TEST_GROUP(ResponseIntegrity) {};
// clang-format on

// Guards against a response that arrives after its deadline and is returned for the next request.
TEST(ResponseIntegrity, LateResponsesReachNoOtherCaller) {
  RunWithFault({{"mode", "late"}, {"ms", 1700}});
}

// Guards against a caller that receives the complete response to another request.
TEST(ResponseIntegrity, SwappedResponsesReachNoOtherCaller) { RunWithFault({{"mode", "swapped"}}); }

// Guards against a truncated response that is forwarded as a complete one.
TEST(ResponseIntegrity, TruncatedResponsesAreErrors) { RunWithFault({{"mode", "truncated"}}); }

// Guards against a second copy of a response that is read as the response to the next request.
TEST(ResponseIntegrity, DuplicatedResponsesReachNoOtherCaller) {
  RunWithFault({{"mode", "duplicated"}});
}

// Guards against a truncated response when the network closes a connection during the response.
TEST(ResponseIntegrity, ConnectionsClosedMidResponseAreErrors) {
  Fleet fleet(FastPollFleet());
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers));
  const std::string workers = fleet.Address("dc1-w1").substr(0, 8);
  fleet.ControlProxy({{"op", "add"},
                      {"id", "t"},
                      {"action", "truncate"},
                      {"direction", "back"},
                      {"bytes", 9000},
                      {"source", "dc1-e1"},
                      {"destination", workers}});
  auto calls = RunCallers(fleet, "middle");
  fleet.ControlProxy({{"op", "clear"}});
  const auto after = RunCallers(fleet, "after");
  CHECK_TRUE(Served(after) > 0);
  calls.insert(calls.end(), after.begin(), after.end());
  STRCMP_EQUAL("", CheckEchoes(calls).c_str());
  STRCMP_EQUAL("", CheckNoBrokenCall(calls).c_str());
}
