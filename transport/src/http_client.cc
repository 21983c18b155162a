#include "sapphirewheel/transport/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "connection_pool.h"
#include "socket_io.h"

namespace sapphirewheel {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

HttpResult Failed(HttpOutcome outcome, std::string reason) {
  HttpResult result;
  result.outcome = outcome;
  result.reason = std::move(reason);
  return result;
}

HttpResult NotSent(std::string reason) { return Failed(HttpOutcome::kNotSent, std::move(reason)); }
HttpResult Incomplete(std::string reason) {
  return Failed(HttpOutcome::kIncomplete, std::move(reason));
}

// Rejects line breaks, spaces and NUL where they would change the framing of the request.
bool IsWellFormed(const HttpCall& call) {
  const auto bad = [](const std::string& text, const char* chars) {
    return text.find_first_of(chars) != std::string::npos || text.find('\0') != std::string::npos;
  };
  if (call.method.empty() || bad(call.method, " \r\n")) return false;
  if (call.target.empty() || bad(call.target, " \r\n")) return false;
  return std::none_of(call.headers.begin(), call.headers.end(), [&](const auto& header) {
    return header.first.empty() || bad(header.first, ": \r\n") || bad(header.second, "\r\n");
  });
}

std::string EncodeHead(const HttpCall& call) {
  std::string head = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + call.to.str();
  for (const auto& [name, value] : call.headers) {
    head.append("\r\n").append(name).append(": ").append(value);
  }
  const bool sends_body = call.method != "GET" && call.method != "HEAD";
  if (sends_body || !call.body.empty()) {
    head += "\r\nContent-Length: " + std::to_string(call.body.size());
  }
  return head + "\r\n\r\n";
}

HttpResult Complete(http::response<http::string_body> response) {
  HttpResult result;
  result.outcome = HttpOutcome::kComplete;
  result.status = static_cast<int>(response.result_int());
  for (const auto& field : response) {
    auto& value = result.headers[std::string(field.name_string())];
    if (!value.empty()) value += ", ";
    value += std::string(field.value());
  }
  result.body = std::move(response.body());
  return result;
}

// Sets the option without Asio, whose destructor of a socket would undo it.
SystemError ResetOnClose(Tcp::socket& socket) {
  const linger abort{1, 0};
  const int failed =
      ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  return failed == 0 ? SystemError() : SystemError(errno, boost::system::system_category());
}

SystemError OpenSocket(Tcp::socket& socket, const Endpoint& endpoint, bool reset_on_close,
                       Tcp::endpoint& address) {
  SystemError ec;
  address = Tcp::endpoint(asio::ip::make_address(endpoint.address, ec), endpoint.port);
  if (!ec) socket.open(address.protocol(), ec);
  if (!ec) socket.set_option(Tcp::no_delay(true), ec);
  if (!ec && reset_on_close) ec = ResetOnClose(socket);
  return ec;
}

// Lets the kernel give up on bytes that the peer has not acknowledged when the right to send them
// ends, even while this process is paused. Set only when the limit changes by a step, because each
// call costs a system call.
SystemError LimitUnacknowledged(PooledConnection& connection, Millis limit) {
  constexpr Millis kStep{500};
  const Millis rounded = limit > kStep ? limit / kStep * kStep : limit;
  if (connection.unacknowledged_limit == rounded) return {};
  const unsigned int ms = static_cast<unsigned int>(rounded.count());
  const int failed = ::setsockopt(connection.socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                                  &ms, sizeof(ms));
  if (failed != 0) return {errno, boost::system::system_category()};
  connection.unacknowledged_limit = rounded;
  return {};
}

// The time limits of a call in progress.
class CallLimits {
 public:
  using Clock = std::chrono::steady_clock;

  CallLimits(const HttpCall& call, std::function<MonotonicTime()> now)
      : call_(call), now_(std::move(now)), began_(Clock::now()), ends_(began_ + call.deadline) {}

  [[nodiscard]] Millis Left() const {
    const auto left = std::chrono::ceil<Millis>(ends_ - Clock::now());
    return call_.valid_until ? std::min(left, call_.valid_until() - now_()) : left;
  }
  // Records that bytes of the response have arrived. Returns whether they are the first ones, after
  // which less time may be left than before.
  bool OnBytes() {
    ends_ =
        std::min(Clock::now() + call_.progress->max_silence, began_ + call_.progress->max_duration);
    return !std::exchange(response_begun_, true);
  }

