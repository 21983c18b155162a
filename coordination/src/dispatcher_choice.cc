#include <algorithm>

#include "dispatcher_state.h"

// The choice of a backend server for a task.

namespace sapphirewheel {
namespace {

// Weights for scoring a backend server; larger is better. Each outweighs the sum of the smaller
// ones, except that kFullness and kBesideLongRunning together exceed kNotAvoided by up to 100.
constexpr std::int64_t kNearData = 4000;
constexpr std::int64_t kSameRack = 2000;
// A cold server is slow for seconds, which costs more than a longer way to the data.
constexpr std::int64_t kWarm = 8000;
constexpr std::int64_t kNotPenalized = 16'000;
constexpr std::int64_t kNotAvoided = 1000;
constexpr std::int64_t kNotFailedThere = 32'000;
// A move that ends where it began costs a gap for nothing.
constexpr std::int64_t kNotMovedFrom = 64'000;
// A best-effort task may slow serving tasks on the same backend server, for as long as both run.
constexpr std::int64_t kUndisturbed = 128'000;
// Of the servers where it may, those where it is known to are the last choice.
constexpr std::int64_t kKnownToDisturb = -128'000;
// Prefers the fullest backend server, so that others become idle.
constexpr std::int64_t kFullness = 500;
// Groups long-running tasks on the same backend servers, so that the others can be switched off.
constexpr std::int64_t kBesideLongRunning = 600;

// A ticket must remain valid for this long, to cover the delivery time of a start.
constexpr Millis kTicketReserve{200};

// The label that names the rack of a backend server: the platform lists the kind and then the rack.
const std::string& RackOf(const BackendReport& report) {
  static const std::string none;
  return report.labels.size() < 2 ? none : report.labels.back();
}

// The highest suitability that a backend server can have for a task of a step.
std::int64_t BestSuitability(const StepSpec& spec) {
  std::int64_t best =
      kWarm + kNotPenalized + kNotAvoided + kNotFailedThere + kNotMovedFrom + kUndisturbed;
  if (!spec.near_rack.empty()) best += kNearData;
  if (spec.one_rack) best += kSameRack;
  if (spec.long_running) best += kBesideLongRunning;
  return best;
}

std::int64_t Fullness(const BackendEntry& backend) {
  const std::int64_t capacity = backend.report.capacity.cpu_millis;
  return capacity > 0 ? kFullness * backend.used.cpu_millis / capacity : 0;
}

constexpr auto kHasLessFree = [](const auto& a, const auto& b) { return a.free_cpu < b.free_cpu; };

}  // namespace

Resources Dispatcher::Impl::FreeOn(const BackendEntry& backend) {
  Resources free = backend.report.capacity - backend.used;
  for (const auto& [run, orphan] : backend.orphans) free -= orphan.charge;
  for (const auto& [task, charge] : backend.promised) free -= charge;
  return free;
}

Dispatcher::Impl::PoolServers& Dispatcher::Impl::ServersOf(const PoolId& pool) {
  if (!pool_servers_valid) {
    pool_servers.clear();
    for (auto& [id, backend] : backends) {
      backend->usable = IsUsable(*backend);
      if (!backend->usable) continue;
      PoolServers& servers = pool_servers[backend->report.pool];
      servers.capacity += backend->report.capacity - backend->open_ended_use;
      const Resources free = FreeOn(*backend);
      servers.usable.push_back({free.cpu_millis, backend.get()});
      servers.free_cpu += std::max<std::int64_t>(free.cpu_millis, 0);
      servers.largest_free = LargerOf(servers.largest_free, free);
      if (now_ >= backend->cold_until) {
        servers.largest_free_warm = LargerOf(servers.largest_free_warm, free);
      }
    }
    for (auto& [id, servers] : pool_servers) {
      std::stable_sort(servers.usable.begin(), servers.usable.end(), kHasLessFree);
    }
    pool_servers_valid = true;
  }
  return pool_servers[pool];
}

void Dispatcher::Impl::UpdateFree(BackendEntry& backend, std::int64_t free_cpu) {
  if (!pool_servers_valid) return;
  auto& usable = ServersOf(backend.report.pool).usable;
  const auto [first, last] =
      std::equal_range(usable.begin(), usable.end(), FreeServer{free_cpu, nullptr}, kHasLessFree);
  const auto it = std::find_if(
      first, last, [&](const FreeServer& server) { return server.backend == &backend; });
  if (it == last) return;
  it->free_cpu = FreeOn(backend).cpu_millis;
  std::rotate(std::lower_bound(usable.begin(), it, *it, kHasLessFree), it, it + 1);
}

bool Dispatcher::Impl::IsUsable(const BackendEntry& backend) const {
  return !backend.evacuating && IsSound(backend);
}

bool Dispatcher::Impl::IsSound(const BackendEntry& backend) const {
  if (!backend.registered || !backend.has_replied || backend.failing || !backend.clock) {
    return false;
  }
  if (backend.report.draining || now_ < backend.unusable_until) return false;
  if (InEvacuation(backend) || !backend.in_roster || !backend.open_to_starts) return false;
  return std::none_of(backend.orphans.begin(), backend.orphans.end(),
                      [](const auto& it) { return it.second.unknown_size; });
}

std::int64_t Dispatcher::Impl::Suitability(const BackendEntry& backend, const StepSpec& spec,
                                           const StepState& step, const TaskState& task) const {
  std::int64_t score = 0;
  if (!spec.near_rack.empty() && HasLabel(backend.report, spec.near_rack)) score += kNearData;
  if (spec.one_rack) {
    const bool together =
        std::any_of(step.tasks.begin(), step.tasks.end(), [&](const TaskState& it) {
          return it.backend != nullptr && RackOf(it.backend->report) == RackOf(backend.report);
        });
    if (together) score += kSameRack;
  }
  if (now_ >= backend.cold_until) score += kWarm;
  if (now_ >= backend.penalized_until) score += kNotPenalized;
  if (!backend.avoided) score += kNotAvoided;
  if (task.failed_at != backend.report.id) score += kNotFailedThere;
  if (task.moved_from != backend.report.id) score += kNotMovedFrom;
  if (spec.long_running && backend.long_running_tasks > 0) score += kBesideLongRunning;
  switch (JudgeSharing(spec, backend)) {
    case InterferenceModel::Verdict::kHarmless:
      score += kUndisturbed;
      break;
    case InterferenceModel::Verdict::kHarmful:
      score += kKnownToDisturb;
      break;
    case InterferenceModel::Verdict::kUnknown:
      break;
  }
  return score;
}

BackendEntry* Dispatcher::Impl::PickToStart(const QueuePolicy& queue, const StepSpec& spec,
                                            StepState& step, TaskState& task, const Plan& plan) {
  BackendEntry* backend = Pick(queue, spec, step, task, plan);
  if (backend == nullptr || !IsDisturbed(spec, *backend)) return backend;
  return AcceptsDisturbance(step, task) ? backend : nullptr;
}

// A server that is being freed is not free as long as its long-running tasks have no other place,
// which may be for good. Among such servers, the one with most of them is freed last.
BackendEntry* Dispatcher::Impl::PickBeingFreed(const QueuePolicy& queue, const StepSpec& spec,
                                               const StepState& step) {
  BackendEntry* best = nullptr;
  for (const auto& [id, backend] : backends) {
    BackendEntry& it = *backend;
    if (!it.evacuating || it.report.pool != queue.pool || !HasTasksToMove(it)) continue;
    if (!IsSound(it) || !spec.Charge().FitsIn(FreeOn(it))) continue;
    if (queue.advice && !HasValidTicket(step, it)) continue;
    if (!MayHold(spec, step, it, 0) || IsDisturbed(spec, it)) continue;
    if (best == nullptr || it.long_running_tasks > best->long_running_tasks) best = &it;
  }
  return best;
}

bool Dispatcher::Impl::HasTasksToMove(const BackendEntry& backend) {
  return std::any_of(backend.tasks.begin(), backend.tasks.end(), [&](const TaskKey& key) {
    const TaskRef ref = FindOn(key, backend);
    return ref.spec->long_running && ref.task->phase == TaskPhase::kRunning;
  });
}

BackendEntry* Dispatcher::Impl::Pick(const QueuePolicy& queue, const StepSpec& spec,
                                     const StepState& step, const TaskState& task,
                                     const Plan& plan) {
  PoolServers& servers = ServersOf(queue.pool);
  const Resources charge = spec.Charge();
  if (!charge.FitsIn(servers.largest_free)) return nullptr;
  std::int64_t best_suitability = BestSuitability(spec);
  if (!charge.FitsIn(servers.largest_free_warm)) best_suitability -= kWarm;
  BackendEntry* best = nullptr;
  std::int64_t best_score = 0;
  auto server = std::lower_bound(servers.usable.begin(), servers.usable.end(),
                                 FreeServer{charge.cpu_millis, nullptr}, kHasLessFree);
  if (server == servers.usable.end()) {
    // Nothing becomes free within a round.
    servers.largest_free.cpu_millis = charge.cpu_millis - 1;
  }
  for (; server != servers.usable.end(); ++server) {
    BackendEntry* it = server->backend;
    ++placement_work.servers_compared;
    const Resources free = FreeOn(*it);
    if (it->reserved || it->report.id == task.other_run_on) continue;
    if (queue.advice && !HasValidTicket(step, *it)) continue;
    const int planned = PlannedOn(plan, *it);
    if (!(charge * (planned + 1)).FitsIn(free)) continue;
    if (!MayHold(spec, step, *it, planned)) continue;
    const std::int64_t suitability = Suitability(*it, spec, step, task);
    const std::int64_t score = suitability + Fullness(*it);
    if (best == nullptr || score > best_score) {
      best = it;
      best_score = score;
    }
    // The servers that follow have more free, so none of them is better.
    if (suitability == best_suitability) break;
  }
  return best;
}

bool Dispatcher::Impl::MayHold(const StepSpec& spec, const StepState& step,
                               const BackendEntry& backend, int planned) {
  if (!spec.required_label.empty() && !HasLabel(backend.report, spec.required_label)) return false;
  if (spec.per_server_limit == 0) return true;
  const auto here = std::count_if(step.tasks.begin(), step.tasks.end(), [&](const TaskState& it) {
    return it.backend == &backend || it.promised_on == backend.report.id;
  });
  const auto copies = std::count_if(step.copies.begin(), step.copies.end(),
                                    [&](const auto& it) { return it.second.backend == &backend; });
  return here + copies + planned < spec.per_server_limit;
}

bool Dispatcher::Impl::IsRefused(const StepState& step, const BackendEntry& backend) {
  const auto it = step.advice.find(backend.report.id);
  return it != step.advice.end() && it->second.ticket.empty();
}

bool Dispatcher::Impl::HasValidTicket(const StepState& step, const BackendEntry& backend) const {
  const auto it = step.advice.find(backend.report.id);
  return it != step.advice.end() && !it->second.ticket.empty() &&
         now_ + kTicketReserve < it->second.valid_until;
}

}  // namespace sapphirewheel
