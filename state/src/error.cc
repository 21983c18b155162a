#include "sapphirewheel/state/error.h"

namespace sapphirewheel {

const char* ErrorCode(ErrorKind kind) noexcept {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return "invalid-argument";
    case ErrorKind::kUnauthenticated:
      return "unauthenticated";
    case ErrorKind::kForbidden:
      return "forbidden";
    case ErrorKind::kNotFound:
      return "not-found";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kPlanOutdated:
      return "plan-outdated";
    case ErrorKind::kDuplicateRequest:
      return "duplicate-request";
    case ErrorKind::kLimitReached:
      return "limit-reached";
    case ErrorKind::kOverloaded:
      return "overloaded";
    case ErrorKind::kDeadlineExceeded:
      return "deadline-exceeded";
    case ErrorKind::kNoCapacity:
      return "no-capacity";
    case ErrorKind::kNotFresh:
      return "not-fresh";
    case ErrorKind::kDraining:
      return "draining";
    case ErrorKind::kPlatformUnavailable:
      return "platform-unavailable";
    case ErrorKind::kWorkerFailed:
      return "worker-failed";
    case ErrorKind::kOutcomeUnknown:
      return "outcome-unknown";
    case ErrorKind::kCannotRun:
      return "cannot-run";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

int HttpStatus(ErrorKind kind) noexcept {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
      return 400;
    case ErrorKind::kUnauthenticated:
      return 401;
    case ErrorKind::kForbidden:
      return 403;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
    case ErrorKind::kPlanOutdated:
    case ErrorKind::kDuplicateRequest:
      return 409;
    case ErrorKind::kCannotRun:
      return 422;
    case ErrorKind::kLimitReached:
      return 429;
    case ErrorKind::kWorkerFailed:
    case ErrorKind::kOutcomeUnknown:
      return 502;
    case ErrorKind::kOverloaded:
    case ErrorKind::kNoCapacity:
    case ErrorKind::kNotFresh:
    case ErrorKind::kDraining:
    case ErrorKind::kPlatformUnavailable:
      return 503;
    case ErrorKind::kDeadlineExceeded:
      return 504;
    case ErrorKind::kInternal:
      return 500;
  }
  return 500;
}

const char* RunStateName(RunState run) noexcept {
  switch (run) {
    case RunState::kNotRun:
      return "not-run";
    case RunState::kUnknown:
      return "unknown";
    case RunState::kDone:
      return "done";
  }
  return "unknown";
}

}  // namespace sapphirewheel