 private:
  const HttpCall& call_;
  const std::function<MonotonicTime()> now_;
  const Clock::time_point began_;
  Clock::time_point ends_;
  bool response_begun_ = false;
};

}  // namespace

struct HttpClient::Impl {
  explicit Impl(Settings given)
      : settings(std::move(given)), work(context.get_executor()), pool(context, settings) {
    co_spawn(context, SweepLoop(), asio::detached);
    thread = std::thread([this] { context.run(); });
  }

  void Call(HttpCall call, Callback done);
  void After(Millis delay, std::function<void()> task);
  void Stop();

  Task<void> Execute(HttpCall call, Callback done);
  Task<HttpResult> AcquireAndRun(const HttpCall& call, OperationDeadline& deadline);
  Task<HttpResult> RunWithPermit(const HttpCall& call, OperationDeadline& deadline);
  Task<std::string> ConnectWithTimeout(PooledConnection& connection, const HttpCall& call,
                                       OperationDeadline& deadline);
  Task<std::string> Connect(PooledConnection& connection, const Endpoint& endpoint,
                            OperationDeadline& deadline);
  Task<std::string> OpenTunnel(PooledConnection& connection, const Endpoint& endpoint,
                               OperationDeadline& deadline);
  // Opens a connection, on which the probe of the call has got a response. Returns the reason of a
  // failure, or nothing.
  Task<std::string> OpenConnection(std::unique_ptr<PooledConnection>& connection,
                                   const HttpCall& call, OperationDeadline& deadline);
  Task<HttpResult> Exchange(PooledConnection& connection, const HttpCall& call,
                            OperationDeadline& deadline, bool& reusable);
  Task<HttpResult> ReadResponse(PooledConnection& connection, const HttpCall& call,
                                OperationDeadline& deadline, bool& reusable);
  Task<void> RunAfter(Millis delay, std::function<void()> task);
  Task<void> SweepLoop();

  const Settings settings;
  std::mutex mutex;
  std::atomic<bool> stopping = false;
  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work;
  ConnectionPool pool;
  // Deadlines of all operations in progress; expired by Stop().
  std::set<OperationDeadline*> active;
  std::thread thread;
};

void HttpClient::Impl::Call(HttpCall call, Callback done) {
  {
    const std::lock_guard lock(mutex);
    if (!stopping) {
      asio::post(context, [this, call = std::move(call), done = std::move(done)]() mutable {
        co_spawn(context, Execute(std::move(call), std::move(done)), asio::detached);
      });
      return;
    }
  }
  done(NotSent("the client has been stopped"));
}

void HttpClient::Impl::After(Millis delay, std::function<void()> task) {
  {
    const std::lock_guard lock(mutex);
    if (!stopping) {
      asio::post(context, [this, delay, task = std::move(task)]() mutable {
        co_spawn(context, RunAfter(delay, std::move(task)), asio::detached);
      });
      return;
    }
  }
  task();
}

void HttpClient::Impl::Stop() {
  {
    const std::lock_guard lock(mutex);
    if (!stopping.exchange(true)) {
      asio::post(context, [this] {
        // Expiring a deadline may end its operation, which changes the set.
        const auto expiring = active;
        for (auto* deadline : expiring) {
          if (active.count(deadline) != 0) deadline->Expire();
        }
        pool.CloseIdle();
        work.reset();
      });
    }
  }
  if (thread.joinable()) thread.join();
}

Task<void> HttpClient::Impl::RunAfter(Millis delay, std::function<void()> task) {
  asio::steady_timer timer(context, delay);
  OperationDeadline deadline(context.get_executor());
  deadline.SetCancel([&timer] { timer.cancel(); });
  active.insert(&deadline);
  if (!stopping) {
    co_await timer.async_wait(kAwait);
  }
  active.erase(&deadline);
  task();
}

Task<void> HttpClient::Impl::SweepLoop() {
  constexpr std::chrono::seconds kSweepInterval{1};
  asio::steady_timer timer(context);
  OperationDeadline deadline(context.get_executor());
  deadline.SetCancel([&timer] { timer.cancel(); });
  active.insert(&deadline);
  while (!stopping) {
    timer.expires_after(kSweepInterval);
    co_await timer.async_wait(kAwait);
    pool.Sweep();
  }
  active.erase(&deadline);
}

