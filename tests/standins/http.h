#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sapphirewheel::testing {

struct CaseInsensitiveLess {
  bool operator()(const std::string& a, const std::string& b) const;
};
using HttpHeaders = std::map<std::string, std::string, CaseInsensitiveLess>;

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::string body{};
  HttpHeaders headers{};

  // A header's value, or empty.
  [[nodiscard]] std::string Header(const std::string& name) const;
};

// How a server puts an answer on the connection.
enum class Delivery {
  kNormal,
  // Closes the connection without an answer.
  kDrop,
  // Declares the full length, sends about half of the body and closes.
  kTruncate,
  // Sends the answer twice; the second one is read as the answer to the next request.
  kDuplicate,
};

struct HttpResponse {
  int status = 200;
  std::string body{};
  HttpHeaders headers{};
  Delivery delivery = Delivery::kNormal;
};

using HttpRespond = std::function<void(HttpResponse)>;
// Must call `respond` once, at any later time. An answer to a closed connection is dropped.
using HttpHandler = std::function<void(HttpRequest request, HttpRespond respond)>;

// HTTP/1.1 server with persistent connections. Runs on the thread of `io`; not thread-safe.
class HttpServer {
 public:
  // Connections above `max_connections` are closed on arrival; 0 means no limit.
  HttpServer(boost::asio::io_context& io, HttpHandler handler, std::size_t max_connections = 0);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens on "ip:port" (port 0: chosen by the kernel) and returns the actual address. Throws
  // boost::system::system_error when the address cannot be bound.
  std::string Listen(const std::string& address);
  // Closes the listener and all connections. `Listen` may be called again.
  void Close();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// Where a call goes: `address` is "ip:port"; with `proxy` set, through HTTP CONNECT at that proxy.
struct HttpTarget {
  std::string address;
  std::string proxy;
};

// `error` is empty when a complete answer was received.
struct HttpOutcome {
  std::string error;
  HttpResponse response;
  [[nodiscard]] bool ok() const { return error.empty(); }
};

// Makes one call on its own connection. The callback comes on the thread of `io`.
void AsyncHttpCall(boost::asio::io_context& io, HttpTarget target, HttpRequest request,
                   std::chrono::milliseconds timeout, std::function<void(HttpOutcome)> done);

// As AsyncHttpCall, but waits for the outcome. Thread-safe.
HttpOutcome HttpCall(HttpTarget target, HttpRequest request, std::chrono::milliseconds timeout);

}  // namespace sapphirewheel::testing
