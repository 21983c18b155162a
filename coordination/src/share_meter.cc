#include "sapphirewheel/coordination/share_meter.h"

#include <algorithm>

namespace sapphirewheel {

bool ShareMeter::Take(const TeamId& team, double jobs_per_s, UnixMillis accepted_at) {
  constexpr double kMillisPerSecond = 1000;
  // A share below one job in the burst time still admits single jobs.
  const double full =
      std::max(1.0, jobs_per_s * static_cast<double>(kBurst.count()) / kMillisPerSecond);
  const auto [it, first] = levels_.try_emplace(team, Level{full, accepted_at});
  Level& level = it->second;
  const auto passed = std::max<std::int64_t>(accepted_at.count() - level.at.count(), 0);
  level.jobs =
      std::min(full, level.jobs + jobs_per_s * static_cast<double>(passed) / kMillisPerSecond);
  level.at = std::max(level.at, accepted_at);
  if (level.jobs < 1) return false;
  level.jobs -= 1;
  return true;
}

}  // namespace sapphirewheel
