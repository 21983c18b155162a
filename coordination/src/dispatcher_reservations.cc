#include <algorithm>

#include "dispatcher_state.h"

// Room on backend servers that is kept for long-running tasks, and what the log tells of tasks
// without room.

namespace sapphirewheel {
namespace {

// Interval of logging that a long-running step has a task without a place.
constexpr Millis kWaitingReportInterval{2000};

}  // namespace

int Dispatcher::Impl::PlannedOn(const Plan& plan, const BackendEntry& backend) {
  const auto it = plan.find(&backend);
  return it == plan.end() ? 0 : it->second;
}

void Dispatcher::Impl::Promise(const TaskKey& key, TaskState& task, const StepSpec& spec,
                               BackendEntry& target) {
  task.promised_on = target.report.id;
  target.promised[key] = spec.Charge();
}

void Dispatcher::Impl::ReleasePromise(const TaskKey& key, TaskState& task) {
  if (task.promised_on.empty()) return;
  if (BackendEntry* target = FindBackend(task.promised_on)) target->promised.erase(key);
  task.promised_on = BackendId();
}

void Dispatcher::Impl::ReleaseUnneededPromises() {
  for (auto& [id, backend] : backends) {
    std::erase_if(backend->promised, [&, &target = id](const auto& it) {
      const TaskRef ref = Find(it.first);
      if (!ref || ref.task->promised_on != target) return true;
      const TaskPhase phase = ref.task->phase;
      if (phase == TaskPhase::kStopping || phase == TaskPhase::kWaiting) return false;
      ref.task->promised_on = BackendId();
      return true;
    });
  }
}

BackendEntry* Dispatcher::Impl::PromisedServer(const QueuePolicy& queue, const StepState& step,
                                               const TaskKey& key, const TaskState& task) {
  BackendEntry* backend = FindBackend(task.promised_on);
  if (backend == nullptr || !IsUsable(*backend)) return nullptr;
  if (backend->report.pool != queue.pool) return nullptr;
  if (queue.advice && !HasValidTicket(step, *backend)) return nullptr;
  const auto promise = backend->promised.find(key);
  if (promise == backend->promised.end()) return nullptr;
  return promise->second.FitsIn(FreeOn(*backend) + promise->second) ? backend : nullptr;
}

// Keeps shorter work away from backend servers until `count` long-running tasks have room there;
// otherwise smaller work would take each gap first. Reserves nothing unless all of them will have
// room. Steps share a server that will have room for the tasks of all of them.
void Dispatcher::Impl::Reserve(const QueuePolicy& queue, const StepSpec& spec,
                               const StepState& step, int count) {
  Plan plan;
  const auto room_on = [&](const BackendEntry& backend) {
    Resources room = backend.report.capacity - backend.open_ended_use;
    for (const auto& [task, promised] : backend.promised) room -= promised;
    return room - backend.reserved.value_or(Resources{}) - spec.Charge() * PlannedOn(plan, backend);
  };
  const auto is_reserved = [&](const BackendEntry& backend) {
    return backend.reserved.has_value() || PlannedOn(plan, backend) > 0;
  };
  const auto is_better = [&](const BackendEntry& a, const BackendEntry& b) {
    if (is_reserved(a) != is_reserved(b)) return is_reserved(a);
    // Changing the server in each round would free room on none of them.
    if (a.was_reserved != b.was_reserved) return a.was_reserved;
    return a.used.cpu_millis < b.used.cpu_millis;
  };
  for (int n = 0; n < count; ++n) {
    const BackendEntry* best = nullptr;
    for (const FreeServer& server : ServersOf(queue.pool).usable) {
      const BackendEntry* it = server.backend;
      if (best != nullptr && !is_better(*it, *best)) continue;
      if (!spec.Charge().FitsIn(room_on(*it))) continue;
      if (IsDisturbed(spec, *it) || IsRefused(step, *it)) continue;
      if (MayHold(spec, step, *it, PlannedOn(plan, *it))) best = it;
    }
    if (best == nullptr) return;
    ++plan[best];
  }
  for (const FreeServer& server : ServersOf(queue.pool).usable) {
    BackendEntry* it = server.backend;
    const int planned = PlannedOn(plan, *it);
    if (planned == 0) continue;
    it->reserved = it->reserved.value_or(Resources{}) + spec.Charge() * planned;
  }
}

bool Dispatcher::Impl::WillHaveRoom(const PoolId& pool, const StepSpec& spec) {
  const auto& servers = ServersOf(pool).usable;
  return std::any_of(servers.begin(), servers.end(), [&](const FreeServer& it) {
    return spec.Charge().FitsIn(it.backend->report.capacity - it.backend->open_ended_use);
  });
}

void Dispatcher::Impl::ReportWaiting(const Candidate& candidate, const QueuePolicy& queue,
                                     int index) {
  const JobEntry& job = *candidate.job;
  const StepSpec& spec = job.stored.spec.steps[candidate.step];
  StepState& step = candidate.occurrence->steps[candidate.step];
  if (!spec.long_running || now_ < step.waiting_reported + kWaitingReportInterval) return;
  step.waiting_reported = now_;
  std::map<std::string, int> servers;
  for (const auto& [id, backend] : backends) {
    const BackendEntry& it = *backend;
    if (it.report.pool != queue.pool) continue;
    const char* reason = "free";
    if (InEvacuation(it)) {
      reason = "evacuated";
    } else if (!IsUsable(it)) {
      reason = "unusable";
    } else if (it.reserved) {
      reason = "reserved";
    } else if (queue.advice && !HasValidTicket(step, it)) {
      reason = "without-ticket";
    } else if (!spec.Charge().FitsIn(FreeOn(it))) {
      reason = "full";
    } else if (!MayHold(spec, step, it, 0)) {
      reason = "excluded";
    } else if (IsDisturbed(spec, it)) {
      reason = "disturbed";
    }
    ++servers[reason];
  }
  std::string detail = "pool=" + queue.pool.str();
  if (!IsWithinLimit(job.stored.team, spec.per_task)) detail += " team above its upper limit";
  for (const auto& [reason, n] : servers) detail += " " + reason + "=" + std::to_string(n);
  const TaskKey key{job.stored.id, candidate.occurrence->number, candidate.step, index};
  Report(DecisionKind::kTaskWaiting, key.job, key.str(), BackendId(), RunNumber(), detail);
}

}  // namespace sapphirewheel
