#include "tools/measure/fleet_run.h"

#include <algorithm>
#include <limits>
#include <numeric>

#include "sapphirewheel/state/schema.h"

namespace sapphirewheel::measure {
namespace {

constexpr Millis kStep{10};
constexpr Millis kSample{100};
constexpr std::int64_t kVmSlots = 8;
constexpr std::int64_t kVmCores = 32;
constexpr int kServicePools = 4;

NodeId Self() { return NodeId("node#1"); }

// Rounded-down index of a quantile in sorted values; 0 when there are none.
double Quantile(std::vector<double>& values, double q) {
  if (values.empty()) return 0;
  const auto n = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + n, values.end());
  return values[static_cast<std::size_t>(n)];
}

FairScheduler::Settings QueueSettings() {
  FairScheduler::Settings settings;
  // No refusals, so that every variant serves the same work.
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
      demand_(settings.seed, settings.mean_slots, settings.job_part),
      limits_(variant.even_limits),
      registry_(RegistrySettings()),
      scheduler_(QueueSettings()) {
  sim_.max_delay_ms = 5;
  AddPools();
  AddWorkers();
  registry_.OnLiveNodes({Self()});
  registry_.OnVmList(list_, sim_.now());
  scheduler_.OnConfig(config_);
  scheduler_.SetLimitAdmits([this](const TeamId& team, Slots slots) {
    return limits_.Used(team) + slots.count() <= config_.teams.at(team).upper_limit.count();
  });
  PoolController::Settings duty;
  duty.self = Self();
  duty.planner = variant.planner;
  VmMover::Hooks hooks;
  hooks.table = sim_.HooksFor(0);
  hooks.random = [this] { return sim_.Random(); };
  hooks.clock = [this] { return sim_.now(); };
  hooks.count_running = [this](const VmId& vm,
                               const std::function<void(std::optional<std::int64_t>)>& done) {
    sim_.Post(0, Millis(5), [this, vm, done] { done(used_[vm]); });
  };
  duty_ = std::make_unique<PoolController>(duty, hooks);
}

void FleetRun::AddPools() {
  const auto spare =
      variant_.fixed_pools ? 0 : static_cast<int>(settings_.spare_part * settings_.workers);
  for (int i = 0; i < kServicePools; ++i) {
    PoolChange pool;
    pool.pool = PoolId("pool" + std::to_string(i + 1));
    pool.services = {ServiceId("service" + std::to_string(i + 1))};
    // The last pool runs two of the five services.
    if (i + 1 == kServicePools) pool.services.emplace_back("service" + std::to_string(kServices));
    // Sized by the number of services; the last pool gets what division leaves.
    const int rest = settings_.workers - spare;
    const int one = rest / kServices;
    pool.size = i + 1 == kServicePools ? rest - one * (kServicePools - 1) : one;
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
  for (const TeamPlan& plan : Teams()) {
    const TeamId id(plan.name);
    config_.teams[id] = {id, Share(plan.share), Slots(plan.upper_limit)};
  }
}

// Racks hold VMs of several pools.
void FleetRun::AddWorkers() {
  std::vector<PoolId> places;
  for (std::int64_t round = 0; std::ssize(places) < settings_.workers; ++round) {
    for (const auto& [id, pool] : config_.pools) {
      if (round < pool.size) places.push_back(id);
    }
  }
  for (int i = 0; i < settings_.workers; ++i) {
    VmInfo info;
    info.vm = VmId("vm" + std::to_string(100 + i));
    info.data_centre = DataCentreId("dc1");
    info.rack = RackId("rack" + std::to_string(i / 4));
    info.slots = Slots(kVmSlots);
    info.cores = kVmCores;
    list_.vms.push_back(info);
    vms_[info.vm] = info;
    VmAssignment row;
    row.pool = places[static_cast<std::size_t>(i)];
    sim_.Put(schema::VmRow(info.vm), EncodeAssignment(row));
  }
  ReadRows();
}

void FleetRun::ReadRows() {
  for (const auto& [vm, info] : vms_) {
    const Row& row = sim_.rows().at(schema::VmRow(vm));
    if (row.revision == rows_[vm].revision) continue;
    rows_[vm] = DecodeAssignment(vm, row.value, row.revision);
  }
  registry_.OnAssignments(rows_);
}

void FleetRun::Renew() {
  for (const OwnershipCall& call : registry_.CallsDue(sim_.now())) {
    OwnershipReply reply;
    reply.outcome = OwnershipOutcome::kGranted;
    reply.report.epoch = Epoch(1);
    reply.report.slots = Slots(kVmSlots);
    registry_.OnReply(call.vm, reply, sim_.now());
  }
}

void FleetRun::TickDuty() {
  ReadRows();
  Renew();
  if (variant_.fixed_pools) return;
  std::vector<ServiceDemand> demand;
  for (const auto& [service, pool] : pool_of_) {
    std::int64_t queued = 0;
    if (variant_.first_come) {
      queued = std::ssize(order_[service]);
    } else {
      queued = scheduler_.Queued(service, true) + scheduler_.Queued(service, false);
    }
    demand.push_back({service, Slots(queued), Slots(service_used_[service]), Slots(0)});
  }
  duty_->Tick({config_, vms_, rows_}, demand, used_, sim_.now());
}

RunResult FleetRun::Run() {
  const MonotonicTime end = sim_.now() + settings_.length;
  for (std::int64_t step = 0; sim_.now() < end; ++step) {
    if (step % (kSample / kStep) == 0) TickDuty();
    sim_.RunFor(kStep);
    EndTasks();
    limits_.Tick(sim_.now());
    for (Arrival& arrival : demand_.Step(sim_.now(), kStep)) {
      const WorkItem item = arrival.item;
      team_waiting_[pool_of_[item.service]][item.team] += item.slots.count();
      waiting_.emplace(item.task, std::move(arrival));
      if (variant_.first_come) {
        order_[item.service].push_back(item.task);
      } else {
        static_cast<void>(scheduler_.Enqueue(item).has_value());
      }
    }
    variant_.first_come ? DispatchFirstCome() : Dispatch();
    if (step % (kSample / kStep) == 0) Sample();
  }
  return Finish();
}

void FleetRun::EndTasks() {
  while (!running_.empty() && running_.top().end <= sim_.now()) {
    const Running& task = running_.top();
    const WorkItem& item = task.work.item;
    registry_.Finish(task.vm, item.task, WorkerRegistry::TaskEnd::kSucceeded, item.task.str(),
                     sim_.now());
    scheduler_.Charge(item.team, item.slots, task.work.run);
    limits_.Release(item.team, task.work.node, item.slots.count());
    used_[task.vm] -= item.slots.count();
    service_used_[item.service] -= item.slots.count();
    team_used_[pool_of_[item.service]][item.team] -= item.slots.count();
    running_.pop();
  }
}

Slots FleetRun::FreeSlots(const ServiceId& service) {
  std::int64_t free = 0;
  for (const auto& [vm, row] : rows_) {
    if (row.pool == pool_of_[service] && row.phase == AssignmentPhase::kActive) {
      free += kVmSlots - used_[vm];
    }
  }
  return Slots(free);
}

void FleetRun::Dispatch() {
  static_cast<void>(scheduler_.Dispatch([this](const WorkItem& item) { return TryPlace(item); },
                                        [this](const ServiceId& s) { return FreeSlots(s); },
                                        sim_.now()));
}

// Serves each service strictly in order of arrival, urgent or not.
void FleetRun::DispatchFirstCome() {
  for (auto& [service, tasks] : order_) {
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
  if (!limits_.TryTake(item.team, it->second.node, slots, sim_.now())) return false;
  registry_.Start(worker->info.vm, item.task, item.team, item.slots, item.service);
  const auto waited = static_cast<double>((sim_.now() - item.arrived).count());
  (item.urgent ? urgent_waits_ : normal_waits_).push_back(waited);
  used_[worker->info.vm] += slots;
  service_used_[item.service] += slots;
  const PoolId& pool = pool_of_[item.service];
  team_used_[pool][item.team] += slots;
  team_waiting_[pool][item.team] -= slots;
  ++placed_;
  const MonotonicTime end = sim_.now() + it->second.run;
  running_.push({end, worker->info.vm, std::move(it->second)});
  waiting_.erase(it);
  return true;
}

void FleetRun::Sample() {
  ++samples_;
  std::map<PoolId, double> capacity;
  for (const auto& [vm, row] : rows_) capacity[row.pool] += static_cast<double>(kVmSlots);
  std::vector<PoolId> full;
  double full_slots = 0;
  for (const auto& [pool, slots] : capacity) {
    double used = 0;
    double waiting = 0;
    for (const auto& [team, n] : team_used_[pool]) used += static_cast<double>(n);
    for (const auto& [team, n] : team_waiting_[pool]) waiting += static_cast<double>(n);
    used_slot_seconds_ += used * static_cast<double>(kSample.count()) / 1000.0;
    constexpr double kFull = 0.95;
    if (used < kFull * slots || waiting < 1) continue;
    full.push_back(pool);
    full_slots += used;
  }
  if (full.empty()) return;
  ++full_samples_;
  SampleShares(full, full_slots);
}

// Divides what the full pools gave out by share among the teams that want it (progressive filling),
// and compares it with what each team got there.
void FleetRun::SampleShares(const std::vector<PoolId>& full, double capacity) {
  struct Want {
    TeamId team;
    double share;
    double wanted;
    double got;
  };
  std::vector<Want> wants;
  for (const auto& [id, team] : config_.teams) {
    double got = 0;
    double waiting = 0;
    for (const PoolId& pool : full) {
      got += static_cast<double>(team_used_[pool][id]);
      waiting += static_cast<double>(team_waiting_[pool][id]);
    }
    const auto elsewhere = static_cast<double>(limits_.Used(id)) - got;
    const double limit = static_cast<double>(team.upper_limit.count()) - elsewhere;
    const double wanted = std::min(got + waiting, limit);
    if (wanted > 0) wants.push_back({id, static_cast<double>(team.share.count()), wanted, got});
  }
  std::sort(wants.begin(), wants.end(),
            [](const Want& a, const Want& b) { return a.wanted / a.share < b.wanted / b.share; });
  double shares = std::accumulate(wants.begin(), wants.end(), 0.0,
                                  [](double sum, const Want& w) { return sum + w.share; });
  for (const Want& want : wants) {
    const double entitled = std::min(want.wanted, capacity * want.share / shares);
    capacity -= entitled;
    shares -= want.share;
    closeness_[want.team].entitled += entitled;
    closeness_[want.team].received += std::min(want.got, entitled);
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
  result.moves_per_hour = static_cast<double>(duty_->mover().completed()) * 3600 / seconds;
  result.worst_closeness = 1;
  for (const auto& [team, closeness] : closeness_) {
    const double part = closeness.entitled > 0 ? closeness.received / closeness.entitled : 1;
    result.worst_closeness = std::min(result.worst_closeness, part);
    result.mean_closeness += part / static_cast<double>(closeness_.size());
  }
  result.full_part = static_cast<double>(full_samples_) / static_cast<double>(samples_);
  result.urgent_median_ms = Quantile(urgent_waits_, 0.5);
  result.urgent_p99_ms = Quantile(urgent_waits_, 0.99);
  result.normal_median_ms = Quantile(normal_waits_, 0.5);
  result.normal_p99_ms = Quantile(normal_waits_, 0.99);
  return result;
}

}  // namespace sapphirewheel::measure
