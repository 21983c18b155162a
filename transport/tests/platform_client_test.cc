#include "sapphirewheel/transport/platform_client.h"

#include <functional>
#include <memory>
#include <string>

#include "transport/tests/test_support.h"

#include "CppUTest/TestHarness.h"

using sapphirewheel::AttemptId;
using sapphirewheel::Awaited;
using sapphirewheel::ClosedEndpoint;
using sapphirewheel::Endpoint;
using sapphirewheel::ErrorKind;
using sapphirewheel::FakeServer;
using sapphirewheel::HttpResponseText;
using sapphirewheel::Millis;
using sapphirewheel::PlatformClient;
using sapphirewheel::Result;
using sapphirewheel::Revision;
using sapphirewheel::Row;
using sapphirewheel::RowCheck;
using sapphirewheel::RowKey;
using sapphirewheel::RowWrite;
using sapphirewheel::RunState;
using sapphirewheel::TestSocket;
using sapphirewheel::Transaction;
using sapphirewheel::TransactOutcome;
using sapphirewheel::TransactResult;
using sapphirewheel::VmId;
using sapphirewheel::VmList;
using sapphirewheel::WaitFor;

namespace {

// A platform that responds to its n-th request, from 1 over all connections. An empty response
// closes the connection.
class FakePlatform {
 public:
  explicit FakePlatform(std::function<std::string(int, const std::string&)> response)
      : response_(std::move(response)),
        server_([this](TestSocket& socket, int) { Serve(socket); }) {}

  [[nodiscard]] Endpoint endpoint() const { return server_.endpoint(); }
  [[nodiscard]] int requests() const { return requests_; }

 private:
  void Serve(TestSocket& socket) {
    for (std::string text = socket.ReadMessage(); !text.empty(); text = socket.ReadMessage()) {
      const std::string response = response_(++requests_, text);
      if (response.empty()) return socket.Close();
      socket.Send(response);
    }
  }

  std::function<std::string(int, const std::string&)> response_;
  std::atomic<int> requests_ = 0;
  FakeServer server_;
};

PlatformClient::Settings SettingsFor(std::vector<Endpoint> endpoints) {
  PlatformClient::Settings settings;
  settings.endpoints = std::move(endpoints);
  settings.call_timeout = Millis(5000);
  settings.settle_deadline = Millis(10000);
  return settings;
}

void RunDirectly(const std::function<void()>& task) { task(); }

Transaction MoveTransaction(const char* attempt = "a1") {
  Transaction transaction;
  transaction.attempt = AttemptId(attempt);
  transaction.checks = {RowCheck{RowKey{"vms", "v1"}, Revision(7)}};
  transaction.writes = {RowWrite{RowKey{"vms", "v1"}, "{\"pool\":\"p\"}"},
                        RowWrite{RowKey{"vms", "v2"}, std::nullopt}};
  return transaction;
}

TransactResult Transact(PlatformClient& client, Transaction transaction) {
  Awaited<TransactResult> result;
  client.hooks().transact(std::move(transaction),
                          [&](TransactResult got) { result.Set(std::move(got)); });
  auto got = result.Get();
  CHECK_TRUE(got.has_value());
  return *got;
}

std::string ConflictWith(int revision, const std::string& attempt) {
  return HttpResponseText(409, R"({"current":[{"table":"vms","key":"v1","revision":)" +
                                   std::to_string(revision) + R"(,"value":"x","attempt":")" +
                                   attempt +
                                   R"("},{"table":"vms","key":"v2","revision":0,"value":null}]})");
}

}  // namespace

// clang-format off
TEST_GROUP(PlatformClient) {
  void setup() override { sapphirewheel::EnableThreadSafeLeakCheck(); }
};
// clang-format on

