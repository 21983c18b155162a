#pragma once

#include "fleet_controllers.h"
#include "sapphirewheel/coordination/claim_log.h"
#include "sapphirewheel/coordination/config_log.h"
#include "sapphirewheel/coordination/fair_scheduler.h"
#include "sapphirewheel/coordination/job_manager.h"
#include "sapphirewheel/coordination/membership.h"
#include "sapphirewheel/coordination/node_fencer.h"
#include "sapphirewheel/coordination/token_escrow.h"
#include "sapphirewheel/coordination/worker_registry.h"
#include "settings.h"

namespace sapphirewheel {

// Derive the settings of the coordination components from those of the daemon. Fields for which the
// daemon has no setting keep their defaults.
[[nodiscard]] Membership::Settings MembershipSettings(const DaemonSettings& s,
                                                      const MemberRecord& self);
[[nodiscard]] ConfigLog::Settings ConfigSettings(const DaemonSettings& s);
[[nodiscard]] TokenEscrow::Settings EscrowSettings(const NodeId& self);
[[nodiscard]] NodeFencer::Settings FencerSettings(const DaemonSettings& s);
[[nodiscard]] ClaimLog::Settings ClaimSettings(const DaemonSettings& s, const NodeId& self);
[[nodiscard]] WorkerRegistry::Settings RegistrySettings(const DaemonSettings& s,
                                                        const MemberRecord& self);
[[nodiscard]] FairScheduler::Settings SchedulerSettings(const DaemonSettings& s);
[[nodiscard]] JobManager::Settings JobSettings(const NodeId& self);
[[nodiscard]] FleetControllers::Settings ControllerSettings(const DaemonSettings& s,
                                                            const NodeId& self);

}  // namespace sapphirewheel
