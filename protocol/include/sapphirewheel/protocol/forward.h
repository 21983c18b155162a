#pragma once

#include <optional>
#include <string>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// A request that one daemon forwards to another for dispatch. At most two hops: to another data
// centre, and within it.
struct ForwardCall {
  TeamId team;
  ServiceId service;
  // The caller's Idempotency-Key; may be empty for a repeatable request.
  RequestId request;
  bool repeatable = false;
  bool urgent = false;
  // Time left for the request when it is sent.
  Millis deadline{0};
  std::string content_type;
  std::string body;
  // W3C trace context of the sender's span.
  std::string traceparent;
  // How many times the receiver may forward the request again: 0 or 1.
  int hops_left = 0;
};

// The reply to a forwarded request: the backend server's response, or the error to return to the
// caller.
struct ForwardReply {
  // HTTP status of the backend server's response; 0 if `error` is set.
  int status = 0;
  std::string content_type;
  std::string body;
  std::optional<Error> error;
  // Whether this is the cached response to an earlier attempt with the same Idempotency-Key.
  bool replayed = false;
};

}  // namespace sapphirewheel
