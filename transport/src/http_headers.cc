#include "sapphirewheel/transport/http_headers.h"

#include <algorithm>

namespace sapphirewheel {
namespace {

char Lower(char c) noexcept { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool IsUnreserved(char c) noexcept {
  const char l = Lower(c);
  return (l >= 'a' && l <= 'z') || (c >= '0' && c <= '9') ||
         std::string_view("-._~").find(c) != std::string_view::npos;
}

}  // namespace

bool HeaderNameLess::operator()(std::string_view a, std::string_view b) const noexcept {
  return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(),
                                      [](char x, char y) { return Lower(x) < Lower(y); });
}

std::string HeaderValue(const HttpHeaders& headers, std::string_view name) {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

std::string EncodePath(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 15;
  std::string out;
  for (const char c : text) {
    if (IsUnreserved(c) || c == '/') {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += kDigits[byte >> kNibbleBits];
    out += kDigits[byte & kNibbleMask];
  }
  return out;
}

}  // namespace sapphirewheel
