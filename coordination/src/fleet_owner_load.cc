#include <algorithm>
#include <boost/json.hpp>

#include "fleet_owner_state.h"
#include "sapphirewheel/coordination/stored_job.h"
#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

constexpr Millis kFollowWait{1900};
// Index of a roster entry's field with the end of a longer lease.
constexpr std::size_t kLongerLeaseField = 3;
// Index of the field with the token of the owner that sends no further starts.
constexpr std::size_t kClosedByField = 4;

}  // namespace

// Loads the stored state. First reads the owner's rows, whose revision is the start of the feeds,
// then the rest in parallel, because each reply of a slow store takes long.
void FleetOwner::Impl::Load() {
  loading = true;
  ports.store.Read(RowRange{rows::kOwned, rows::kOwnerPart, "", "", 0},
                   WhileInProgress(kStoreTimeout),
                   OnRows([this, sent = ports.now()](const RowsReply& reply) {
                     if (reply.outcome != StoreOutcome::kDone) {
                       loading = false;
                       retry_load = ports.now() + kStoreRetryDelay;
                       return;
                     }
                     jobs_feed.after = reply.newest;
                     registry_feed.after = reply.newest;
                     newest_seen = reply.newest;
                     store_now = reply.now;
                     store_asked_at = sent;
                     store_read_at = ports.now();
                     for (const StoredRow& row : reply.rows) ApplyOwnedRow(row);
                     LoadTables();
                   }));
}

void FleetOwner::Impl::LoadTables() {
  const auto completion = std::make_shared<CompletionGuard>(Guard([this] { StartRunning(); }));
  ReadPart(rows::kProgress, rows::kOwnerPart, "", completion, [this](const StoredRow& row) {
    auto progress = JobProgress::Decode(row.value);
    if (progress) {
      loaded_progress[JobId(row.at.key)] = std::move(progress.value());
    } else {
      ReportEvent(NodeEvent::kJobUnreadable, row.at.key + ": " + progress.error().message);
    }
  });
  ReadPart(ports.codec.RegistryTable(), "", "", completion,
           [this](const StoredRow& row) { loaded_backends.push_back(row); });
  ReadJobs("", completion, [this](const StoredRow& row) { loaded_jobs.push_back(row); });
}

// Times in the row are by the store's clock, which all owners share. They may be too late, by the
// duration of a call, but not too early.
std::string FleetOwner::Impl::EncodeRoster(const Roster& entries) const {
  boost::json::object row;
  for (const auto& [id, entry] : entries) {
    boost::json::array value{entry.pool.str(), nullptr, entry.vm.str()};
    const auto put = [&](std::size_t at, const std::optional<MonotonicTime>& time) {
      if (!time || store_now.count() == 0) return;
      if (value.size() <= at) value.resize(at + 1);
      value[at] = store_now.count() + (*time - store_asked_at).count();
    };
    put(1, entry.runs_end_by);
    put(kLongerLeaseField, entry.longer_lease_until);
    if (entry.closed_by) {
      value.resize(kClosedByField + 1);
      value[kClosedByField] = static_cast<std::int64_t>(entry.closed_by->count());
    }
    row[id.str()] = std::move(value);
  }
  return boost::json::serialize(row);
}

Roster FleetOwner::Impl::DecodeRoster(const std::string& text) const {
  Roster entries;
  const auto object = ParseObject(text);
  if (!object) return entries;
  for (const auto& [id, value] : object.value()) {
    if (!value.is_array() || value.get_array().empty()) continue;
    const boost::json::array& fields = value.get_array();
    if (!fields[0].is_string()) continue;
    RosterEntry entry;
    entry.pool = PoolId(std::string(fields[0].get_string()));
    const auto time_at = [&](std::size_t at) -> std::optional<MonotonicTime> {
      if (fields.size() <= at || !fields[at].is_int64()) return std::nullopt;
      return store_read_at + Millis(fields[at].get_int64() - store_now.count());
    };
    entry.runs_end_by = time_at(1);
    entry.longer_lease_until = time_at(kLongerLeaseField);
    if (fields.size() > 2 && fields[2].is_string()) {
      entry.vm = VmId(std::string(fields[2].get_string()));
    }
    if (fields.size() > kClosedByField && fields[kClosedByField].is_int64()) {
      entry.closed_by = Epoch(static_cast<std::uint64_t>(fields[kClosedByField].get_int64()));
    }
    entries[BackendId(std::string(id))] = entry;
  }
  return entries;
}

std::string FleetOwner::Impl::EncodeHandOver(const HandOver& hand_over) const {
  boost::json::object row;
  row["token"] = static_cast<std::int64_t>(lease.token().count());
  row["runs_end_by"] = store_now.count() + (hand_over.runs_end_by - store_asked_at).count();
  boost::json::array& uncertain = row["uncertain"].emplace_array();
  for (const BackendId& id : hand_over.uncertain) uncertain.emplace_back(id.str());
  return boost::json::serialize(row);
}

