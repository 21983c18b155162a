#include "admission_estimate.h"

#include <algorithm>

namespace sapphirewheel {
namespace {

// Weight of the newest task in the moving average; about the last 20 tasks count.
constexpr double kNewestWeight = 0.1;

// Weight of a longer task in the estimate of the shorter run times. A shorter task lowers that
// estimate at once.
constexpr double kShortGrowth = 0.01;

// The team's fraction of the sum of all shares.
double ShareFraction(const TeamId& team, const FleetConfig& config) {
  double sum = 0;
  double own = 1;
  for (const auto& [id, change] : config.teams) {
    sum += static_cast<double>(change.share.count());
    if (id == team) own = static_cast<double>(change.share.count());
  }
  return own / std::max(sum, own);
}

}  // namespace

void AdmissionEstimate::OnTaskEnded(const ServiceId& service, Millis used) {
  ServiceState& state = services_[service];
  const auto newest = static_cast<double>(std::max<std::int64_t>(used.count(), 1));
  const bool first = state.mean_run_ms == 0;
  state.mean_run_ms += (first ? 1 : kNewestWeight) * (newest - state.mean_run_ms);
  const double growth = kShortGrowth * (newest - state.short_run_ms);
  state.short_run_ms = first ? newest : std::min(newest, state.short_run_ms + growth);
}

void AdmissionEstimate::OnLoads(const std::vector<ServiceLoad>& loads) {
  for (auto& [service, state] : services_) state.slots = 0;
  for (const ServiceLoad& load : loads) {
    services_[load.service].slots = static_cast<double>((load.free_slots + load.running).count());
  }
}

Millis AdmissionEstimate::RunTime(const ServiceId& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? Millis(0)
                               : Millis(static_cast<std::int64_t>(it->second.short_run_ms));
}

Millis AdmissionEstimate::Wait(const TeamId& team, const ServiceId& service, bool urgent,
                               const FairScheduler& scheduler, const FleetConfig& config) const {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.slots < 1) return Millis(0);
  const double ms_per_task = it->second.mean_run_ms / it->second.slots;
  std::int64_t ahead = scheduler.Queued(service, true);
  if (!urgent) ahead += scheduler.Queued(service, false);
  const double wait_for_all = static_cast<double>(ahead) * ms_per_task;
  const double wait_for_team = static_cast<double>(scheduler.QueuedForTeam(team)) * ms_per_task /
                               ShareFraction(team, config);
  return Millis(static_cast<std::int64_t>(std::min(wait_for_all, wait_for_team)));
}

}  // namespace sapphirewheel
