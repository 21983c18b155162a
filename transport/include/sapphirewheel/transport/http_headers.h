#pragma once

#include <map>
#include <string>
#include <string_view>

namespace sapphirewheel {

// Orders header names, ignoring ASCII case.
struct HeaderNameLess {
  using is_transparent = void;
  [[nodiscard]] bool operator()(std::string_view a, std::string_view b) const noexcept;
};

// Header fields; the values of repeated fields are joined with ", ".
using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

// The value of a header, or an empty string when it is missing.
[[nodiscard]] std::string HeaderValue(const HttpHeaders& headers, std::string_view name);

// Percent-encodes all characters but unreserved ones (RFC 3986) and '/'.
[[nodiscard]] std::string EncodePath(std::string_view text);

}  // namespace sapphirewheel