std::optional<HandOver> FleetOwner::Impl::DecodeHandOver(const std::string& text) const {
  const auto row = ParseObject(text);
  if (!row) return std::nullopt;
  constexpr std::int64_t kMax = std::int64_t{1} << 53;
  const auto token = RequireInt(row.value(), "token", 1, kMax);
  const auto runs_end_by = RequireInt(row.value(), "runs_end_by", 1, kMax);
  const auto* uncertain = row.value().if_contains("uncertain");
  if (!token || !runs_end_by || uncertain == nullptr || !uncertain->is_array()) return std::nullopt;
  // A later owner may have extended leases, and one of an older version tells nothing.
  if (token.value() + 1 != static_cast<std::int64_t>(lease.token().count())) return std::nullopt;
  HandOver hand_over;
  hand_over.runs_end_by = store_read_at + Millis(runs_end_by.value() - store_now.count());
  for (const auto& id : uncertain->get_array()) {
    if (!id.is_string()) return std::nullopt;
    hand_over.uncertain.insert(BackendId(std::string(id.get_string())));
  }
  return hand_over;
}

std::string FleetOwner::Impl::DescribeHandOver(MonotonicTime now) const {
  if (!inherited_hand_over) return "hand-over=none";
  return "hand-over=" + std::to_string((inherited_hand_over->runs_end_by - now).count()) +
         "ms uncertain=" + std::to_string(inherited_hand_over->uncertain.size());
}

void FleetOwner::Impl::ApplyOwnedRow(const StoredRow& row) {
  const std::string& key = row.at.key;
  const std::string wave_prefix = rows::kWavePrefix;
  if (const auto number = RosterRows::Row(key)) {
    roster_rows.SetStored(*number, DecodeRoster(row.value));
  } else if (key == rows::kStartHorizon) {
    const auto horizon = StartHorizon::Decode(row.value);
    if (!horizon) {
      ReportEvent(NodeEvent::kJobUnreadable, "start horizon: " + row.value);
      return;
    }
    // An owner that has not stored a horizon may have started any job.
    horizon_token = horizon->token;
    const bool of_last_owner = horizon->token.count() + 1 == lease.token().count();
    if (of_last_owner) inherited_horizon = horizon->revision;
  } else if (key == rows::kRoutes) {
    inherited_routes = RouteRecord::Decode(row.value);
    if (!inherited_routes) ReportEvent(NodeEvent::kJobUnreadable, "routes: " + row.value);
  } else if (key == rows::kHandOver) {
    inherited_hand_over = DecodeHandOver(row.value);
  } else if (key.rfind(wave_prefix, 0) == 0) {
    const auto number = std::atoll(key.c_str() + wave_prefix.size());
    wave_progress[number] = MaintenanceProgress::Decode(row.value);
  }
}

// Reads all rows of a part page by page and repeats each read until it succeeds.
void FleetOwner::Impl::ReadPart(const std::string& table, const std::string& part,
                                const std::string& from, const CompletionGuardRef& completion,
                                const RowHandler& handle_row) {
  waiting_reads.emplace_back([this, table, part, from, completion, handle_row] {
    ReadPage(table, part, from, completion, handle_row);
  });
  RunWaitingReads();
}

void FleetOwner::Impl::RunWaitingReads() {
  while (!waiting_reads.empty() && open_reads < read_pacer.reads()) {
    const auto read = std::move(waiting_reads.front());
    waiting_reads.pop_front();
    ++open_reads;
    read();
  }
}

void FleetOwner::Impl::ReadPage(const std::string& table, const std::string& part,
                                const std::string& from, const CompletionGuardRef& completion,
                                const RowHandler& handle_row) {
  const MonotonicTime sent = ports.now();
  ports.store.Read(
      RowRange{table, part, from, "", read_pacer.rows()}, WhileInProgress(kStoreTimeout),
      OnRows([this, table, part, from, completion, handle_row, sent](const RowsReply& reply) {
        --open_reads;
        const Millis took = ports.now() - sent;
        if (reply.outcome != StoreOutcome::kDone) {
          if (took >= kStoreTimeout) read_pacer.OnTimeout();
          ScheduleAfter(kStoreRetryDelay, [this, table, part, from, completion, handle_row] {
            ReadPart(table, part, from, completion, handle_row);
          });
          return;
        }
        read_pacer.OnPage(took);
        page_read_at = ports.now();
        for (const StoredRow& row : reply.rows) handle_row(row);
        if (reply.more && !reply.rows.empty()) {
          // Continues from the smallest key above the last one.
          ReadPart(table, part, reply.rows.back().at.key + '\0', completion, handle_row);
        }
        RunWaitingReads();
      }));
}

