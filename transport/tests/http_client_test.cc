#include "sapphirewheel/transport/http_client.h"

#include <memory>
#include <string>

#include "transport/tests/fake_peer.h"

#include "CppUTest/TestHarness.h"

using sapphirewheel::Awaited;
using sapphirewheel::ClosedEndpoint;
using sapphirewheel::ConnectionReuse;
using sapphirewheel::Endpoint;
using sapphirewheel::FakePeer;
using sapphirewheel::HttpCall;
using sapphirewheel::HttpClient;
using sapphirewheel::HttpOutcome;
using sapphirewheel::HttpResult;
using sapphirewheel::HttpText;
using sapphirewheel::Millis;
using sapphirewheel::TestSocket;
using sapphirewheel::WaitFor;

namespace {

HttpResult Run(HttpClient& client, HttpCall call) {
  Awaited<HttpResult> result;
  client.Call(std::move(call), [&](HttpResult got) { result.Set(std::move(got)); });
  auto got = result.Get();
  CHECK_TRUE(got.has_value());
  return *got;
}

HttpCall Post(const Endpoint& to, std::string body = "x") {
  HttpCall call;
  call.to = to;
  call.method = "POST";
  call.body = std::move(body);
  return call;
}

// Answers each request with its body until the client closes.
void EchoBodies(TestSocket& socket, int) {
  for (std::string text = socket.ReadMessage(); !text.empty(); text = socket.ReadMessage()) {
    socket.Send(HttpText(200, text.substr(text.find("\r\n\r\n") + 4)));
  }
}

HttpClient::Settings Defaults() { return {}; }

}  // namespace

// clang-format off
TEST_GROUP(HttpClient) {
  void setup() override { sapphirewheel::AllowThreads(); }
};
// clang-format on

// Guards against a new connection for each call.
TEST(HttpClient, ReusesConnections) {
  FakePeer peer(EchoBodies);
  HttpClient client(Defaults());
  for (const std::string& body : {std::string("one"), std::string("two"), std::string("three")}) {
    const HttpResult result = Run(client, Post(peer.endpoint(), body));
    CHECK_TRUE(result.outcome == HttpOutcome::kComplete);
    STRCMP_EQUAL(body.c_str(), result.body.c_str());
  }
  CHECK_EQUAL(1, peer.connections());
  HttpCall fresh = Post(peer.endpoint());
  fresh.reuse = ConnectionReuse::kNone;
  CHECK_TRUE(Run(client, fresh).outcome == HttpOutcome::kComplete);
  CHECK_EQUAL(2, peer.connections());
}

// Guards against a false "not run" and a false "unknown" when the peer is not there.
TEST(HttpClient, ReportsARefusedConnectionAsNotSent) {
  HttpClient client(Defaults());
  CHECK_TRUE(Run(client, Post(ClosedEndpoint())).outcome == HttpOutcome::kNotSent);
}

// Guards against a cut answer that is taken for a whole one.
TEST(HttpClient, DetectsCutAnswers) {
  const std::string answers[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
      "HTTP/1.1 200 OK\r\nContent-Le",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      "HTTP/1.1 200 OK\r\n\r\nno length",
      "",
      "garbage\r\n\r\n"};
  for (const std::string& answer : answers) {
    FakePeer peer([&](TestSocket& socket, int) {
      socket.ReadMessage();
      socket.Send(answer);
    });
    HttpClient client(Defaults());
    const HttpResult result = Run(client, Post(peer.endpoint()));
    CHECK_TRUE_TEXT(result.outcome == HttpOutcome::kIncomplete, answer.c_str());
  }
}

// Guards against a late answer that is reported as a call that was never sent.
TEST(HttpClient, ReportsALateAnswerAsBroken) {
  FakePeer peer([](TestSocket& socket, int) {
    socket.ReadMessage();
    socket.ReadAll();
  });
  HttpClient client(Defaults());
  HttpCall call = Post(peer.endpoint());
  call.deadline = Millis(50);
  CHECK_TRUE(Run(client, call).outcome == HttpOutcome::kIncomplete);
}

