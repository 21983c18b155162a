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

// The header of the leak check needs the types of the other one.
// clang-format off
#include "CppUTest/TestHarness.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"
// clang-format on

namespace json = boost::json;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kLimit = 16;
constexpr const char* kOther = "greasers";
constexpr const char* kIsolated = "bargemen";
// The freshness bound of the daemons, and the margin for requests on their way and a busy machine.
constexpr double kBound = 3;
constexpr double kMargin = 1.5;

double SecondsBetween(std::int64_t from_us, std::int64_t to_us) {
  return static_cast<double>(to_us - from_us) / 1e6;
}

// Creates a team with a key and waits until every entry VM serves it.
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

// When a worker started a task of the team for the last time; 0 for never.
std::int64_t LastStart(const Fleet& fleet, const std::string& team) {
  const auto starts = RunningSlots(fleet, team);
  return starts.empty() ? 0 : starts.back().at_us;
}

// Waits until the monotonic clock has passed `from_us` by `seconds`: the length of a fault.
void Last(std::int64_t from_us, double seconds) {
  CHECK_TRUE(
      WaitUntil([&]() { return SecondsBetween(from_us, MonotonicMicros()) >= seconds; }, 30s));
}

// Withdraws the team's key and returns the time of the confirmation.
std::int64_t Withdraw(Fleet& fleet, const std::string& team) {
  ApplyOrThrow(fleet, "dc1-e1", {{"kind", "key-withdraw"}, {"key", team + "-1"}});
  return MonotonicMicros();
}

// Sends bytes on one connection and waits until the daemon closes it or has answered twice.
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

std::string Raw(const std::string& headers, const std::string& body) {
  return std::string("POST /v1/services/") + kService +
         "/requests HTTP/1.1\r\nHost: h\r\nSapphirewheel-Repeatable: true\r\n" + headers + "\r\n" +
         body;
}

std::string Length(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

}  // namespace

// clang-format off
TEST_GROUP(Keys) {
  // Callers run on threads of their own.
  void setup() override { MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads(); }
};
// clang-format on

// Guards against work for a team without its key, as request and as job.
TEST(Keys, OnlyTheTeamOfThePresentedKeyGetsWork) {
  Fleet fleet(SmallFleet(1, 2));
  const std::string own = SetUpTeam(fleet, 4, kLimit);
  const std::string other = AddTeam(fleet, kOther);
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
    STRCMP_EQUAL(kOther, sapphirewheel::TextField(event, "team").c_str());
  }
}

// Guards against a request that inherits the key of the one before it on the same connection.
TEST(Keys, RequestBehindAnotherOneNeedsItsOwnKey) {
  Fleet fleet(SmallFleet(1, 2));
  const std::string token = SetUpTeam(fleet, 4, kLimit);
  const std::string key = "Authorization: Bearer " + token + "\r\n";
  const std::string first = R"({"id":"first","run_ms":1})";
  const std::string hidden = R"({"id":"hidden","run_ms":1})";
  const std::string second = Raw(Length(hidden), hidden);
  SendRaw(fleet, "dc1-e1", Raw(key + Length(first), first) + second);
  LONGS_EQUAL(1, StartsOf(fleet, "first"));
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string ended = "0\r\n\r\n" + second;
  SendRaw(fleet, "dc1-e1", Raw(key + Length(ended) + chunked, ended));
  SendRaw(fleet, "dc1-e1", Raw(key + "Content-Length: 5\r\n" + chunked, ended));
  SendRaw(fleet, "dc1-e1", Raw(key + Length(first + second) + Length(first), first + second));
  SendRaw(fleet, "dc1-e1", Raw(key + Length(first) + Length(first + second), first + second));
  LONGS_EQUAL(0, StartsOf(fleet, "hidden"));
}

