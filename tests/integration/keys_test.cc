#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <string>

#include "sapphirewheel/state/json.h"
#include "sapphirewheel/transport/endpoint.h"
#include "tests/integration/fleet_setup.h"
#include "tests/standins/support.h"

// MemoryLeakWarningPlugin.h needs types of TestHarness.h, so the order is fixed.
// clang-format off
#include "CppUTest/TestHarness.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"
// clang-format on

namespace json = boost::json;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kLimit = 16;
constexpr const char* kOtherTeam = "greasers";
constexpr const char* kGraceTeam = "bargemen";
// The freshness bound of the daemons' keys (--key-freshness-ms), and a margin for requests in
// transit and a busy machine.
constexpr double kFreshnessSeconds = 3;
constexpr double kMarginSeconds = 1.5;

double SecondsBetween(std::int64_t from_us, std::int64_t to_us) {
  return static_cast<double>(to_us - from_us) / 1e6;
}

// Creates a team with a key and waits until every entry VM serves requests with the key.
std::string AddTeam(Fleet& fleet, const std::string& team, std::int64_t grace_ms = 0) {
  ApplyOrThrow(fleet, "dc1-e1", TeamIntent(team, kLimit));
  std::string token = GrantKey(fleet, "dc1-e1", team + "-1", team, grace_ms);
  for (const std::string& vm : fleet.entries()) {
    CHECK_TRUE(WaitUntil(
        [&]() {
          return fleet.Call(vm, ServiceCall(token, {{"run_ms", 1}})).response.status == 200;
        },
        15s));
  }
  return token;
}

// Time of the latest start of a task of the team on a worker; 0 when none started.
std::int64_t LastStart(const Fleet& fleet, const std::string& team) {
  const auto starts = RunningSlots(fleet, team);
  return starts.empty() ? 0 : starts.back().at_us;
}

// Waits until `seconds` have elapsed since `from_us` on the monotonic clock: the length of a fault.
void WaitUntilElapsed(std::int64_t from_us, double seconds) {
  CHECK_TRUE(
      WaitUntil([&]() { return SecondsBetween(from_us, MonotonicMicros()) >= seconds; }, 30s));
}

// Withdraws the team's key and returns the time of the confirmation.
std::int64_t WithdrawKey(Fleet& fleet, const std::string& team) {
  ApplyOrThrow(fleet, "dc1-e1", {{"kind", "key-withdraw"}, {"key", team + "-1"}});
  return MonotonicMicros();
}

// Sends bytes on one connection and waits until the daemon closes it or has sent two responses.
void SendRaw(const Fleet& fleet, const std::string& vm, const std::string& bytes) {
  const auto endpoint = sapphirewheel::ParseEndpoint(fleet.Address(vm)).value();
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  socket.connect({boost::asio::ip::make_address(endpoint.address), endpoint.port});
  boost::asio::write(socket, boost::asio::buffer(bytes));
  boost::system::error_code ec;
  socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
  socket.non_blocking(true);
  std::string response;
  CHECK_TRUE(WaitUntil(
      [&]() {
        char buf[4096];
        const std::size_t n = socket.read_some(boost::asio::buffer(buf), ec);
        response.append(buf, n);
        const bool twice =
            response.find("HTTP/1.1 ", response.find("HTTP/1.1 ") + 1) < response.size();
        return twice || (ec && ec != boost::asio::error::would_block);
      },
      10s));
}

std::string RawRequest(const std::string& headers, const std::string& body) {
  return std::string("POST /v1/services/") + kService +
         "/requests HTTP/1.1\r\nHost: h\r\nSapphirewheel-Repeatable: true\r\n" + headers + "\r\n" +
         body;
}

std::string ContentLength(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

}  // namespace

// clang-format off
TEST_GROUP(Keys) {
  // Makes the leak check safe for the threads of the callers.
  void setup() override { MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads(); }
};
// clang-format on

