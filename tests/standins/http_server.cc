#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "sapphirewheel/transport/endpoint.h"
#include "tests/standins/http.h"

namespace sapphirewheel::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxBodyBytes = 16U << 20U;

// The response to one request. The timer `ready` never expires; it is cancelled when the response
// is set.
struct PendingResponse {
  explicit PendingResponse(const asio::any_io_executor& executor)
      : ready(executor, Clock::time_point::max()) {}
  void Set(HttpResponse value) {
    if (response) return;
    response = std::move(value);
    ready.cancel();
  }
  asio::steady_timer ready;
  std::optional<HttpResponse> response;
};

struct Connection {
  explicit Connection(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  std::shared_ptr<PendingResponse> pending;
};

HttpRequest ToHttpRequest(http::request<http::string_body> message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers[std::string(field.name_string())] = std::string(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

std::string Serialise(const HttpResponse& response, bool keep_alive) {
  http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
  for (const auto& [name, value] : response.headers) message.set(name, value);
  if (response.headers.count("Content-Type") == 0) message.set("Content-Type", "application/json");
  message.body() = response.body;
  message.keep_alive(keep_alive);
  message.prepare_payload();
  std::ostringstream out;
  out << message;
  std::string text = out.str();
  if (response.delivery == Delivery::kTruncate)
    text.resize(text.size() - response.body.size() / 2 - 1);
  if (response.delivery == Delivery::kDuplicate) text += text;
  return text;
}

// Sends a response as a link of this rate would let it arrive.
asio::awaitable<void> WriteSlowly(tcp::socket& socket, const std::string& text,
                                  std::size_t bytes_per_ms) {
  constexpr std::chrono::milliseconds kStep{20};
  const std::size_t step = bytes_per_ms * kStep.count();
  asio::steady_timer timer(socket.get_executor());
  for (std::size_t sent = 0; sent < text.size(); sent += step) {
    const std::size_t n = std::min(step, text.size() - sent);
    co_await asio::async_write(socket, asio::buffer(text.data() + sent, n), asio::use_awaitable);
    timer.expires_after(kStep);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

// Serves the requests of a connection one at a time until it ends.
asio::awaitable<void> Serve(std::shared_ptr<Connection> connection, HttpHandler handler) {
  boost::beast::flat_buffer buf;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    co_await http::async_read(connection->socket, buf, parser, asio::use_awaitable);
    const bool keep_alive = parser.get().keep_alive();
    auto pending = std::make_shared<PendingResponse>(connection->socket.get_executor());
    connection->pending = pending;
    handler(ToHttpRequest(parser.release()),
            [pending](HttpResponse response) { pending->Set(std::move(response)); });
    while (!pending->response) {
      boost::system::error_code ec;
      co_await pending->ready.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (pending->response->delivery == Delivery::kDrop) co_return;
    const std::string text = Serialise(*pending->response, keep_alive);
    if (const std::size_t rate = pending->response->bytes_per_ms; rate > 0) {
      co_await WriteSlowly(connection->socket, text, rate);
    } else {
      co_await asio::async_write(connection->socket, asio::buffer(text), asio::use_awaitable);
    }
    if (!keep_alive || pending->response->delivery == Delivery::kTruncate) co_return;
  }
}

}  // namespace

bool CaseInsensitiveLess::operator()(const std::string& a, const std::string& b) const {
  return boost::beast::iless()(a, b);
}

std::string HttpRequest::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

struct HttpServer::State {
  State(asio::io_context& context, HttpHandler h, std::size_t max)
      : io(context),
        handler(std::move(h)),
        max_connections(max),
        resumed(context, Clock::time_point::max()) {}
  asio::io_context& io;
  HttpHandler handler;
  std::size_t max_connections;
  std::shared_ptr<tcp::acceptor> acceptor;
  std::set<std::shared_ptr<Connection>> connections;
  bool suspended = false;
  // Never expires; it is cancelled by Resume and Close.
  asio::steady_timer resumed;

  void CloseConnections() const {
    for (const auto& connection : connections) {
      boost::system::error_code ec;
      connection->socket.close(ec);
      if (connection->pending) connection->pending->Set({.delivery = Delivery::kDrop});
    }
  }

  static asio::awaitable<void> Accept(std::shared_ptr<State> state,
                                      std::shared_ptr<tcp::acceptor> acceptor) {
    while (acceptor->is_open()) {
      boost::system::error_code ec;
      if (state->suspended) {
        co_await state->resumed.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        continue;
      }
      tcp::socket socket =
          co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, ec));
      if (ec || !acceptor->is_open() || state->suspended) continue;
      if (state->max_connections != 0 && state->connections.size() >= state->max_connections) {
        continue;
      }
      socket.set_option(tcp::no_delay(true), ec);
      auto connection = std::make_shared<Connection>(std::move(socket));
      state->connections.insert(connection);
      asio::co_spawn(state->io, Serve(connection, state->handler),
                     [state, connection](const std::exception_ptr&) {
                       state->connections.erase(connection);
                       boost::system::error_code ignored;
                       connection->socket.close(ignored);
                     });
    }
  }
};

HttpServer::HttpServer(asio::io_context& io, HttpHandler handler, std::size_t max_connections)
    : state_(std::make_shared<State>(io, std::move(handler), max_connections)) {}

HttpServer::~HttpServer() { Close(); }

std::string HttpServer::Listen(const std::string& address) {
  const Endpoint wanted = ParseEndpoint(address).value();
  const tcp::endpoint endpoint(asio::ip::make_address(wanted.address), wanted.port);
  state_->acceptor = std::make_shared<tcp::acceptor>(state_->io, endpoint, true);
  const Endpoint actual{wanted.address, state_->acceptor->local_endpoint().port()};
  asio::co_spawn(state_->io, State::Accept(state_, state_->acceptor), asio::detached);
  return actual.str();
}

void HttpServer::Close() {
  boost::system::error_code ec;
  if (state_->acceptor) state_->acceptor->close(ec);
  state_->resumed.cancel();
  state_->CloseConnections();
}

void HttpServer::Suspend() {
  state_->suspended = true;
  if (state_->acceptor) state_->acceptor->cancel();
  state_->CloseConnections();
}

void HttpServer::Resume() {
  state_->suspended = false;
  state_->resumed.cancel();
}

}  // namespace sapphirewheel::testing
