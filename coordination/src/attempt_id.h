#pragma once

#include <string>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/ids.h"

namespace sapphirewheel {

// 32 lower-case hexadecimal digits from 128 random bits.
[[nodiscard]] std::string RandomHex128(const RandomSource& random);

// A new id for one transaction.
[[nodiscard]] AttemptId NewAttemptId(const RandomSource& random);

}  // namespace sapphirewheel
