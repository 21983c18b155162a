#pragma once

#include <optional>
#include <string>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// A request that one daemon hands to another for dispatch. At most two hops: to another data
// centre, and within it.
struct ForwardCall {
  TeamId team;
  ServiceId service;
  // The caller's Idempotency-Key; may be empty for a repeatable request.
  RequestId request;
  bool repeatable = false;
  bool urgent = false;
  // Time that is left for the request, at the time of sending.
  Millis deadline{0};
  std::string content_type;
  std::string body;
  // W3C trace context of the sender's span.
  std::string traceparent;
  // How often the receiver may forward it again: 0 or 1.
  int hops_left = 0;
};

// The answer to a forwarded request: the backend server's response, or the error that the caller
// gets.
struct ForwardReply {
  // HTTP status of the backend server's response; 0 with an error.
  int status = 0;
  std::string content_type;
  std::string body;
  std::optional<Error> error;
  // The kept answer of an earlier attempt with the same Idempotency-Key.
  bool replayed = false;
};

}  // namespace sapphirewheel
