#include "tools/measure/fleet_run.h"

#include <algorithm>
#include <limits>
#include <numeric>

#include "sapphirewheel/state/schema.h"

namespace sapphirewheel::measure {
namespace {

constexpr Millis kStepLength{10};
constexpr Millis kSampleInterval{100};
constexpr std::int64_t kVmSlots = 8;
constexpr std::int64_t kVmCores = 32;
constexpr int kServicePools = 4;

NodeId Self() { return NodeId("node#1"); }

// Returns the value at quantile `q`, with its index rounded down; 0 if there are no values.
// Reorders `values`.
double Quantile(std::vector<double>& values, double q) {
  if (values.empty()) return 0;
  const auto n = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + n, values.end());
  return values[static_cast<std::size_t>(n)];
}

FairScheduler::Settings SchedulerSettings() {
  FairScheduler::Settings settings;
  // An unbounded queue never refuses, so that all variants serve the same workload.
  settings.max_items = std::numeric_limits<std::size_t>::max();
  settings.max_items_per_team = static_cast<std::size_t>(std::numeric_limits<std::int64_t>::max());
  return settings;
}

WorkerRegistry::Settings RegistrySettings() {
  WorkerRegistry::Settings settings;
  settings.self = Self();
  settings.data_centre = DataCentreId("dc1");
  return settings;
}

}  // namespace

FleetRun::FleetRun(const Variant& variant, const RunSettings& settings)
    : variant_(variant),
      settings_(settings),
      sim_(settings.seed),
      workload_(settings.seed, settings.mean_slots, settings.job_fraction),
      upper_limits_(variant.even_limits),
      registry_(RegistrySettings()),
      scheduler_(SchedulerSettings()) {
  sim_.max_delay_ms = 5;
  AddPools();
  AddWorkers();
  registry_.OnLiveNodes({Self()});
  registry_.OnVmList(vm_list_, sim_.now());
  scheduler_.OnConfig(config_);
  scheduler_.SetLimitAdmits([this](const TeamId& team, Slots slots) {
    return upper_limits_.Used(team) + slots.count() <= config_.teams.at(team).upper_limit.count();
  });
  PoolController::Settings controller_settings;
  controller_settings.self = Self();
  controller_settings.planner = variant.planner;
  VmMover::Hooks hooks;
  hooks.table = sim_.HooksFor(0);
  hooks.random = [this] { return sim_.Random(); };
  hooks.clock = [this] { return sim_.now(); };
  hooks.count_running = [this](const VmId& vm,
                               const std::function<void(std::optional<std::int64_t>)>& done) {
    sim_.Post(0, Millis(5), [this, vm, done] { done(used_by_vm_[vm]); });
  };
  pool_controller_ = std::make_unique<PoolController>(controller_settings, hooks);
}

void FleetRun::AddPools() {
  const auto spare =
      variant_.fixed_pools ? 0 : static_cast<int>(settings_.spare_fraction * settings_.workers);
  for (int i = 0; i < kServicePools; ++i) {
    PoolChange pool;
    pool.pool = PoolId("pool" + std::to_string(i + 1));
    pool.services = {ServiceId("service" + std::to_string(i + 1))};
    // The last pool runs two of the five services.
    if (i + 1 == kServicePools) pool.services.emplace_back("service" + std::to_string(kServices));
    // Pools are sized by their number of services; the last pool also gets the remainder.
    const int remaining = settings_.workers - spare;
    const int per_service = remaining / kServices;
    pool.size =
        i + 1 == kServicePools ? remaining - per_service * (kServicePools - 1) : per_service;
    pool.max_out = 3;
    pool.max_out_per_rack = 2;
    for (const ServiceId& service : pool.services) pool_of_[service] = pool.pool;
    config_.pools[pool.pool] = pool;
  }
  PoolChange pool;
  pool.pool = PoolId("spare");
  pool.spare = true;
  pool.size = spare;
  config_.pools[pool.pool] = pool;
  for (const TeamSpec& spec : Teams()) {
    const TeamId id(spec.name);
    config_.teams[id] = {id, Share(spec.share), Slots(spec.upper_limit)};
  }
}

// Assigns VMs to the pools in turn, so that each rack has VMs of several pools.
void FleetRun::AddWorkers() {
  std::vector<PoolId> pool_of_vm;
  for (std::int64_t round = 0; std::ssize(pool_of_vm) < settings_.workers; ++round) {
    for (const auto& [id, pool] : config_.pools) {
      if (round < pool.size) pool_of_vm.push_back(id);
    }
  }
  for (int i = 0; i < settings_.workers; ++i) {
    VmInfo info;
    info.vm = VmId("vm" + std::to_string(100 + i));
    info.data_centre = DataCentreId("dc1");
    info.rack = RackId("rack" + std::to_string(i / 4));
    info.slots = Slots(kVmSlots);
    info.cores = kVmCores;
    vm_list_.vms.push_back(info);
    vms_[info.vm] = info;
    VmAssignment row;
    row.pool = pool_of_vm[static_cast<std::size_t>(i)];
    sim_.Put(schema::VmRow(info.vm), EncodeAssignment(row));
  }
  ReadAssignments();
}

