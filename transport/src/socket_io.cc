#include "socket_io.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sapphirewheel {
namespace {

namespace asio = boost::asio;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

}  // namespace

OperationDeadline::OperationDeadline(const asio::any_io_executor& executor)
    : state_(std::make_shared<State>()), timer_(executor) {}

OperationDeadline::~OperationDeadline() {
  state_->cancel = nullptr;
  state_->timer = nullptr;
}

void OperationDeadline::Arm(std::chrono::milliseconds limit) {
  const auto ends = std::chrono::steady_clock::now() + limit;
  ArmWhile([ends] {
    return std::chrono::ceil<std::chrono::milliseconds>(ends - std::chrono::steady_clock::now());
  });
}

void OperationDeadline::ArmWhile(std::function<std::chrono::milliseconds()> left) {
  // The new state makes a completion of the previous timer that is already queued ineffective.
  auto state = std::make_shared<State>();
  state->cancel = std::move(state_->cancel);
  state->left = std::move(left);
  state->timer = &timer_;
  state_->cancel = nullptr;
  state_->timer = nullptr;
  state_ = state;
  const std::chrono::milliseconds first = state->left();
  Wait(state, first);
}

void OperationDeadline::Wait(const std::shared_ptr<State>& state, std::chrono::milliseconds limit) {
  state->timer->expires_after(limit);
  state->timer->async_wait([state](const SystemError& ec) {
    if (ec || state->timer == nullptr) return;
    if (const auto left = state->left(); left.count() > 0) {
      Wait(state, left);
      return;
    }
    state->expired = true;
    if (state->cancel) state->cancel();
  });
}

void OperationDeadline::SetCancel(std::function<void()> cancel) {
  state_->cancel = std::move(cancel);
}

void OperationDeadline::Expire() {
  state_->expired = true;
  if (state_->cancel) state_->cancel();
}

bool OperationDeadline::expired() const noexcept { return state_->expired; }

Task<SystemError> ReadSome(Tcp::socket& socket, boost::beast::flat_buffer& buffer,
                           OperationDeadline& deadline, std::size_t max_bytes) {
  if (deadline.expired()) co_return asio::error::timed_out;
  const auto [ec, n] = co_await socket.async_read_some(buffer.prepare(max_bytes), kAwait);
  buffer.commit(n);
  if (n > 0) deadline.BytesRead();
  if (ec && deadline.expired()) co_return asio::error::timed_out;
  co_return ec;
}

Task<SystemError> WriteAll(Tcp::socket& socket, std::string_view head, std::string_view body,
                           std::size_t& written, OperationDeadline& deadline) {
  const std::size_t total = head.size() + body.size();
  written = 0;
  while (written < total) {
    if (deadline.expired()) co_return asio::error::timed_out;
    const std::string_view first = head.substr(std::min(written, head.size()));
    const std::string_view second = body.substr(written - (head.size() - first.size()));
    const std::array<asio::const_buffer, 2> parts{asio::buffer(first), asio::buffer(second)};
    const auto [ec, n] = co_await socket.async_write_some(parts, kAwait);
    written += n;
    if (ec) {
      if (deadline.expired()) co_return asio::error::timed_out;
      co_return ec;
    }
  }
  co_return SystemError();
}

Task<void> LingeringClose(Tcp::socket& socket, OperationDeadline& deadline) {
  constexpr std::chrono::milliseconds kLinger{1000};
  constexpr std::size_t kMaxDiscarded = 16UL * 1024 * 1024;
  // Small, as many refused connections may linger at a time.
  constexpr std::size_t kReadBytes = 2048;
  SystemError ec;
  socket.shutdown(Tcp::socket::shutdown_send, ec);
  deadline.Arm(kLinger);
  std::size_t discarded = 0;
  boost::beast::flat_buffer buffer;
  while (!ec && discarded < kMaxDiscarded) {
    ec = co_await ReadSome(socket, buffer, deadline, kReadBytes);
    discarded += buffer.size();
    buffer.consume(buffer.size());
  }
  socket.close(ec);
}

}  // namespace sapphirewheel
