#include <unistd.h>

#include <string>
#include <utility>
#include <vector>

#include "peer_fixture.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::Awaited;
using sapphirewheel::testing::kLongTimeout;
using sapphirewheel::testing::StartServer;
using sapphirewheel::testing::TaskThread;

namespace {

PeerReport Report(const std::string& node) {
  PeerReport report;
  report.node = NodeId(node);
  return report;
}

// Handlers that reply at once with values of the request.
PeerHandlers EchoHandlers() {
  PeerHandlers handlers;
  handlers.exchange = [](const PeerReport& report, const auto& reply) {
    reply(Report("reply to " + report.node.str()));
  };
  handlers.push_config = [](const ConfigDelta& delta, const auto& reply) {
    reply(delta.entries.back().version);
  };
  handlers.pull_config = [](ConfigVersion after, const auto& reply) {
    const ConfigVersion next(after.count() + 1);
    reply(ConfigDelta{std::nullopt, {{next, PlanId("p"), KeyWithdrawChange{KeyId("k")}}}});
  };
  handlers.forward = [](const ForwardCall& call, const auto& reply) {
    reply(ForwardReply{200, call.content_type, call.body, std::nullopt});
  };
  handlers.claim = [](const ClaimCall& call, const auto& reply) {
    reply(ClaimReply{ClaimVerdict::kGranted, false, std::nullopt, call.key.request.str()});
  };
  handlers.record_outcome = [](const OutcomeCall&, const auto& reply) { reply(); };
  return handlers;
}

// Holds the reply functions of forwarded requests, so that a test can reply later.
struct HeldForwards {
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::function<void(ForwardReply)>> replies;

  PeerHandlers Handlers() {
    PeerHandlers handlers = EchoHandlers();
    handlers.forward = [this](const ForwardCall&, const auto& reply) {
      const std::lock_guard lock(mutex);
      replies.push_back(reply);
      changed.notify_all();
    };
    return handlers;
  }
  bool WaitFor(std::size_t n) {
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, std::chrono::seconds(20),
                            [this, n] { return replies.size() >= n; });
  }
};

ForwardCall Call(const std::string& body) {
  ForwardCall call;
  call.content_type = "text/plain";
  call.body = body;
  return call;
}

}  // namespace

// clang-format off
TEST_GROUP(Peer) {
  // Destroyed after the clients and servers, which are local variables of the tests.
  TaskThread* tasks = nullptr;

  void setup() override {
    tasks = new TaskThread;
  }
  void teardown() override {
    delete tasks;
  }

  PeerResult<PeerReport> Exchange(PeerClient& client, const std::string& address,
                                  Millis timeout = kLongTimeout) {
    Awaited<PeerResult<PeerReport>> result;
    client.Exchange(address, Report("a"), timeout, result.setter());
    auto value = result.Wait();
    CHECK_TRUE(value.has_value());
    return *value;
  }
  PeerResult<ForwardReply> Forward(PeerClient& client, const std::string& address,
                                    const std::string& body, Millis timeout = kLongTimeout) {
    Awaited<PeerResult<ForwardReply>> result;
    client.Forward(address, Call(body), timeout, result.setter());
    auto value = result.Wait();
    CHECK_TRUE(value.has_value());
    return *value;
  }
};
// clang-format on

// Guards against calls that do not reach their handler or whose reply is lost.
TEST(Peer, EachCallReachesItsHandler) {
  auto server = StartServer(EchoHandlers(), tasks->post());
  CHECK_TRUE(server != nullptr);
  const std::string address = server->endpoint().str();
  PeerClient client({}, tasks->post());
  CHECK_TRUE(Exchange(client, address).value().node == NodeId("reply to a"));
  CHECK_TRUE(Forward(client, address, "body").value().body == "body");
  Awaited<PeerResult<ConfigVersion>> pushed;
  const ConfigEntry entry{ConfigVersion(4), PlanId("p"), KeyWithdrawChange{KeyId("k")}};
  client.PushConfig(address, ConfigDelta{std::nullopt, {entry}}, kLongTimeout, pushed.setter());
  CHECK_TRUE(pushed.Wait()->value() == ConfigVersion(4));
  Awaited<PeerResult<ConfigDelta>> pulled;
  client.PullConfig(address, ConfigVersion(6), kLongTimeout, pulled.setter());
  CHECK_TRUE(pulled.Wait()->value().entries.at(0).version == ConfigVersion(7));
  Awaited<PeerResult<ClaimReply>> claimed;
  client.Claim(address, {{TeamId("t"), RequestId("r1")}, NodeId("n")}, kLongTimeout,
               claimed.setter());
  const auto claim = claimed.Wait();
  CHECK_TRUE(claim->value().verdict == ClaimVerdict::kGranted && claim->value().message == "r1");
  Awaited<PeerResult<void>> recorded;
  client.RecordOutcome(address, {}, kLongTimeout, recorded.setter());
  CHECK_TRUE(recorded.Wait()->has_value());
}

