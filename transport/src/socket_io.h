#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

namespace sapphirewheel {

using Tcp = boost::asio::ip::tcp;
using SystemError = boost::system::error_code;
// A coroutine on an event loop. GCC 12 destroys temporaries twice and corrupts the coroutine frame
// when a co_await expression is part of a condition or has conditional or class-type temporaries as
// arguments. The result and such arguments must therefore be named variables.
template <typename T>
using Task = boost::asio::awaitable<T>;

// A time limit for a series of operations on one event loop thread. When it expires, the pending
// operation is cancelled, and later ones must check expired() and not start. Operations are
// therefore single reads and writes: a composed operation whose current step has already completed
// would not notice the cancellation.
class OperationDeadline {
 public:
  explicit OperationDeadline(const boost::asio::any_io_executor& executor);
  ~OperationDeadline();
  OperationDeadline(const OperationDeadline&) = delete;
  OperationDeadline& operator=(const OperationDeadline&) = delete;

  // Restarts the time limit.
  void Arm(std::chrono::milliseconds limit);
  // Restarts the time limit as the time that `left` returns, which is asked again when that has
  // passed; it expires when nothing is left.
  void ArmWhile(std::function<std::chrono::milliseconds()> left);
  // Sets the function that cancels the pending operation.
  void SetCancel(std::function<void()> cancel);
  // Sets a function that is called whenever bytes have been read.
  void SetOnBytes(std::function<void()> on_bytes) { on_bytes_ = std::move(on_bytes); }
  void BytesRead() {
    if (on_bytes_) on_bytes_();
  }
  // Expires the time limit now.
  void Expire();
  [[nodiscard]] bool expired() const noexcept;

 private:
  struct State {
    std::function<void()> cancel;
    std::function<std::chrono::milliseconds()> left;
    // Null when another state or nothing uses the timer.
    boost::asio::steady_timer* timer = nullptr;
    bool expired = false;
  };
  static void Wait(const std::shared_ptr<State>& state, std::chrono::milliseconds limit);
  std::shared_ptr<State> state_;
  std::function<void()> on_bytes_;
  boost::asio::steady_timer timer_;
};

// Reads at most `max_bytes` of the available bytes into the buffer, waiting for at least one.
Task<SystemError> ReadSome(Tcp::socket& socket, boost::beast::flat_buffer& buffer,
                           OperationDeadline& deadline, std::size_t max_bytes = 16UL * 1024);

// Writes the head, then the body. `written` counts the bytes that the kernel accepted, also on
// failure.
Task<SystemError> WriteAll(Tcp::socket& socket, std::string_view head, std::string_view body,
                           std::size_t& written, OperationDeadline& deadline);

// Closes the connection so that the peer can still read the last reply: shuts down the sending
// side, then discards input until the peer closes or a short time has passed. Closing at once, with
// unread input pending, would reset the connection and could destroy the reply.
Task<void> LingeringClose(Tcp::socket& socket, OperationDeadline& deadline);

enum class ReadGoal { kHeader, kMessage };

// Reads into the parser until its header or the whole message is complete.
template <bool kIsRequest>
Task<SystemError> ReadMessage(
    Tcp::socket& socket, boost::beast::flat_buffer& buffer,
    boost::beast::http::parser<kIsRequest, boost::beast::http::string_body>& parser, ReadGoal goal,
    OperationDeadline& deadline) {
  // Limit of buffered bytes that cannot be parsed yet, e.g. of an incomplete chunk header.
  constexpr std::size_t kMaxUnparsed = 256UL * 1024;
  parser.eager(goal == ReadGoal::kMessage);
  while (goal == ReadGoal::kHeader ? !parser.is_header_done() : !parser.is_done()) {
    if (buffer.size() > 0) {
      SystemError ec;
      const std::size_t n = parser.put(buffer.data(), ec);
      buffer.consume(n);
      if (ec && ec != boost::beast::http::error::need_more) co_return ec;
      if (!ec && n > 0) continue;
      if (buffer.size() > kMaxUnparsed) co_return boost::beast::http::error::buffer_overflow;
    }
    const SystemError ec = co_await ReadSome(socket, buffer, deadline);
    if (ec) co_return ec;
  }
  co_return SystemError();
}

}  // namespace sapphirewheel
