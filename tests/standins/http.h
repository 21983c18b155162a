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

  // Returns the value of a header, or an empty string.
  [[nodiscard]] std::string Header(const std::string& name) const;
};

// How a server sends a response.
enum class Delivery {
  kNormal,
  // Closes the connection without a response.
  kDrop,
  // Declares the full Content-Length, sends about half of the body and closes the connection.
  kTruncate,
  // Sends the response twice, so that the client can mistake the copy for the next response.
  kDuplicate,
};

struct HttpResponse {
  int status = 200;
  std::string body{};
  HttpHeaders headers{};
  Delivery delivery = Delivery::kNormal;
  // The rate at which the response is sent; 0 sends it at once.
  std::size_t bytes_per_ms = 0;
};

using HttpRespond = std::function<void(HttpResponse)>;
// Must call `respond` once, now or later. A response to a closed connection is dropped.
using HttpHandler = std::function<void(HttpRequest request, HttpRespond respond)>;

// HTTP/1.1 server with persistent connections. Runs on the thread of `io`; not thread-safe.
class HttpServer {
 public:
  // Connections above `max_connections` are closed on arrival; 0 means no limit.
  HttpServer(boost::asio::io_context& io, HttpHandler handler, std::size_t max_connections = 0);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens on "ip:port" (with port 0, the kernel chooses one) and returns the actual address.
  // Throws boost::system::system_error when the address cannot be bound.
  std::string Listen(const std::string& address);
  // Closes the listener and all connections. `Listen` may be called again.
  void Close();
  // As when the process ends and its listening socket stays: closes all connections; what callers
  // then write to new ones waits in the kernel until Resume. Both are called on the thread of `io`.
  void Suspend();
  void Resume();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// Destination "ip:port" of a call. When `proxy` is set, the connection is tunnelled through that
// proxy by HTTP CONNECT.
struct HttpTarget {
  std::string address;
  std::string proxy;
};

// `error` is empty when a complete response was received.
struct HttpOutcome {
  std::string error;
  HttpResponse response;
  [[nodiscard]] bool ok() const { return error.empty(); }
};

// Makes one call on a connection of its own. `done` is called on the thread of `io`.
void AsyncHttpCall(boost::asio::io_context& io, HttpTarget target, HttpRequest request,
                   std::chrono::milliseconds timeout, std::function<void(HttpOutcome)> done);

// As AsyncHttpCall, but blocks until the call has ended. Thread-safe.
HttpOutcome HttpCall(HttpTarget target, HttpRequest request, std::chrono::milliseconds timeout);

}  // namespace sapphirewheel::testing
