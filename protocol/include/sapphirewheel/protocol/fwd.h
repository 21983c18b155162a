#pragma once

// Forward declarations of this package's types.

namespace sapphirewheel {

struct ClaimCall;
struct ForwardReply;
struct ForwardCall;
struct OutcomeCall;

}  // namespace sapphirewheel
