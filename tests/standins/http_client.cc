#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "sapphirewheel/transport/endpoint.h"
#include "tests/standins/http.h"

namespace sapphirewheel::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

tcp::endpoint ToTcp(const std::string& address) {
  const auto parsed = ParseEndpoint(address);
  if (!parsed) throw std::invalid_argument(parsed.error().message);
  const Endpoint& endpoint = parsed.value();
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

asio::awaitable<void> OpenTunnel(boost::beast::tcp_stream& stream, const std::string& address) {
  http::request<http::empty_body> connect(http::verb::connect, address, 11);
  connect.set(http::field::host, address);
  co_await http::async_write(stream, connect, asio::use_awaitable);
  boost::beast::flat_buffer buf;
  http::response_parser<http::empty_body> parser;
  parser.skip(true);
  co_await http::async_read(stream, buf, parser, asio::use_awaitable);
  if (parser.get().result() != http::status::ok) {
    throw std::runtime_error("the proxy refused the connection to " + address);
  }
}

asio::awaitable<HttpResponse> Exchange(HttpTarget target, HttpRequest request,
                                       std::chrono::milliseconds timeout) {
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  if (target.proxy.empty()) {
    co_await stream.async_connect(ToTcp(target.address), asio::use_awaitable);
  } else {
    co_await stream.async_connect(ToTcp(target.proxy), asio::use_awaitable);
    co_await OpenTunnel(stream, target.address);
  }
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, target.address);
  for (const auto& [name, value] : request.headers) message.set(name, value);
  message.body() = std::move(request.body);
  message.keep_alive(false);
  message.prepare_payload();
  co_await http::async_write(stream, message, asio::use_awaitable);
  boost::beast::flat_buffer buf;
  http::response<http::string_body> reply;
  co_await http::async_read(stream, buf, reply, asio::use_awaitable);
  HttpResponse response;
  response.status = static_cast<int>(reply.result_int());
  for (const auto& field : reply) {
    response.headers[std::string(field.name_string())] = std::string(field.value());
  }
  response.body = std::move(reply.body());
  co_return response;
}

}  // namespace

void AsyncHttpCall(asio::io_context& io, HttpTarget target, HttpRequest request,
                   std::chrono::milliseconds timeout, std::function<void(HttpOutcome)> done) {
  asio::co_spawn(
      io, Exchange(std::move(target), std::move(request), timeout),
      [done = std::move(done)](const std::exception_ptr& failure, HttpResponse response) {
        HttpOutcome outcome{"", std::move(response)};
        try {
          if (failure) std::rethrow_exception(failure);
        } catch (const std::exception& e) {
          outcome.error = e.what();
        }
        done(std::move(outcome));
      });
}

HttpOutcome HttpCall(HttpTarget target, HttpRequest request, std::chrono::milliseconds timeout) {
  asio::io_context io(1);
  HttpOutcome outcome;
  AsyncHttpCall(io, std::move(target), std::move(request), timeout,
                [&outcome](HttpOutcome result) { outcome = std::move(result); });
  io.run();
  return outcome;
}

}  // namespace sapphirewheel::testing
