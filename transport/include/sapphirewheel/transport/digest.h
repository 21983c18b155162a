#pragma once

#include <string>
#include <string_view>

namespace sapphirewheel {

// SHA-256 of the bytes in lower-case hexadecimal.
[[nodiscard]] std::string Sha256Hex(std::string_view bytes);

}  // namespace sapphirewheel
