#pragma once

#include <map>

#include "sapphirewheel/coordination/fair_scheduler.h"
#include "sapphirewheel/coordination/peer_report.h"
#include "sapphirewheel/state/fleet_config.h"

namespace sapphirewheel {

// Estimates how long a request would wait at this node, so that one that would miss its deadline is
// refused at once. Without this, a queue under overload holds only requests that start just before
// their deadline: a measured run at ten times the capacity then answered only 5 % of the
// capacity.
class AdmissionEstimate {
 public:
  // Records that a task of the service ran for `used`.
  void OnTaskEnded(const ServiceId& service, Millis used);
  // Updates the slots of this node's workers by service.
  void OnLoads(const std::vector<ServiceLoad>& loads);

  // Run time of the shorter tasks of the service; 0 before the first one ended. Run times within a
  // service differ widely, so the mean would lead to refusals of short requests.
  [[nodiscard]] Millis RunTime(const ServiceId& service) const;
  // Expected wait in the queue: the time that all queued requests need, or the time that those of
  // the team need at its share, whichever is shorter. 0 when this node knows nothing of the
  // service.
  [[nodiscard]] Millis Wait(const TeamId& team, const ServiceId& service, bool urgent,
                            const FairScheduler& scheduler, const FleetConfig& config) const;

 private:
  struct ServiceState {
    double mean_run_ms = 0;
    double short_run_ms = 0;
    double slots = 0;
  };
  std::map<ServiceId, ServiceState> services_;
};

}  // namespace sapphirewheel