void FleetRun::ReadAssignments() {
  for (const auto& [vm, info] : vms_) {
    const Row& row = sim_.rows().at(schema::VmRow(vm));
    if (row.revision == assignments_[vm].revision) continue;
    assignments_[vm] = DecodeAssignment(vm, row.value, row.revision);
  }
  registry_.OnAssignments(assignments_);
}

void FleetRun::RenewOwnership() {
  for (const OwnershipCall& call : registry_.CallsDue(sim_.now())) {
    OwnershipReply reply;
    reply.outcome = OwnershipOutcome::kGranted;
    reply.report.epoch = Epoch(1);
    reply.report.slots = Slots(kVmSlots);
    registry_.OnReply(call.vm, reply, sim_.now());
  }
}

void FleetRun::TickPoolController() {
  ReadAssignments();
  RenewOwnership();
  if (variant_.fixed_pools) return;
  std::vector<ServiceDemand> demand;
  for (const auto& [service, pool] : pool_of_) {
    std::int64_t queued = 0;
    if (variant_.fifo) {
      queued = std::ssize(fifo_queues_[service]);
    } else {
      queued = scheduler_.Queued(service, true) + scheduler_.Queued(service, false);
    }
    demand.push_back({service, Slots(queued), Slots(used_by_service_[service]), Slots(0)});
  }
  pool_controller_->Tick({config_, vms_, assignments_}, demand, used_by_vm_, sim_.now());
}

RunResult FleetRun::Run() {
  const MonotonicTime end = sim_.now() + settings_.length;
  for (std::int64_t step = 0; sim_.now() < end; ++step) {
    if (step % (kSampleInterval / kStepLength) == 0) TickPoolController();
    sim_.RunFor(kStepLength);
    EndTasks();
    upper_limits_.Tick(sim_.now());
    for (Arrival& arrival : workload_.Step(sim_.now(), kStepLength)) {
      const WorkItem item = arrival.item;
      waiting_by_team_[pool_of_[item.service]][item.team] += item.slots.count();
      waiting_.emplace(item.task, std::move(arrival));
      if (variant_.fifo) {
        fifo_queues_[item.service].push_back(item.task);
      } else {
        static_cast<void>(scheduler_.Enqueue(item).has_value());
      }
    }
    variant_.fifo ? DispatchFifo() : Dispatch();
    if (step % (kSampleInterval / kStepLength) == 0) Sample();
  }
  return Finish();
}

void FleetRun::EndTasks() {
  while (!running_.empty() && running_.top().end <= sim_.now()) {
    const RunningTask& task = running_.top();
    const WorkItem& item = task.work.item;
    registry_.Finish(task.vm, item.task, WorkerRegistry::TaskEnd::kSucceeded, item.task.str(),
                     sim_.now());
    scheduler_.Charge(item.team, item.slots, task.work.run_time);
    upper_limits_.Release(item.team, task.work.entry_node, item.slots.count());
    used_by_vm_[task.vm] -= item.slots.count();
    used_by_service_[item.service] -= item.slots.count();
    used_by_team_[pool_of_[item.service]][item.team] -= item.slots.count();
    running_.pop();
  }
}

Slots FleetRun::FreeSlots(const ServiceId& service) {
  std::int64_t free = 0;
  for (const auto& [vm, row] : assignments_) {
    if (row.pool == pool_of_[service] && row.phase == AssignmentPhase::kActive) {
      free += kVmSlots - used_by_vm_[vm];
    }
  }
  return Slots(free);
}

void FleetRun::Dispatch() {
  static_cast<void>(scheduler_.Dispatch([this](const WorkItem& item) { return TryPlace(item); },
                                        [this](const ServiceId& s) { return FreeSlots(s); },
                                        sim_.now()));
}

// Serves each service strictly in order of arrival and ignores urgency.
void FleetRun::DispatchFifo() {
  for (auto& [service, tasks] : fifo_queues_) {
    std::size_t n = 0;
    while (n < tasks.size() && TryPlace(WorkItem(waiting_.at(tasks[n]).item))) ++n;
    tasks.erase(tasks.begin(), tasks.begin() + static_cast<std::ptrdiff_t>(n));
  }
}

