#include "sapphirewheel/coordination/worker_registry.h"

#include <algorithm>
#include <tuple>

#include "sapphirewheel/coordination/rendezvous.h"

namespace sapphirewheel {
namespace {

bool RunsService(const PoolChange& pool, const ServiceId& service) {
  return std::find(pool.services.begin(), pool.services.end(), service) != pool.services.end();
}

}  // namespace

WorkerRegistry::WorkerRegistry(Settings settings) : settings_(std::move(settings)) {}

void WorkerRegistry::OnVmList(const VmList& list, MonotonicTime now) {
  vms_.clear();
  for (const VmInfo& info : list.vms) {
    if (info.role == VmRole::kWorker) vms_.emplace(info.vm, info);
  }
  for (const auto& [vm, info] : vms_) {
    if (info.data_centre != settings_.data_centre || workers_.contains(vm)) continue;
    WorkerState& worker = workers_[vm];
    worker.preferred_owner = RendezvousOwner(vm.str(), nodes_);
    worker.next_call = now;
  }
  // The state of a removed worker is kept until its tasks have finished.
  std::erase_if(workers_, [&](const auto& entry) {
    return !vms_.contains(entry.first) && entry.second.tasks.empty();
  });
}

void WorkerRegistry::OnAssignments(const std::map<VmId, VmAssignment>& assignments) {
  assignments_ = assignments;
}

void WorkerRegistry::OnLiveNodes(const std::vector<NodeId>& nodes) {
  if (nodes == nodes_) return;
  nodes_ = nodes;
  for (auto& [vm, worker] : workers_) worker.preferred_owner = RendezvousOwner(vm.str(), nodes_);
}

std::vector<OwnershipCall> WorkerRegistry::CallsDue(MonotonicTime now) {
  std::vector<OwnershipCall> calls;
  for (auto& [vm, worker] : workers_) {
    const auto info = vms_.find(vm);
    if (info == vms_.end()) continue;
    const bool should_own = !releasing_ && worker.preferred_owner == settings_.self;
    if (should_own) {
      worker.handover_since.reset();
    } else if (!worker.handover_since) {
      worker.handover_since = now;
    }
    if (worker.call_pending || now < worker.next_call) continue;
    if (!should_own && !worker.owned) continue;
    const bool release = !should_own && worker.tasks.empty();
    if (release) worker.owned = false;
    worker.call_pending = true;
    worker.release_pending = release;
    worker.ended_during_call.clear();
    worker.acknowledged_in_flight = worker.acknowledged;
    calls.push_back(
        {vm, info->second.address, settings_.self, release, worker.acknowledged_in_flight});
  }
  return calls;
}

void WorkerRegistry::OnReply(const VmId& vm, const OwnershipReply& reply, MonotonicTime sent_at) {
  const auto it = workers_.find(vm);
  if (it == workers_.end()) return;
  WorkerState& worker = it->second;
  const bool released = worker.release_pending;
  worker.call_pending = false;
  worker.release_pending = false;
  worker.next_call = sent_at + settings_.renew_interval;
  switch (reply.outcome) {
    case OwnershipOutcome::kGranted:
      std::erase_if(worker.acknowledged, [&](const TaskId& task) {
        const auto& sent = worker.acknowledged_in_flight;
        return std::find(sent.begin(), sent.end(), task) != sent.end();
      });
      if (released) break;
      worker.owned = true;
      worker.lease_end =
          sent_at + Millis(static_cast<std::int64_t>(
                        static_cast<double>(reply.report.lease.count()) * settings_.lease_safety));
      ApplyReport(vm, worker, reply.report);
      break;
    case OwnershipOutcome::kHeldByOther:
      worker.owned = false;
      // The holder releases the worker soon after the preferred owner changes.
      worker.next_call = sent_at + settings_.renew_interval / 2;
      break;
    case OwnershipOutcome::kFenced:
      worker.owned = false;
      break;
    case OwnershipOutcome::kUnreachable:
      // Retried early, so that a single lost reply does not end the lease.
      worker.next_call = sent_at + settings_.renew_interval / 2;
      break;
  }
}

void WorkerRegistry::ApplyReport(const VmId& vm, WorkerState& worker, const WorkerReport& report) {
  worker.report = report;
  worker.untracked_slots = Slots(0);
  worker.untracked_millicores = 0;
  const auto info = vms_.find(vm);
  for (const TaskReport& task : report.tasks) {
    if (task.state != TaskState::kRunning) continue;
    const auto own = worker.tasks.find(task.task);
    if (own != worker.tasks.end()) {
      estimator_.Observe(own->second.service, own->second.team, own->second.slots,
                         task.used_millicores);
    } else if (!worker.ended_during_call.contains(task.task)) {
      worker.untracked_slots += task.slots;
      const RunningTask untracked{task.team, ServiceId(), task.slots};
      if (info != vms_.end()) {
        worker.untracked_millicores +=
            std::max(task.used_millicores, EstimateMillicores(info->second, worker, untracked));
      }
    }
  }
}

void WorkerRegistry::Acknowledge(const VmId& vm, const TaskId& task) {
  const auto it = workers_.find(vm);
  if (it != workers_.end()) it->second.acknowledged.push_back(task);
}

bool WorkerRegistry::IsOwned(const WorkerState& worker, MonotonicTime now) const {
  return worker.owned && now < worker.lease_end;
}

bool WorkerRegistry::AcceptsWork(const VmId& vm, const WorkerState& worker,
                                 MonotonicTime now) const {
  if (!IsOwned(worker, now) || releasing_ || worker.report.leaving) return false;
  if (now < worker.quarantined_until) return false;
  if (worker.preferred_owner != settings_.self &&
      (!worker.handover_since || now < *worker.handover_since + settings_.handover_wait)) {
    return false;
  }
  const auto info = vms_.find(vm);
  if (info == vms_.end() || info->second.phase == VmPhase::kLeaving) return false;
  const auto assignment = assignments_.find(vm);
  return assignment != assignments_.end() && assignment->second.phase == AssignmentPhase::kActive;
}

const PoolChange* WorkerRegistry::PoolOf(const VmId& vm, const FleetConfig& config) const {
  const auto assignment = assignments_.find(vm);
  if (assignment == assignments_.end()) return nullptr;
  const auto pool = config.pools.find(assignment->second.pool);
  return pool == config.pools.end() ? nullptr : &pool->second;
}

std::int64_t WorkerRegistry::EstimateMillicores(const VmInfo& info, const WorkerState& worker,
                                                const RunningTask& task) const {
  const auto estimate = estimator_.Estimate(task.service, task.team, task.slots);
  if (estimate) return *estimate;
  // Without observations, each slot is assumed to use an equal part of the VM's cores.
  const std::int64_t slots = std::max<std::int64_t>(1, worker.report.slots.count());
  return info.cores * 1000 * task.slots.count() / slots;
}

bool WorkerRegistry::HasCoresFor(const VmInfo& info, const WorkerState& worker,
                                 const RunningTask& task) const {
  // An idle worker accepts any task; otherwise a task whose estimate exceeds every worker would
  // never run.
  if (info.cores <= 0) return true;
  if (worker.tasks.empty() && worker.untracked_slots == Slots(0)) return true;
  std::int64_t used = worker.untracked_millicores + EstimateMillicores(info, worker, task);
  for (const auto& [id, running] : worker.tasks) used += EstimateMillicores(info, worker, running);
  return used <= info.cores * 1000;
}

WorkerView WorkerRegistry::MakeView(const VmId& vm, const WorkerState& worker,
                                    MonotonicTime now) const {
  WorkerView view;
  const auto info = vms_.find(vm);
  if (info != vms_.end()) view.info = info->second;
  const auto assignment = assignments_.find(vm);
  if (assignment != assignments_.end()) view.pool = assignment->second.pool;
  view.epoch = worker.report.epoch;
  view.slots = worker.report.slots;
  view.free_slots = worker.report.slots - worker.untracked_slots;
  for (const auto& [id, task] : worker.tasks) view.free_slots -= task.slots;
  view.free_slots = std::max(view.free_slots, Slots(0));
  view.quarantined = now < worker.quarantined_until;
  return view;
}

std::optional<WorkerView> WorkerRegistry::Choose(const ServiceId& service, const TeamId& team,
                                                 Slots slots, const FleetConfig& config,
                                                 MonotonicTime now) const {
  std::optional<WorkerView> best;
  std::int64_t best_load = 0;
  std::size_t best_failures = 0;
  for (const auto& [vm, worker] : workers_) {
    if (!AcceptsWork(vm, worker, now)) continue;
    const PoolChange* pool = PoolOf(vm, config);
    if (pool == nullptr || !RunsService(*pool, service)) continue;
    WorkerView view = MakeView(vm, worker, now);
    if (view.free_slots < slots) continue;
    if (!HasCoresFor(view.info, worker, {team, service, slots})) continue;
    const std::int64_t load = RackLoad(team, view.info.rack);
    // Workers whose latest tasks failed rank last. At light load such a worker would otherwise get
    // every task and its retries, and no success elsewhere would show that the worker is at fault.
    const std::size_t failures = worker.failed_work_ids.size();
    if (best && std::tuple(best_failures, best_load, -best->free_slots.count()) <=
                    std::tuple(failures, load, -view.free_slots.count())) {
      continue;
    }
    best_failures = failures;
    best_load = load;
    best = std::move(view);
  }
  return best;
}

std::int64_t WorkerRegistry::RackLoad(const TeamId& team, const RackId& rack) const {
  const auto racks = rack_load_.find(team);
  if (racks == rack_load_.end()) return 0;
  const auto load = racks->second.find(rack);
  return load == racks->second.end() ? 0 : load->second;
}

void WorkerRegistry::AddRackLoad(const TeamId& team, const VmId& vm, std::int64_t slots) {
  const auto info = vms_.find(vm);
  if (info == vms_.end()) return;
  auto& racks = rack_load_[team];
  auto& load = racks[info->second.rack];
  load += slots;
  if (load <= 0) racks.erase(info->second.rack);
  if (racks.empty()) rack_load_.erase(team);
}

void WorkerRegistry::Start(const VmId& vm, const TaskId& task, const TeamId& team, Slots slots,
                           const ServiceId& service) {
  WorkerState& worker = workers_[vm];
  if (!worker.tasks.emplace(task, RunningTask{team, service, slots}).second) return;
  AddRackLoad(team, vm, slots.count());
}

void WorkerRegistry::Finish(const VmId& vm, const TaskId& task, TaskEnd end,
                            const std::string& work_id, MonotonicTime now) {
  const auto it = workers_.find(vm);
  if (it == workers_.end()) return;
  WorkerState& worker = it->second;
  const auto running = worker.tasks.find(task);
  if (running == worker.tasks.end()) return;
  const RunningTask ended = running->second;
  worker.tasks.erase(running);
  AddRackLoad(ended.team, vm, -ended.slots.count());
  if (end == TaskEnd::kUnknown) {
    // The task may still run there, so its slots stay in use until the next report.
    worker.untracked_slots += ended.slots;
  } else {
    worker.ended_during_call.insert(task);
  }
  if (end == TaskEnd::kFailed) CountFailure(vm, worker, ended.team, work_id, now);
  if (end == TaskEnd::kSucceeded) {
    suspects_.erase(vm);
    worker.failed_work_ids.clear();
    worker.failed_teams.clear();
    worker.quarantined_until = {};
    CountSuccess(vm, ended.team, now);
  }
  if (worker.tasks.empty() && !vms_.contains(vm)) workers_.erase(it);
}

void WorkerRegistry::CountFailure(const VmId& vm, WorkerState& worker, const TeamId& team,
                                  const std::string& work_id, MonotonicTime now) {
  if (worker.failed_work_ids.empty()) worker.first_failure = now;
  worker.failed_work_ids.insert(work_id);
  worker.failed_teams.insert(team);
  if (static_cast<int>(worker.failed_work_ids.size()) < settings_.quarantine_failures) return;
  suspects_.insert(vm);
  Judge(vm, worker, now);
}

// Quarantines a worker with enough failures if tasks of the same teams succeed elsewhere. Without a
// success on another worker, the fault may be in the team's work or in the service on all workers.
void WorkerRegistry::Judge(const VmId& vm, WorkerState& worker, MonotonicTime now) const {
  for (const TeamId& failed : worker.failed_teams) {
    const auto it = successes_.find(failed);
    if (it == successes_.end()) continue;
    const Successes& successes = it->second;
    const bool elsewhere =
        (!successes.vm.empty() && successes.vm != vm && successes.at >= worker.first_failure) ||
        (!successes.other_vm.empty() && successes.other_vm != vm &&
         successes.other_at >= worker.first_failure);
    if (elsewhere) worker.quarantined_until = now + settings_.quarantine_time;
  }
}

void WorkerRegistry::CountSuccess(const VmId& vm, const TeamId& team, MonotonicTime now) {
  Successes& successes = successes_[team];
  if (successes.vm != vm) {
    successes.other_vm = successes.vm;
    successes.other_at = successes.at;
    successes.vm = vm;
  }
  successes.at = now;
  // A worker with failures ranks last and may get no further task that would show it.
  for (const VmId& suspect : suspects_) {
    const auto it = workers_.find(suspect);
    const bool judged = it == workers_.end() || now < it->second.quarantined_until;
    if (!judged) Judge(suspect, it->second, now);
  }
}

bool WorkerRegistry::IsQuarantined(const VmId& vm, MonotonicTime now) const {
  const auto it = workers_.find(vm);
  return it != workers_.end() && now < it->second.quarantined_until;
}

std::vector<ServiceLoad> WorkerRegistry::Loads(const FleetConfig& config, MonotonicTime now) const {
  std::map<ServiceId, ServiceLoad> loads;
  for (const auto& [id, pool] : config.pools) {
    for (const ServiceId& service : pool.services) loads[service].service = service;
  }
  for (const auto& [vm, worker] : workers_) {
    if (!IsOwned(worker, now)) continue;
    const PoolChange* pool = PoolOf(vm, config);
    if (pool == nullptr) continue;
    const bool accepts_work = AcceptsWork(vm, worker, now);
    const Slots free_slots = accepts_work ? MakeView(vm, worker, now).free_slots : Slots(0);
    for (const ServiceId& service : pool->services) loads[service].free_slots += free_slots;
    for (const auto& [id, task] : worker.tasks) {
      const auto load = loads.find(task.service);
      if (load != loads.end()) {
        load->second.running += task.slots;
      } else if (!pool->services.empty()) {
        // Started without a service: counted for the pool's first service.
        loads[pool->services.front()].running += task.slots;
      }
    }
  }
  std::vector<ServiceLoad> list;
  list.reserve(loads.size());
  for (auto& [service, load] : loads) list.push_back(std::move(load));
  return list;
}

bool WorkerRegistry::CouldEverFit(const ServiceId& service, Slots slots,
                                  const FleetConfig& config) const {
  // Nothing is known before the first VM list and assignments, and a job must not be refused for
  // that.
  if (vms_.empty() || assignments_.empty()) return true;
  for (const auto& [vm, info] : vms_) {
    const PoolChange* pool = PoolOf(vm, config);
    // Spare VMs count, because they can be lent to the service's pools.
    if (pool == nullptr || !(pool->spare || RunsService(*pool, service))) continue;
    if (info.slots >= slots) return true;
  }
  return false;
}

std::set<DataCentreId> WorkerRegistry::ServingDataCentres(const ServiceId& service,
                                                          const FleetConfig& config) const {
  std::set<DataCentreId> serving;
  for (const auto& [vm, info] : vms_) {
    const PoolChange* pool = PoolOf(vm, config);
    if (pool == nullptr || !RunsService(*pool, service) || info.phase != VmPhase::kLive) continue;
    if (assignments_.at(vm).phase == AssignmentPhase::kActive) serving.insert(info.data_centre);
  }
  return serving;
}

std::vector<WorkerView> WorkerRegistry::Owned(MonotonicTime now) const {
  std::vector<WorkerView> views;
  for (const auto& [vm, worker] : workers_) {
    if (IsOwned(worker, now)) views.push_back(MakeView(vm, worker, now));
  }
  return views;
}

void WorkerRegistry::ReleaseAll() { releasing_ = true; }

std::string WorkerRegistry::BootIdOf(const VmId& vm) const {
  const auto it = workers_.find(vm);
  return it == workers_.end() ? std::string() : it->second.report.boot;
}

}  // namespace sapphirewheel