// Guards against a limit for connecting that also cancels a long call on the new connection.
TEST(HttpClient, WaitsForAnswersLongerThanForConnections) {
  HttpClient::Settings settings;
  settings.connect_timeout = Millis(1000);
  Awaited<bool> connect_limit_passed;
  FakePeer peer([&](TestSocket& socket, int) {
    (void)socket.ReadMessage();
    if (connect_limit_passed.Get()) socket.Send(HttpText(200, "late"));
    socket.ReadAll();
  });
  HttpClient client(settings);
  HttpCall call = Post(peer.endpoint());
  call.deadline = Millis(30000);
  Awaited<HttpResult> result;
  client.Call(call, [&](HttpResult got) { result.Set(std::move(got)); });
  client.After(Millis(1500), [&] { connect_limit_passed.Set(true); });
  const auto got = result.Get();
  CHECK_TRUE(got.has_value());
  STRCMP_EQUAL("", got->reason.c_str());
  STRCMP_EQUAL("late", got->body.c_str());
  client.Stop();
}

// Guards against a repeated task: the peer may have run what it read before it closed.
TEST(HttpClient, ReportsAReusedConnectionThatClosesAsBroken) {
  FakePeer peer([](TestSocket& socket, int) {
    socket.ReadMessage();
    socket.Send(HttpText(200, "first"));
    socket.ReadMessage();
  });
  HttpClient client(Defaults());
  CHECK_TRUE(Run(client, Post(peer.endpoint())).outcome == HttpOutcome::kComplete);
  CHECK_TRUE(Run(client, Post(peer.endpoint())).outcome == HttpOutcome::kIncomplete);
  CHECK_EQUAL(1, peer.connections());
}

// Guards against calls that fail because a kept connection was closed by the peer before them.
TEST(HttpClient, DoesNotUseConnectionsThatThePeerClosed) {
  std::atomic<int> closed = 0;
  FakePeer peer([&](TestSocket& socket, int) {
    socket.ReadMessage();
    socket.Send(HttpText(200, "ok"));
    socket.Close();
    ++closed;
  });
  HttpClient client(Defaults());
  for (int i = 1; i <= 3; ++i) {
    CHECK_TRUE(Run(client, Post(peer.endpoint())).outcome == HttpOutcome::kComplete);
    CHECK_TRUE(WaitFor([&] { return closed == i; }));
  }
}

// Guards against the bytes of one answer that are read as the answer to the next request.
TEST(HttpClient, DropsConnectionsWithBytesThatNoRequestAskedFor) {
  FakePeer peer([](TestSocket& socket, int number) {
    socket.ReadMessage();
    const std::string extra = number == 0 ? HttpText(200, "stray") : "";
    socket.Send(HttpText(200, "own" + std::to_string(number)) + extra);
    socket.ReadAll();
  });
  HttpClient client(Defaults());
  STRCMP_EQUAL("own0", Run(client, Post(peer.endpoint())).body.c_str());
  STRCMP_EQUAL("own1", Run(client, Post(peer.endpoint())).body.c_str());
}

// Guards against more connections than a worker accepts.
TEST(HttpClient, BoundsTheConnectionsToOnePeer) {
  std::atomic<int> waiting = 0;
  std::atomic<bool> go = false;
  FakePeer peer([&](TestSocket& socket, int) {
    while (!socket.ReadMessage().empty()) {
      ++waiting;
      WaitFor([&] { return go.load(); });
      socket.Send(HttpText(200, "ok"));
    }
  });
  HttpClient::Settings settings;
  settings.connections_per_host = 2;
  settings.max_waiting_per_host = 3;
  HttpClient client(settings);
  Awaited<HttpResult> results;
  for (int i = 0; i < 6; ++i) {
    client.Call(Post(peer.endpoint()), [&](HttpResult got) { results.Set(std::move(got)); });
  }
  // Two are sent and three wait; the sixth is refused.
  auto refused = results.Get(1);
  CHECK_TRUE(refused.has_value());
  CHECK_TRUE(refused->outcome == HttpOutcome::kNotSent);
  CHECK_TRUE(WaitFor([&] { return waiting == 2; }));
  go = true;
  CHECK_TRUE(results.Get(6).has_value());
  for (std::size_t i = 2; i <= 6; ++i) {
    CHECK_TRUE(results.Get(i)->outcome == HttpOutcome::kComplete);
  }
  CHECK_EQUAL(2, peer.connections());
}

