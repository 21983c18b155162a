#include "sapphirewheel/coordination/dispatcher.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "dispatcher_state.h"

namespace sapphirewheel {
namespace {

// Maximum interval between placement rounds, for due times and delays that have passed.
constexpr Millis kPlaceInterval{100};
// Pace of the checks that go through all servers: of leases that have ended and of tasks that have
// to move. Up to 640 servers are checked at each tick, and 3,000 every 93 ms, because the check of
// leases alone took a tenth of the owner's time when it was made at each tick.
constexpr std::size_t kServersCheckedPerMs = 32;
// Time for which the first list of a registered backend server is awaited, which may be late on a
// busy link or because of many servers.
constexpr Millis kFirstListTime{3000};

// Whether a VM no longer runs a backend server of a pool that it ran before the report.
bool HasLeft(const VmReport& vm, const BackendId& backend, const PoolId& pool) {
  if (vm.state == VmState::kMoving || vm.state == VmState::kMaintenance) return true;
  if (vm.state != VmState::kUp) return false;
  return vm.backend.empty() ? vm.pool != pool : vm.backend != backend;
}

// Number of tasks that a server holds, at least 1.
double TasksPerServer(const Resources& task, const Resources& server) {
  std::int64_t tasks = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&](std::int64_t use, std::int64_t capacity) {
    if (use > 0) tasks = std::min(tasks, capacity / use);
  };
  limit(task.cpu_millis, server.cpu_millis);
  limit(task.memory_mib, server.memory_mib);
  limit(task.accelerators, server.accelerators);
  return static_cast<double>(std::max<std::int64_t>(1, tasks));
}

// Weight of the last interval between two ticks in the mean, as its inverse.
constexpr int kTickSmoothing = 8;
// Longest interval between two ticks that counts; a longer one is a pause of the process.
constexpr Millis kMaxTickInterval{60};

}  // namespace