// Guards against replies that can only be sent inside the handler, and against calls that block
// others.
TEST(Peer, RepliesMayComeLaterInAnyOrder) {
  HeldForwards held;
  auto server = StartServer(held.Handlers(), tasks->post());
  PeerClient client({}, tasks->post());
  const std::string address = server->endpoint().str();
  Awaited<PeerResult<ForwardReply>> first;
  Awaited<PeerResult<ForwardReply>> second;
  client.Forward(address, Call("1"), kLongTimeout, first.setter());
  CHECK_TRUE(held.WaitFor(1));
  client.Forward(address, Call("2"), kLongTimeout, second.setter());
  CHECK_TRUE(held.WaitFor(2));
  CHECK_TRUE(Exchange(client, address).has_value());
  held.replies[1](ForwardReply{202, "", "", std::nullopt});
  CHECK_EQUAL(202, second.Wait()->value().status);
  held.replies[0](ForwardReply{201, "", "", std::nullopt});
  held.replies[0](ForwardReply{203, "", "", std::nullopt});
  CHECK_EQUAL(201, first.Wait()->value().status);
  CHECK_EQUAL(1, first.sets());
}

// Guards against an unbounded number of calls, and against refusals reported as possibly run.
TEST(Peer, CallsBeyondTheBoundAreRefused) {
  HeldForwards held;
  PeerServer::Settings settings;
  settings.max_forwards = 1;
  auto server = StartServer(held.Handlers(), tasks->post(), settings);
  PeerClient client({}, tasks->post());
  const std::string address = server->endpoint().str();
  Awaited<PeerResult<ForwardReply>> first;
  client.Forward(address, Call("1"), kLongTimeout, first.setter());
  CHECK_TRUE(held.WaitFor(1));
  auto refused = Forward(client, address, "2");
  CHECK_FALSE(refused.has_value());
  CHECK_TRUE(refused.error().delivery == Delivery::kNotDelivered && refused.error().overloaded);
  // Heartbeats have a limit of their own.
  CHECK_TRUE(Exchange(client, address).has_value());
  held.replies[0](ForwardReply{200, "", "", std::nullopt});
  CHECK_TRUE(first.Wait()->has_value());
  Awaited<PeerResult<ForwardReply>> third;
  client.Forward(address, Call("3"), kLongTimeout, third.setter());
  CHECK_TRUE(held.WaitFor(2));
  held.replies[1](ForwardReply{200, "", "", std::nullopt});
  CHECK_TRUE(third.Wait()->has_value());
}

// Guards against a client that accumulates calls to a slow peer.
TEST(Peer, ClientBoundsItsCalls) {
  HeldForwards held;
  auto server = StartServer(held.Handlers(), tasks->post());
  PeerClient::Settings settings;
  settings.max_calls_per_peer = 1;
  PeerClient client(settings, tasks->post());
  const std::string address = server->endpoint().str();
  Awaited<PeerResult<ForwardReply>> first;
  client.Forward(address, Call("1"), kLongTimeout, first.setter());
  CHECK_TRUE(held.WaitFor(1));
  auto refused = Forward(client, address, "2");
  CHECK_TRUE(refused.error().delivery == Delivery::kNotDelivered && refused.error().overloaded);
  held.replies[0](ForwardReply{200, "", "", std::nullopt});
  CHECK_TRUE(first.Wait()->has_value());
}

