#include "sapphirewheel/transport/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace sapphirewheel {
namespace {

Error Invalid(std::string_view text, const char* reason) {
  return Error{ErrorKind::kInvalidArgument,
               "invalid address \"" + std::string(text) + "\": " + reason,
               "give it as ip:port, for example 127.0.0.1:8080", RunState::kNotRun, std::nullopt};
}

}  // namespace

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return Invalid(text, "the port is missing");
  const std::string address(text.substr(0, colon));
  boost::system::error_code ec;
  boost::asio::ip::make_address(address, ec);
  if (ec) return Invalid(text, "the part before the port is not an IP address");
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, err] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (err != std::errc() || end != digits.data() + digits.size()) {
    return Invalid(text, "the port is not a number from 0 to 65535");
  }
  return Endpoint{address, port};
}

bool IsConnectable(const Endpoint& endpoint) {
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(endpoint.address, ec);
  if (ec || endpoint.port == 0 || address.is_unspecified() || address.is_multicast()) return false;
  return !address.is_v4() || address.to_v4() != boost::asio::ip::address_v4::broadcast();
}

}  // namespace sapphirewheel
