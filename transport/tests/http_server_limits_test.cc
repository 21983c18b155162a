#include <cstdio>
#include <memory>
#include <string>
#include <thread>

#include "sapphirewheel/transport/http_server.h"
#include "transport/tests/test_support.h"

#include "CppUTest/TestHarness.h"

using sapphirewheel::Awaited;
using sapphirewheel::Endpoint;
using sapphirewheel::HttpReply;
using sapphirewheel::HttpRequest;
using sapphirewheel::HttpServer;
using sapphirewheel::Millis;
using sapphirewheel::Refusal;
using sapphirewheel::RefusalName;
using sapphirewheel::TestSocket;
using sapphirewheel::WaitFor;

namespace {

constexpr std::size_t kMemory = 256UL * 1024;
constexpr std::size_t kBody = 100UL * 1000;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string Chunks(std::size_t chunk_bytes, std::size_t count) {
  std::string text;
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", chunk_bytes);
  for (std::size_t n = 0; n < count; ++n) text += size + std::string(chunk_bytes, 'x') + "\r\n";
  return text;
}

const std::string kChunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kSmallRequest = "GET /small HTTP/1.1\r\nHost: h\r\n\r\n";

std::string AnnouncedHead(std::size_t bytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

}  // namespace

// clang-format off
TEST_GROUP(HttpServerLimits) {
  Awaited<Refusal> refusals;
  Awaited<HttpServer::Respond> held;
  std::unique_ptr<HttpServer> server;
  Endpoint address;
  HttpServer::Settings settings;

  // Replies with the length of the body; requests for /held get no reply.
  void Serve() {
    settings.on_refusal = [this](Refusal refusal) { refusals.Set(refusal); };
    server = std::make_unique<HttpServer>(
        settings, [this](const HttpRequest& request, const HttpServer::Respond& respond) {
          if (request.path == "/held") return held.Set(respond);
          respond(HttpReply{200, "text/plain", "bytes " + std::to_string(request.body.size()), {}});
        });
    auto bound = server->Start();
    CHECK_TRUE(bound.has_value());
    address = bound.value();
  }
  [[nodiscard]] std::unique_ptr<TestSocket> Send(const std::string& text) const {
    auto socket = TestSocket::Connect(address);
    socket->Send(text);
    return socket;
  }
  void CheckRefused(Refusal expected) {
    const auto refusal = refusals.Get();
    CHECK_TRUE(refusal.has_value());
    STRCMP_EQUAL(RefusalName(expected), RefusalName(*refusal));
  }
  void setup() override { sapphirewheel::EnableThreadSafeLeakCheck(); }
  void teardown() override { server.reset(); }
};
// clang-format on

// Guards against a body that is read although its announced length is over the limit.
TEST(HttpServerLimits, AnnouncedBodiesOverTheLimitAreRefusedBeforeTheyAreRead) {
  settings.max_body_bytes = kBody;
  Serve();
  const auto socket = Send(AnnouncedHead(kBody + 1));
  CHECK_TRUE(Contains(socket->ReadAll(), "HTTP/1.1 413 "));
  CheckRefused(Refusal::kBodyTooLarge);
}

// Guards against a limit that a body of just this size reaches, announced or in the smallest
// chunks.
TEST(HttpServerLimits, BodiesOfExactlyTheLimitAreServed) {
  settings.max_body_bytes = kBody;
  settings.max_request_memory = 1024;
  Serve();
  auto announced = Send(AnnouncedHead(kBody) + std::string(kBody, 'x'));
  CHECK_TRUE(Contains(announced->ReadMessage(), "bytes 100000"));
  auto chunked = Send(kChunkedHead + Chunks(1, kBody) + "0\r\n\r\n");
  CHECK_TRUE(Contains(chunked->ReadMessage(), "bytes 100000"));
  LONGS_EQUAL(0, refusals.count());
}

// Guards against a changed limit that applies only to later connections, or not at all.
TEST(HttpServerLimits, TheLimitOfBodiesCanBeChanged) {
  settings.max_body_bytes = kBody;
  Serve();
  server->SetMaxBodyBytes(2 * kBody);
  CHECK_TRUE(Contains(Send(AnnouncedHead(2 * kBody) + std::string(2 * kBody, 'x'))->ReadMessage(),
                      "bytes 200000"));
  server->SetMaxBodyBytes(10);
  CHECK_TRUE(Contains(Send(AnnouncedHead(11))->ReadAll(), "HTTP/1.1 413 "));
}

// Guards against chunk extensions that cost much more than the body that they carry, and against
// one that is buffered without an end.
TEST(HttpServerLimits, ChunkExtensionsAreBounded) {
  settings.max_body_bytes = 1000;
  settings.max_header_bytes = 1000;
  Serve();
  std::string chunks;
  for (int n = 0; n < 200; ++n) chunks += "1;a=" + std::string(100, 'b') + "\r\nx\r\n";
  CHECK_TRUE(Contains(Send(kChunkedHead + chunks)->ReadAll(), "HTTP/1.1 413 "));
  const std::string endless = "1;a=" + std::string(30'000, 'b');
  CHECK_TRUE(Contains(Send(kChunkedHead + endless)->ReadAll(), "HTTP/1.1 431 "));
}

// Guards against many bodies within the limit that together use up the memory: further large ones
// are refused, and ordinary requests are served meanwhile.
TEST(HttpServerLimits, TheTotalOfOpenBodiesIsBounded) {
  settings.max_request_memory = kMemory;
  // The first body stays open however slow the machine is.
  settings.stall_patience = Millis(60'000);
  Serve();
  const auto first = Send(AnnouncedHead(kBody));
  CHECK_TRUE(WaitFor([this] { return server->ActiveRequests() == 1; }));
  const auto second = Send(AnnouncedHead(kBody));
  const std::string reply = second->ReadAll();
  CHECK_TRUE(Contains(reply, "HTTP/1.1 503 "));
  CHECK_TRUE(Contains(reply, "Retry-After: 1"));
  CHECK_TRUE(Contains(reply, "\"run\":\"not-run\""));
  CheckRefused(Refusal::kMemoryFull);
  CHECK_TRUE(Contains(Send(kSmallRequest)->ReadMessage(), "bytes 0"));
  first->Send(std::string(kBody, 'x'));
  CHECK_TRUE(Contains(first->ReadMessage(), "bytes 100000"));
}

// Guards against bodies that stop short of their end and hold the memory until their time limit.
TEST(HttpServerLimits, AStalledBodyIsEndedWhenItsMemoryIsNeeded) {
  settings.max_request_memory = kMemory;
  Serve();
  const auto stalled = Send(kChunkedHead + Chunks(kBody, 1));
  CHECK_TRUE(WaitFor([this] { return server->ActiveRequests() == 1; }));
  // The body is read while these are served. Otherwise the other one could hold the memory first.
  for (int n = 0; n < 100; ++n) {
    CHECK_TRUE(Contains(Send(kSmallRequest)->ReadMessage(), "bytes 0"));
  }
  CHECK_TRUE(WaitFor([this] {
    auto other = Send(AnnouncedHead(kBody) + std::string(kBody, 'x'));
    return Contains(other->ReadMessage(), "bytes 100000");
  }));
  CHECK_TRUE(Contains(stalled->ReadAll(), "HTTP/1.1 408 "));
  bool ended = false;
  for (std::size_t n = 1; n <= refusals.count(); ++n) {
    ended = ended || refusals.Get(n) == Refusal::kEndedForMemory;
  }
  CHECK_TRUE(ended);
}

// Guards against a budget that forgets requests that were read and wait for their reply.
TEST(HttpServerLimits, ARequestCountsUntilItsReply) {
  settings.max_request_memory = kMemory;
  settings.stall_patience = Millis(10);
  Serve();
  std::string text = AnnouncedHead(kBody) + std::string(kBody, 'x');
  text.replace(text.find("/ "), 2, "/held ");
  const auto waiting = Send(text);
  const auto respond = held.Get();
  CHECK_TRUE(respond.has_value());
  // Longer than the patience with stalled requests, to which this one does not belong.
  std::this_thread::sleep_for(Millis(50));
  CHECK_TRUE(Contains(Send(AnnouncedHead(kBody))->ReadAll(), "HTTP/1.1 503 "));
  (*respond)(HttpReply{200, "text/plain", "done", {}});
  CHECK_TRUE(Contains(waiting->ReadMessage(), "done"));
  CHECK_TRUE(WaitFor([this] {
    auto other = Send(AnnouncedHead(kBody) + std::string(kBody, 'x'));
    return Contains(other->ReadMessage(), "bytes 100000");
  }));
}

// Guards against many small header fields, trailers or parameters, each of which holds much more
// than its text.
TEST(HttpServerLimits, FieldsCountWithWhatTheyHold) {
  settings.max_request_memory = kMemory;
  Serve();
  std::string fields;
  for (int n = 0; n < 2500; ++n) fields += "a:\r\n";
  std::string query = "/held?";
  for (int n = 0; n < 2500; ++n) query += std::to_string(n) + "&";
  const auto first = Send("GET " + query + " HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK_TRUE(held.Get().has_value());
  CHECK_TRUE(
      Contains(Send("GET " + query + " HTTP/1.1\r\nHost: h\r\n\r\n")->ReadAll(), "HTTP/1.1 503 "));
  CHECK_TRUE(Contains(Send("GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n")->ReadAll(),
                      "HTTP/1.1 503 "));
  const auto trailers = Send(kChunkedHead + "0\r\n" + fields + "\r\n");
  CHECK_TRUE(Contains(trailers->ReadAll(), "HTTP/1.1 503 "));
}

// Guards against slow headers that keep a connection as long as a body may take.
TEST(HttpServerLimits, SlowHeadersAreEndedBeforeSlowBodies) {
  settings.header_timeout = Millis(50);
  settings.read_timeout = Millis(60'000);
  Serve();
  CHECK_TRUE(Contains(Send("GET / HTTP/1.1\r\nHost")->ReadAll(), "HTTP/1.1 408 "));
  CheckRefused(Refusal::kHeaderTooSlow);
}

// Guards against a time limit that a large body on a slow link exceeds although it makes progress,
// and against none for a body that stops.
TEST(HttpServerLimits, TheTimeForABodyGrowsWithWhatHasArrived) {
  settings.read_timeout = Millis(300);
  settings.min_body_rate = 1000;
  Serve();
  const auto moving = Send(AnnouncedHead(2000) + std::string(1000, 'x'));
  const auto stopped = Send(AnnouncedHead(2000) + "x");
  CHECK_TRUE(Contains(stopped->ReadAll(), "HTTP/1.1 408 "));
  CheckRefused(Refusal::kBodyTooSlow);
  std::this_thread::sleep_for(Millis(100));
  moving->Send(std::string(1000, 'x'));
  CHECK_TRUE(Contains(moving->ReadMessage(), "bytes 2000"));
}

// Guards against slow headers that keep new callers out when all connections are in use.
TEST(HttpServerLimits, AnUnfinishedRequestIsEndedForANewConnection) {
  settings.max_connections = 2;
  Serve();
  auto kept = Send(kSmallRequest);
  CHECK_TRUE(Contains(kept->ReadMessage(), "bytes 0"));
  const auto slow = Send("GET / HTTP/1.1\r\nHost");
  CHECK_TRUE(WaitFor([this] { return server->ActiveRequests() == 1; }));
  std::unique_ptr<TestSocket> served;
  CHECK_TRUE(WaitFor([&] {
    served = Send(kSmallRequest);
    return Contains(served->ReadMessage(), "bytes 0");
  }));
  STRCMP_EQUAL("", slow->ReadAll().c_str());
  kept->Send(kSmallRequest);
  CHECK_TRUE(Contains(kept->ReadMessage(), "bytes 0"));
  CHECK_TRUE(WaitFor([this] { return server->OpenConnections() == 2; }));
}

// Guards against connections without any request that keep new callers out.
TEST(HttpServerLimits, AnUnusedConnectionIsEndedForANewOne) {
  settings.max_connections = 1;
  Serve();
  const auto unused = Send("");
  CHECK_TRUE(WaitFor([this] { return server->OpenConnections() == 1; }));
  CHECK_TRUE(WaitFor([&] { return Contains(Send(kSmallRequest)->ReadMessage(), "bytes 0"); }));
  STRCMP_EQUAL("", unused->ReadAll().c_str());
}
