#include "sapphirewheel/transport/http_client.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "transport/tests/test_support.h"

#include "CppUTest/TestHarness.h"

using sapphirewheel::Awaited;
using sapphirewheel::ClosedEndpoint;
using sapphirewheel::ConnectionProbe;
using sapphirewheel::ConnectionReuse;
using sapphirewheel::Endpoint;
using sapphirewheel::FakeServer;
using sapphirewheel::HttpCall;
using sapphirewheel::HttpClient;
using sapphirewheel::HttpOutcome;
using sapphirewheel::HttpResponseText;
using sapphirewheel::HttpResult;
using sapphirewheel::Millis;
using sapphirewheel::MonotonicTime;
using sapphirewheel::ResponseProgress;
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

// Responds to each request with its body until the client closes the connection.
void EchoBodies(TestSocket& socket, int) {
  for (std::string text = socket.ReadMessage(); !text.empty(); text = socket.ReadMessage()) {
    socket.Send(HttpResponseText(200, text.substr(text.find("\r\n\r\n") + 4)));
  }
}

HttpClient::Settings Defaults() { return {}; }

constexpr Millis kResponseBegins{300};
constexpr Millis kMaxSilence{300};

// A call whose response may take longer than its deadline while it makes progress.
HttpCall LargeGet(const Endpoint& to, Millis max_duration = Millis(10'000)) {
  HttpCall call;
  call.to = to;
  call.deadline = kResponseBegins;
  call.progress = ResponseProgress{kMaxSilence, max_duration};
  return call;
}

// Sends a response of this many bytes, one after each pause.
FakeServer::Script SendSlowly(std::size_t size, Millis pause) {
  return [size, pause](TestSocket& socket, int) {
    socket.ReadMessage();
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
    for (std::size_t n = 0; n < size; ++n) {
      std::this_thread::sleep_for(pause);
      socket.Send("x");
    }
    socket.ReadAll();
  };
}

// A clock that the test sets, and settings for orders that observe it.
class OrderClock {
 public:
  HttpClient::Settings Settings() {
    HttpClient::Settings settings;
    settings.reset_on_close = true;
    settings.now = [this] { return now(); };
    return settings;
  }
  [[nodiscard]] MonotonicTime now() const {
    const auto passed = std::chrono::steady_clock::now() - start_;
    return MonotonicTime(std::chrono::duration_cast<Millis>(passed) + Millis(skipped_));
  }
  // Lets time pass that the steady clock does not count, as in a suspension.
  void Skip(Millis time) { skipped_ += time.count(); }

 private:
  const std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::atomic<std::int64_t> skipped_ = 1000;
};

HttpCall Order(const Endpoint& to, MonotonicTime valid_until) {
  HttpCall call = Post(to);
  call.valid_until = [valid_until] { return valid_until; };
  return call;
}

}  // namespace

// clang-format off
TEST_GROUP(HttpClient) {
  void setup() override { sapphirewheel::EnableThreadSafeLeakCheck(); }
};
// clang-format on

// Guards against opening a new connection for each call.
TEST(HttpClient, ReusesConnections) {
  FakeServer server(EchoBodies);
  HttpClient client(Defaults());
  for (const std::string& body : {std::string("one"), std::string("two"), std::string("three")}) {
    const HttpResult result = Run(client, Post(server.endpoint(), body));
    CHECK_TRUE(result.outcome == HttpOutcome::kComplete);
    STRCMP_EQUAL(body.c_str(), result.body.c_str());
  }
  CHECK_EQUAL(1, server.connections());
  HttpCall fresh = Post(server.endpoint());
  fresh.reuse = ConnectionReuse::kNone;
  CHECK_TRUE(Run(client, fresh).outcome == HttpOutcome::kComplete);
  CHECK_EQUAL(2, server.connections());
}

// Guards against a wrong outcome when nothing listens at the address: neither "run" nor "unknown"
// is true of such a call, as it was never sent.
TEST(HttpClient, ReportsARefusedConnectionAsNotSent) {
  HttpClient client(Defaults());
  CHECK_TRUE(Run(client, Post(ClosedEndpoint())).outcome == HttpOutcome::kNotSent);
}

