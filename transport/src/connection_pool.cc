#include "connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <vector>

namespace sapphirewheel {
namespace {

namespace asio = boost::asio;

// When there are too many idle connections, this part of them is closed at a time, because each
// search goes through all of them.
constexpr std::size_t kTrimPart = 8;

// An idle connection is reusable when the server has neither closed it nor sent unsolicited bytes.
bool IsReusable(Tcp::socket& socket) {
  char byte = 0;
  const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

std::size_t ConnectionPool::Limit(std::size_t max_connections) const {
  if (max_connections == 0) return settings_.connections_per_host;
  return std::min(max_connections, settings_.connections_per_host);
}

Task<bool> ConnectionPool::AcquirePermit(Endpoint endpoint, std::size_t max_connections,
                                         OperationDeadline& deadline) {
  Host& host = hosts_[endpoint];
  if (host.in_use < Limit(max_connections)) {
    ++host.in_use;
    ++in_use_;
    co_return true;
  }
  if (host.waiters.size() >= settings_.max_waiting_per_host || deadline.expired()) co_return false;
  Waiter waiter(context_);
  waiter.timer.expires_at(std::chrono::steady_clock::time_point::max());
  host.waiters.push_back(&waiter);
  deadline.SetCancel([&waiter] { waiter.timer.cancel(); });
  co_await waiter.timer.async_wait(asio::as_tuple(asio::use_awaitable));
  deadline.SetCancel(nullptr);
  if (!waiter.granted) {
    host.waiters.erase(std::find(host.waiters.begin(), host.waiters.end(), &waiter));
  }
  co_return waiter.granted;
}

void ConnectionPool::ReleasePermit(const Endpoint& endpoint) {
  Host& host = hosts_[endpoint];
  if (host.waiters.empty()) {
    --host.in_use;
    --in_use_;
    return;
  }
  // The permit passes directly to the first waiter, so that a new call cannot overtake it.
  Waiter* next = host.waiters.front();
  host.waiters.pop_front();
  next->granted = true;
  next->timer.cancel();
}

std::unique_ptr<PooledConnection> ConnectionPool::TakeIdle(const Endpoint& endpoint,
                                                           ConnectionReuse reuse) {
  Host& host = hosts_[endpoint];
  if (reuse == ConnectionReuse::kNone) return nullptr;
  const auto now = std::chrono::steady_clock::now();
  while (!host.idle.empty()) {
    const auto age = now - host.idle.back()->last_used;
    if (reuse == ConnectionReuse::kRecent && age > settings_.recent_use_limit) return nullptr;
    auto connection = std::move(host.idle.back());
    host.idle.pop_back();
    --idle_;
    if (age <= settings_.idle_timeout && IsReusable(connection->socket)) return connection;
  }
  return nullptr;
}

void ConnectionPool::ReturnIdle(const Endpoint& endpoint,
                                std::unique_ptr<PooledConnection> connection) {
  connection->last_used = std::chrono::steady_clock::now();
  hosts_[endpoint].idle.push_back(std::move(connection));
  ++idle_;
  if (settings_.max_idle > 0 && idle_ > settings_.max_idle) {
    TrimIdle(settings_.max_idle - settings_.max_idle / kTrimPart);
  }
}

void ConnectionPool::DropOldest(Host& host) {
  host.idle.pop_front();
  --idle_;
}

bool ConnectionPool::MakeRoom() {
  if (settings_.max_open == 0 || in_use_ + idle_ <= settings_.max_open) return true;
  if (in_use_ > settings_.max_open) return false;
  const std::size_t room = settings_.max_open - in_use_;
  TrimIdle(room - room / kTrimPart);
  return true;
}

void ConnectionPool::TrimIdle(std::size_t keep) {
  std::vector<std::chrono::steady_clock::time_point> times;
  times.reserve(idle_);
  for (const auto& [endpoint, host] : hosts_) {
    for (const auto& it : host.idle) times.push_back(it->last_used);
  }
  const std::size_t excess = times.size() - keep;
  std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(excess - 1),
                   times.end());
  const auto newest_dropped = times[excess - 1];
  for (auto& [endpoint, host] : hosts_) {
    while (!host.idle.empty() && host.idle.front()->last_used <= newest_dropped) DropOldest(host);
  }
}

void ConnectionPool::EvictIdle(const Endpoint& endpoint, std::size_t max_connections) {
  Host& host = hosts_[endpoint];
  while (!host.idle.empty() && host.in_use + host.idle.size() > Limit(max_connections)) {
    DropOldest(host);
  }
}

void ConnectionPool::Sweep() {
  const auto oldest = std::chrono::steady_clock::now() - settings_.idle_timeout;
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    Host& host = it->second;
    while (!host.idle.empty() && host.idle.front()->last_used < oldest) DropOldest(host);
    const bool unused = host.idle.empty() && host.in_use == 0 && host.waiters.empty();
    it = unused ? hosts_.erase(it) : std::next(it);
  }
}

void ConnectionPool::CloseIdle(const Endpoint& endpoint) {
  Host& host = hosts_[endpoint];
  idle_ -= host.idle.size();
  host.idle.clear();
}

void ConnectionPool::CloseIdle() {
  for (auto& [endpoint, host] : hosts_) host.idle.clear();
  idle_ = 0;
}

}  // namespace sapphirewheel