// Guards against transactions that are not encoded as docs/platform.md specifies.
TEST(PlatformClient, SendsTransactionsAsDocumented) {
  Awaited<std::string> sent;
  FakePlatform platform([&](int, const std::string& text) {
    sent.Set(text);
    return HttpResponseText(200, R"({"revision":17})");
  });
  PlatformClient client(SettingsFor({platform.endpoint()}), RunDirectly);
  const TransactResult result = Transact(client, MoveTransaction());
  CHECK_TRUE(result.outcome == TransactOutcome::kCommitted);
  CHECK_TRUE(result.revision == Revision(17));
  const std::string text = *sent.Get();
  CHECK_TRUE(text.find("POST /v1/transact HTTP/1.1") == 0);
  const std::string body = R"({"attempt":"a1","checks":[{"table":"vms","key":"v1","revision":7}],)"
                           R"("writes":[{"table":"vms","key":"v1","value":"{\"pool\":\"p\"}"},)"
                           R"({"table":"vms","key":"v2","value":null}]})";
  STRCMP_EQUAL(body.c_str(), text.substr(text.find("\r\n\r\n") + 4).c_str());
}

// Guards against reporting a committed transaction as failed because its response was lost.
TEST(PlatformClient, ResolvesALostResponseByTheAttemptId) {
  FakePlatform platform(
      [&](int n, const std::string&) { return n < 3 ? std::string() : ConflictWith(9, "a1"); });
  PlatformClient client(SettingsFor({platform.endpoint()}), RunDirectly);
  const TransactResult result = Transact(client, MoveTransaction());
  CHECK_TRUE(result.outcome == TransactOutcome::kCommitted);
  CHECK_TRUE(result.revision == Revision(9));
  CHECK_EQUAL(3, platform.requests());
}

// Guards against a conflict that is not reported.
TEST(PlatformClient, ReportsAConflictWithTheCurrentRows) {
  FakePlatform platform([&](int, const std::string&) { return ConflictWith(9, "other"); });
  PlatformClient client(SettingsFor({platform.endpoint()}), RunDirectly);
  const TransactResult result = Transact(client, MoveTransaction());
  CHECK_TRUE(result.outcome == TransactOutcome::kConflict);
  CHECK_EQUAL(2U, result.current.size());
  CHECK_TRUE(result.current[0].revision == Revision(9));
  STRCMP_EQUAL("", result.current[1].value.c_str());
}

// Guards against reporting a conflict, which means no effect, for a transaction that committed.
// After a lost response, others may have overwritten all rows that it wrote, and with them its
// attempt id.
TEST(PlatformClient, ReportsAnUnprovenConflictAsUncertain) {
  FakePlatform overwritten(
      [&](int n, const std::string&) { return n == 1 ? std::string() : ConflictWith(9, "other"); });
  PlatformClient first(SettingsFor({overwritten.endpoint()}), RunDirectly);
  CHECK_TRUE(Transact(first, MoveTransaction()).outcome == TransactOutcome::kUncertain);

  // Row v1 is unchanged and another check failed, so the first try cannot have committed.
  FakePlatform untouched(
      [&](int n, const std::string&) { return n == 1 ? std::string() : ConflictWith(7, "other"); });
  PlatformClient second(SettingsFor({untouched.endpoint()}), RunDirectly);
  CHECK_TRUE(Transact(second, MoveTransaction()).outcome == TransactOutcome::kConflict);
}

// Guards against reporting "unavailable" after a try that may have taken effect.
TEST(PlatformClient, RefusalsAreFinalOnlyForTheFirstTry) {
  for (const int status : {429, 503}) {
    FakePlatform refusing([&](int, const std::string&) { return HttpResponseText(status, "{}"); });
    PlatformClient client(SettingsFor({refusing.endpoint()}), RunDirectly);
    CHECK_TRUE(Transact(client, MoveTransaction()).outcome == TransactOutcome::kUnavailable);
    CHECK_EQUAL(1, refusing.requests());

    FakePlatform losing([&](int n, const std::string&) {
      if (n == 1) return std::string();
      return n < 4 ? HttpResponseText(status, "{}") : HttpResponseText(200, R"({"revision":5})");
    });
    PlatformClient other(SettingsFor({losing.endpoint()}), RunDirectly);
    CHECK_TRUE(Transact(other, MoveTransaction()).outcome == TransactOutcome::kCommitted);
    CHECK_EQUAL(4, losing.requests());
  }
}

