#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "sapphirewheel/state/error.h"

namespace sapphirewheel {

// An IP address and a TCP port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  [[nodiscard]] std::string str() const { return address + ":" + std::to_string(port); }
  auto operator<=>(const Endpoint&) const = default;
};

// Parses "ip:port"; host names are not resolved. Errors: kInvalidArgument.
[[nodiscard]] Result<Endpoint> ParseEndpoint(std::string_view text);
// Whether a connection to the endpoint can reach one particular peer, which port 0 and wildcard,
// multicast and broadcast addresses cannot.
[[nodiscard]] bool IsConnectable(const Endpoint& endpoint);

}  // namespace sapphirewheel