void FleetOwner::Impl::ReadJobs(const std::string& after, const CompletionGuardRef& completion,
                                const RowHandler& handle_row) {
  constexpr std::size_t kPartsPerPage = 1000;
  ports.store.ListParts(
      rows::kJobs, after, WhileInProgress(kStoreTimeout),
      Guard<const PartsReply&>([this, after, completion, handle_row](const PartsReply& reply) {
        if (reply.outcome != StoreOutcome::kDone) {
          ScheduleAfter(kStoreRetryDelay, [this, after, completion, handle_row] {
            ReadJobs(after, completion, handle_row);
          });
          return;
        }
        for (const std::string& part : reply.parts) {
          ReadPart(rows::kJobs, part, "", completion, handle_row);
        }
        if (reply.parts.size() >= kPartsPerPage) {
          ReadJobs(reply.parts.back(), completion, handle_row);
        }
      }));
}

void FleetOwner::Impl::ScheduleAfter(Millis delay, std::function<void()> task) {
  scheduled.emplace_back(ports.now() + delay, std::move(task));
}

void FleetOwner::Impl::RunScheduled(MonotonicTime now) {
  std::vector<std::function<void()>> due;
  std::erase_if(scheduled, [&](auto& it) {
    if (it.first > now) return false;
    due.push_back(std::move(it.second));
    return true;
  });
  for (const auto& task : due) task();
}

void FleetOwner::Impl::StartRunning() {
  loading = false;
  if (running) return;
  const MonotonicTime now = ports.now();
  Dispatcher::Settings dispatcher_settings = settings.dispatcher;
  dispatcher_settings.token = lease.token();
  dispatcher = std::make_unique<Dispatcher>(dispatcher_settings, DispatcherHooks(), now);
  const Roster roster = roster_rows.Stored();
  dispatcher->SetRoster(roster, taken_at, inherited_hand_over);
  const bool complete = inherited_routes && inherited_routes->IsComplete(horizon_token);
  if (complete) dispatcher->SetRoutes(inherited_routes->routes);
  if (config) dispatcher->SetConfig(config);
  dispatcher->SetEvacuations(evacuations);
  for (const StoredRow& row : loaded_backends) ApplyBackendRow(row);
  std::vector<StoredJob> jobs;
  for (const StoredRow& row : loaded_jobs) {
    if (RecordCancelMark(row)) continue;
    if (auto job = DecodeJobRow(row)) jobs.push_back(std::move(*job));
  }
  // The shares of teams are taken in the order of acceptance.
  std::sort(jobs.begin(), jobs.end(), [](const StoredJob& a, const StoredJob& b) {
    return std::tie(a.accepted_at, a.id) < std::tie(b.accepted_at, b.id);
  });
  for (StoredJob& job : jobs) {
    const bool inherited = IsInherited(job);
    AddJob(std::move(job), inherited);
  }
  // The rows of ended jobs are removed before their progress.
  for (const auto& [id, progress] : loaded_progress) {
    if (progress.outcome != JobOutcome::kOpen) dispatcher->AddEnded(id, progress, now);
  }
  lease.MarkLoaded();
  ReportEvent(NodeEvent::kLoaded, "jobs=" + std::to_string(loaded_jobs.size()) +
                                      " backends=" + std::to_string(loaded_backends.size()) +
                                      " roster=" + std::to_string(roster.size()) + " " +
                                      DescribeHandOver(now) + " took " +
                                      std::to_string((now - taken_at).count()) + " ms");
  loaded_jobs.clear();
  loaded_backends.clear();
  maintenance = std::make_unique<MaintenanceRunner>(MaintenanceHooks(), settings.maintenance_time);
  autoscaler = std::make_unique<PoolAutoscaler>(settings.autoscaler, AutoscalerHooks());
  if (config) autoscaler->SetConfig(config);
  autoscaler->SetEvacuated(evacuations.data_centres());
  running = true;
  next_contact_report = now + kContactReportInterval;
  for (const auto& [number, wave] : waves) maintenance->AddWave(wave, wave_progress[number], now);
  // Before the first work is placed.
  maintenance->Tick(dispatcher->Backends(), now);
}

std::optional<StoredJob> FleetOwner::Impl::DecodeJobRow(const StoredRow& row) const {
  const JobId id(row.at.key);
  if (row.removed) return std::nullopt;
  auto job = DecodeStoredJob(id, row.value);
  if (job) {
    job.value().revision = row.revision;
    return std::move(job.value());
  }
  ReportEvent(NodeEvent::kJobUnreadable, id.str() + ": " + job.error().message);
  return std::nullopt;
}

bool FleetOwner::Impl::IsInherited(const StoredJob& job) const {
  return !inherited_horizon || job.revision <= *inherited_horizon ||
         loaded_progress.count(job.id) > 0;
}

