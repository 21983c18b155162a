#include <algorithm>
#include <unordered_map>

#include "dispatcher_state.h"

// The order in which open jobs get free slots: collects the input of RankStarts.

namespace sapphirewheel {
namespace {

// A job has no value to its caller after this many times its objective.
constexpr int kObjectivesWithValue = 3;
// Mean time between the end of a task and the start of the next one in its place: half a pause
// between polls, half a tick, and the delivery of the order.
constexpr Millis kStartGap{50};
// Progress from which the pace of a task tells more than what is expected of it.
constexpr int kKnownPace = 20;
// Interval of rankings. One of 2,000 open jobs took 1.1 to 1.8 ms, which is too long for each
// placement round of a small VM.
constexpr Millis kRankingInterval{60};
// Time without overload after which its end is reported, so that a pool at its limit does not
// report each change.
constexpr Millis kOverloadEnd{1000};

// Time after its due time within which an occurrence should end.
Millis Objective(const QueuePolicy& queue, const OccurrenceState& occurrence) {
  const auto path = static_cast<double>(occurrence.critical_path.count());
  return Millis(static_cast<std::int64_t>(queue.stretch * path)) + queue.target_latency;
}

// The capacity of a pool that a task uses, in milli-cores. A task that uses a larger part of the
// memory or the accelerators than of the processors counts with that part.
std::int64_t EffectiveCpu(const Resources& task, const Resources& pool) {
  const auto part = [](std::int64_t use, std::int64_t capacity) {
    return capacity > 0 ? static_cast<double>(use) / static_cast<double>(capacity) : 0;
  };
  const double largest =
      std::max(part(task.memory_mib, pool.memory_mib), part(task.accelerators, pool.accelerators));
  const auto cpu = static_cast<std::int64_t>(largest * static_cast<double>(pool.cpu_millis));
  return std::max(task.cpu_millis, cpu);
}

Millis RemainingTime(const TaskState& task, Millis expected, MonotonicTime now) {
  const Millis elapsed = now - task.ordered_at;
  if (task.percent < kKnownPace || task.adopted_at) {
    return std::max(expected - elapsed, kStartGap);
  }
  return elapsed * (kFullPercent - task.percent) / task.percent + kStartGap;
}

struct RankedQueue {
  std::size_t index = 0;
  const ServedBySize* served = nullptr;
};

// The demand of a pool and the occurrences that it consists of.
struct RankedPool {
  PoolDemand demand;
  Resources capacity;
  std::vector<OccurrenceState*> occurrences;
  // Used for look-ups only, so that its order does not matter.
  std::unordered_map<const QueuePolicy*, RankedQueue> queues;
};

// Adds the tasks of an occurrence. Returns its waiting tasks and their work.
struct WaitingTasks {
  int tasks = 0;
  CoreWork work = 0;
  bool started = false;
};
WaitingTasks AddTasks(const JobEntry& job, const OccurrenceState& occurrence, RankedPool& pool,
                      const std::function<Millis(const StepSpec&)>& expected_duration,
                      MonotonicTime now) {
  WaitingTasks waiting;
  for (std::size_t n = 0; n < occurrence.steps.size(); ++n) {
    const StepSpec& spec = job.stored.spec.steps[n];
    const StepState& step = occurrence.steps[n];
    if (spec.IsOpenEnded()) continue;
    waiting.started |= step.done > 0;
    if (step.done == spec.count) continue;
    const std::int64_t cpu = EffectiveCpu(spec.per_task, pool.capacity);
    const Millis expected = expected_duration(spec);
    const bool untouched = step.done == 0 && !step.any_placed;
    int tasks = untouched ? spec.count : 0;
    for (const TaskState& it : step.tasks) {
      if (untouched) break;
      if (it.phase == TaskPhase::kWaiting) ++tasks;
      if (it.backend == nullptr) continue;
      waiting.started = true;
      if (!it.backend->usable) continue;
      pool.demand.running.push_back({RemainingTime(it, expected, now), cpu});
    }
    waiting.tasks += tasks;
    waiting.work += cpu * (expected + kStartGap).count() * tasks;
  }
  return waiting;
}

}  // namespace

// Time of day by which an occurrence should end, in milliseconds since 1970.
std::int64_t Dispatcher::Impl::TargetCompletion(const QueuePolicy& queue,
                                                const OccurrenceState& occurrence) {
  return occurrence.due.count() + Objective(queue, occurrence).count();
}

bool Dispatcher::Impl::IsLate(const QueuePolicy& queue, const OccurrenceState& occurrence,
                              UnixMillis wall) {
  return wall.count() + occurrence.remaining_path.count() > TargetCompletion(queue, occurrence);
}

void Dispatcher::Impl::RankOpenJobs() {
  if (now_ < next_ranking) return;
  next_ranking = now_ + kRankingInterval;
  const auto expected_duration = [this](const StepSpec& it) { return ExpectedDuration(it); };
  const UnixMillis wall = hooks.wall_clock();
  std::map<PoolId, RankedPool> pools;
  for (JobEntry* job : open_jobs) {
    const QueuePolicy* queue = job->queue;
    if (queue == nullptr) continue;
    const auto [it, added] = pools.try_emplace(queue->pool);
    RankedPool& pool = it->second;
    if (added) {
      pool.capacity = ServersOf(queue->pool).capacity;
      pool.demand.free = ServersOf(queue->pool).free_cpu;
      if (settings.defer_under_overload) pool.demand.capacity = pool.capacity.cpu_millis;
      pool.demand.overloaded = pool_overload[queue->pool].overloaded;
    }
    for (auto& [number, occurrence] : job->open) {
      const Millis deadline(TargetCompletion(*queue, occurrence) - wall.count());
      if (deadline < Millis(0)) CountServed(*job, occurrence);
      const WaitingTasks waiting = AddTasks(*job, occurrence, pool, expected_duration, now_);
      if (waiting.tasks == 0) continue;
      const auto [slot, first] = pool.queues.try_emplace(queue);
      RankedQueue& ranked = slot->second;
      if (first) {
        ranked.served = &served_by_size[queue->id];
        ranked.index = pool.demand.queues.size();
        pool.demand.queues.push_back(ranked.served->counts());
      }
      WaitingJob& entry = pool.demand.jobs.emplace_back();
      entry.queue = ranked.index;
      entry.priority = queue->priority;
      entry.size = ranked.served->GroupOf(occurrence.total_work);
      entry.path = occurrence.remaining_path;
      entry.deadline = deadline;
      entry.worthless = deadline + Objective(*queue, occurrence) * (kObjectivesWithValue - 1);
      entry.work = waiting.work;
      entry.started = waiting.started;
      entry.over_share = job->over_share;
      entry.deferred = occurrence.rank.deferred;
      pool.occurrences.push_back(&occurrence);
    }
  }
  for (auto& [id, state] : pool_overload) pools.try_emplace(id);
  for (auto& [id, pool] : pools) {
    const PoolRanking ranking = RankStarts(pool.demand);
    for (std::size_t n = 0; n < ranking.ranks.size(); ++n) {
      OccurrenceState& occurrence = *pool.occurrences[n];
      occurrence.rank = ranking.ranks[n];
      occurrence.rank.deadline += Millis(wall.count());
      occurrence.ranked = true;
    }
    UpdateOverload(id, pool.demand, ranking);
  }
}

StartRank Dispatcher::Impl::RankOf(const JobEntry& job, const OccurrenceState& occurrence,
                                   UnixMillis wall) const {
  const bool late = IsLate(*job.queue, occurrence, wall);
  const auto pool = pool_overload.find(job.queue->pool);
  StartRank rank;
  if (pool == pool_overload.end() || !pool->second.overloaded) {
    rank.deadline = Millis(TargetCompletion(*job.queue, occurrence));
    if (late) rank.tier = StartTier::kLate;
    if (job.over_share) rank.tier = StartTier::kOverShare;
    return rank;
  }
  const bool too_late = late && occurrence.rank.tier < StartTier::kLate;
  if (occurrence.ranked && !too_late) return occurrence.rank;
  // New, or late since the last ranking.
  rank.tier = late ? StartTier::kLate : StartTier::kDeferred;
  if (job.over_share) rank.tier = StartTier::kOverShare;
  rank.unstarted = !job.any_started;
  rank.work = occurrence.total_work;
  return rank;
}

void Dispatcher::Impl::CountServed(const JobEntry& job, OccurrenceState& occurrence) {
  if (occurrence.counted || occurrence.total_work == 0 || job.queue == nullptr) return;
  occurrence.counted = true;
  if (job.over_share) return;
  const bool in_time = hooks.wall_clock().count() <= TargetCompletion(*job.queue, occurrence);
  ServedBySize& served = served_by_size[job.stored.queue];
  served.Count(served.GroupOf(occurrence.total_work), in_time);
}

void Dispatcher::Impl::UpdateOverload(const PoolId& pool, const PoolDemand& demand,
                                      const PoolRanking& ranking) {
  PoolOverload& state = pool_overload[pool];
  state.overloaded = ranking.overloaded;
  state.deferred = ranking.deferred;
  if (ranking.overloaded) state.last_overloaded = now_;
  const bool report = ranking.overloaded || now_ - state.last_overloaded < kOverloadEnd;
  if (state.reported == report) return;
  if (!state.reported && !ranking.overloaded) return;
  state.reported = report;
  CoreWork work = 0;
  for (const WaitingJob& it : demand.jobs) work += it.work;
  constexpr CoreWork kPerCoreSecond = 1'000'000;
  Report(report ? DecisionKind::kOverloadBegan : DecisionKind::kOverloadEnded, JobId(), "",
         BackendId(), RunNumber(),
         "pool " + pool.str() + ": " + std::to_string(ranking.deferred) + " of " +
             std::to_string(demand.jobs.size()) + " waiting jobs deferred, waiting work " +
             std::to_string(work / kPerCoreSecond) + " core-s, capacity " +
             std::to_string(demand.capacity) + " mcpu");
}

std::map<PoolId, int> Dispatcher::Deferred() const {
  std::map<PoolId, int> deferred;
  for (const auto& [pool, state] : impl_->pool_overload) deferred[pool] = state.deferred;
  return deferred;
}

}  // namespace sapphirewheel
