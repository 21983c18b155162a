#include "sapphirewheel/transport/digest.h"

#include <openssl/sha.h>

#include <array>

namespace sapphirewheel {

std::string Sha256Hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 15;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
  std::string text;
  for (const unsigned byte : digest) {
    text += kDigits[byte >> kNibbleBits];
    text += kDigits[byte & kNibbleMask];
  }
  return text;
}

}  // namespace sapphirewheel
