#include <cstdlib>
#include <utility>

#include "fleet_sim_ports.h"

namespace sapphirewheel::testing {
namespace {

std::int64_t EstimateOf(const StepSpec& step) { return step.estimate.count(); }

}  // namespace

void FleetSim::RegisterBackend(Backend& backend) {
  Put({"registry", "", backend.report.id.str()}, "ready");
}

void FleetSim::SetDraining(const BackendId& id) { Put({"registry", "", id.str()}, "draining"); }

void FleetSim::CrashBackend(const BackendId& id, std::int64_t down_for, bool same_id,
                            std::int64_t unregistered_for) {
  Backend& backend = backends.at(id);
  backend.alive = false;
  ForgetUnacknowledged(backend);
  backend.running.clear();
  backend.ended.clear();
  backend.polls.clear();
  backend.last_run.clear();
  backend.token = 0;
  constexpr std::int64_t kSilence = 4500;
  At(now_ + kSilence, [this, id] {
    if (!backends.at(id).alive) {
      RowTransaction tx;
      tx.removes.push_back({"registry", "", id.str()});
      Apply(tx);
    }
  });
  At(now_ + down_for, [this, id, same_id, unregistered_for] {
    BackendId next = id;
    if (!same_id) {
      next = BackendId(id.str() + "'");
      backends[next].report = backends.at(id).report;
      backends[next].report.id = next;
    }
    Backend& again = backends[next];
    again.alive = true;
    again.disconnected = false;
    again.started_at = now_;
    again.report.started_at = UnixMillis(kEpoch + now_);
    again.next_end = 1;
    again.seen = 0;
    again.lease_until = 0;
    for (const auto& handle_call : std::exchange(again.queued_calls, {})) handle_call(again);
    At(now_ + unregistered_for, [this, next] { RegisterBackend(backends.at(next)); });
  });
}

void FleetSim::CheckOtherRuns(const std::string& task, const StepSpec& step) {
  int others = 0;
  for (const auto& [id, other] : backends) {
    if (!other.alive || other.running.count(task) == 0) continue;
    ++others;
    if (!step.allows_copies || others > 1) Violate("TWICE: " + task + " also on " + id.str());
  }
  copies += others;
}

void FleetSim::CheckTeamLimit(const std::string& task, const StepSpec& step) {
  if (settings_.team_cpu_limit == 0) return;
  std::int64_t use = step.per_task.cpu_millis;
  for (const auto& [id, other] : backends) {
    if (!other.alive) continue;
    for (const auto& [name, run] : other.running) use += run.charge.cpu_millis;
  }
  if (use > settings_.team_cpu_limit) Violate("LIMIT: team by " + task);
}

bool FleetSim::IsDoneUnnoticed(const std::string& task) const {
  return std::any_of(backends.begin(), backends.end(), [&](const auto& it) {
    const auto& ended = it.second.ended;
    return std::any_of(ended.begin(), ended.end(), [&](const ListedEnd& end) {
      return end.how == RunEnd::kDone && end.task.str() == task;
    });
  });
}

std::int64_t FleetSim::DrawDuration(const StepSpec& step) {
  if (step.image.empty()) return EstimateOf(step) / 2 + Draw(static_cast<int>(EstimateOf(step)));
  constexpr std::int64_t kUsual = 500;
  constexpr double kLongShare = 0.08;
  constexpr std::int64_t kLongFactor = 10;
  const std::int64_t usual = kUsual + Draw(static_cast<int>(kUsual / 2));
  return Draw() < kLongShare ? kLongFactor * usual : usual;
}

void FleetSim::CheckStart(const Backend& backend, const StartOrder& order) {
  const std::string task = order.task.str();
  const auto job = jobs.find(order.task.job);
  if (job == jobs.end()) {
    Violate("UNASKED: " + task);
    return;
  }
  ClientJob& it = job->second;
  const StepSpec& step = it.spec.steps[order.task.step];
  if (order.payload != it.spec.payload) Violate("UNASKED: other payload of " + task);
  Resources use = step.Charge();
  for (const auto& [name, run] : backend.running) use += run.charge;
  if (!use.FitsIn(backend.report.capacity)) {
    Violate("LIMIT: " + task + " on " + backend.report.id.str());
  }
  CheckOtherRuns(task, step);
  CheckTeamLimit(task, step);
  // A copy may start while the first run ends.
  const bool unnoticed =
      step.allows_copies && (settings_.faults.late_orders > 0 || IsDoneUnnoticed(task));
  if (it.final_done.count(task) > 0 && !unnoticed) Violate("TWICE: " + task + " was done");
  for (const int before : step.after) {
    for (int n = 0; n < it.spec.steps[before].count; ++n) {
      const TaskKey key{order.task.job, order.task.occurrence, before, n};
      if (it.done.count(key.str()) == 0) Violate("ORDER: " + task + " before " + key.str());
    }
  }
  if (!step.long_running && it.final_failed[task] >= kAttempts) Violate("BUDGET: " + task);
}

OrderReply FleetSim::Start(Backend& backend, const StartOrder& order) {
  OrderReply reply;
  reply.clock = BackendClock(ClockOf(backend));
  const std::string task = order.task.str();
  if (order.token.count() < backend.token) {
    reply.outcome = OrderOutcome::kFenced;
    return reply;
  }
  backend.token = order.token.count();
  if (order.lease_until.count() <= ClockOf(backend)) {
    reply.outcome = OrderOutcome::kLeaseExpired;
    return reply;
  }
  backend.lease_until = std::max(
      backend.lease_until, std::min(order.lease_until.count(), ClockOf(backend) + kLongestLease));
  backend.lease_expired = false;
  if (order.lease_until.count() - ClockOf(backend) > kLongestLease - 2000) {
    Trace(-1, backend.report.id.str() + " takes a start of a former life: " + task);
  }
  reply.outcome = OrderOutcome::kDone;
  if (const auto it = backend.running.find(task); it != backend.running.end()) {
    if (it->second.number == order.run) return reply;
    reply.outcome = OrderOutcome::kStaleRun;
    return reply;
  }
  if (order.run.count() <= backend.last_run[task]) {
    reply.outcome = OrderOutcome::kStaleRun;
    return reply;
  }
  CheckStart(backend, order);
  ++starts;
  ++starts_of[order.token.count()];
  const auto job = jobs.find(order.task.job);
  if (job == jobs.end()) return reply;
  const StepSpec& step = job->second.spec.steps[order.task.step];
  Run run;
  run.number = order.run;
  run.charge = step.Charge();
  run.id = next_run_++;
  run.will_fail = job->second.always_fails || Draw() < 0.02;
  backend.running[task] = run;
  const BackendId id = backend.report.id;
  if (!step.long_running || run.will_fail) {
    At(now_ + DrawDuration(step), [this, id, task, run] {
      Backend& there = backends.at(id);
      const auto it = there.running.find(task);
      if (!there.alive || it == there.running.end() || it->second.id != run.id) return;
      EndRun(there, task, run.will_fail ? RunEnd::kFailed : RunEnd::kDone);
    });
  }
  return reply;
}

OrderReply FleetSim::Stop(Backend& backend, const StopOrder& order) {
  OrderReply reply;
  reply.clock = BackendClock(ClockOf(backend));
  if (order.token.count() < backend.token) {
    reply.outcome = OrderOutcome::kFenced;
    return reply;
  }
  backend.token = order.token.count();
  reply.outcome = OrderOutcome::kDone;
  const std::string task = order.task.str();
  const auto it = backend.running.find(task);
  if (it == backend.running.end() || it->second.number != order.run) {
    backend.last_run[task] = std::max(backend.last_run[task], order.run.count());
    return reply;
  }
  it->second.stopping = true;
  const std::uint64_t run = it->second.id;
  At(now_ + Draw(static_cast<int>(kStopMs)), [this, id = backend.report.id, task, run] {
    Backend& there = backends.at(id);
    const auto found = there.running.find(task);
    if (there.alive && found != there.running.end() && found->second.id == run) {
      EndRun(there, task, RunEnd::kStopped);
    }
  });
  return reply;
}

void FleetSim::EndRun(Backend& backend, std::string task, RunEnd how) {
  const auto it = backend.running.find(task);
  const auto key = ParseTaskKey(task);
  backend.last_run[task] = it->second.number.count();
  backend.ended.push_back(ListedEnd{backend.next_end++, *key, it->second.number, how, ""});
  backend.last_end_at = now_;
  backend.running.erase(it);
  ClientJob& job = jobs.at(key->job);
  if (how == RunEnd::kDone) {
    job.done.insert(task);
    job.final_done.insert(task);
  }
  if (how == RunEnd::kFailed) {
    ++job.failed[task];
    ++job.final_failed[task];
  }
  const auto polls = std::move(backend.polls);
  backend.polls.clear();
  for (const auto& poll : polls) poll.done(List(backend));
}

PollReply FleetSim::List(const Backend& backend) {
  PollReply reply;
  reply.outcome = OrderOutcome::kDone;
  reply.clock = BackendClock(ClockOf(backend));
  reply.started_at = backend.report.started_at;
  for (const auto& [task, run] : backend.running) {
    reply.running.push_back(ListedRun{*ParseTaskKey(task), run.number, "", 100, 0});
  }
  reply.ended = backend.ended;
  return reply;
}

void FleetSim::PollBackend(Backend& backend, const PollOrder& order,
                           std::function<void(const PollReply&)> done) {
  if (order.token.count() < backend.token) {
    PollReply refused;
    refused.outcome = OrderOutcome::kFenced;
    done(refused);
    return;
  }
  backend.token = order.token.count();
  if (order.lease_until) {
    backend.lease_until = std::max(backend.lease_until, std::min(order.lease_until->count(),
                                                                 ClockOf(backend) + kLongestLease));
    backend.lease_expired = ClockOf(backend) > backend.lease_until;
  }
  std::erase_if(backend.ended,
                [&](const ListedEnd& it) { return it.number <= order.acknowledged_end; });
  if (order.wait.count() == 0 || !backend.ended.empty()) {
    done(List(backend));
    return;
  }
  auto answered = std::make_shared<bool>(false);
  const auto once = [answered, done](const PollReply& list) {
    if (*answered) return;
    *answered = true;
    done(list);
  };
  backend.polls.push_back({now_ + order.wait.count(), once});
  At(now_ + order.wait.count(),
     [this, id = backend.report.id, once, started_at = backend.started_at] {
       const Backend& there = backends.at(id);
       if (there.alive && there.started_at == started_at) once(List(there));
     });
}

}  // namespace sapphirewheel::testing