// Guards against taking statuses and bodies that the interface does not define for a definite
// outcome.
TEST(PlatformClient, TreatsUnexpectedResponsesAsUncertain) {
  for (const std::string& response :
       {HttpResponseText(500, "{}"), HttpResponseText(200, "{}"), HttpResponseText(200, "no JSON"),
        HttpResponseText(409, "{}"), HttpResponseText(404, "")}) {
    FakePlatform platform([&](int, const std::string&) { return response; });
    auto settings = SettingsFor({platform.endpoint()});
    settings.settle_deadline = Millis(200);
    PlatformClient client(settings, RunDirectly);
    CHECK_TRUE_TEXT(Transact(client, MoveTransaction()).outcome == TransactOutcome::kUncertain,
                    response.c_str());
    CHECK_TRUE(platform.requests() > 1);
  }
}

// Guards against an unavailable platform endpoint that blocks all calls.
TEST(PlatformClient, TriesTheEndpointsInTurn) {
  FakePlatform platform(
      [&](int, const std::string&) { return HttpResponseText(200, R"({"revision":5})"); });
  PlatformClient client(SettingsFor({ClosedEndpoint(), platform.endpoint()}), RunDirectly);
  CHECK_TRUE(Transact(client, MoveTransaction()).outcome == TransactOutcome::kCommitted);
  PlatformClient down(SettingsFor({ClosedEndpoint(), ClosedEndpoint()}), RunDirectly);
  CHECK_TRUE(Transact(down, MoveTransaction()).outcome == TransactOutcome::kUnavailable);
  PlatformClient none(SettingsFor({}), RunDirectly);
  CHECK_TRUE(Transact(none, MoveTransaction()).outcome == TransactOutcome::kUnavailable);
}

// Guards against an unbounded number of calls while the platform is slow.
TEST(PlatformClient, RefusesCallsBeyondTheBound) {
  FakePlatform platform([&](int, const std::string&) { return std::string(); });
  auto settings = SettingsFor({platform.endpoint()});
  settings.max_in_flight = 1;
  PlatformClient client(settings, RunDirectly);
  Awaited<TransactResult> first;
  client.hooks().transact(MoveTransaction(),
                          [&](TransactResult got) { first.Set(std::move(got)); });
  CHECK_TRUE(Transact(client, MoveTransaction("a2")).outcome == TransactOutcome::kUnavailable);
  Awaited<ErrorKind> list;
  client.ListVms([&](Result<VmList> got) { list.Set(got.error().kind); });
  CHECK_TRUE(*list.Get() == ErrorKind::kPlatformUnavailable);
  CHECK_EQUAL(1U, client.InFlight());
  CHECK_TRUE(WaitFor([&] { return platform.requests() > 0; }));
  client.Stop();
  CHECK_TRUE(first.Get()->outcome == TransactOutcome::kUncertain);
  CHECK_EQUAL(0U, client.InFlight());
}

// Guards against decisions that are based on the rows of another request.
TEST(PlatformClient, RejectsRowsThatWereNotRequested) {
  const std::string other = R"({"rows":[{"table":"t","key":"x","revision":3,"value":"v"}]})";
  FakePlatform platform([&](int n, const std::string&) {
    return HttpResponseText(
        200, n == 1 ? other : R"({"rows":[{"table":"t","key":"k","revision":4,"value":"w"}]})");
  });
  PlatformClient client(SettingsFor({platform.endpoint()}), RunDirectly);
  Awaited<std::string> value;
  client.hooks().read({RowKey{"t", "k"}}, [&](Result<std::vector<Row>> rows) {
    value.Set(rows ? rows.value().at(0).value : "error");
  });
  STRCMP_EQUAL("w", value.Get()->c_str());
  FakePlatform wrong([&](int, const std::string&) { return HttpResponseText(200, other); });
  PlatformClient second(SettingsFor({wrong.endpoint()}), RunDirectly);
  Awaited<bool> failed;
  second.hooks().scan({"t", "a", "f", 10},
                      [&](Result<std::vector<Row>> rows) { failed.Set(!rows.has_value()); });
  CHECK_TRUE(*failed.Get());
}

