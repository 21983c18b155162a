#pragma once

#include <functional>
#include <string>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Hops that are left to a request that comes from a caller.
inline constexpr int kCallerHops = 2;

// A request of a team to a service, after its API key was checked.
struct ServiceRequest {
  TeamId team;
  ServiceId service;
  // The caller's Idempotency-Key; empty only if the request is repeatable.
  RequestId request;
  bool repeatable = false;
  bool urgent = false;
  // Deadline, relative to the arrival at this node.
  Millis timeout{30000};
  std::string body;
  std::string traceparent;
  // How often it may still be forwarded: once to another data centre, or once within this one.
  // After a hop to another data centre, one hop within that data centre remains.
  int hops_left = kCallerHops;

  [[nodiscard]] bool Forwarded() const { return hops_left < kCallerHops; }
};

struct ServiceAnswer {
  int status = 200;
  std::string content_type;
  std::string body;
  // Whether this is the cached response to an earlier request with the same Idempotency-Key.
  bool replayed = false;
};

using AnswerCallback = std::function<void(Result<ServiceAnswer>)>;

}  // namespace sapphirewheel
