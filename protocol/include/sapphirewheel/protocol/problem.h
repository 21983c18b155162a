#pragma once

#include <string>

#include "sapphirewheel/state/error.h"

namespace sapphirewheel {

inline constexpr const char* kProblemContentType = "application/problem+json";

// The problem document (RFC 9457) of an error, with the extension members `code`, `remedy` and
// `run`.
[[nodiscard]] std::string EncodeProblem(const Error& error);

// The value of the Retry-After header in whole seconds, rounded up; empty when retrying does not
// help.
[[nodiscard]] std::string RetryAfterSeconds(const Error& error);

}  // namespace sapphirewheel
