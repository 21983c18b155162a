#pragma once

#include <boost/outcome.hpp>
#include <optional>
#include <string>

#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// What is known about whether a refused or failed request has run.
enum class RunState { kNotRun, kUnknown, kDone };

// The kind of a failure. Each kind has a stable code and an HTTP status.
enum class ErrorKind {
  kInvalidArgument,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kConflict,
  kPlanOutdated,
  kDuplicateRequest,
  kLimitReached,
  kOverloaded,
  kDeadlineExceeded,
  kNoCapacity,
  kNotFresh,
  kDraining,
  kPlatformUnavailable,
  kWorkerFailed,
  kOutcomeUnknown,
  kCannotRun,
  kInternal,
};

// A failure: what happened, how to remedy it, and whether the request may have run.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
  std::string remedy;
  RunState run = RunState::kNotRun;
  // Set when a later retry may succeed.
  std::optional<Millis> retry_after;
};

template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// Returns the stable code of a kind, used in the `code` field of problem documents, e.g.
// "limit-reached".
[[nodiscard]] const char* ErrorCode(ErrorKind kind) noexcept;

// Returns the HTTP status of a kind (RFC 9110).
[[nodiscard]] int HttpStatus(ErrorKind kind) noexcept;

// Returns "not-run", "unknown" or "done".
[[nodiscard]] const char* RunStateName(RunState run) noexcept;

}  // namespace sapphirewheel