// Guards against a truncated or malformed response that is accepted as complete.
TEST(HttpClient, DetectsTruncatedResponses) {
  const std::string responses[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
      "HTTP/1.1 200 OK\r\nContent-Le",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      "HTTP/1.1 200 OK\r\n\r\nno length",
      "",
      "garbage\r\n\r\n"};
  for (const std::string& response : responses) {
    FakeServer server([&](TestSocket& socket, int) {
      socket.ReadMessage();
      socket.Send(response);
    });
    HttpClient client(Defaults());
    const HttpResult result = Run(client, Post(server.endpoint()));
    CHECK_TRUE_TEXT(result.outcome == HttpOutcome::kIncomplete, response.c_str());
  }
}

// Guards against a large response over a slow link that is given up again and again although it
// makes progress.
TEST(HttpClient, ReadsAResponseThatMakesProgressBeyondItsDeadline) {
  FakeServer server(SendSlowly(10, Millis(60)));
  HttpClient client(Defaults());
  const HttpResult result = Run(client, LargeGet(server.endpoint()));
  CHECK_TRUE_TEXT(result.outcome == HttpOutcome::kComplete, result.reason.c_str());
  LONGS_EQUAL(10, result.body.size());
}

// Guards against a connection that goes silent in the middle of a response and is noticed only at
// the end of the time that a large response may take.
TEST(HttpClient, GivesUpAResponseThatGoesSilent) {
  FakeServer server([](TestSocket& socket, int) {
    socket.ReadMessage();
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    socket.ReadAll();
  });
  HttpClient client(Defaults());
  HttpCall call = LargeGet(server.endpoint());
  call.deadline = Millis(10'000);
  const auto began = std::chrono::steady_clock::now();
  const HttpResult result = Run(client, call);
  CHECK_TRUE(result.outcome == HttpOutcome::kIncomplete);
  CHECK_TRUE(std::chrono::steady_clock::now() - began < call.deadline / 2);
}

// Guards against waiting for a response that does not begin longer than the deadline allows.
TEST(HttpClient, GivesUpAResponseThatDoesNotBegin) {
  FakeServer server([](TestSocket& socket, int) {
    socket.ReadMessage();
    socket.ReadAll();
  });
  HttpClient client(Defaults());
  const auto began = std::chrono::steady_clock::now();
  const HttpResult result = Run(client, LargeGet(server.endpoint()));
  CHECK_TRUE(result.outcome == HttpOutcome::kIncomplete);
  CHECK_TRUE(std::chrono::steady_clock::now() - began < Millis(5000));
}

// Guards against a peer that keeps a call open for ever by sending a byte now and then.
TEST(HttpClient, GivesUpAResponseThatLastsTooLong) {
  FakeServer server(SendSlowly(30, Millis(50)));
  HttpClient client(Defaults());
  const HttpResult result = Run(client, LargeGet(server.endpoint(), Millis(700)));
  CHECK_TRUE(result.outcome == HttpOutcome::kIncomplete);
}

// Guards against reporting a call without a timely response as never sent.
TEST(HttpClient, ReportsALateResponseAsIncomplete) {
  FakeServer server([](TestSocket& socket, int) {
    socket.ReadMessage();
    socket.ReadAll();
  });
  HttpClient client(Defaults());
  HttpCall call = Post(server.endpoint());
  call.deadline = Millis(50);
  CHECK_TRUE(Run(client, call).outcome == HttpOutcome::kIncomplete);
}

// Guards against an order that arrives after the right to give it has ended: closing the connection
// in order would let the kernel deliver it later.
TEST(HttpClient, ResetsTheConnectionWhenTheRightToGiveAnOrderEnds) {
  Awaited<bool> reset;
  FakeServer server([&](TestSocket& socket, int) {
    (void)socket.ReadMessage();
    reset.Set(socket.AwaitReset());
  });
  OrderClock clock;
  HttpClient client(clock.Settings());
  const HttpResult result = Run(client, Order(server.endpoint(), clock.now() + Millis(100)));
  CHECK_TRUE(result.outcome == HttpOutcome::kIncomplete);
  CHECK_TRUE(reset.Get() == true);
}

// Guards against an order that is written after the right to give it has ended, on a new connection
// and on one of the pool.
TEST(HttpClient, WritesNoOrderAfterTheRightToGiveItHasEnded) {
  FakeServer server(EchoBodies);
  OrderClock clock;
  HttpClient client(clock.Settings());
  CHECK_TRUE(Run(client, Order(server.endpoint(), clock.now())).outcome == HttpOutcome::kNotSent);
  CHECK_TRUE(Run(client, Post(server.endpoint())).outcome == HttpOutcome::kComplete);
  // A suspension, which the timers do not count, ends the right before the order is written.
  const MonotonicTime ends = clock.now() + Millis(5000);
  clock.Skip(Millis(6000));
  CHECK_TRUE(Run(client, Order(server.endpoint(), ends)).outcome == HttpOutcome::kNotSent);
}

// Guards against an order that is aborted although the right to give it was prolonged meanwhile.
TEST(HttpClient, WaitsOnForAnOrderWhoseRightIsProlonged) {
  Awaited<bool> prolonged;
  FakeServer server([&](TestSocket& socket, int) {
    (void)socket.ReadMessage();
    (void)prolonged.Get();
    socket.Send(HttpResponseText(200, "done"));
  });
  OrderClock clock;
  HttpClient client(clock.Settings());
  HttpCall call = Post(server.endpoint());
  const MonotonicTime first = clock.now() + Millis(100);
  std::atomic<int> asked = 0;
  call.valid_until = [&] {
    // The first end is replaced when it is reached.
    if (clock.now() < first) return first;
    if (asked++ == 0) prolonged.Set(true);
    return first + Millis(10'000);
  };
  CHECK_TRUE(Run(client, call).outcome == HttpOutcome::kComplete);
}

// Guards against bytes that the kernel still delivers after the process has ended.
TEST(HttpClient, ResetsConnectionsWhenItIsStopped) {
  Awaited<bool> reset;
  FakeServer server([&](TestSocket& socket, int) {
    socket.Send(HttpResponseText(200, socket.ReadMessage()));
    reset.Set(socket.AwaitReset());
  });
  OrderClock clock;
  {
    HttpClient client(clock.Settings());
    CHECK_TRUE(Run(client, Post(server.endpoint())).outcome == HttpOutcome::kComplete);
  }
  CHECK_TRUE(reset.Get() == true);
}

// Guards against a connect timeout that also cancels a long call on the new connection.
TEST(HttpClient, WaitsLongerForResponsesThanForConnections) {
  HttpClient::Settings settings;
  settings.connect_timeout = Millis(1000);
  Awaited<bool> connect_limit_passed;
  FakeServer server([&](TestSocket& socket, int) {
    (void)socket.ReadMessage();
    if (connect_limit_passed.Get()) socket.Send(HttpResponseText(200, "late"));
    socket.ReadAll();
  });
  HttpClient client(settings);
  HttpCall call = Post(server.endpoint());
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

// Guards against running a task twice: the server may have run the request before it closed the
// connection, so the client must not send it again.
TEST(HttpClient, ReportsAReusedConnectionThatClosesAsIncomplete) {
  FakeServer server([](TestSocket& socket, int) {
    socket.ReadMessage();
    socket.Send(HttpResponseText(200, "first"));
    socket.ReadMessage();
  });
  HttpClient client(Defaults());
  CHECK_TRUE(Run(client, Post(server.endpoint())).outcome == HttpOutcome::kComplete);
  CHECK_TRUE(Run(client, Post(server.endpoint())).outcome == HttpOutcome::kIncomplete);
  CHECK_EQUAL(1, server.connections());
}

// Guards against calls that fail because the server closed an idle connection earlier.
TEST(HttpClient, DoesNotUseConnectionsThatTheServerClosed) {
  std::atomic<int> closed = 0;
  FakeServer server([&](TestSocket& socket, int) {
    socket.ReadMessage();
    socket.Send(HttpResponseText(200, "ok"));
    socket.Close();
    ++closed;
  });
  HttpClient client(Defaults());
  for (int i = 1; i <= 3; ++i) {
    CHECK_TRUE(Run(client, Post(server.endpoint())).outcome == HttpOutcome::kComplete);
    CHECK_TRUE(WaitFor([&] { return closed == i; }));
  }
}

// Guards against reading surplus bytes of one response as the response to the next request.
TEST(HttpClient, DropsConnectionsWithUnsolicitedBytes) {
  FakeServer server([](TestSocket& socket, int number) {
    socket.ReadMessage();
    const std::string extra = number == 0 ? HttpResponseText(200, "stray") : "";
    socket.Send(HttpResponseText(200, "own" + std::to_string(number)) + extra);
    socket.ReadAll();
  });
  HttpClient client(Defaults());
  STRCMP_EQUAL("own0", Run(client, Post(server.endpoint())).body.c_str());
  STRCMP_EQUAL("own1", Run(client, Post(server.endpoint())).body.c_str());
}

// Guards against opening more connections than a worker accepts.
TEST(HttpClient, BoundsTheConnectionsToOneHost) {
  std::atomic<int> waiting = 0;
  std::atomic<bool> go = false;
  FakeServer server([&](TestSocket& socket, int) {
    while (!socket.ReadMessage().empty()) {
      ++waiting;
      WaitFor([&] { return go.load(); });
      socket.Send(HttpResponseText(200, "ok"));
    }
  });
  HttpClient::Settings settings;
  settings.connections_per_host = 2;
  settings.max_waiting_per_host = 3;
  HttpClient client(settings);
  Awaited<HttpResult> results;
  for (int i = 0; i < 6; ++i) {
    client.Call(Post(server.endpoint()), [&](HttpResult got) { results.Set(std::move(got)); });
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
  CHECK_EQUAL(2, server.connections());
}

// Guards against a client that tries one silent idle connection after the other, each until its
// deadline, while new connections work.
TEST(HttpClient, GivesUpIdleConnectionsToAHostWhenOneIsSilent) {
  constexpr std::size_t kIdle = 3;
  std::atomic<int> waiting = 0;
  std::atomic<bool> silent = false;
  FakeServer server([&](TestSocket& socket, int number) {
    while (!socket.ReadMessage().empty()) {
      ++waiting;
      const bool old = number < static_cast<int>(kIdle);
      WaitFor([&] { return waiting >= static_cast<int>(kIdle); });
      if (old && silent) continue;
      socket.Send(HttpResponseText(200, "ok"));
    }
  });
  HttpClient client(HttpClient::Settings{});
  Awaited<HttpResult> results;
  for (std::size_t i = 0; i < kIdle; ++i) {
    client.Call(Post(server.endpoint()), [&](HttpResult got) { results.Set(std::move(got)); });
  }
  CHECK_TRUE(results.Get(kIdle).has_value());
  CHECK_EQUAL(kIdle, server.connections());
  silent = true;
  HttpCall call = Post(server.endpoint());
  call.deadline = Millis(100);
  CHECK_TRUE(Run(client, call).outcome == HttpOutcome::kIncomplete);
  CHECK_TRUE(Run(client, call).outcome == HttpOutcome::kComplete);
}

// Guards against a client that takes all connections that a server accepts, idle ones included, so
// that others cannot reach it.
TEST(HttpClient, OpensNoMoreConnectionsThanACallAllows) {
  std::atomic<int> waiting = 0;
  std::atomic<bool> go = false;
  FakeServer server([&](TestSocket& socket, int) {
    while (!socket.ReadMessage().empty()) {
      ++waiting;
      WaitFor([&] { return go.load(); });
      socket.Send(HttpResponseText(200, "ok"));
    }
  });
  HttpClient client(HttpClient::Settings{});
  Awaited<HttpResult> results;
  constexpr std::size_t kCalls = 6;
  for (std::size_t i = 0; i < kCalls; ++i) {
    HttpCall call = Post(server.endpoint());
    call.max_connections = 2;
    client.Call(call, [&](HttpResult got) { results.Set(std::move(got)); });
  }
  CHECK_TRUE(WaitFor([&] { return waiting == 2; }));
  go = true;
  CHECK_TRUE(results.Get(kCalls).has_value());
  for (std::size_t i = 1; i <= kCalls; ++i) {
    CHECK_TRUE(results.Get(i)->outcome == HttpOutcome::kComplete);
  }
  CHECK_EQUAL(2, server.connections());
}

// Guards against a wait for a connection that exceeds the deadline or is reported as a sent call.
TEST(HttpClient, EndsCallsThatWaitTooLongAsNotSent) {
  FakeServer server([](TestSocket& socket, int) { socket.ReadAll(); });
  HttpClient::Settings settings;
  settings.connections_per_host = 1;
  HttpClient client(settings);
  Awaited<HttpResult> first;
  client.Call(Post(server.endpoint()), [&](HttpResult got) { first.Set(std::move(got)); });
  HttpCall second = Post(server.endpoint());
  second.deadline = Millis(50);
  CHECK_TRUE(Run(client, second).outcome == HttpOutcome::kNotSent);
  client.Stop();
  CHECK_TRUE(first.Get()->outcome == HttpOutcome::kIncomplete);
}

// Guards against calls and timers that get no callback when the client stops.
// Guards against a client that cannot reach new hosts because connections to hosts that it no
// longer calls use all descriptors.
TEST(HttpClient, BoundsTheIdleConnectionsToAllHosts) {
  constexpr std::size_t kMaxIdle = 8;
  constexpr int kHosts = 24;
  HttpClient::Settings settings;
  settings.max_idle = kMaxIdle;
  settings.idle_timeout = Millis(60'000);
  std::atomic<int> open = 0;
  std::atomic<int> accepted = 0;
  std::vector<std::unique_ptr<FakeServer>> servers;
  for (int n = 0; n < kHosts; ++n) {
    servers.push_back(std::make_unique<FakeServer>([&](TestSocket& socket, int number) {
      ++open;
      ++accepted;
      EchoBodies(socket, number);
      --open;
    }));
  }
  HttpClient client(settings);
  for (const auto& it : servers) {
    CHECK_TRUE(Run(client, Post(it->endpoint())).outcome == HttpOutcome::kComplete);
  }
  CHECK_TRUE(WaitFor([&] { return open <= static_cast<int>(kMaxIdle); }));
  // The most recently used connection is still there.
  CHECK_TRUE(Run(client, Post(servers.back()->endpoint())).outcome == HttpOutcome::kComplete);
  LONGS_EQUAL(kHosts, accepted);
  CHECK_TRUE(Run(client, Post(servers.front()->endpoint())).outcome == HttpOutcome::kComplete);
  LONGS_EQUAL(kHosts + 1, accepted);
  client.Stop();
}

// Guards against connections to backend servers that use all descriptors of the process, in use and
// idle ones together.
TEST(HttpClient, BoundsAllOpenConnections) {
  constexpr std::size_t kMaxOpen = 4;
  HttpClient::Settings settings;
  settings.max_open = kMaxOpen;
  FakeServer silent([](TestSocket& socket, int) { socket.ReadAll(); });
  std::vector<std::unique_ptr<FakeServer>> servers;
  for (std::size_t n = 0; n < 2 * kMaxOpen; ++n) {
    servers.push_back(std::make_unique<FakeServer>(EchoBodies));
  }
  HttpClient client(settings);
  // Idle connections make room for new ones.
  for (const auto& it : servers) {
    CHECK_TRUE(Run(client, Post(it->endpoint())).outcome == HttpOutcome::kComplete);
  }
  Awaited<HttpResult> waiting;
  for (std::size_t n = 0; n < kMaxOpen; ++n) {
    client.Call(Post(silent.endpoint()), [&](HttpResult got) { waiting.Set(std::move(got)); });
  }
  // Those in use do not, until they are closed.
  CHECK_TRUE(Run(client, Post(servers.front()->endpoint())).outcome == HttpOutcome::kNotSent);
  client.Stop();
  CHECK_EQUAL(kMaxOpen, waiting.count());
}

TEST(HttpClient, StopEndsPendingCallsAndTimers) {
  FakeServer server([](TestSocket& socket, int) { socket.ReadAll(); });
  HttpClient client(Defaults());
  Awaited<HttpResult> results;
  Awaited<bool> timers;
  for (int i = 0; i < 3; ++i) {
    client.Call(Post(server.endpoint()), [&](HttpResult got) { results.Set(std::move(got)); });
  }
  client.After(Millis(3600000), [&] { timers.Set(true); });
  client.Stop();
  client.Call(Post(server.endpoint()), [&](HttpResult got) { results.Set(std::move(got)); });
  CHECK_EQUAL(4U, results.count());
  CHECK_EQUAL(1U, timers.count());
}

// Guards against corruption of a body that is split over several reads and writes.
TEST(HttpClient, TransfersLargeBodies) {
  FakeServer server(EchoBodies);
  HttpClient client(Defaults());
  const std::string body(3 * 1024 * 1024, 'b');
  CHECK_TRUE(Run(client, Post(server.endpoint(), body)).body == body);
}

// Guards against losing the response of a server that rejects a request before reading all of it.
TEST(HttpClient, ReadsAResponseThatPrecedesTheEndOfTheRequest) {
  FakeServer server([](TestSocket& socket, int) {
    socket.Send(HttpResponseText(409, "{}"));
    socket.ReadAll();
  });
  HttpClient client(Defaults());
  CHECK_EQUAL(409, Run(client, Post(server.endpoint())).status);
}

// Guards against header values that inject a second request.
TEST(HttpClient, RefusesMalformedCalls) {
  FakeServer server(EchoBodies);
  HttpClient client(Defaults());
  HttpCall call = Post(server.endpoint());
  call.headers = {{"X", "a\r\nY: b"}};
  CHECK_TRUE(Run(client, call).outcome == HttpOutcome::kNotSent);
  call.headers.clear();
  call.target = "/a b";
  CHECK_TRUE(Run(client, call).outcome == HttpOutcome::kNotSent);
  CHECK_EQUAL(0, server.connections());
}

// Guards against calls that bypass the egress proxy, or that are reported as sent when the proxy
// refuses the tunnel.
TEST(HttpClient, ConnectsThroughTheProxy) {
  const Endpoint target = ClosedEndpoint();
  Awaited<std::string> tunnels;
  FakeServer proxy([&](TestSocket& socket, int number) {
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

// Guards against a request that a later process of the server carries out although it was given up:
// nobody reads the new connection until the call has ended.
TEST(HttpClient, WritesNothingButTheProbeToAConnectionThatNobodyReads) {
  Awaited<bool> given_up;
  Awaited<std::string> read;
  FakeServer server([&](TestSocket& socket, int) {
    given_up.Get();
    read.Set(socket.ReadAll());
  });
  HttpClient client(Defaults());
  HttpCall call = Post(server.endpoint(), "order");
  call.deadline = Millis(200);
  call.probe = ConnectionProbe{"POST", "/probe", "probe"};
  const HttpResult result = Run(client, std::move(call));
  given_up.Set(true);
  const std::string text = read.Get().value_or("");
  client.Stop();
  CHECK_TRUE(result.outcome == HttpOutcome::kNotSent);
  CHECK_TRUE(text.find("POST /probe ") == 0);
  CHECK_TRUE(text.find("order") == std::string::npos);
}

TEST(HttpClient, ProbesOnlyNewConnections) {
  Awaited<std::string> requests;
  FakeServer server([&](TestSocket& socket, int) {
    for (std::string text = socket.ReadMessage(); !text.empty(); text = socket.ReadMessage()) {
      requests.Set(text.substr(0, text.find(" HTTP")));
      socket.Send(HttpResponseText(200, ""));
    }
  });
  HttpClient client(Defaults());
  for (int n = 0; n < 2; ++n) {
    HttpCall call = Post(server.endpoint());
    call.target = "/order";
    call.probe = ConnectionProbe{"POST", "/probe", ""};
    CHECK_TRUE(Run(client, std::move(call)).outcome == HttpOutcome::kComplete);
  }
  LONGS_EQUAL(3, requests.count());
  STRCMP_EQUAL("POST /probe", requests.Get(1)->c_str());
  STRCMP_EQUAL("POST /order", requests.Get(2)->c_str());
  STRCMP_EQUAL("POST /order", requests.Get(3)->c_str());
  LONGS_EQUAL(1, server.connections());
}

// Guards against calls that never reach a server which ends each connection after a response.
TEST(HttpClient, AServerThatClosesAfterTheProbeGetsTheRequestOnAnotherConnection) {
  FakeServer server([](TestSocket& socket, int) {
    socket.ReadMessage();
    socket.Send(HttpResponseText(200, "", "Connection: close\r\n"));
  });
  HttpClient client(Defaults());
  HttpCall call = Post(server.endpoint());
  call.probe = ConnectionProbe{"POST", "/probe", ""};
  CHECK_TRUE(Run(client, std::move(call)).outcome == HttpOutcome::kComplete);
  LONGS_EQUAL(2, server.connections());
}
