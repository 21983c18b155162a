#pragma once

#include <string>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

enum class CallKind { kSubmit, kRead, kCancel };

// A call by a caller to a queue or a job.
struct CallerCall {
  CallKind kind = CallKind::kRead;
  std::string host;
  std::string path;
  // The team's key; empty if the call has none.
  std::string key;
  std::string body;
  // How long the caller waits for the reply.
  Millis deadline{3000};
};

// The reply to a caller.
struct CallerReply {
  enum class Kind { kAccepted, kState, kWaiting, kCancelled, kGone, kError };
  Kind kind = Kind::kError;
  // With kState: "queued", "running", "completed", "failed" or "cancelled".
  std::string state;
  // With kWaiting: the number of waiting jobs.
  int waiting = 0;
  // With kError.
  Error error;
};

}  // namespace sapphirewheel
