#pragma once

#include <map>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Tells for each submission of a team whether it lies within the team's share, which is a number of
// jobs a second. What a team does not use is kept for a short time, so that uneven arrivals count
// as within the share. Submissions are given in the order in which they were accepted.
class ShareMeter {
 public:
  // Time for which an unused share is kept.
  static constexpr Millis kBurst{2000};

  // Takes one job of the share if there is one left at `accepted_at`; `jobs_per_s` is the team's
  // share, which may change between calls.
  [[nodiscard]] bool Take(const TeamId& team, double jobs_per_s, UnixMillis accepted_at);

 private:
  struct Level {
    double jobs = 0;
    UnixMillis at;
  };
  std::map<TeamId, Level> levels_;
};

}  // namespace sapphirewheel
