#pragma once

#include <string>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

enum class CallKind { kSubmit, kRead, kCancel };

// A caller's call to a queue or a job.
struct CallerCall {
  CallKind kind = CallKind::kRead;
  std::string host;
  std::string path;
  // The team's key; empty when none came.
  std::string key;
  std::string body;
  // How long the caller waits for the answer.
  Millis deadline{3000};
};

// What the caller is told.
struct CallerReply {
  enum class Kind { kAccepted, kState, kWaiting, kCancelled, kGone, kError };
  Kind kind = Kind::kError;
  // For kState: "queued", "running", "completed", "failed" or "cancelled".
  std::string state;
  // For kWaiting.
  int waiting = 0;
  // For kError.
  Error error;
};

}  // namespace sapphirewheel
