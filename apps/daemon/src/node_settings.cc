#include "node_settings.h"

namespace sapphirewheel {

Membership::Settings MembershipSettings(const DaemonSettings& s, const MemberRecord& self) {
  Membership::Settings settings;
  settings.self = self;
  settings.heartbeat_interval = s.heartbeat_interval;
  settings.suspect_after = s.suspect_after;
  settings.dead_after = s.dead_after;
  return settings;
}

ConfigLog::Settings ConfigSettings(const DaemonSettings& s) {
  ConfigLog::Settings settings;
  settings.pull_interval = s.config_pull_interval;
  return settings;
}

TokenEscrow::Settings EscrowSettings(const NodeId& self) {
  TokenEscrow::Settings settings;
  settings.self = self;
  return settings;
}

NodeFencer::Settings FencerSettings(const DaemonSettings& s) {
  NodeFencer::Settings settings;
  settings.list_lag = s.list_lag;
  return settings;
}

ClaimLog::Settings ClaimSettings(const DaemonSettings& s, const NodeId& self) {
  ClaimLog::Settings settings;
  settings.self = self;
  settings.group_interval = s.claim_group_interval;
  return settings;
}

WorkerRegistry::Settings RegistrySettings(const DaemonSettings& s, const MemberRecord& self) {
  WorkerRegistry::Settings settings;
  settings.self = self.node;
  settings.data_centre = self.data_centre;
  settings.renew_interval = s.renew_interval;
  settings.quarantine_failures = s.quarantine_failures;
  return settings;
}

FairScheduler::Settings SchedulerSettings(const DaemonSettings& s) {
  FairScheduler::Settings settings;
  settings.max_items = s.max_queue;
  settings.max_items_per_team = s.max_queue_per_team;
  return settings;
}

JobManager::Settings JobSettings(const NodeId& self) {
  JobManager::Settings settings;
  settings.self = self;
  return settings;
}

FleetControllers::Settings ControllerSettings(const DaemonSettings& s, const NodeId& self) {
  FleetControllers::Settings settings;
  settings.self = self;
  settings.assignment_interval = s.assignment_poll_interval;
  if (auto profile = ParseProfile(s.policy)) settings.profile = profile.value();
  return settings;
}

}  // namespace sapphirewheel
