#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>

#include "sapphirewheel/state/json.h"
#include "tests/integration/invariant_checks.h"

#include "CppUTest/TestHarness.h"

namespace json = boost::json;
using sapphirewheel::TextField;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kWorkers = 4;

json::object EmptyPoolIntent(const char* name) {
  return {{"kind", "pool"}, {"pool", name}, {"services", json::array{"pack"}},
          {"size", 0},      {"max_out", 4}, {"max_out_per_rack", 4}};
}

json::object MoveIntent(const char* vm, const char* pool) {
  return {{"kind", "vm-pool"}, {"vm", vm}, {"pool", pool}};
}

// Sets up an open service and two further pools, and waits until every worker is in a pool.
void SetUpPools(Fleet& fleet) {
  CHECK_TRUE(SetUpOpenService(fleet, kWorkers, 4, 4));
  LONGS_EQUAL(200, fleet.Apply("dc1-e1", EmptyPoolIntent("packers")).response.status);
  LONGS_EQUAL(200, fleet.Apply("dc1-e1", EmptyPoolIntent("loaders")).response.status);
  CHECK_TRUE(WaitUntil([&]() { return PoolsOf(fleet.Transactions()).size() == kWorkers; }, 15s));
}

// Submits an intent and confirms its plan. Unlike Fleet::Apply, it may be called from any thread.
HttpOutcome Apply(const Fleet& fleet, const std::string& vm, const json::object& intent) {
  const HttpOutcome plan = fleet.Call(vm, {"POST", "/v1/intents", json::serialize(intent), {}});
  if (!plan.ok() || plan.response.status >= 300) return plan;
  const auto body = sapphirewheel::ParseObject(plan.response.body);
  return fleet.Call(
      vm, {"POST", "/v1/plans/" + TextField(body.value(), "plan") + "/confirm", "{}", {}});
}

}  // namespace

// clang-format off
TEST_GROUP(Pools) {};
// clang-format on

// Guards against concurrent moves of one VM by two operators that both apply to the same state.
TEST(Pools, TwoOperatorsMoveTheSameVm) {
  Fleet fleet(FastPollFleet());
  SetUpPools(fleet);
  for (const char* vm : {"dc1-w1", "dc2-w1"}) {
    HttpOutcome second;
    std::thread second_operator(
        [&]() { second = Apply(fleet, "dc2-e1", MoveIntent(vm, "loaders")); });
    const HttpOutcome first = Apply(fleet, "dc1-e1", MoveIntent(vm, "packers"));
    second_operator.join();
    std::cout << " [" << first.response.status << ", " << second.response.status << "] ";
    CHECK_TRUE(first.response.status == 200 || second.response.status == 200);
  }
  STRCMP_EQUAL("", CheckVmRows(fleet.Transactions()).c_str());
}

// Guards against a move that is applied twice or undone because its response was lost.
TEST(Pools, LostResponseToAMove) {
  Fleet fleet(FastPollFleet());
  SetUpPools(fleet);
  for (const char* pool : {"packers", "loaders"}) {
    fleet.ControlPlatform(
        {{"op", "lose_answers"}, {"probability", 0.5}, {"seed", 11}, {"target", "/v1/transact"}});
    const HttpOutcome moved = Apply(fleet, "dc1-e1", MoveIntent("dc1-w1", pool));
    fleet.ControlPlatform({{"op", "lose_answers"}});
    std::cout << " [" << moved.response.status << "] ";
    if (moved.response.status == 200) {
      STRCMP_EQUAL(pool, PoolsOf(fleet.Transactions()).at("dc1-w1").c_str());
    }
  }
  STRCMP_EQUAL("", CheckVmRows(fleet.Transactions()).c_str());
}
