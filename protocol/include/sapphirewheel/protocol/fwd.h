#pragma once

// Declares the types of this package without defining them.

namespace sapphirewheel {

struct ClaimCall;
struct ForwardReply;
struct ForwardCall;
struct OutcomeCall;

}  // namespace sapphirewheel
