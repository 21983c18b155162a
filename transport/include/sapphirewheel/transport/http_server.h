#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/endpoint.h"
#include "sapphirewheel/transport/http_headers.h"

namespace sapphirewheel {

struct HttpRequest {
  std::string method;
  // As received, including the query.
  std::string target;
  // Percent-decoded, without the query.
  std::string path;
  // Percent-decoded; of repeated names, the last one counts.
  std::map<std::string, std::string> query;
  HttpHeaders headers;
  std::string body;
  // IP address of the caller.
  std::string remote_address;
};

struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

// The reply to a failed request: a problem document (RFC 9457), with Retry-After where retrying
// helps.
[[nodiscard]] HttpReply ProblemReply(const Error& error);

// Why a server refused a request, or ended a connection, before the request reached the handler.
enum class Refusal {
  kHeaderTooLarge,
  kBodyTooLarge,
  kHeaderTooSlow,
  kBodyTooSlow,
  // The memory for requests is used up, and no stalled request could be ended instead.
  kMemoryFull,
  // The request made too little progress while others needed its memory.
  kEndedForMemory,
  kConnectionsFull,
  // The connection was idle or its request unfinished while a new connection needed its place.
  kEndedForConnection,
};
inline constexpr std::array kRefusals = {Refusal::kHeaderTooLarge,  Refusal::kBodyTooLarge,
                                         Refusal::kHeaderTooSlow,   Refusal::kBodyTooSlow,
                                         Refusal::kMemoryFull,      Refusal::kEndedForMemory,
                                         Refusal::kConnectionsFull, Refusal::kEndedForConnection};

// The name of a refusal in metrics and logs; lower case with hyphens.
[[nodiscard]] const char* RefusalName(Refusal refusal) noexcept;

// An HTTP/1.1 server with a thread of its own. Connections are persistent, and each handles one
// request at a time. A request with ambiguous framing or identity (Content-Length together with
// Transfer-Encoding, or a repeated header that determines either) is rejected and its connection
// closed. Requests beyond a limit are answered with a problem document: 408, 413, 431, or 503 for
// too many connections or too little memory; they have not reached the handler. When all
// connections are in use, an unfinished request or an idle connection is ended for a new one.
// Connections for which there is not even room for a refusal wait in the kernel's queue.
//
// A planned stop calls BeginDrain, StopAccepting, CloseIdle and, once Drained or out of time,
// Abandon and Stop.
class HttpServer {
 public:
  struct Settings {
    // Port 0 lets the kernel choose a free port.
    Endpoint listen{"127.0.0.1", 0};
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 8UL * 1024 * 1024;
    std::size_t max_connections = 1024;
    // Maximum number of connections above the limit that are answered with 503 at a time; further
    // ones wait in the kernel's queue.
    std::size_t max_refusals = 64;
    // Idle connections are closed after this time. Also the time limit for writing a reply.
    Millis idle_timeout{60000};
    // Time limit from the first byte of a request to the end of its header.
    Millis header_timeout{10000};
    // Time limit from the first byte of a request to its last. It grows with the body that has
    // arrived, by one second for each `min_body_rate` bytes.
    Millis read_timeout{10000};
    std::size_t min_body_rate = 16UL * 1024;
    // What all open requests may hold together, each from its first byte until its reply is
    // written.
    std::size_t max_request_memory = 64UL * 1024 * 1024;
    // A request of which less than 4 KiB arrives within this time may be ended when others need its
    // memory.
    Millis stall_patience{500};
    // Called for each refusal, on the server's thread; must not block.
    std::function<void(Refusal)> on_refusal = {};
  };
  // Sends the reply; may be called on any thread. Only the first call has an effect. When all
  // copies are destroyed without a call, the caller gets status 500 with an unknown outcome.
  using Respond = std::function<void(HttpReply)>;
  // Called on the server's thread; must not block.
  using Handler = std::function<void(HttpRequest, Respond)>;

  HttpServer(Settings settings, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds and starts the thread; returns the bound address. Errors: kInvalidArgument when the
  // address cannot be bound.
  [[nodiscard]] Result<Endpoint> Start();

  // Changes the limit of bodies, for requests that begin from now on. Thread-safe.
  void SetMaxBodyBytes(std::size_t bytes) noexcept;

  // Sends further replies with `Connection: close`, so that callers move to another server while
  // this one still serves them.
  void BeginDrain() noexcept;

  // As BeginDrain, and refuses new connections. Those that the kernel has accepted are still
  // served. A request that has begun has one second left to arrive.
  void StopAccepting();

  // As StopAccepting, and closes the connections on which no request has begun. A request that has
  // arrived is answered first.
  void CloseIdle();

  // Gives all requests that wait for the handler's reply, and all further ones, this reply; a later
  // one of the handler is dropped.
  void Abandon(const HttpReply& reply);

  // Whether CloseIdle has been carried out and no request is left, so that Stop() cuts none off.
  [[nodiscard]] bool Drained() const noexcept;

  // Requests of which at least one byte has arrived and whose replies are not yet written.
  [[nodiscard]] std::size_t ActiveRequests() const noexcept;
  [[nodiscard]] std::size_t OpenConnections() const noexcept;

  // Closes all connections and joins the thread; later replies are dropped. Must not be called on
  // the server's thread.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
