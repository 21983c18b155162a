#pragma once

#include <string>
#include <string_view>

#include "sapphirewheel/state/error.h"

namespace sapphirewheel {

// Weights of the measures in section 1.3 of docs/design.md; 1 is neutral, all are positive.
struct PolicyProfile {
  double share = 1;
  double moves = 1;
  double buffer = 1;
  double rollout = 1;
};

// Parses a profile name ("brunner", "graxaria") or a list of weights, e.g.
// "share=2,moves=2,buffer=1,rollout=1"; omitted weights are 1. Errors: kInvalidArgument, naming the
// invalid part.
[[nodiscard]] Result<PolicyProfile> ParseProfile(std::string_view text);

}  // namespace sapphirewheel