// Guards against a request whose excessive size is only detected when it may have had an effect.
TEST(Peer, LargeRequestIsNotSent) {
  auto server = StartServer(EchoHandlers(), tasks->post());
  PeerClient client({}, tasks->post());
  const std::string address = server->endpoint().str();
  CHECK_TRUE(Forward(client, address, std::string(260'000, 'x')).has_value());
  auto refused = Forward(client, address, std::string(263'000, 'x'));
  CHECK_TRUE(refused.error().delivery == Delivery::kNotDelivered);
  // The server enforces the limit for other clients, too.
  PeerClient::Settings settings;
  settings.max_request_bytes = 1'000'000;
  PeerClient other(settings, tasks->post());
  CHECK_FALSE(Forward(other, address, std::string(263'000, 'x')).has_value());
}

// Guards against reporting calls to a stopped peer as possibly delivered, and against not
// reconnecting after its restart.
TEST(Peer, RefusedConnectionIsNotDelivered) {
  // An address that only this run uses, as the port must still be free for the restart.
  PeerServer::Settings own;
  own.listen.address = "127.0.9." + std::to_string(2 + getpid() % 250);
  auto server = StartServer(EchoHandlers(), tasks->post(), own);
  CHECK_TRUE(server != nullptr);
  PeerServer::Settings same_port;
  same_port.listen = server->endpoint();
  const std::string address = server->endpoint().str();
  server.reset();
  PeerClient client({}, tasks->post());
  auto failed = Forward(client, address, "x");
  CHECK_TRUE(failed.error().delivery == Delivery::kNotDelivered);
  CHECK_FALSE(failed.error().overloaded);
  server = StartServer(EchoHandlers(), tasks->post(), same_port);
  CHECK_TRUE(server != nullptr);
  bool reached = false;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!reached && std::chrono::steady_clock::now() < end) {
    reached = Forward(client, address, "x").has_value();
  }
  CHECK_TRUE(reached);
}

// Guards against reporting a request that a peer may still run as not delivered.
TEST(Peer, MissedDeadlineIsUnknown) {
  HeldForwards held;
  auto server = StartServer(held.Handlers(), tasks->post());
  PeerClient client({}, tasks->post());
  CHECK_TRUE(Exchange(client, server->endpoint().str()).has_value());
  auto late = Forward(client, server->endpoint().str(), "x", Millis(300));
  CHECK_TRUE(late.error().delivery == Delivery::kUnknown);
  // A reply after the deadline of the call is dropped.
  CHECK_TRUE(held.WaitFor(1));
  held.replies[0](ForwardReply{200, "", "", std::nullopt});
}

// Guards against a stop that blocks on calls in progress, or reports them as not delivered.
TEST(Peer, StopEndsCallsAsUnknown) {
  HeldForwards held;
  auto server = StartServer(held.Handlers(), tasks->post());
  PeerClient client({}, tasks->post());
  Awaited<PeerResult<ForwardReply>> result;
  client.Forward(server->endpoint().str(), Call("x"), kLongTimeout, result.setter());
  CHECK_TRUE(held.WaitFor(1));
  server->Stop(Millis(20));
  const auto failed = result.Wait();
  CHECK_TRUE(failed && !failed->has_value());
  CHECK_TRUE(failed->error().delivery == Delivery::kUnknown);
  server.reset();
  // A reply after the destruction of the server has no effect.
  held.replies[0](ForwardReply{200, "", "", std::nullopt});
}

// Guards against a stop that drops replies within the grace period.
TEST(Peer, StopWaitsForReplies) {
  HeldForwards held;
  auto server = StartServer(held.Handlers(), tasks->post());
  PeerClient client({}, tasks->post());
  Awaited<PeerResult<ForwardReply>> result;
  client.Forward(server->endpoint().str(), Call("x"), kLongTimeout, result.setter());
  CHECK_TRUE(held.WaitFor(1));
  std::thread stop([&] { server->Stop(kLongTimeout); });
  held.replies[0](ForwardReply{200, "", "", std::nullopt});
  const auto reply = result.Wait();
  stop.join();
  CHECK_TRUE(reply && reply->has_value());
}

// Guards against a call that waits for ever because its reply function or its task was destroyed.
TEST(Peer, DroppedCallsFail) {
  PeerHandlers handlers = EchoHandlers();
  handlers.forward = [](const ForwardCall&, const auto&) {};
  auto server = StartServer(handlers, tasks->post());
  PeerClient client({}, tasks->post());
  auto dropped = Forward(client, server->endpoint().str(), "x");
  CHECK_TRUE(dropped.error().delivery == Delivery::kUnknown);
  // A task that never ran cannot have had an effect.
  auto full = StartServer(EchoHandlers(), [](const std::function<void()>&) {});
  auto refused = Forward(client, full->endpoint().str(), "x");
  CHECK_TRUE(refused.error().delivery == Delivery::kNotDelivered && refused.error().overloaded);
}

// Guards against callbacks that are lost when a client is destroyed.
TEST(Peer, DestroyedClientAnswersItsCalls) {
  HeldForwards held;
  auto server = StartServer(held.Handlers(), tasks->post());
  auto client = std::make_unique<PeerClient>(PeerClient::Settings(), tasks->post());
  Awaited<PeerResult<ForwardReply>> result;
  client->Forward(server->endpoint().str(), Call("x"), kLongTimeout, result.setter());
  CHECK_TRUE(held.WaitFor(1));
  client.reset();
  const auto failed = result.Wait();
  CHECK_TRUE(failed && !failed->has_value());
  CHECK_TRUE(failed->error().delivery == Delivery::kUnknown);
}

// Guards against two daemons that listen on one port unnoticed.
TEST(Peer, UsedPortIsAnError) {
  auto server = StartServer(EchoHandlers(), tasks->post());
  PeerServer::Settings settings;
  settings.listen = server->endpoint();
  CHECK_TRUE(StartServer(EchoHandlers(), tasks->post(), settings) == nullptr);
}
