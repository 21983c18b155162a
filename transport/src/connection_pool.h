#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>

#include "sapphirewheel/transport/endpoint.h"
#include "sapphirewheel/transport/http_client.h"
#include "socket_io.h"

namespace sapphirewheel {

struct PooledConnection {
  explicit PooledConnection(boost::asio::io_context& context) : socket(context) {}
  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::chrono::steady_clock::time_point last_used;
  // Time after which the kernel gives up on unacknowledged bytes; 0 for its default.
  std::chrono::milliseconds unacknowledged_limit{0};
};

// The idle connections to each host. Used on the client's thread only. A call first acquires a
// permit, which bounds the open connections to a host, and then takes an idle connection or opens a
// new one.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& context, const HttpClient::Settings& settings)
      : context_(context), settings_(settings) {}

  // Waits for a permit, in order of arrival. Returns false when too many calls wait or the deadline
  // has passed.
  Task<bool> AcquirePermit(Endpoint endpoint, std::size_t max_connections,
                           OperationDeadline& deadline);
  void ReleasePermit(const Endpoint& endpoint);

  // The most recently used idle connection that is still open, or null when there is none.
  std::unique_ptr<PooledConnection> TakeIdle(const Endpoint& endpoint, ConnectionReuse reuse);
  void ReturnIdle(const Endpoint& endpoint, std::unique_ptr<PooledConnection> connection);
  // Closes the oldest idle connections where a new one would exceed the bound.
  void EvictIdle(const Endpoint& endpoint, std::size_t max_connections);
  // Closes the oldest idle connections to any host where a new one, by a caller with a permit,
  // would exceed the bound of all open connections. Returns false if those in use leave no room for
  // it.
  [[nodiscard]] bool MakeRoom();
  // Closes connections that exceeded the idle timeout and removes entries of hosts without any.
  void Sweep();
  void CloseIdle();
  void CloseIdle(const Endpoint& endpoint);

 private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context& context) : timer(context) {}
    boost::asio::steady_timer timer;
    bool granted = false;
  };
  struct Host {
    std::deque<std::unique_ptr<PooledConnection>> idle;
    std::deque<Waiter*> waiters;
    std::size_t in_use = 0;
  };

  boost::asio::io_context& context_;
  const HttpClient::Settings& settings_;
  // The bound of open connections to a host for a call with its own one.
  [[nodiscard]] std::size_t Limit(std::size_t max_connections) const;
  // Closes the least recently used idle connections of all hosts beyond `keep`, which is less than
  // there are.
  void TrimIdle(std::size_t keep);
  void DropOldest(Host& host);

  std::map<Endpoint, Host> hosts_;
  // Number of idle connections to all hosts.
  std::size_t idle_ = 0;
  // Number of permits for all hosts.
  std::size_t in_use_ = 0;
};

}  // namespace sapphirewheel