// Guards against a scan range that is not passed to the platform.
TEST(PlatformClient, Scans) {
  Awaited<std::string> sent;
  FakePlatform platform([&](int, const std::string& text) {
    sent.Set(text);
    return HttpResponseText(200, R"({"rows":[{"table":"t","key":"a","revision":1,"value":"v"},)"
                                 R"({"table":"t","key":"b","revision":2,"value":"w"}]})");
  });
  PlatformClient client(SettingsFor({platform.endpoint()}), RunDirectly);
  Awaited<std::size_t> count;
  client.hooks().scan({"t", "a", "c", 10}, [&](Result<std::vector<Row>> rows) {
    count.Set(rows ? rows.value().size() : 0);
  });
  CHECK_EQUAL(2U, *count.Get());
  CHECK_TRUE(sent.Get()->find(R"({"table":"t","first":"a","last":"c","limit":10})") !=
             std::string::npos);
}

// Guards against objects that are altered in transfer or confused with missing ones.
TEST(PlatformClient, StoresAndLoadsObjects) {
  Awaited<std::string> sent;
  FakePlatform platform([&](int, const std::string& text) {
    sent.Set(text);
    if (text.find("PUT /v1/objects/a%23b/c HTTP") == 0) return HttpResponseText(200, "{}");
    return text.find("/missing") != std::string::npos
               ? HttpResponseText(404, "{}")
               : HttpResponseText(200, std::string("x\0y", 3));
  });
  PlatformClient client(SettingsFor({platform.endpoint()}), RunDirectly);
  const auto hooks = client.hooks();
  Awaited<bool> stored;
  hooks.put_object("a#b/c", "bytes", [&](Result<void> done) { stored.Set(done.has_value()); });
  CHECK_TRUE(*stored.Get());
  CHECK_TRUE(sent.Get()->find("\r\n\r\nbytes") != std::string::npos);
  Awaited<std::string> loaded;
  hooks.get_object("n", [&](Result<std::string> got) { loaded.Set(got.value()); });
  CHECK_TRUE(*loaded.Get() == std::string("x\0y", 3));
  Awaited<ErrorKind> missing;
  hooks.get_object("missing", [&](Result<std::string> got) { missing.Set(got.error().kind); });
  CHECK_TRUE(*missing.Get() == ErrorKind::kNotFound);
}

// Guards against fields of a VM that are not decoded.
TEST(PlatformClient, ListsVms) {
  FakePlatform platform([&](int, const std::string&) {
    return HttpResponseText(200, R"({"vms":[{"vm":"w1","role":"worker","phase":"leaving",)"
                                 R"("data_centre":"dc1","rack":"r1","address":"127.0.0.1:9",)"
                                 R"("slots":8,"cores":32,"memory_mb":65536}]})");
  });
  PlatformClient client(SettingsFor({platform.endpoint()}), RunDirectly);
  Awaited<VmList> list;
  client.ListVms([&](Result<VmList> got) { list.Set(got.value()); });
  const auto vms = list.Get()->vms;
  CHECK_EQUAL(1U, vms.size());
  CHECK_TRUE(vms[0].phase == sapphirewheel::VmPhase::kLeaving);
  STRCMP_EQUAL("r1", vms[0].rack.str().c_str());
  CHECK_EQUAL(65536, vms[0].memory_mb);
}

// Guards against rebooting a VM twice because the first response was lost.
TEST(PlatformClient, DoesNotRepeatARebootThatMayHaveHappened) {
  FakePlatform platform([&](int, const std::string&) { return std::string(); });
  PlatformClient client(SettingsFor({platform.endpoint(), platform.endpoint()}), RunDirectly);
  Awaited<RunState> run;
  client.Reboot(VmId("w1"), [&](Result<void> done) { run.Set(done.error().run); });
  CHECK_TRUE(*run.Get() == RunState::kUnknown);
  CHECK_EQUAL(1, platform.requests());
}
