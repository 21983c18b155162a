#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Estimates the actual processor use per slot of a service and team, because declared sizes are
// inaccurate. The estimate is an exponentially weighted moving average of the reported use.
class UsageEstimator {
 public:
  // `weight` is the weight of a new observation. At one report per second, a weight of 0.1 adapts
  // to a change in about 10 s.
  explicit UsageEstimator(double weight = 0.1) : weight_(weight) {}

  // Adds a report of a running task. Zero use is ignored: reports lag, so a new task shows no use
  // yet.
  void Observe(const ServiceId& service, const TeamId& team, Slots slots, std::int64_t millicores);

  // Expected use of a task with the given slots, in thousandths of a core. Falls back to the
  // average over all teams of the service; empty if the service was never observed.
  [[nodiscard]] std::optional<std::int64_t> Estimate(const ServiceId& service, const TeamId& team,
                                                     Slots slots) const;

 private:
  double weight_;
  std::map<std::pair<ServiceId, TeamId>, double> use_per_slot_;
  // Average over all teams of a service, for teams that were not observed yet.
  std::map<ServiceId, double> service_use_per_slot_;
};

}  // namespace sapphirewheel
