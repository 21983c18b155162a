#pragma once

#include <string>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/ids.h"

namespace sapphirewheel {

// Returns 128 random bits as 32 lower-case hexadecimal digits.
[[nodiscard]] std::string RandomHex128(const RandomSource& random);

// Returns a new unique id for one transaction.
[[nodiscard]] AttemptId NewAttemptId(const RandomSource& random);

}  // namespace sapphirewheel
