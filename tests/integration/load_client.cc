#include "tests/integration/load_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <stdexcept>
#include <utility>

#include "sapphirewheel/transport/endpoint.h"

namespace sapphirewheel::testing {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

tcp::endpoint ToTcp(const std::string& address) {
  const auto parsed = ParseEndpoint(address);
  if (!parsed) throw std::invalid_argument(parsed.error().message);
  return {asio::ip::make_address(parsed.value().address), parsed.value().port};
}

}  // namespace

struct LoadClient::State {
  HttpTarget target;
  asio::io_context io;
  tcp::socket socket{io};
  boost::beast::flat_buffer buf;

  void Connect() {
    socket = tcp::socket(io);
    buf.clear();
    socket.connect(ToTcp(target.proxy.empty() ? target.address : target.proxy));
    socket.set_option(tcp::no_delay(true));
    if (target.proxy.empty()) return;
    http::request<http::empty_body> connect(http::verb::connect, target.address, 11);
    connect.set(http::field::host, target.address);
    http::write(socket, connect);
    http::response_parser<http::empty_body> parser;
    parser.skip(true);
    http::read(socket, buf, parser);
    if (parser.get().result() != http::status::ok) {
      throw std::runtime_error("the proxy refused the connection to " + target.address);
    }
  }
};

LoadClient::LoadClient(HttpTarget target) : state_(std::make_unique<State>()) {
  state_->target = std::move(target);
  state_->Connect();
}

LoadClient::~LoadClient() = default;

HttpResponse LoadClient::Call(const HttpRequest& request) {
  if (!state_->socket.is_open()) state_->Connect();
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, state_->target.address);
  for (const auto& [name, value] : request.headers) message.set(name, value);
  message.body() = request.body;
  message.prepare_payload();
  http::write(state_->socket, message);
  http::response<http::string_body> reply;
  http::read(state_->socket, state_->buf, reply);
  if (!reply.keep_alive()) state_->socket.close();
  HttpResponse response;
  response.status = static_cast<int>(reply.result_int());
  response.body = std::move(reply.body());
  return response;
}

}  // namespace sapphirewheel::testing
