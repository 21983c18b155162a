#include "fleet_controllers.h"

#include <utility>

namespace sapphirewheel {
namespace {

// How long a worker refuses new tasks after a drain request. Longer than the time between two polls
// of a draining VM plus the transaction that follows.
constexpr Millis kDrainHold{3000};

PoolController::Settings PoolSettings(const FleetControllers::Settings& s) {
  PoolController::Settings settings;
  settings.self = s.self;
  settings.planner.profile = s.profile;
  return settings;
}

WaveController::Settings WaveSettings(const FleetControllers::Settings& s) {
  WaveController::Settings settings;
  settings.self = s.self;
  settings.settle = s.assignment_interval;
  return settings;
}

}  // namespace

FleetControllers::FleetControllers(Settings settings, Parts parts)
    : settings_(std::move(settings)),
      parts_(std::move(parts)),
      pools_(PoolSettings(settings_), MoverHooks()),
      waves_(WaveSettings(settings_), WaveHooks()) {}

const VmInfo* FleetControllers::FindVm(const VmId& vm) const {
  const auto& vms = parts_.poller.by_id();
  auto it = vms.find(vm);
  return it == vms.end() ? nullptr : &it->second;
}

void FleetControllers::CountRunning(const VmId& vm,
                                    std::function<void(std::optional<std::int64_t>)> done) {
  const VmInfo* info = FindVm(vm);
  if (info == nullptr) return done(std::nullopt);
  parts_.workers.drain(info->address, kDrainHold, std::move(done));
}

void FleetControllers::QueryHealth(const VmId& vm,
                                   std::function<void(std::optional<WorkerHealth>)> done) {
  const VmInfo* info = FindVm(vm);
  if (info == nullptr) return done(std::nullopt);
  parts_.workers.health(info->address, std::move(done));
}

VmMover::Hooks FleetControllers::MoverHooks() {
  VmMover::Hooks hooks;
  hooks.table = parts_.table;
  hooks.random = parts_.random;
  hooks.clock = parts_.clock;
  hooks.count_running = [this](const VmId& vm, auto done) { CountRunning(vm, std::move(done)); };
  return hooks;
}

WaveController::Hooks FleetControllers::WaveHooks() {
  WaveController::Hooks hooks;
  hooks.table = parts_.table;
  hooks.random = parts_.random;
  hooks.clock = parts_.clock;
  hooks.count_running = [this](const VmId& vm, auto done) { CountRunning(vm, std::move(done)); };
  // The node that owns the worker moves its jobs away when it reads the draining phase.
  hooks.checkpoint = [](const VmId&) {};
  hooks.read_boot_id = [this](const VmId& vm, std::function<void(std::string)> done) {
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

void FleetControllers::Reboot(const VmId& vm) {
  // Counts again, since a node that has not read the draining phase yet may have started a task
  // after the last count.
  CountRunning(vm, [this, vm](std::optional<std::int64_t> running) {
    if (running && *running > 0) return;
    parts_.reboot(vm, [](const Result<void>&) {});
  });
}

std::vector<ServiceDemand> FleetControllers::Demand(MonotonicTime now) const {
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

void FleetControllers::Tick(MonotonicTime now) {
  if (now < next_) return;
  next_ = now + settings_.interval;
  const FleetSnapshot fleet{parts_.config.config(), parts_.poller.by_id(),
                            parts_.poller.assignments()};
  const bool relay = parts_.membership.IsRelay(now);
  if (relay || ControlsPools()) pools_.Tick(fleet, Demand(now), {}, now);
  if (relay || ControlsWaves()) waves_.Tick(fleet, now);
}

bool FleetControllers::ControlsWaves() const { return waves_.lease().Held(parts_.clock()); }

bool FleetControllers::ControlsPools() const { return pools_.lease().Held(parts_.clock()); }

void FleetControllers::Resign() {
  pools_.Resign();
  waves_.Resign();
}

}  // namespace sapphirewheel