// Guards against requests and jobs that run for a team without a valid key of that team.
TEST(Keys, RequestsNeedAValidKeyOfTheirTeam) {
  Fleet fleet(SmallFleet(1, 2));
  const std::string own = SetUpTeam(fleet, 4, kLimit);
  const std::string other = AddTeam(fleet, kOtherTeam);
  std::string changed = own;
  changed.back() = changed.back() == '0' ? '1' : '0';
  const std::string secret = other.substr(other.rfind('_') + 1);
  const std::vector<std::string> wrong{"",
                                       "swk_",
                                       "swk__",
                                       "x",
                                       changed,
                                       own + "0",
                                       own.substr(0, own.size() - 1),
                                       "swk_brewers-1_" + secret,
                                       "swk_nobody_" + secret,
                                       own + " " + other};
  for (const std::string& vm : fleet.entries()) {
    for (const std::string& token : wrong) {
      HttpRequest request = ServiceCall(token, {{"id", "wrong"}, {"run_ms", 1}});
      LONGS_EQUAL(401, fleet.Call(vm, request).response.status);
      request.target = std::string("/v1/services/") + kService + "/jobs";
      LONGS_EQUAL(401, fleet.Call(vm, request).response.status);
    }
    const auto request = ServiceCall(other, {{"id", "other"}, {"run_ms", 1}});
    LONGS_EQUAL(200, fleet.Call(vm, request).response.status);
  }
  LONGS_EQUAL(0, StartsOf(fleet, "wrong"));
  LONGS_EQUAL(2, StartsOf(fleet, "other"));
  for (const auto& event : fleet.WorkerEvents()) {
    if (sapphirewheel::TextField(event, "request") != "other") continue;
    STRCMP_EQUAL(kOtherTeam, sapphirewheel::TextField(event, "team").c_str());
  }
}

// Guards against request smuggling: a request that uses the key of the previous request on the same
// connection.
TEST(Keys, PipelinedRequestNeedsItsOwnKey) {
  Fleet fleet(SmallFleet(1, 2));
  const std::string token = SetUpTeam(fleet, 4, kLimit);
  const std::string key = "Authorization: Bearer " + token + "\r\n";
  const std::string first = R"({"id":"first","run_ms":1})";
  const std::string hidden = R"({"id":"hidden","run_ms":1})";
  const std::string second = RawRequest(ContentLength(hidden), hidden);
  SendRaw(fleet, "dc1-e1", RawRequest(key + ContentLength(first), first) + second);
  LONGS_EQUAL(1, StartsOf(fleet, "first"));
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string ended = "0\r\n\r\n" + second;
  SendRaw(fleet, "dc1-e1", RawRequest(key + ContentLength(ended) + chunked, ended));
  SendRaw(fleet, "dc1-e1", RawRequest(key + "Content-Length: 5\r\n" + chunked, ended));
  SendRaw(fleet, "dc1-e1",
          RawRequest(key + ContentLength(first + second) + ContentLength(first), first + second));
  SendRaw(fleet, "dc1-e1",
          RawRequest(key + ContentLength(first) + ContentLength(first + second), first + second));
  LONGS_EQUAL(0, StartsOf(fleet, "hidden"));
}

// Guards against a withdrawal that reaches other daemons only through the platform.
TEST(Keys, WithdrawnKeyIsRejectedDuringAPlatformOutage) {
  Fleet fleet(SmallFleet(1, 2));
  (void)SetUpTeam(fleet, 4, kLimit);
  const std::string token = AddTeam(fleet, kOtherTeam);
  RequestLoad one(fleet, "dc1-e1", token, {{"run_ms", 20}}, 2);
  RequestLoad two(fleet, "dc2-e1", token, {{"run_ms", 20}}, 2);
  const std::int64_t withdrawn = WithdrawKey(fleet, kOtherTeam);
  fleet.ControlPlatform({{"op", "outage"}, {"mode", "503"}});
  WaitUntilElapsed(withdrawn, kFreshnessSeconds + kMarginSeconds + 1);
  one.Stop();
  two.Stop();
  const double seconds = SecondsBetween(withdrawn, LastStart(fleet, kOtherTeam));
  std::cout << "\nplatform out: last start " << seconds << " s after the withdrawal" << std::endl;
  CHECK_TRUE(seconds < kFreshnessSeconds + kMarginSeconds);
  CHECK_TRUE(one.StatusCounts()[401] > 0);
  CHECK_TRUE(two.StatusCounts()[401] > 0);
}