// Guards against a wait for a connection that exceeds the deadline or is reported as sent.
TEST(HttpClient, EndsCallsThatWaitTooLongAsNotSent) {
  FakePeer peer([](TestSocket& socket, int) { socket.ReadAll(); });
  HttpClient::Settings settings;
  settings.connections_per_host = 1;
  HttpClient client(settings);
  Awaited<HttpResult> first;
  client.Call(Post(peer.endpoint()), [&](HttpResult got) { first.Set(std::move(got)); });
  HttpCall second = Post(peer.endpoint());
  second.deadline = Millis(50);
  CHECK_TRUE(Run(client, second).outcome == HttpOutcome::kNotSent);
  client.Stop();
  CHECK_TRUE(first.Get()->outcome == HttpOutcome::kIncomplete);
}

// Guards against calls that get no callback when the client stops.
TEST(HttpClient, StopEndsEverythingThatIsOpen) {
  FakePeer peer([](TestSocket& socket, int) { socket.ReadAll(); });
  HttpClient client(Defaults());
  Awaited<HttpResult> results;
  Awaited<bool> timers;
  for (int i = 0; i < 3; ++i) {
    client.Call(Post(peer.endpoint()), [&](HttpResult got) { results.Set(std::move(got)); });
  }
  client.After(Millis(3600000), [&] { timers.Set(true); });
  client.Stop();
  client.Call(Post(peer.endpoint()), [&](HttpResult got) { results.Set(std::move(got)); });
  CHECK_EQUAL(4U, results.count());
  CHECK_EQUAL(1U, timers.count());
}

// Guards against a body that is split over several writes of peer and client.
TEST(HttpClient, CarriesLargeBodies) {
  FakePeer peer(EchoBodies);
  HttpClient client(Defaults());
  const std::string body(3 * 1024 * 1024, 'b');
  CHECK_TRUE(Run(client, Post(peer.endpoint(), body)).body == body);
}

// Guards against a refusal that is lost because the peer did not read the whole request.
TEST(HttpClient, ReadsARefusalThatComesBeforeTheEndOfTheRequest) {
  FakePeer peer([](TestSocket& socket, int) {
    socket.Send(HttpText(409, "{}"));
    socket.ReadAll();
  });
  HttpClient client(Defaults());
  CHECK_EQUAL(409, Run(client, Post(peer.endpoint())).status);
}

// Guards against header values that inject a second request.
TEST(HttpClient, RefusesMalformedCalls) {
  FakePeer peer(EchoBodies);
  HttpClient client(Defaults());
  HttpCall call = Post(peer.endpoint());
  call.headers = {{"X", "a\r\nY: b"}};
  CHECK_TRUE(Run(client, call).outcome == HttpOutcome::kNotSent);
  call.headers.clear();
  call.target = "/a b";
  CHECK_TRUE(Run(client, call).outcome == HttpOutcome::kNotSent);
  CHECK_EQUAL(0, peer.connections());
}

// Guards against calls that bypass the egress proxy, or that count as sent when it refuses.
TEST(HttpClient, GoesThroughTheProxy) {
  const Endpoint target = ClosedEndpoint();
  Awaited<std::string> tunnels;
  FakePeer proxy([&](TestSocket& socket, int number) {
    tunnels.Set(socket.ReadMessage());
    if (number == 1) return socket.Send("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n");
    socket.Send("HTTP/1.1 200 OK\r\n\r\n");
    EchoBodies(socket, 0);
  });
  HttpClient::Settings settings;
  settings.proxy = proxy.endpoint();
  HttpClient client(settings);
  STRCMP_EQUAL("via", Run(client, Post(target, "via")).body.c_str());
  CHECK_TRUE(tunnels.Get()->find("CONNECT " + target.str() + " HTTP/1.1") == 0);
  HttpCall second = Post(target);
  second.reuse = ConnectionReuse::kNone;
  CHECK_TRUE(Run(client, second).outcome == HttpOutcome::kNotSent);
}
