#include "attempt_id.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>

namespace sapphirewheel {

std::string RandomHex128(const RandomSource& random) {
  std::array<char, 33> text{};
  const auto high = static_cast<unsigned long long>(random());  // NOLINT(google-runtime-int)
  const auto low = static_cast<unsigned long long>(random());   // NOLINT(google-runtime-int)
  std::snprintf(text.data(), text.size(), "%016llx%016llx", high, low);
  return text.data();
}

AttemptId NewAttemptId(const RandomSource& random) { return AttemptId(RandomHex128(random)); }

}  // namespace sapphirewheel