Task<void> HttpClient::Impl::Execute(HttpCall call, Callback done) {
  HttpResult result = NotSent("the call is malformed");
  if (IsWellFormed(call)) {
    OperationDeadline deadline(context.get_executor());
    active.insert(&deadline);
    CallLimits limits(call, settings.now);
    const auto arm = [&] { deadline.ArmWhile([&limits] { return limits.Left(); }); };
    arm();
    if (call.progress) {
      deadline.SetOnBytes([&] {
        if (limits.OnBytes() && !deadline.expired()) arm();
      });
    }
    // Stop() may have been called since the call was posted.
    if (stopping) deadline.Expire();
    result = co_await AcquireAndRun(call, deadline);
    active.erase(&deadline);
  }
  done(std::move(result));
}

Task<HttpResult> HttpClient::Impl::AcquireAndRun(const HttpCall& call,
                                                 OperationDeadline& deadline) {
  const bool acquired = co_await pool.AcquirePermit(call.to, call.max_connections, deadline);
  if (!acquired) {
    co_return NotSent(deadline.expired() ? "no connection became free before the deadline"
                                         : "too many calls are waiting for a connection");
  }
  HttpResult result = co_await RunWithPermit(call, deadline);
  pool.ReleasePermit(call.to);
  co_return result;
}

Task<HttpResult> HttpClient::Impl::RunWithPermit(const HttpCall& call,
                                                 OperationDeadline& deadline) {
  auto connection = pool.TakeIdle(call.to, call.reuse);
  bool reusable = false;
  HttpResult result;
  if (connection) {
    result = co_await Exchange(*connection, call, deadline, reusable);
    // What made it silent may have done the same to those that are idle.
    if (result.outcome == HttpOutcome::kIncomplete && deadline.expired()) {
      pool.CloseIdle(call.to);
    }
    // Nothing was written to the idle connection, so a new one may carry the same request.
    if (result.outcome == HttpOutcome::kNotSent && !deadline.expired()) connection.reset();
  }
  if (!connection) {
    pool.EvictIdle(call.to, call.max_connections);
    if (!pool.MakeRoom()) co_return NotSent("too many connections are open");
    std::string failure = co_await OpenConnection(connection, call, deadline);
    if (!failure.empty()) co_return NotSent(std::move(failure));
    result = co_await Exchange(*connection, call, deadline, reusable);
  }
  if (reusable && !stopping) pool.ReturnIdle(call.to, std::move(connection));
  co_return result;
}

Task<std::string> HttpClient::Impl::OpenConnection(std::unique_ptr<PooledConnection>& connection,
                                                   const HttpCall& call,
                                                   OperationDeadline& deadline) {
  connection = std::make_unique<PooledConnection>(context);
  std::string failure = co_await ConnectWithTimeout(*connection, call, deadline);
  if (!failure.empty() || !call.probe) co_return failure;
  HttpCall probe = call;
  probe.method = call.probe->method;
  probe.target = call.probe->target;
  probe.body = call.probe->body;
  bool reusable = false;
  const HttpResult result = co_await Exchange(*connection, probe, deadline, reusable);
  if (result.outcome != HttpOutcome::kComplete) {
    co_return "the probe of the connection failed: " + result.reason;
  }
  if (reusable) co_return std::string();
  // The server closes each connection after a response, but it has just sent one.
  connection = std::make_unique<PooledConnection>(context);
  failure = co_await ConnectWithTimeout(*connection, call, deadline);
  co_return failure;
}

// The connect timeout ends with this function; it must not cancel the exchange that follows.
Task<std::string> HttpClient::Impl::ConnectWithTimeout(PooledConnection& connection,
                                                       const HttpCall& call,
                                                       OperationDeadline& deadline) {
  const Millis limit = std::min(settings.connect_timeout, call.deadline);
  OperationDeadline connecting(context.get_executor());
  deadline.SetCancel([&connecting] { connecting.Expire(); });
  connecting.Arm(limit);
  if (deadline.expired()) connecting.Expire();
  std::string failure = co_await Connect(connection, call.to, connecting);
  deadline.SetCancel(nullptr);
  co_return failure;
}

Task<std::string> HttpClient::Impl::Connect(PooledConnection& connection, const Endpoint& endpoint,
                                            OperationDeadline& deadline) {
  const Endpoint& next = settings.proxy ? *settings.proxy : endpoint;
  Tcp::endpoint address;
  SystemError ec = OpenSocket(connection.socket, next, settings.reset_on_close, address);
  if (!ec && deadline.expired()) ec = asio::error::timed_out;
  if (!ec) {
    deadline.SetCancel([&connection] {
      SystemError ignored;
      connection.socket.cancel(ignored);
    });
    std::tie(ec) = co_await connection.socket.async_connect(address, kAwait);
  }
  if (ec) co_return "connecting to " + next.str() + " failed: " + ec.message();
  if (!settings.proxy) co_return std::string();
  std::string failure = co_await OpenTunnel(connection, endpoint, deadline);
  co_return failure;
}

