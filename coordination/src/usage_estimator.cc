#include "sapphirewheel/coordination/usage_estimator.h"

#include <cmath>

namespace sapphirewheel {

void UsageEstimator::Observe(const ServiceId& service, const TeamId& team, Slots slots,
                             std::int64_t millicores) {
  if (millicores <= 0 || slots <= Slots(0)) return;
  const double observed = static_cast<double>(millicores) / static_cast<double>(slots.count());
  const auto update = [&](auto& means, const auto& key) {
    const auto [it, added] = means.try_emplace(key, observed);
    if (!added) it->second += weight_ * (observed - it->second);
  };
  update(use_per_slot_, std::pair(service, team));
  update(service_use_per_slot_, service);
}

std::optional<std::int64_t> UsageEstimator::Estimate(const ServiceId& service, const TeamId& team,
                                                     Slots slots) const {
  const auto scaled = [&](double per_slot) {
    return static_cast<std::int64_t>(std::ceil(per_slot * static_cast<double>(slots.count())));
  };
  const auto own = use_per_slot_.find({service, team});
  if (own != use_per_slot_.end()) return scaled(own->second);
  const auto shared = service_use_per_slot_.find(service);
  if (shared != service_use_per_slot_.end()) return scaled(shared->second);
  return std::nullopt;
}

}  // namespace sapphirewheel