void FleetOwner::Impl::AddJob(StoredJob job, bool inherited) {
  std::optional<JobProgress> progress;
  const auto it = loaded_progress.find(job.id);
  if (it != loaded_progress.end()) progress = it->second;
  dispatcher->AddJob(std::move(job), progress, inherited, ports.now());
}

bool FleetOwner::Impl::RecordCancelMark(const StoredRow& row) {
  const JobId id(row.at.key);
  if (row.removed || !IsCancelMark(row.value)) {
    cancel_marks.Remove(id);
    return false;
  }
  cancel_marks.Add(id, row.revision, ports.now());
  return true;
}

void FleetOwner::Impl::ApplyJobRow(const StoredRow& row) {
  if (RecordCancelMark(row)) return;
  if (auto job = DecodeJobRow(row)) AddJob(std::move(*job), false);
}

void FleetOwner::Impl::ApplyBackendRow(const StoredRow& row) {
  const BackendId id(row.at.key);
  const auto report = ports.codec.Backend(row);
  if (report) {
    dispatcher->UpsertBackend(*report, ports.now());
  } else {
    dispatcher->RemoveBackend(id, ports.now());
  }
}

void FleetOwner::Impl::PollFeed(Feed& feed, const std::function<void(const StoredRow&)>& handle_row,
                                const std::function<void()>& resync) {
  if (feed.in_flight || ports.now() < feed.next) return;
  feed.in_flight = true;
  // Polls during an outage do not wait, so that one of them is answered soon after the end of it.
  const Millis wait = feed.reachable ? kFollowWait : Millis(0);
  feed.waiting = wait > Millis(0);
  ports.store.Follow(
      feed.table, feed.after, wait, WhileInProgress(wait + kStoreTimeout),
      OnRows([this, &feed, handle_row, resync, number = ++feed.last_poll](const RowsReply& reply) {
        if (number != feed.last_poll) return;
        feed.in_flight = false;
        feed.waiting = false;
        feed.next = ports.now() + feed.pause;
        feed.reachable = reply.outcome == StoreOutcome::kDone;
        if (reply.outcome == StoreOutcome::kHistoryGone) {
          resync();
          return;
        }
        if (reply.outcome != StoreOutcome::kDone) {
          feed.next = ports.now() + kStoreRetryDelay;
          return;
        }
        for (const StoredRow& row : reply.rows) handle_row(row);
        feed.after = std::max(feed.after, reply.newest);
        newest_seen = std::max(newest_seen, reply.newest);
      }));
}

void FleetOwner::Impl::DoubtFeeds() {
  for (Feed* feed : {&jobs_feed, &registry_feed}) {
    if (!feed->waiting) continue;
    ++feed->last_poll;
    feed->waiting = false;
    feed->in_flight = false;
    feed->reachable = false;
    feed->next = ports.now();
  }
}

// Reads a table again after its feed has lost its history. The feed continues from a revision
// before the read.
void FleetOwner::Impl::Resync(Feed& feed,
                              const std::function<void(const CompletionGuardRef&)>& read,
                              const std::function<void()>& done) {
  feed.in_flight = true;
  ports.store.Read(
      RowRange{rows::kOwned, rows::kOwnerPart, rows::kRoster, "", 0},
      WhileInProgress(kStoreTimeout), OnRows([this, &feed, read, done](const RowsReply& reply) {
        if (reply.outcome != StoreOutcome::kDone) {
          ScheduleAfter(kStoreRetryDelay, [this, &feed, read, done] { Resync(feed, read, done); });
          return;
        }
        const Revision start = reply.newest;
        read(std::make_shared<CompletionGuard>(Guard([&feed, done, start] {
          if (done) done();
          feed.after = std::max(feed.after, start);
          feed.in_flight = false;
        })));
      }));
}

void FleetOwner::Impl::ResyncJobs() {
  Resync(
      jobs_feed,
      [this](const CompletionGuardRef& completion) {
        ReadJobs("", completion, [this](const StoredRow& row) { ApplyJobRow(row); });
      },
      nullptr);
}

void FleetOwner::Impl::ResyncRegistry() {
  const auto seen = std::make_shared<std::set<BackendId>>();
  Resync(
      registry_feed,
      [this, seen](const CompletionGuardRef& completion) {
        seen->clear();
        ReadPart(ports.codec.RegistryTable(), "", "", completion,
                 [this, seen](const StoredRow& row) {
                   seen->insert(BackendId(row.at.key));
                   ApplyBackendRow(row);
                 });
      },
      [this, seen] {
        for (const auto& it : dispatcher->Backends()) {
          if (seen->count(it.id) == 0) dispatcher->RemoveBackend(it.id, ports.now());
        }
      });
}

}  // namespace sapphirewheel
