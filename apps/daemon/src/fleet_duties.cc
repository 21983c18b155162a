#include "fleet_duties.h"

#include <utility>

namespace sapphirewheel {
namespace {

// How long a worker refuses new tasks after a drain request. Longer than the time between two polls
// of a draining VM plus the transaction that follows.
constexpr Millis kDrainHold{3000};

PoolDuty::Settings PoolSettings(const FleetDuties::Settings& s) {
  PoolDuty::Settings settings;
  settings.self = s.self;
  settings.planner.profile = s.profile;
  return settings;
}

WaveController::Settings WaveSettings(const FleetDuties::Settings& s) {
  WaveController::Settings settings;
  settings.self = s.self;
  settings.settle = s.assignment_interval;
  return settings;
}

}  // namespace

FleetDuties::FleetDuties(Settings settings, Parts parts)
    : settings_(std::move(settings)),
      parts_(std::move(parts)),
      pools_(PoolSettings(settings_), MoverHooks()),
      waves_(WaveSettings(settings_), WaveHooks()) {}

const VmInfo* FleetDuties::FindVm(const VmId& vm) const {
  const auto& vms = parts_.watch.by_id();
  auto it = vms.find(vm);
  return it == vms.end() ? nullptr : &it->second;
}

void FleetDuties::QueryRunning(const VmId& vm,
                               std::function<void(std::optional<std::int64_t>)> done) {
  const VmInfo* info = FindVm(vm);
  if (info == nullptr) return done(std::nullopt);
  parts_.workers.drain(info->address, kDrainHold, std::move(done));
}

void FleetDuties::QueryHealth(const VmId& vm,
                              std::function<void(std::optional<WorkerHealth>)> done) {
  const VmInfo* info = FindVm(vm);
  if (info == nullptr) return done(std::nullopt);
  parts_.workers.health(info->address, std::move(done));
}

VmMover::Hooks FleetDuties::MoverHooks() {
  VmMover::Hooks hooks;
  hooks.table = parts_.table;
  hooks.random = parts_.random;
  hooks.clock = parts_.clock;
  hooks.running = [this](const VmId& vm, auto done) { QueryRunning(vm, std::move(done)); };
  return hooks;
}

WaveController::Hooks FleetDuties::WaveHooks() {
  WaveController::Hooks hooks;
  hooks.table = parts_.table;
  hooks.random = parts_.random;
  hooks.clock = parts_.clock;
  hooks.running = [this](const VmId& vm, auto done) { QueryRunning(vm, std::move(done)); };
  // The node that owns the worker moves its jobs away when it reads the draining phase.
  hooks.checkpoint = [](const VmId&) {};
  hooks.boot = [this](const VmId& vm, std::function<void(std::string)> done) {
    QueryHealth(vm, [done = std::move(done)](const std::optional<WorkerHealth>& health) {
      done(health ? health->boot : "");
    });
  };
  hooks.verify = [this](const VmId& vm, std::function<void(bool)> done) {
    QueryHealth(vm, [done = std::move(done)](const std::optional<WorkerHealth>& health) {
      done(health && !health->boot.empty() && !health->leaving);
    });
  };
  hooks.reboot = [this](const VmId& vm) { Reboot(vm); };
  return hooks;
}

void FleetDuties::Reboot(const VmId& vm) {
  // Counts again, since a node that has not read the draining phase yet may have started a task
  // after the last count.
  QueryRunning(vm, [this, vm](std::optional<std::int64_t> running) {
    if (running && *running > 0) return;
    parts_.reboot(vm, [](const Result<void>&) {});
  });
}

std::vector<ServiceDemand> FleetDuties::Demand(MonotonicTime now) const {
  std::map<ServiceId, ServiceDemand> demand;
  auto add = [&demand](const std::vector<ServiceLoad>& loads) {
    for (const ServiceLoad& load : loads) {
      ServiceDemand& sum = demand[load.service];
      sum.service = load.service;
      sum.queued += Slots(load.queued);
      sum.running += load.running;
      sum.free += load.free_slots;
    }
  };
  add(parts_.loads());
  for (const PeerReport& peer : parts_.membership.LocalPeers(now)) add(peer.loads);
  add(parts_.membership.RemoteLoads(now));
  std::vector<ServiceDemand> result;
  result.reserve(demand.size());
  for (auto& [service, sum] : demand) result.push_back(sum);
  return result;
}

void FleetDuties::Tick(MonotonicTime now) {
  if (now < next_) return;
  next_ = now + settings_.interval;
  const FleetSnapshot fleet{parts_.config.config(), parts_.watch.by_id(),
                            parts_.watch.assignments()};
  const bool relay = parts_.membership.IsRelay(now);
  if (relay || HoldsPools()) pools_.Tick(fleet, Demand(now), {}, now);
  if (relay || HoldsWaves()) waves_.Tick(fleet, now);
}

bool FleetDuties::HoldsWaves() const { return waves_.lease().Held(parts_.clock()); }

bool FleetDuties::HoldsPools() const { return pools_.lease().Held(parts_.clock()); }

void FleetDuties::Resign() {
  pools_.Resign();
  waves_.Resign();
}

}  // namespace sapphirewheel
