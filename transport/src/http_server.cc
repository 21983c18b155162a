#include "sapphirewheel/transport/http_server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http_server_impl.h"

namespace sapphirewheel {
namespace {

namespace asio = boost::asio;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Delay before connections are accepted again while there is no room or no file descriptor, and how
// often the close of the listener is put off for lack of descriptors.
constexpr Millis kAcceptRetryDelay{20};
constexpr int kCloseTries = 25;

RequestBudget::Limits BudgetLimits(const HttpServer::Settings& settings) {
  // An ordinary request, with its parsed header and the buffers, holds about half of this.
  constexpr std::size_t kSmallRequest = 32UL * 1024;
  constexpr std::size_t kReservedPart = 4;
  RequestBudget::Limits limits;
  limits.total_bytes = settings.max_request_memory;
  limits.small_bytes = kSmallRequest;
  limits.reserved_bytes = settings.max_request_memory / kReservedPart;
  limits.patience = settings.stall_patience;
  return limits;
}

}  // namespace

HttpServer::Impl::Impl(Settings given, Handler given_handler)
    : settings(std::move(given)),
      handler(std::move(given_handler)),
      max_body_bytes(settings.max_body_bytes),
      budget(std::make_shared<RequestBudget>(BudgetLimits(settings))) {}

Result<Endpoint> HttpServer::Impl::Start() {
  SystemError ec;
  const Tcp::endpoint address(asio::ip::make_address(settings.listen.address, ec),
                              settings.listen.port);
  acceptor = std::make_unique<Tcp::acceptor>(*context);
  if (!ec) acceptor->open(address.protocol(), ec);
  if (!ec) acceptor->set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor->bind(address, ec);
  if (!ec) acceptor->listen(asio::socket_base::max_listen_connections, ec);
  if (!ec) acceptor->non_blocking(true, ec);
  if (ec) {
    return Error{ErrorKind::kInvalidArgument,
                 "cannot listen on " + settings.listen.str() + ": " + ec.message(),
                 "choose an address of this VM and a free port", RunState::kNotRun, std::nullopt};
  }
  const Endpoint bound{settings.listen.address, acceptor->local_endpoint(ec).port()};
  co_spawn(*context, AcceptLoop(Unfinished(connections)), asio::detached);
  thread = std::thread([this, work = asio::make_work_guard(*context)] { context->run(); });
  return bound;
}

// Unfinished until the listener is closed, as the kernel may have accepted a connection for it that
// it has not got yet.
Task<void> HttpServer::Impl::AcceptLoop(Unfinished unfinished) {
  asio::steady_timer pause(*context);
  while (acceptor->is_open()) {
    if (HasRoom()) {
      auto [ec, socket] = co_await acceptor->async_accept(kAwait);
      if (!ec) {
        Admit(std::move(socket));
        continue;
      }
    }
    if (acceptor->is_open()) {
      // No room, or most likely out of file descriptors. Connections stay in the kernel's queue
      // meanwhile.
      pause.expires_after(kAcceptRetryDelay);
      co_await pause.async_wait(kAwait);
    }
  }
  unfinished.Finish();
}

void HttpServer::Impl::Admit(Tcp::socket socket) {
  SystemError ec;
  socket.set_option(Tcp::no_delay(true), ec);
  Unfinished admitted(connections);
  if (open < settings.max_connections + ending || MakeRoom()) {
    ++open;
    co_spawn(*context, Serve(std::move(socket), std::move(admitted)), asio::detached);
  } else {
    ++refusing;
    Report(Refusal::kConnectionsFull);
    co_spawn(*context, Refuse(std::move(socket), std::move(admitted)), asio::detached);
  }
}

bool HttpServer::Impl::HasRoom() const {
  if (open < settings.max_connections + ending || refusing < settings.max_refusals) return true;
  return !draining && connections->FindExpendable(std::chrono::steady_clock::now()) != nullptr;
}

bool HttpServer::Impl::MakeRoom() {
  // What callers have sent before a planned stop is still answered.
  if (draining) return false;
  Connection* it = connections->FindExpendable(std::chrono::steady_clock::now());
  if (it == nullptr) return false;
  it->refusal = Refusal::kEndedForConnection;
  ++ending;
  it->deadline.Expire();
  Report(Refusal::kEndedForConnection);
  return true;
}

void HttpServer::Impl::StopAccepting() {
  // A request that has begun must not hold up the stop.
  for (Connection* it : connections->all) {
    if (it->reading) it->deadline.Arm(std::min(settings.read_timeout, kDrainReadTimeout));
  }
  CloseAcceptor(kCloseTries);
}

// Connections in the kernel's queue may already carry a request, so they are still served, or
// refused without the limit on refusals: while callers go on connecting, waiting for room would not
// end.
void HttpServer::Impl::CloseAcceptor(int tries) {
  if (!acceptor) return;
  SystemError ec;
  while (acceptor->is_open()) {
    Tcp::socket socket(*context);
    acceptor->accept(socket, ec);
    if (!ec) {
      Admit(std::move(socket));
    } else if (ec == asio::error::would_block || tries == 0) {
      acceptor->close(ec);
    } else {
      // Most likely out of file descriptors.
      co_spawn(*context, CloseAcceptorLater(tries - 1), asio::detached);
      return;
    }
  }
}

Task<void> HttpServer::Impl::CloseAcceptorLater(int tries) {
  asio::steady_timer pause(*context, kAcceptRetryDelay);
  co_await pause.async_wait(kAwait);
  CloseAcceptor(tries);
}

void HttpServer::Impl::CloseIdle() {
  idle_closed = true;
  for (Connection* it : connections->all) {
    if (it->idle) it->deadline.Expire();
  }
}

void HttpServer::Impl::Abandon(const HttpReply& reply) {
  abandon_reply = reply;
  for (PendingReply* it : waiting) {
    if (std::exchange(it->ready, true)) continue;
    it->reply = reply;
    it->wakeup_timer->cancel();
  }
}

void HttpServer::Impl::Stop() {
  accepting = false;
  context->stop();
  if (thread.joinable()) thread.join();
  if (acceptor) {
    SystemError ec;
    acceptor->close(ec);
  }
  // A reply that is still expected keeps the context, and with it the connections.
  for (Connection* it : connections->all) {
    SystemError ec;
    it->socket.close(ec);
  }
}

const char* RefusalName(Refusal refusal) noexcept {
  switch (refusal) {
    case Refusal::kHeaderTooLarge:
      return "header-too-large";
    case Refusal::kBodyTooLarge:
      return "body-too-large";
    case Refusal::kHeaderTooSlow:
      return "header-too-slow";
    case Refusal::kBodyTooSlow:
      return "body-too-slow";
    case Refusal::kMemoryFull:
      return "memory-full";
    case Refusal::kEndedForMemory:
      return "ended-for-memory";
    case Refusal::kConnectionsFull:
      return "connections-full";
    case Refusal::kEndedForConnection:
      return "ended-for-connection";
  }
  return "unknown";
}

HttpServer::HttpServer(Settings settings, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(handler))) {}

HttpServer::~HttpServer() { Stop(); }

Result<Endpoint> HttpServer::Start() { return impl_->Start(); }

void HttpServer::SetMaxBodyBytes(std::size_t bytes) noexcept { impl_->max_body_bytes = bytes; }

void HttpServer::BeginDrain() noexcept { impl_->draining = true; }

void HttpServer::StopAccepting() {
  impl_->draining = true;
  if (impl_->accepting.exchange(false)) {
    asio::post(*impl_->context, [impl = impl_.get()] { impl->StopAccepting(); });
  }
}

void HttpServer::CloseIdle() {
  StopAccepting();
  asio::post(*impl_->context, [impl = impl_.get()] { impl->CloseIdle(); });
}

void HttpServer::Abandon(const HttpReply& reply) {
  asio::post(*impl_->context, [impl = impl_.get(), reply] { impl->Abandon(reply); });
}

bool HttpServer::Drained() const noexcept {
  return impl_->idle_closed && impl_->connections->unfinished == 0;
}

std::size_t HttpServer::ActiveRequests() const noexcept { return impl_->active; }

std::size_t HttpServer::OpenConnections() const noexcept { return impl_->open; }

void HttpServer::Stop() { impl_->Stop(); }

}  // namespace sapphirewheel