Task<std::string> HttpClient::Impl::OpenTunnel(PooledConnection& connection,
                                               const Endpoint& endpoint,
                                               OperationDeadline& deadline) {
  const std::string head =
      "CONNECT " + endpoint.str() + " HTTP/1.1\r\nHost: " + endpoint.str() + "\r\n\r\n";
  std::size_t written = 0;
  SystemError ec = co_await WriteAll(connection.socket, head, "", written, deadline);
  http::response_parser<http::string_body> parser;
  parser.skip(true);
  if (!ec) {
    ec = co_await ReadMessage(connection.socket, connection.buffer, parser, ReadGoal::kHeader,
                              deadline);
  }
  if (ec) co_return "the proxy did not open a tunnel: " + ec.message();
  const unsigned status = parser.get().result_int();
  if (status / 100 != 2) {
    co_return "the proxy refused the tunnel with status " + std::to_string(status);
  }
  if (connection.buffer.size() > 0) co_return "the proxy sent unexpected bytes before the request";
  co_return std::string();
}

Task<HttpResult> HttpClient::Impl::Exchange(PooledConnection& connection, const HttpCall& call,
                                            OperationDeadline& deadline, bool& reusable) {
  deadline.SetCancel([&connection] {
    SystemError ignored;
    connection.socket.cancel(ignored);
  });
  if (call.valid_until) {
    const Millis left = call.valid_until() - settings.now();
    SystemError limited;
    if (left > Millis(0)) limited = LimitUnacknowledged(connection, left);
    if (left <= Millis(0) || limited) {
      deadline.Expire();
      deadline.SetCancel(nullptr);
      co_return NotSent(limited ? "limiting the connection failed: " + limited.message()
                                : "the right to give the order has ended");
    }
  }
  std::size_t written = 0;
  const std::string head = EncodeHead(call);
  const SystemError ec = co_await WriteAll(connection.socket, head, call.body, written, deadline);
  HttpResult result;
  if (ec && written == 0) {
    result = NotSent("writing failed: " + ec.message());
  } else {
    // A server may reject a request before it has read all of it, so the response is still read.
    result = co_await ReadResponse(connection, call, deadline, reusable);
    if (ec) {
      reusable = false;
      if (result.outcome == HttpOutcome::kIncomplete) {
        result.reason = "writing failed: " + ec.message();
      }
    }
  }
  deadline.SetCancel(nullptr);
  co_return result;
}

Task<HttpResult> HttpClient::Impl::ReadResponse(PooledConnection& connection, const HttpCall& call,
                                                OperationDeadline& deadline, bool& reusable) {
  constexpr unsigned kFirstFinalStatus = 200;
  while (true) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(settings.max_response_bytes);
    parser.skip(call.method == "HEAD");
    SystemError ec = co_await ReadMessage(connection.socket, connection.buffer, parser,
                                          ReadGoal::kHeader, deadline);
    if (!ec && parser.get().result_int() < kFirstFinalStatus) continue;
    // Without a length, a lost connection could not be distinguished from the end of the response.
    if (!ec && parser.need_eof() && !parser.is_done()) {
      co_return Incomplete("the response has no length");
    }
    if (!ec) {
      ec = co_await ReadMessage(connection.socket, connection.buffer, parser, ReadGoal::kMessage,
                                deadline);
    }
    if (ec) co_return Incomplete("reading the response failed: " + ec.message());
    reusable = parser.keep_alive() && connection.buffer.size() == 0;
    co_return Complete(parser.release());
  }
}

HttpClient::HttpClient(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}

HttpClient::~HttpClient() { impl_->Stop(); }

void HttpClient::Call(HttpCall call, Callback done) {
  impl_->Call(std::move(call), std::move(done));
}

void HttpClient::After(Millis delay, std::function<void()> task) {
  impl_->After(delay, std::move(task));
}

void HttpClient::Stop() { impl_->Stop(); }

bool HttpClient::stopping() const noexcept { return impl_->stopping; }

}  // namespace sapphirewheel