// Guards against a daemon that trusts the state from before a pause. The pause is too short for the
// other daemons to fence it.
TEST(Keys, WithdrawnKeyIsRejectedByADaemonThatWasFrozen) {
  FleetOptions options = SmallFleet(2, 2);
  options.daemon_flags = {};
  Fleet fleet(options);
  (void)SetUpTeam(fleet, 4, kLimit);
  const std::string token = AddTeam(fleet, kOtherTeam);
  fleet.Freeze("dc2-e2");
  // The requests wait in the listen queue of the frozen daemon.
  RequestLoad waiting(fleet, "dc2-e2", token, {{"run_ms", 20}}, 4);
  const std::int64_t withdrawn = WithdrawKey(fleet, kOtherTeam);
  WaitUntilElapsed(withdrawn, kFreshnessSeconds + kMarginSeconds);
  const std::int64_t thawed = MonotonicMicros();
  fleet.Thaw("dc2-e2");
  CHECK_TRUE(WaitUntil([&]() { return waiting.StatusCounts()[401] > 0; }, 20s));
  waiting.Stop();
  const std::int64_t last = LastStart(fleet, kOtherTeam);
  std::cout << "\nfrozen: last start " << SecondsBetween(withdrawn, last)
            << " s after the withdrawal" << std::endl;
  CHECK_TRUE(last < thawed);
  CHECK_TRUE(waiting.StatusCounts()[200] == 0);
}

// Guards against a partitioned data centre that accepts keys beyond the freshness bound, and
// against an isolation grace that has no effect or does not end.
TEST(Keys, PartitionedDataCentreRefusesKeysWhenTheirGraceEnds) {
  constexpr double kGraceSeconds = 6;
  Fleet fleet(SmallFleet(1, 2));
  (void)SetUpTeam(fleet, 4, kLimit);
  const std::string token = AddTeam(fleet, kOtherTeam);
  const std::string grace_token =
      AddTeam(fleet, kGraceTeam, static_cast<std::int64_t>(kGraceSeconds * 1000));
  RequestLoad plain(fleet, "dc2-e1", token, {{"run_ms", 20}}, 2);
  RequestLoad grace(fleet, "dc2-e1", grace_token, {{"run_ms", 20}}, 2);
  const std::int64_t cut = MonotonicMicros();
  PartitionDataCentre(fleet, 2);
  WaitUntilElapsed(cut, kFreshnessSeconds + kMarginSeconds);
  const int accepted = plain.StatusCounts()[200];
  (void)WithdrawKey(fleet, kOtherTeam);
  WaitUntilElapsed(cut, kGraceSeconds + kMarginSeconds);
  CHECK_TRUE(plain.StatusCounts()[503] > 0);
  CHECK_TRUE(grace.StatusCounts()[503] > 0);
  const double plain_seconds = SecondsBetween(cut, LastStart(fleet, kOtherTeam));
  const double grace_seconds = SecondsBetween(cut, LastStart(fleet, kGraceTeam));
  std::cout << "\ncut off: last start " << plain_seconds << " s after the cut without a grace, "
            << grace_seconds << " s with a grace of " << kGraceSeconds << " s" << std::endl;
  CHECK_TRUE(plain_seconds < kFreshnessSeconds + kMarginSeconds);
  CHECK_TRUE(grace_seconds > kGraceSeconds - kMarginSeconds);
  CHECK_TRUE(grace_seconds < kGraceSeconds + kMarginSeconds);
  const int before = grace.StatusCounts()[200];
  HealPartition(fleet);
  CHECK_TRUE(WaitUntil([&]() { return grace.StatusCounts()[200] > before; }, 20s));
  CHECK_TRUE(WaitUntil([&]() { return plain.StatusCounts()[401] > 0; }, 20s));
  plain.Stop();
  grace.Stop();
  LONGS_EQUAL(accepted, plain.StatusCounts()[200]);
}
