#include "entry_node_settings.h"

#include <algorithm>
#include <functional>

#include "client_settings.h"
#include "sapphirewheel/platform/ingress.h"

namespace sapphirewheel {
namespace {

// Preferred lease of a run. A run continues for this long after the owner's last order, so that it
// survives a change of owner.
constexpr Millis kRunLease{6000};
// Time from the end of a VM move to the first start there: the registry's change feed and a first
// poll of the backend server.
constexpr Millis kMoveSlack{300};
// Preferred ownership lease. When an owner fails without a planned stop, no node can take over
// before the lease ends. The owner renews it four times within its length.
constexpr Millis kOwnershipLease{1300};
constexpr Millis kRenewInterval{325};
// Subtracted from the longest lease that backend servers grant, to allow for drift of their clocks.
constexpr Millis kLeaseReserve{200};

// How long a VM waits before it claims a free ownership, so that VMs with more cores and bandwidth
// claim it first.
Millis ClaimDelay(const platform::DeploymentSettings& deployment) {
  // What the owner of 350 backend servers needs.
  constexpr double kEnoughCores = 0.25;
  constexpr double kEnoughMbps = 50;
  constexpr double kDelayMs = 900;
  const double strength =
      std::min({1.0, deployment.cores / kEnoughCores, deployment.link_mbps / kEnoughMbps});
  return Millis(static_cast<std::int64_t>(kDelayMs * (1 - strength)));
}

// How much of what the owner of 540 backend servers needs the VM has, in percent.
int Capability(const platform::DeploymentSettings& deployment) {
  constexpr double kFullCores = 0.5;
  constexpr double kFullMbps = 50;
  constexpr double kPercent = 100;
  const double share =
      std::min({1.0, deployment.cores / kFullCores, deployment.link_mbps / kFullMbps});
  return static_cast<int>(kPercent * share);
}

}  // namespace

EntryNode::Settings EntryNodeSettings(const platform::DeploymentSettings& deployment,
                                      const NodeId& self, UnixMillis started) {
  EntryNode::Settings settings;
  settings.self = self;
  // Subtracted from the deployment's bounds to allow for the transit of a call and of the change
  // feed's reply.
  constexpr Millis kKeyFreshnessReserve{1200};
  constexpr Millis kRefusalReserve{400};
  settings.admission.key_freshness = deployment.withdrawal_bound - kKeyFreshnessReserve;
  settings.admission.refusal_freshness =
      std::max(deployment.config_bound - kRefusalReserve, Millis(0));
  if (const auto bound = deployment.evacuation_bound) {
    // A start reaches its server at most an ownership lease after it was decided, because no order
    // is written later, and the time of the order itself. A short bound keeps half of it.
    constexpr Millis kEvacuationReserve{1500};
    settings.evacuation_max_age = std::max(*bound - kEvacuationReserve, *bound / 2);
  }
  settings.lease.self = self;
  settings.lease.started = started;
  settings.lease.claim_delay = ClaimDelay(deployment);
  settings.lease.capability = Capability(deployment);
  settings.lease.lease = std::min(deployment.ownership_lease, kOwnershipLease);
  settings.lease.renew_interval = kRenewInterval;
  // Spreads out the takeover attempts of the nodes.
  constexpr std::size_t kSpreadMs = 300;
  constexpr Millis kMinMargin{200};
  settings.lease.takeover_margin =
      kMinMargin + Millis(static_cast<std::int64_t>(std::hash<NodeId>{}(self) % kSpreadMs));
  settings.owner.dispatcher.lease = std::min(kRunLease, deployment.max_lease - kLeaseReserve);
  settings.owner.dispatcher.max_lease = deployment.max_lease;
  settings.owner.dispatcher.first_contact =
      FirstContactSettings(deployment, settings.lease.capability);
  settings.owner.max_row_bytes = deployment.max_row_bytes;
  settings.owner.dispatcher.max_row_bytes = deployment.max_row_bytes;
  settings.owner.autoscaler.provisioning_time = deployment.move_time + kMoveSlack;
  // The time is counted from the decision, and callers see an end only when it is stored.
  constexpr Millis kRetentionReserve{30'000};
  settings.owner.job_retention = deployment.job_retention + kRetentionReserve;
  settings.owner.maintenance_time = deployment.maintenance_time;
  settings.max_submission_bytes = platform::CallerListener(deployment).max_request_memory;
  return settings;
}

}  // namespace sapphirewheel
