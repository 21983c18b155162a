#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/endpoint.h"
#include "sapphirewheel/transport/http_headers.h"

namespace sapphirewheel {

// Which idle connections of the pool a call may reuse.
enum class ConnectionReuse {
  kAny,
  // Only a recently used one. For calls that must not be repeated: when the server closes an idle
  // connection while a request is in transit, the outcome of the call is unknown.
  kRecent,
  kNone,
};

// Lets a response that has begun outlast the deadline of its call while it makes progress.
struct ResponseProgress {
  // Maximum time without a byte of the response once it has begun.
  Millis max_silence{0};
  // Time limit of the whole call; at least its deadline.
  Millis max_duration{0};
};

// A request without effect that shows whether a process of the server reads a new connection.
struct ConnectionProbe {
  std::string method = "POST";
  // Path and query, already encoded.
  std::string target = "/";
  std::string body;
};

struct HttpCall {
  Endpoint to;
  std::string method = "GET";
  // Path and query, already encoded.
  std::string target = "/";
  // Content-Length and Host are added.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Time limit of the whole call, from the wait for a connection to the last byte of the response;
  // with `progress`, to its first byte.
  Millis deadline{5000};
  std::optional<ResponseProgress> progress;
  ConnectionReuse reuse = ConnectionReuse::kAny;
  // Upper bound of open connections to the host while this call opens one, below
  // Settings::connections_per_host; 0 if only that counts.
  std::size_t max_connections = 0;
  // Sent first on a new connection, with the headers of the call; the request is written only after
  // a complete response to it, and the call ends with kNotSent without one. What is written to a
  // connection that nobody reads waits in the queue of the listening socket, and a later process of
  // the server reads it even if the connection was reset in the meantime.
  std::optional<ConnectionProbe> probe;
  // For an order whose sender's right to give it ends: the end, by Settings::now. It is asked again
  // while the call is in progress. The request is not written after the end, and a call without a
  // response by then is aborted. Called on the client's thread.
  std::function<MonotonicTime()> valid_until;
};

enum class HttpOutcome {
  // A complete response arrived, with any status.
  kComplete,
  // It is certain that no byte of the request reached the server.
  kNotSent,
  // At least a part of the request was sent, and the response is missing, truncated, malformed or
  // late.
  kIncomplete,
};

struct HttpResult {
  HttpOutcome outcome = HttpOutcome::kNotSent;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  // Describes the failure; empty for kComplete.
  std::string reason;
};

// An asynchronous HTTP/1.1 client with a pool of persistent connections and a thread of its own.
class HttpClient {
 public:
  struct Settings {
    // Upper bound of open connections to one host.
    std::size_t connections_per_host = 64;
    // Calls that may wait for a connection to one host; further ones end with kNotSent.
    std::size_t max_waiting_per_host = 1024;
    Millis connect_timeout{1000};
    // Idle connections are closed after this time.
    Millis idle_timeout{10000};
    // Upper bound of idle connections to all hosts together; the least recently used ones are
    // closed. 0 if they are not bounded.
    std::size_t max_idle = 0;
    // Upper bound of open connections to all hosts together, idle or not; idle ones are closed to
    // make room, and calls beyond it end with kNotSent. 0 if they are not bounded.
    std::size_t max_open = 0;
    // Idle time up to which a connection counts as recently used.
    Millis recent_use_limit{500};
    std::size_t max_response_bytes = 64UL * 1024 * 1024;
    // Resets connections instead of closing them in order, also when the process ends: bytes that
    // the peer has not received are dropped and cannot arrive after the call has ended.
    bool reset_on_close = false;
    // The clock of HttpCall::valid_until; required for calls that set it.
    std::function<MonotonicTime()> now;
    // When set, all connections are tunnelled through this proxy by HTTP CONNECT.
    std::optional<Endpoint> proxy;
  };
  using Callback = std::function<void(HttpResult)>;

  explicit HttpClient(Settings settings);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call; thread-safe. The callback is invoked exactly once, on the client's thread, or on
  // the calling thread when the client has been stopped.
  void Call(HttpCall call, Callback done);

  // Runs a task on the client's thread after a delay, or earlier when the client is stopped. After
  // the stop, runs it on the calling thread.
  void After(Millis delay, std::function<void()> task);

  // Ends all calls, still invoking their callbacks, and joins the thread. Must not be called on the
  // client's thread.
  void Stop();

  // Whether Stop() has been called.
  [[nodiscard]] bool stopping() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
