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

// Which kept connections a call may use.
enum class ConnectionReuse {
  kAny,
  // Only one that was used a moment ago. For calls that may not be repeated: a peer that closes a
  // kept connection while the call is on its way makes the outcome unknown.
  kRecent,
  kNone,
};

struct HttpCall {
  Endpoint to;
  std::string method = "GET";
  // Path and query, already encoded.
  std::string target = "/";
  // Content-Length and Host are added.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Limit for the whole call, from the wait for a connection to the last byte of the answer.
  Millis deadline{5000};
  ConnectionReuse reuse = ConnectionReuse::kAny;
};

enum class HttpOutcome {
  // A whole answer arrived, with any status.
  kComplete,
  // Surely no byte of the request reached the peer.
  kNotSent,
  // At least a part was sent, and the answer is missing, cut, malformed or late.
  kIncomplete,
};

struct HttpResult {
  HttpOutcome outcome = HttpOutcome::kNotSent;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  // What went wrong; empty when complete.
  std::string reason;
};

// An asynchronous HTTP/1.1 client with a pool of kept connections and a thread of its own.
class HttpClient {
 public:
  struct Settings {
    // Upper bound of open connections to one peer.
    std::size_t connections_per_host = 64;
    // Calls that may wait for a connection to one peer; further ones end as not sent.
    std::size_t max_waiting_per_host = 1024;
    Millis connect_timeout{1000};
    // Age after which an unused connection is closed.
    Millis idle_timeout{10000};
    // Age up to which a connection counts as recently used.
    Millis recent_use_limit{500};
    std::size_t max_response_bytes = 64UL * 1024 * 1024;
    // Reaches all peers through this proxy by HTTP CONNECT.
    std::optional<Endpoint> proxy;
  };
  using Callback = std::function<void(HttpResult)>;

  explicit HttpClient(Settings settings);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call from any thread. The callback comes exactly once, on the client's thread, or on
  // the calling thread when the client has been stopped.
  void Call(HttpCall call, Callback done);

  // Runs a task on the client's thread after a delay, or earlier when the client is stopped.
  void After(Millis delay, std::function<void()> task);

  // Ends all calls (their callbacks still come) and joins the thread. Not from the client's thread.
  void Stop();

  // Whether Stop() has been called.
  [[nodiscard]] bool stopping() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