bool FleetRun::TryPlace(const WorkItem& item) {
  const auto worker = registry_.Choose(item.service, item.team, item.slots, config_, sim_.now());
  if (!worker) return false;
  const auto it = waiting_.find(item.task);
  const std::int64_t slots = item.slots.count();
  if (!upper_limits_.TryTake(item.team, it->second.entry_node, slots, sim_.now())) return false;
  registry_.Start(worker->info.vm, item.task, item.team, item.slots, item.service);
  const auto waited = static_cast<double>((sim_.now() - item.arrived).count());
  (item.urgent ? urgent_waits_ : normal_waits_).push_back(waited);
  used_by_vm_[worker->info.vm] += slots;
  used_by_service_[item.service] += slots;
  const PoolId& pool = pool_of_[item.service];
  used_by_team_[pool][item.team] += slots;
  waiting_by_team_[pool][item.team] -= slots;
  ++placed_;
  const MonotonicTime end = sim_.now() + it->second.run_time;
  running_.push({end, worker->info.vm, std::move(it->second)});
  waiting_.erase(it);
  return true;
}

void FleetRun::Sample() {
  ++samples_;
  std::map<PoolId, double> capacity;
  for (const auto& [vm, row] : assignments_) capacity[row.pool] += static_cast<double>(kVmSlots);
  std::vector<PoolId> full;
  double full_slots = 0;
  for (const auto& [pool, slots] : capacity) {
    double used = 0;
    double waiting = 0;
    for (const auto& [team, n] : used_by_team_[pool]) used += static_cast<double>(n);
    for (const auto& [team, n] : waiting_by_team_[pool]) waiting += static_cast<double>(n);
    used_slot_seconds_ += used * static_cast<double>(kSampleInterval.count()) / 1000.0;
    constexpr double kFullUtilisation = 0.95;
    if (used < kFullUtilisation * slots || waiting < 1) continue;
    full.push_back(pool);
    full_slots += used;
  }
  if (full.empty()) return;
  ++full_samples_;
  SampleShares(full, full_slots);
}

// Divides the slots in use in the full pools (`capacity`) among the teams with demand there, in
// proportion to their shares (progressive filling), and compares each team's entitlement with the
// slots that it has.
void FleetRun::SampleShares(const std::vector<PoolId>& full, double capacity) {
  struct TeamDemand {
    TeamId team;
    double share;
    double demand;
    double allocated;
  };
  std::vector<TeamDemand> demands;
  for (const auto& [id, team] : config_.teams) {
    double allocated = 0;
    double waiting = 0;
    for (const PoolId& pool : full) {
      allocated += static_cast<double>(used_by_team_[pool][id]);
      waiting += static_cast<double>(waiting_by_team_[pool][id]);
    }
    const auto elsewhere = static_cast<double>(upper_limits_.Used(id)) - allocated;
    const double limit = static_cast<double>(team.upper_limit.count()) - elsewhere;
    const double demand = std::min(allocated + waiting, limit);
    if (demand > 0) {
      demands.push_back({id, static_cast<double>(team.share.count()), demand, allocated});
    }
  }
  std::sort(demands.begin(), demands.end(), [](const TeamDemand& a, const TeamDemand& b) {
    return a.demand / a.share < b.demand / b.share;
  });
  double shares = std::accumulate(demands.begin(), demands.end(), 0.0,
                                  [](double sum, const TeamDemand& d) { return sum + d.share; });
  for (const TeamDemand& team : demands) {
    const double entitled = std::min(team.demand, capacity * team.share / shares);
    capacity -= entitled;
    shares -= team.share;
    closeness_[team.team].entitled += entitled;
    closeness_[team.team].received += std::min(team.allocated, entitled);
  }
}

RunResult FleetRun::Finish() {
  RunResult result;
  result.placed = placed_;
  result.unplaced = std::ssize(waiting_);
  for (const auto& [task, arrival] : waiting_) {
    const auto waited = static_cast<double>((sim_.now() - arrival.item.arrived).count());
    (arrival.item.urgent ? urgent_waits_ : normal_waits_).push_back(waited);
  }
  const double seconds = static_cast<double>(settings_.length.count()) / 1000.0;
  const double total = seconds * static_cast<double>(kVmSlots * settings_.workers);
  result.utilisation = used_slot_seconds_ / total;
  result.buffer_cost = (total - used_slot_seconds_) / used_slot_seconds_;
  result.moves_per_hour =
      static_cast<double>(pool_controller_->mover().completed()) * 3600 / seconds;
  result.worst_closeness = 1;
  for (const auto& [team, closeness] : closeness_) {
    const double ratio = closeness.entitled > 0 ? closeness.received / closeness.entitled : 1;
    result.worst_closeness = std::min(result.worst_closeness, ratio);
    result.mean_closeness += ratio / static_cast<double>(closeness_.size());
  }
  result.full_fraction = static_cast<double>(full_samples_) / static_cast<double>(samples_);
  result.urgent_median_ms = Quantile(urgent_waits_, 0.5);
  result.urgent_p99_ms = Quantile(urgent_waits_, 0.99);
  result.normal_median_ms = Quantile(normal_waits_, 0.5);
  result.normal_p99_ms = Quantile(normal_waits_, 0.99);
  return result;
}

}  // namespace sapphirewheel::measure