// Guards against a withdrawal that other daemons learn of only from the platform.
TEST(Keys, WithdrawnKeyStopsWhileThePlatformIsOut) {
  Fleet fleet(SmallFleet(1, 2));
  (void)SetUpTeam(fleet, 4, kLimit);
  const std::string token = AddTeam(fleet, kOther);
  Load one(fleet, "dc1-e1", token, {{"run_ms", 20}}, 2);
  Load two(fleet, "dc2-e1", token, {{"run_ms", 20}}, 2);
  const std::int64_t withdrawn = Withdraw(fleet, kOther);
  fleet.ControlPlatform({{"op", "outage"}, {"mode", "503"}});
  Last(withdrawn, kBound + kMargin + 1);
  one.Stop();
  two.Stop();
  const double seconds = SecondsBetween(withdrawn, LastStart(fleet, kOther));
  std::cout << "\nplatform out: last start " << seconds << " s after the withdrawal" << std::endl;
  CHECK_TRUE(seconds < kBound + kMargin);
  CHECK_TRUE(one.Answers()[401] > 0);
  CHECK_TRUE(two.Answers()[401] > 0);
}

// Guards against a daemon that trusts what it knew before it was paused, in a pause too short for
// the others to fence it.
TEST(Keys, WithdrawnKeyStopsAtADaemonThatWasFrozen) {
  FleetOptions options = SmallFleet(2, 2);
  options.daemon_flags = {};
  Fleet fleet(options);
  (void)SetUpTeam(fleet, 4, kLimit);
  const std::string token = AddTeam(fleet, kOther);
  fleet.Freeze("dc2-e2");
  // Callers wait in the frozen daemon's sockets.
  Load waiting(fleet, "dc2-e2", token, {{"run_ms", 20}}, 4);
  const std::int64_t withdrawn = Withdraw(fleet, kOther);
  Last(withdrawn, kBound + kMargin);
  const std::int64_t thawed = MonotonicMicros();
  fleet.Thaw("dc2-e2");
  CHECK_TRUE(WaitUntil([&]() { return waiting.Answers()[401] > 0; }, 20s));
  waiting.Stop();
  const std::int64_t last = LastStart(fleet, kOther);
  std::cout << "\nfrozen: last start " << SecondsBetween(withdrawn, last)
            << " s after the withdrawal" << std::endl;
  CHECK_TRUE(last < thawed);
  CHECK_TRUE(waiting.Answers()[200] == 0);
}

// Guards against a data centre that is cut off and goes on with what it knows, and against a grace
// that does not work or does not end.
TEST(Keys, DataCentreThatIsCutOffRefusesKeysWhenTheirGraceEnds) {
  constexpr double kGrace = 6;
  Fleet fleet(SmallFleet(1, 2));
  (void)SetUpTeam(fleet, 4, kLimit);
  const std::string token = AddTeam(fleet, kOther);
  const std::string lasting = AddTeam(fleet, kIsolated, static_cast<std::int64_t>(kGrace * 1000));
  Load plain(fleet, "dc2-e1", token, {{"run_ms", 20}}, 2);
  Load grace(fleet, "dc2-e1", lasting, {{"run_ms", 20}}, 2);
  const std::int64_t cut = MonotonicMicros();
  CutOff(fleet, 2);
  Last(cut, kBound + kMargin);
  const int accepted = plain.Answers()[200];
  (void)Withdraw(fleet, kOther);
  Last(cut, kGrace + kMargin);
  CHECK_TRUE(plain.Answers()[503] > 0);
  CHECK_TRUE(grace.Answers()[503] > 0);
  const double plain_seconds = SecondsBetween(cut, LastStart(fleet, kOther));
  const double grace_seconds = SecondsBetween(cut, LastStart(fleet, kIsolated));
  std::cout << "\ncut off: last start " << plain_seconds << " s after the cut without a grace, "
            << grace_seconds << " s with a grace of " << kGrace << " s" << std::endl;
  CHECK_TRUE(plain_seconds < kBound + kMargin);
  CHECK_TRUE(grace_seconds > kGrace - kMargin);
  CHECK_TRUE(grace_seconds < kGrace + kMargin);
  const int before = grace.Answers()[200];
  Join(fleet);
  CHECK_TRUE(WaitUntil([&]() { return grace.Answers()[200] > before; }, 20s));
  CHECK_TRUE(WaitUntil([&]() { return plain.Answers()[401] > 0; }, 20s));
  plain.Stop();
  grace.Stop();
  LONGS_EQUAL(accepted, plain.Answers()[200]);
}