Dispatcher::Dispatcher(Settings settings, Hooks hooks, MonotonicTime now)
    : impl_(std::make_unique<Impl>(settings, std::move(hooks), now)) {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetConfig(std::shared_ptr<const DispatchConfig> config) {
  impl_->config = std::move(config);
  impl_->routes_changed = true;
  for (auto& [id, job] : impl_->jobs) {
    job->queue = impl_->config ? impl_->config->FindQueue(job->stored.queue) : nullptr;
    impl_->AddRoute(*job);
  }
  impl_->place_due = true;
}

void Dispatcher::SetRoster(const Roster& roster, MonotonicTime taken_at,
                           const std::optional<HandOver>& hand_over) {
  impl_->roster_pending = roster;
  for (auto& [id, entry] : impl_->roster_pending) {
    // The earlier owner may have been lost before it heard of a restart.
    MonotonicTime last = taken_at + impl_->LongestLeaseBound(kOrderDelivery);
    // An owner in between may have sent it starts, or be of a version that does not know the field.
    const bool closed =
        entry.closed_by && entry.closed_by->count() + 1 == impl_->settings.token.count();
    if (closed) last = taken_at + impl_->LeaseBound();
    entry.closed_by.reset();
    if (hand_over && hand_over->uncertain.count(id) == 0) {
      last = std::min(last, hand_over->runs_end_by);
    }
    const MonotonicTime latest = std::max(last, entry.longer_lease_until.value_or(last));
    // A server that replied to the earlier owner may still list ends that nobody has seen, so it is
    // polled once, also when its runs are over because loading took long.
    const MonotonicTime polled = impl_->now_ + kFirstPollTime;
    const MonotonicTime longest = taken_at + impl_->LongestLeaseBound(kMaxOrderDelay);
    entry.runs_end_by =
        entry.runs_end_by ? std::min(*entry.runs_end_by, longest) : std::max(latest, polled);
  }
  impl_->first_lists_by = impl_->now_ + kFirstListTime;
  impl_->roster_written = roster;
  impl_->roster_ever_written = true;
  impl_->UpdateInRoster();
}

// The state of the roster is the same at most calls, so it is compared before it is copied.
bool Dispatcher::Impl::IsRosterWritten() {
  auto written = roster_written.begin();
  auto pending = roster_pending.begin();
  const auto listed = [](auto& it, const Roster& roster, const BackendId& id) {
    while (it != roster.end() && it->first < id) ++it;
    return it != roster.end() && it->first == id;
  };
  std::size_t n = 0;
  std::size_t pending_seen = 0;
  for (const auto& [id, backend] : backends) {
    const bool is_pending = listed(pending, roster_pending, id);
    pending_seen += is_pending ? 1 : 0;
    const bool trusted = backend->registered && IsTrusted(*backend);
    // Of what is not steady, the time by which runs have ended is computed anew.
    if (!trusted && (is_pending || backend->HasRuns())) return false;
    if (!trusted) continue;
    if (!listed(written, roster_written, id)) return false;
    const RosterEntry& entry = written->second;
    const bool longer_lease = backend->longer_lease_until > now_;
    if (longer_lease || entry.longer_lease_until || entry.runs_end_by) return false;
    if (entry.pool != backend->report.pool || entry.vm != backend->report.vm) return false;
    if ((entry.closed_by == settings.token) != MayClose(*backend)) return false;
    ++n;
  }
  return n == roster_written.size() && pending_seen == roster_pending.size();
}

std::optional<Roster> Dispatcher::RosterToWrite() const {
  const bool certain =
      impl_->roster_ever_written && impl_->given_up.empty() && impl_->closing.empty();
  if (certain && impl_->IsRosterWritten()) return std::nullopt;
  Roster roster = impl_->roster_pending;
  for (const auto& [id, backend] : impl_->backends) {
    const bool trusted = backend->registered && impl_->IsTrusted(*backend);
    if (trusted) {
      RosterEntry& entry = roster[id];
      entry = {backend->report.pool, std::nullopt, backend->report.vm, std::nullopt};
      if (backend->longer_lease_until > impl_->now_) {
        entry.longer_lease_until = backend->longer_lease_until;
      }
      if (impl_->MayClose(*backend)) entry.closed_by = impl_->settings.token;
    } else if (backend->HasRuns()) {
      roster[id] = {backend->report.pool, impl_->RunsEndBy(*backend), backend->report.vm,
                    std::nullopt};
    }
  }
  if (certain && roster == impl_->roster_written) return std::nullopt;
  return roster;
}

void Dispatcher::RosterSent(const Roster& roster) {
  for (const auto& [id, entry] : impl_->roster_written) {
    const auto it = roster.find(id);
    if (it == roster.end() || it->second.runs_end_by) impl_->given_up.insert(id);
  }
  for (const auto& [id, entry] : roster) {
    if (entry.closed_by) impl_->closing.insert(id);
  }
  impl_->UpdateInRoster();
}

void Dispatcher::RosterWritten(const Roster& roster) {
  impl_->given_up.clear();
  impl_->closing.clear();
  impl_->roster_written = roster;
  impl_->roster_ever_written = true;
  impl_->UpdateInRoster();
  impl_->place_due = true;
}

HandOver Dispatcher::MakeHandOver() const {
  HandOver hand_over;
  hand_over.runs_end_by = impl_->now_;
  for (const auto& [id, entry] : impl_->roster_pending) hand_over.uncertain.insert(id);
  const MonotonicTime usual = impl_->now_ + impl_->LeaseBound();
  for (const auto& [id, backend] : impl_->backends) {
    const MonotonicTime end = backend->HasRuns() ? impl_->RunsEndBy(*backend) : impl_->now_;
    if (end > usual || !impl_->AllStartsConfirmed(*backend)) {
      hand_over.uncertain.insert(id);
    } else {
      hand_over.runs_end_by = std::max(hand_over.runs_end_by, end);
    }
  }
  return hand_over;
}

void Dispatcher::OnVmList(const std::vector<VmReport>& vms, MonotonicTime as_of,
                          MonotonicTime now) {
  std::map<VmId, const VmReport*> by_vm;
  for (const VmReport& it : vms) by_vm[it.vm] = &it;
  for (auto& [id, backend] : impl_->backends) {
    const auto listed = by_vm.find(backend->report.vm);
    if (listed == by_vm.end()) continue;
    if (HasLeft(*listed->second, id, backend->report.pool)) {
      Impl::RecordVmWithoutServer(*backend, as_of);
    }
  }
  std::vector<BackendId> ended;
  for (const auto& [id, entry] : impl_->roster_pending) {
    const auto listed = by_vm.find(entry.vm);
    if (listed != by_vm.end() && HasLeft(*listed->second, id, entry.pool)) ended.push_back(id);
  }
  for (const BackendId& id : ended) {
    impl_->roster_pending.erase(id);
    BackendEnded(id, now);
    impl_->Report(DecisionKind::kBackendGone, JobId(), "", id, RunNumber(),
                  "its VM has left it, by the list of VMs");
  }
  if (!ended.empty()) impl_->place_due = true;
}

void Dispatcher::SetStartHorizon(Revision horizon) {
  impl_->start_horizon = horizon;
  impl_->place_due = true;
}

std::optional<Revision> Dispatcher::RevisionAboveHorizon() const {
  if (impl_->newest_job <= impl_->start_horizon) return std::nullopt;
  return impl_->newest_job;
}

void Dispatcher::UpsertBackend(const BackendReport& report, MonotonicTime now) {
  impl_->now_ = now;
  auto& slot = impl_->backends[report.id];
  impl_->place_due = true;
  if (!slot) {
    slot = std::make_unique<BackendEntry>();
    slot->report = report;
    slot->cold_until = now + report.cold_left;
    slot->next_poll = now;
    slot->last_reply = now;
    impl_->UpdateInRoster(*slot);
    const auto listed = impl_->roster_pending.find(report.id);
    if (listed != impl_->roster_pending.end() && listed->second.longer_lease_until) {
      slot->lease_end = slot->longer_lease_until = *listed->second.longer_lease_until;
    }
    impl_->Report(DecisionKind::kBackendSeen, JobId(), "", report.id, RunNumber(),
                  "registered in pool " + report.pool.str());
    if (report.draining) impl_->BeginDraining(*slot, report);
    return;
  }
  BackendEntry& backend = *slot;
  const bool restarted = report.started_at > backend.report.started_at;
  if (restarted) impl_->HandleRestart(backend, report.started_at);
  // An entry that is read again does not prolong the time.
  if (restarted || report.cold_left != backend.report.cold_left) {
    backend.cold_until = now + report.cold_left;
  }
  const UnixMillis started_at = std::max(backend.report.started_at, report.started_at);
  if (report.draining && !backend.report.draining) impl_->BeginDraining(backend, report);
  backend.report = report;
  backend.report.started_at = started_at;
  // The entry may be older than the end of the server, which then no longer replies.
  if (std::exchange(backend.said_to_have_ended, false)) {
    backend.has_replied = false;
    backend.next_poll = now;
  }
  backend.registered = true;
}

void Dispatcher::RemoveBackend(const BackendId& id, MonotonicTime now) {
  impl_->now_ = now;
  BackendEntry* backend = impl_->FindBackend(id);
  if (backend == nullptr || !backend->registered) return;
  backend->registered = false;
  impl_->Report(DecisionKind::kBackendGone, JobId(), "", id, RunNumber(), "no longer registered");
}

void Dispatcher::AddJob(StoredJob job, const std::optional<JobProgress>& progress, bool inherited,
                        MonotonicTime now) {
  impl_->now_ = now;
  impl_->AddJob(std::move(job), progress, inherited);
}

void Dispatcher::CancelJob(const JobId& id, MonotonicTime now) {
  impl_->now_ = now;
  impl_->CancelJob(id);
}

void Dispatcher::Impl::ObserveTick() {
  first_contact.OnTick(now_);
  const Millis interval = std::min(now_ - last_tick, kMaxTickInterval);
  last_tick = now_;
  tick_interval_ms += (static_cast<double>(interval.count()) - tick_interval_ms) / kTickSmoothing;
}

void Dispatcher::Tick(MonotonicTime now, bool may_order) {
  impl_->now_ = now;
  impl_->ObserveTick();
  impl_->pool_servers_valid = false;
  impl_->OpenDueOccurrences();
  impl_->UpdateAllPaths();
  const bool check_backends = now >= impl_->next_backend_check;
  if (check_backends) {
    impl_->next_backend_check = now + Millis(impl_->backends.size() / kServersCheckedPerMs);
    impl_->ExpireLeases();
  }
  if (!may_order || impl_->fenced) return;
  if (check_backends) impl_->MoveTasks();
  const std::vector<BackendId> retry_backends(impl_->retry_backends.begin(),
                                              impl_->retry_backends.end());
  for (const BackendId& id : retry_backends) {
    BackendEntry* backend = impl_->FindBackend(id);
    if (backend == nullptr || !impl_->SendRetries(*backend)) impl_->retry_backends.erase(id);
  }
  if (impl_->place_due || now >= impl_->next_place) {
    impl_->place_due = false;
    impl_->next_place = now + kPlaceInterval;
    if (impl_->MayPlace()) {
      impl_->Place();
      impl_->MakeCopies();
    }
  }
  impl_->SendPolls();
}

std::vector<ProgressWrite> Dispatcher::TakeWrites(std::size_t max_writes, std::size_t max_bytes) {
  std::vector<ProgressWrite> writes;
  std::size_t bytes = 0;
  while (writes.size() < max_writes && !impl_->dirty.empty()) {
    const auto [at, id] = *impl_->dirty.begin();
    const auto it = impl_->jobs.find(id);
    if (it == impl_->jobs.end()) {
      impl_->dirty.erase(impl_->dirty.begin());
      continue;
    }
    JobEntry& job = *it->second;
    ProgressWrite write{id, job.progress.Encode(impl_->settings.max_row_bytes)};
    if (write.value.size() > impl_->settings.max_row_bytes) {
      write.oversize = write.value.size();
      impl_->EndJob(job, JobOutcome::kFailed,
                    "its progress takes " + std::to_string(write.oversize) + " bytes, " +
                        std::to_string(impl_->settings.max_row_bytes) + " can be stored");
      write.value = job.progress.Encode(impl_->settings.max_row_bytes);
    }
    const bool fits = bytes + write.value.size() <= max_bytes;
    if (!writes.empty() && !fits && write.oversize == 0) break;
    bytes += write.value.size();
    impl_->dirty.erase(impl_->dirty.begin());
    job.dirty_since = 0;
    impl_->writing[at] = id;
    writes.push_back(std::move(write));
  }
  return writes;
}

void Dispatcher::WritesDone(bool written) {
  auto rows = std::move(impl_->writing);
  impl_->writing.clear();
  for (const auto& [at, id] : rows) {
    const auto it = impl_->jobs.find(id);
    if (it == impl_->jobs.end()) continue;
    JobEntry& job = *it->second;
    if (written) {
      if (!job.IsOpen() && job.dirty_since == 0 && !job.end_written) {
        job.end_written = true;
        impl_->removable.emplace_back(impl_->now_, id);
      }
      continue;
    }
    if (job.dirty_since != 0) impl_->dirty.erase(job.dirty_since);
    job.dirty_since = at;
    impl_->dirty[at] = id;
  }
  const std::uint64_t up_to = impl_->WrittenUpTo();
  for (auto& [id, backend] : impl_->backends) Impl::AcknowledgeEnds(*backend, up_to);
}

bool Dispatcher::HasWrites() const { return !impl_->dirty.empty(); }

std::map<QueueId, int> Dispatcher::Waiting() const {
  std::map<QueueId, int> waiting;
  for (const JobEntry* job : impl_->open_jobs) {
    if (job->any_started || job->stored.spec.repetitions > 0) continue;
    ++waiting[job->stored.queue];
  }
  return waiting;
}

void Dispatcher::SetEvacuating(const BackendId& id, bool evacuating) {
  BackendEntry* backend = impl_->FindBackend(id);
  if (backend == nullptr || backend->evacuating == evacuating) return;
  backend->evacuating = evacuating;
  impl_->place_due = true;
}

void Dispatcher::SetAvoided(const BackendId& id, bool avoided) {
  if (BackendEntry* backend = impl_->FindBackend(id)) backend->avoided = avoided;
}

bool Dispatcher::IsIdle(const BackendId& id) const {
  const BackendEntry* backend = impl_->FindBackend(id);
  if (backend == nullptr) return impl_->roster_pending.count(id) == 0;
  return backend->has_replied && backend->IsSettled();
}

void Dispatcher::BackendEnded(const BackendId& id, MonotonicTime now) {
  impl_->now_ = now;
  BackendEntry* backend = impl_->FindBackend(id);
  if (backend == nullptr) return;
  if (backend->HasRuns()) {
    // A VM that is ordered away is idle, so this server is another one, or still there.
    impl_->Report(DecisionKind::kBackendGone, JobId(), "", id, RunNumber(),
                  "said to have ended, but tasks run there; kept until its lease ends");
    return;
  }
  backend->registered = false;
  backend->said_to_have_ended = true;
  backend->unacknowledged.clear();
  backend->ends_acknowledged = backend->ends_ack_sent;
}

std::vector<Dispatcher::BackendView> Dispatcher::Backends() const {
  std::vector<BackendView> views;
  for (const auto& [id, entry] : impl_->roster_pending) {
    if (impl_->FindBackend(id) != nullptr) continue;
    BackendView& view = views.emplace_back();
    view.id = id;
    view.vm = entry.vm;
    view.pool = entry.pool;
  }
  const auto add = [&](const BackendEntry& backend, bool usable, bool awaits_contact) {
    views.push_back({backend.report.id, backend.report.vm, backend.report.pool,
                     static_cast<int>(backend.tasks.size()), backend.long_running_tasks,
                     backend.IsSettled() && backend.promised.empty(), backend.used,
                     backend.report.capacity, usable, backend.evacuating, backend.avoided,
                     backend.report.data_centre, impl_->InEvacuation(backend), awaits_contact});
  };
  for (const auto& [id, backend] : impl_->backends) {
    const bool may_run = !backend->IsSettled() || impl_->roster_pending.count(id) > 0;
    if (!backend->registered && may_run) add(*backend, false, false);
  }
  for (const auto& [id, backend] : impl_->backends) {
    if (!backend->registered) continue;
    const bool sound = !backend->failing && !backend->report.draining;
    add(*backend, sound && backend->has_replied, sound && !backend->has_replied);
  }
  return views;
}

void Dispatcher::AddEnded(const JobId& id, const JobProgress& progress, MonotonicTime now) {
  impl_->now_ = now;
  auto& slot = impl_->jobs[id];
  if (slot) return;
  slot = std::make_unique<JobEntry>();
  slot->stored.id = id;
  slot->progress = progress;
  slot->inherited = true;
  slot->end_written = true;
  slot->ended_at = now;
}

std::vector<JobId> Dispatcher::TakeRemovable(Millis age, MonotonicTime now) {
  std::vector<JobId> ids;
  auto& removable = impl_->removable;
  while (!removable.empty() && removable.front().first + age <= now) {
    const JobId id = removable.front().second;
    removable.pop_front();
    const auto job = impl_->jobs.find(id);
    // The row tells a successor whose team a run that is being stopped counts for.
    if (job != impl_->jobs.end() && job->second->had_copies && job->second->HasRuns()) {
      removable.emplace_back(now, id);
      continue;
    }
    ids.push_back(id);
  }
  return ids;
}

std::vector<JobId> Dispatcher::Expired(Millis age, MonotonicTime now) const {
  std::vector<JobId> expired;
  for (const auto& [id, job] : impl_->jobs) {
    if (job->end_written && job->ended_at && *job->ended_at + age <= now) expired.push_back(id);
  }
  return expired;
}

void Dispatcher::Forget(const JobId& id) {
  const auto it = impl_->jobs.find(id);
  if (it == impl_->jobs.end() || it->second->IsOpen() || it->second->HasRuns()) return;
  impl_->jobs.erase(it);
}

std::map<PoolId, Dispatcher::PoolLoad> Dispatcher::Loads() const {
  std::map<PoolId, PoolLoad> loads;
  std::map<PoolId, Resources> largest;
  for (const auto& [id, backend] : impl_->backends) {
    Resources& it = largest[backend->report.pool];
    it = LargerOf(it, backend->report.capacity);
  }
  for (const auto& [pool, steps] : impl_->steps_without_room) {
    loads[pool].steps_without_room = steps;
  }
  const UnixMillis wall = impl_->hooks.wall_clock();
  for (const auto& [pool, work] : impl_->arrived_work) loads[pool].arrived_work = work;
  for (const JobEntry* job : impl_->open_jobs) {
    const QueuePolicy* queue = job->queue;
    if (queue == nullptr) continue;
    PoolLoad& load = loads[queue->pool];
    for (const auto& [number, occurrence] : job->open) {
      const bool overdue = job->over_share || Impl::IsLate(*queue, occurrence, wall);
      for (std::size_t n = 0; n < occurrence.steps.size(); ++n) {
        const StepSpec& spec = job->stored.spec.steps[n];
        const std::int64_t cpu = spec.Charge().cpu_millis;
        if (spec.long_running) {
          load.long_running_cpu += cpu * spec.count;
          load.long_running_servers +=
              static_cast<double>(spec.count) / TasksPerServer(spec.Charge(), largest[queue->pool]);
          const int per_server = std::max(1, spec.per_server_limit);
          if (spec.per_server_limit > 0) {
            load.min_servers =
                std::max(load.min_servers, (spec.count + per_server - 1) / per_server);
          }
          continue;
        }
        const std::int64_t work = impl_->ExpectedWork(spec);
        for (const TaskState& it : occurrence.steps[n].tasks) {
          if (it.backend != nullptr) {
            load.running_cpu += cpu;
            if (overdue) load.overdue_running_cpu += cpu;
          }
          if (it.phase == TaskPhase::kWaiting) {
            load.waiting_work += work;
            if (overdue) load.overdue_work += work;
          }
        }
      }
    }
  }
  return loads;
}

const Dispatcher::PlacementWork& Dispatcher::placement_work() const noexcept {
  return impl_->placement_work;
}

bool Dispatcher::fenced() const noexcept { return impl_->fenced; }

}  // namespace sapphirewheel
