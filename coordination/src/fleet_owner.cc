#include "sapphirewheel/coordination/fleet_owner.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "sapphirewheel/coordination/stored_job.h"
#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

constexpr Millis kStoreTimeout{1300};
constexpr Millis kRetry{100};
// A write counts as lost after this many times the usual time, so that a renewal is repeated within
// the lease.
constexpr int kPatience = 4;
constexpr Millis kLeastCommitTimeout{400};
// Least time between two writes of progress, so that one write carries several ends.
constexpr Millis kCommitInterval{60};
// Entries of one transaction, below the table service's bound of 100.
constexpr std::size_t kMaxWrites = 80;
constexpr Millis kFollowWait{1900};
// Pauses between two reads of a change feed, so that one read carries several changes.
constexpr Millis kJobsPause{25};
constexpr Millis kRegistryPause{50};
constexpr Millis kVmListInterval{700};
constexpr Millis kCleanInterval{500};
constexpr Millis kLendInterval{100};

// Follows one table of the change feed; asks again at once, after a pause, or after a failure.
struct Feed {
  std::string table;
  Revision after;
  Millis pause{0};
  MonotonicTime next;
  bool in_flight = false;
};

// Runs a task when the last of several reads has let go of it.
class Gather {
 public:
  explicit Gather(std::function<void()> done) : done_(std::move(done)) {}
  ~Gather() { done_(); }
  Gather(const Gather&) = delete;
  Gather& operator=(const Gather&) = delete;

 private:
  std::function<void()> done_;
};
using GatherRef = std::shared_ptr<Gather>;
using TakeRow = std::function<void(const StoredRow&)>;

}  // namespace

namespace rows {

std::string JobPart(const JobId& id) { return "j" + id.str().substr(0, 1); }

RowAddress Job(const JobId& id) { return {kJobs, JobPart(id), id.str()}; }
RowAddress Progress(const JobId& id) { return {kProgress, kOwnerPart, id.str()}; }
RowAddress Owner() { return {kFleet, kOwnerPart, kOwner}; }
RowAddress Owned(const std::string& key) { return {kOwned, kOwnerPart, key}; }

}  // namespace rows

std::string WaitingCounts::Encode() const {
  boost::json::object row;
  row["at"] = at.count();
  boost::json::object counts;
  for (const auto& [queue, n] : queues) counts[queue.str()] = n;
  row["queues"] = std::move(counts);
  return boost::json::serialize(row);
}

std::optional<WaitingCounts> WaitingCounts::Decode(std::string_view text) {
  const auto row = ParseObject(text);
  if (!row) return std::nullopt;
  WaitingCounts counts;
  counts.at = StoreClock(IntField(row.value(), "at"));
  const auto* queues = row.value().if_contains("queues");
  if (queues == nullptr || !queues->is_object()) return std::nullopt;
  for (const auto& [name, n] : queues->get_object()) {
    if (n.is_int64()) counts.queues[QueueId(std::string(name))] = static_cast<int>(n.get_int64());
  }
  return counts;
}

struct FleetOwner::Impl : std::enable_shared_from_this<FleetOwner::Impl> {
  Impl(Settings given, FleetPorts given_ports, FleetLease& given_lease)
      : settings(given), ports(std::move(given_ports)), lease(given_lease), taken_at(ports.now()) {}

  void Load();
  void LoadTables();
  void ReadPart(const std::string& table, const std::string& part, const std::string& from,
                const GatherRef& gather, const TakeRow& take);
  void ReadJobs(const std::string& after, const GatherRef& gather, const TakeRow& take);
  void Later(Millis delay, std::function<void()> task);
  void RunLater(MonotonicTime now);
  void Resync(Feed& feed, const std::function<void(const GatherRef&)>& read,
              const std::function<void()>& done);
  void TakeOwned(const StoredRow& row);
  [[nodiscard]] std::string EncodeRoster(const Roster& entries) const;
  [[nodiscard]] Roster DecodeRoster(const std::string& text) const;
  void StartRunning();
  void TakeJob(const StoredRow& row, bool inherited);
  void TakeBackend(const StoredRow& row);
  void Poll(Feed& feed, const std::function<void(const StoredRow&)>& take,
            const std::function<void()>& resync);
  void ResyncJobs();
  void ResyncRegistry();
  void Commit();
  void Committed(const RowsAnswer& answer, bool renewed, bool released, MonotonicTime sent);
  void WriteWaveStatus();
  void ListVms();
  void QueueFences(const std::vector<VmReport>& vms);
  void SendFence();
  void Clean();
  void Tick(MonotonicTime now);
  void Note(NodeEvent event, const std::string& detail) const {
    if (ports.note) ports.note(event, detail);
  }
  Dispatcher::Hooks DispatcherHooks();
  MaintenanceRunner::Hooks MaintenanceHooks();
  PoolLender::Hooks LenderHooks();

  // Wraps a callback so that it is dropped when the owner is gone.
  template <typename... Args, typename F>
  [[nodiscard]] std::function<void(Args...)> Guard(F task) {
    return [weak = this->weak_from_this(), task = std::move(task)](Args... args) {
      if (const auto self = weak.lock()) task(args...);
    };
  }
  std::function<void(const RowsAnswer&)> OnRows(std::function<void(const RowsAnswer&)> task) {
    return Guard<const RowsAnswer&>(std::move(task));
  }

  const Settings settings;
  const FleetPorts ports;
  FleetLease& lease;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<MaintenanceRunner> maintenance;
  std::unique_ptr<PoolLender> lender;
  MonotonicTime next_lend;
  bool vms_fenced = false;
  // VMs that the platform has to be shown this owner's token for.
  std::vector<std::pair<VmId, PoolId>> fences;
  std::shared_ptr<const DispatchConfig> config;
  std::map<std::int64_t, WaveOrder> waves;
  std::map<std::int64_t, std::set<VmId>> finished_vms;
  std::set<std::int64_t> known_waves;

  const MonotonicTime taken_at;
  bool loading = false;
  bool running = false;
  bool releasing = false;
  MonotonicTime retry_load;
  std::vector<StoredRow> loaded_jobs;
  std::map<JobId, JobProgress> loaded_progress;
  std::vector<StoredRow> loaded_backends;
  Roster roster;
  Feed jobs_feed{rows::kJobs, Revision(), kJobsPause, {}, false};
  Feed registry_feed;
  std::vector<std::pair<MonotonicTime, std::function<void()>>> later;

  bool committing = false;
  // The last write may still be carried out.
  bool uncertain = false;
  // Time that a write took lately.
  Millis commit_time{20};
  MonotonicTime next_commit;
  std::map<QueueId, int> waiting_written;
  std::map<std::int64_t, std::string> wave_rows;
  std::map<std::int64_t, bool> status_writes;
  bool status_in_flight = false;
  StoreClock store_now;
  MonotonicTime store_read;
  MonotonicTime next_list;
  bool listing = false;
  MonotonicTime next_clean;
  std::vector<JobId> cleaned;
};

// Reads what is stored: first the rows whose revision is the start of the feeds, then the rest in
// parallel, as each answer of a slow store takes its time.
void FleetOwner::Impl::Load() {
  loading = true;
  ports.store.Read(rows::kOwned, rows::kOwnerPart, "", "", kStoreTimeout,
                   OnRows([this](const RowsAnswer& answer) {
                     if (answer.outcome != StoreOutcome::kDone) {
                       loading = false;
                       retry_load = ports.now() + kRetry;
                       return;
                     }
                     jobs_feed.after = answer.newest;
                     registry_feed.after = answer.newest;
                     store_now = answer.now;
                     store_read = ports.now();
                     for (const StoredRow& row : answer.rows) TakeOwned(row);
                     LoadTables();
                   }));
}

void FleetOwner::Impl::LoadTables() {
  const auto gather = std::make_shared<Gather>(Guard([this] { StartRunning(); }));
  ReadPart(rows::kProgress, rows::kOwnerPart, "", gather, [this](const StoredRow& row) {
    auto progress = JobProgress::Decode(row.value);
    if (progress) {
      loaded_progress[JobId(row.at.key)] = std::move(progress.value());
    } else {
      Note(NodeEvent::kJobUnreadable, row.at.key + ": " + progress.error().message);
    }
  });
  ReadPart(ports.reader.RegistryTable(), "", "", gather,
           [this](const StoredRow& row) { loaded_backends.push_back(row); });
  ReadJobs("", gather, [this](const StoredRow& row) { loaded_jobs.push_back(row); });
}

// Times in the row are on the store's clock, which all owners share.
std::string FleetOwner::Impl::EncodeRoster(const Roster& entries) const {
  boost::json::object row;
  for (const auto& [id, entry] : entries) {
    boost::json::array value{entry.pool.str()};
    if (entry.over_by && store_now.count() > 0) {
      value.emplace_back(store_now.count() + (*entry.over_by - store_read).count());
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
    RosterEntry entry{PoolId(std::string(fields[0].get_string())), std::nullopt};
    if (fields.size() > 1 && fields[1].is_int64()) {
      entry.over_by = store_read + Millis(fields[1].get_int64() - store_now.count());
    }
    entries[BackendId(std::string(id))] = entry;
  }
  return entries;
}

void FleetOwner::Impl::TakeOwned(const StoredRow& row) {
  const std::string& key = row.at.key;
  const std::string wave_prefix = rows::kWavePrefix;
  if (key == rows::kRoster) {
    roster = DecodeRoster(row.value);
  } else if (key.rfind(wave_prefix, 0) == 0) {
    const auto number = std::atoll(key.c_str() + wave_prefix.size());
    finished_vms[number] = MaintenanceRunner::DecodeFinished(row.value);
  }
}

// Reads all rows of a part, page by page, each again until it is answered.
void FleetOwner::Impl::ReadPart(const std::string& table, const std::string& part,
                                const std::string& from, const GatherRef& gather,
                                const TakeRow& take) {
  ports.store.Read(table, part, from, "", kStoreTimeout,
                   OnRows([this, table, part, from, gather, take](const RowsAnswer& answer) {
                     if (answer.outcome != StoreOutcome::kDone) {
                       Later(kRetry, [this, table, part, from, gather, take] {
                         ReadPart(table, part, from, gather, take);
                       });
                       return;
                     }
                     for (const StoredRow& row : answer.rows) take(row);
                     if (answer.more && !answer.rows.empty()) {
                       // The smallest key above the last one.
                       ReadPart(table, part, answer.rows.back().at.key + '\0', gather, take);
                     }
                   }));
}

void FleetOwner::Impl::ReadJobs(const std::string& after, const GatherRef& gather,
                                const TakeRow& take) {
  constexpr std::size_t kPartsPerPage = 1000;
  ports.store.ListParts(
      rows::kJobs, after, kStoreTimeout,
      Guard<const PartsAnswer&>([this, after, gather, take](const PartsAnswer& answer) {
        if (answer.outcome != StoreOutcome::kDone) {
          Later(kRetry, [this, after, gather, take] { ReadJobs(after, gather, take); });
          return;
        }
        for (const std::string& part : answer.parts) ReadPart(rows::kJobs, part, "", gather, take);
        if (answer.parts.size() >= kPartsPerPage) ReadJobs(answer.parts.back(), gather, take);
      }));
}

void FleetOwner::Impl::Later(Millis delay, std::function<void()> task) {
  later.emplace_back(ports.now() + delay, std::move(task));
}

void FleetOwner::Impl::RunLater(MonotonicTime now) {
  std::vector<std::function<void()>> due;
  std::erase_if(later, [&](auto& it) {
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
  dispatcher->SetRoster(roster, taken_at);
  if (config) dispatcher->SetConfig(config);
  for (const StoredRow& row : loaded_backends) TakeBackend(row);
  for (const StoredRow& row : loaded_jobs) TakeJob(row, true);
  Note(NodeEvent::kLoaded, "jobs=" + std::to_string(loaded_jobs.size()) +
                               " backends=" + std::to_string(loaded_backends.size()) +
                               " roster=" + std::to_string(roster.size()));
  loaded_jobs.clear();
  loaded_backends.clear();
  maintenance = std::make_unique<MaintenanceRunner>(MaintenanceHooks(), settings.maintenance_time);
  lender = std::make_unique<PoolLender>(settings.lender, LenderHooks());
  if (config) lender->SetConfig(config);
  running = true;
  for (const auto& [number, wave] : waves) maintenance->AddWave(wave, finished_vms[number]);
}

void FleetOwner::Impl::TakeJob(const StoredRow& row, bool inherited) {
  const JobId id(row.at.key);
  if (row.removed) return;
  auto job = DecodeStoredJob(id, row.value);
  if (!job) {
    Note(NodeEvent::kJobUnreadable, id.str() + ": " + job.error().message);
    return;
  }
  std::optional<JobProgress> progress;
  if (const auto it = loaded_progress.find(id); it != loaded_progress.end()) progress = it->second;
  dispatcher->AddJob(std::move(job.value()), progress, inherited, ports.now());
}

void FleetOwner::Impl::TakeBackend(const StoredRow& row) {
  const BackendId id(row.at.key);
  const auto report = ports.reader.Backend(row);
  if (report) {
    dispatcher->UpsertBackend(*report, ports.now());
  } else {
    dispatcher->RemoveBackend(id, ports.now());
  }
}

void FleetOwner::Impl::Poll(Feed& feed, const std::function<void(const StoredRow&)>& take,
                            const std::function<void()>& resync) {
  if (feed.in_flight || ports.now() < feed.next) return;
  feed.in_flight = true;
  ports.store.Follow(feed.table, feed.after, kFollowWait, kFollowWait + kStoreTimeout,
                     OnRows([this, &feed, take, resync](const RowsAnswer& answer) {
                       feed.in_flight = false;
                       feed.next = ports.now() + feed.pause;
                       if (answer.outcome == StoreOutcome::kHistoryGone) {
                         resync();
                         return;
                       }
                       if (answer.outcome != StoreOutcome::kDone) {
                         feed.next = ports.now() + kRetry;
                         return;
                       }
                       for (const StoredRow& row : answer.rows) take(row);
                       feed.after = std::max(feed.after, answer.newest);
                     }));
}

// Reads a table again whose feed has lost its history; the feed goes on from before the read.
void FleetOwner::Impl::Resync(Feed& feed, const std::function<void(const GatherRef&)>& read,
                              const std::function<void()>& done) {
  feed.in_flight = true;
  ports.store.Read(rows::kOwned, rows::kOwnerPart, rows::kRoster, "", kStoreTimeout,
                   OnRows([this, &feed, read, done](const RowsAnswer& answer) {
                     if (answer.outcome != StoreOutcome::kDone) {
                       Later(kRetry, [this, &feed, read, done] { Resync(feed, read, done); });
                       return;
                     }
                     const Revision start = answer.newest;
                     read(std::make_shared<Gather>(Guard([&feed, done, start] {
                       if (done) done();
                       feed.after = std::max(feed.after, start);
                       feed.in_flight = false;
                     })));
                   }));
}

void FleetOwner::Impl::ResyncJobs() {
  Resync(
      jobs_feed,
      [this](const GatherRef& gather) {
        ReadJobs("", gather, [this](const StoredRow& row) { TakeJob(row, false); });
      },
      nullptr);
}

void FleetOwner::Impl::ResyncRegistry() {
  const auto seen = std::make_shared<std::set<BackendId>>();
  Resync(
      registry_feed,
      [this, seen](const GatherRef& gather) {
        seen->clear();
        ReadPart(ports.reader.RegistryTable(), "", "", gather, [this, seen](const StoredRow& row) {
          seen->insert(BackendId(row.at.key));
          TakeBackend(row);
        });
      },
      [this, seen] {
        for (const auto& it : dispatcher->Backends()) {
          if (seen->count(it.id) == 0) dispatcher->RemoveBackend(it.id, ports.now());
        }
      });
}

void FleetOwner::Impl::Commit() {
  const MonotonicTime now = ports.now();
  if (committing || !lease.owner() || now < next_commit) return;
  // A write without an answer may be carried out later and undo newer progress; another revision of
  // the owner row prevents that.
  const bool renew = lease.RenewalDue(now) || uncertain;
  const bool work = running && dispatcher->HasWrites();
  auto new_roster = running ? dispatcher->RosterToWrite() : std::nullopt;
  const bool release = releasing && !work;
  if (!renew && !work && !new_roster && wave_rows.empty() && !release) return;
  RowTransaction tx;
  tx.expected.emplace_back(rows::Owner(), lease.revision());
  if (release) {
    tx.writes.emplace_back(rows::Owner(), lease.Release().row.Encode());
  } else if (renew) {
    tx.writes.emplace_back(rows::Owner(), lease.Renewal().row.Encode());
  }
  if (running) {
    for (const ProgressWrite& it : dispatcher->TakeWrites(kMaxWrites)) {
      tx.writes.emplace_back(rows::Progress(it.job), it.value);
    }
    if (new_roster) {
      tx.writes.emplace_back(rows::Owned(rows::kRoster), EncodeRoster(*new_roster));
    }
    if (renew && !release) {
      const Millis passed = now - store_read;
      const WaitingCounts counts{StoreClock(store_now.count() + passed.count()),
                                 dispatcher->Waiting()};
      if (store_now.count() > 0) {
        tx.writes.emplace_back(rows::Owned(rows::kWaiting), counts.Encode());
      }
    }
  }
  for (const auto& [number, value] : wave_rows) {
    tx.writes.emplace_back(rows::Owned(rows::kWavePrefix + std::to_string(number)), value);
  }
  const auto waves_sent = wave_rows;
  committing = true;
  const Millis timeout = std::clamp(kPatience * commit_time, kLeastCommitTimeout, kStoreTimeout);
  ports.store.Commit(
      tx, timeout,
      OnRows([this, renew, release, new_roster, waves_sent, now](const RowsAnswer& answer) {
        if (answer.outcome == StoreOutcome::kDone) {
          if (new_roster) dispatcher->RosterWritten(*new_roster);
          for (const auto& [number, value] : waves_sent) {
            if (wave_rows[number] == value) wave_rows.erase(number);
          }
        }
        Committed(answer, renew, release, now);
      }));
}

void FleetOwner::Impl::Committed(const RowsAnswer& answer, bool renewed, bool released,
                                 MonotonicTime sent) {
  committing = false;
  const bool done = answer.outcome == StoreOutcome::kDone;
  if (answer.outcome == StoreOutcome::kUnknown) uncertain = true;
  if (done && renewed) uncertain = false;
  if (dispatcher) dispatcher->WritesDone(done);
  next_commit = ports.now() + (done ? kCommitInterval : kRetry);
  // An answer that did not come makes the next wait longer, so that a slow store is waited for.
  const Millis took = ports.now() - sent;
  commit_time = done ? std::max(took, (commit_time + took) / 2) : std::max(commit_time, took);
  if (done) {
    store_now = answer.now;
    store_read = ports.now();
    if (released) {
      lease.Won(lease.Release().row, answer.newest, sent);
    } else if (renewed) {
      lease.Won(*lease.row(), answer.newest, sent);
    }
    return;
  }
  if (answer.outcome != StoreOutcome::kConflict) return;
  for (const StoredRow& row : answer.rows) {
    if (row.at != rows::Owner()) continue;
    const auto owner = OwnerRow::Decode(row.value);
    const bool ours = owner && owner.value().holder == lease.row()->holder &&
                      owner.value().token == lease.token() && !owner.value().released;
    if (ours) {
      // An earlier renewal without an answer was carried out.
      lease.Observe(owner.value(), row.revision, ports.now());
      next_commit = ports.now();
      return;
    }
  }
  Note(NodeEvent::kOwnershipLost, "another node holds the owner row");
  lease.StepDown();
}

void FleetOwner::Impl::WriteWaveStatus() {
  if (status_in_flight || status_writes.empty()) return;
  const auto [number, completed] = *status_writes.begin();
  RowTransaction tx;
  tx.writes.push_back(ports.reader.WaveStatus(number, completed));
  status_in_flight = true;
  ports.store.Commit(tx, kStoreTimeout,
                     OnRows([this, number = number, completed = completed](const RowsAnswer& it) {
                       status_in_flight = false;
                       const bool same =
                           status_writes.count(number) > 0 && status_writes[number] == completed;
                       if (it.outcome == StoreOutcome::kDone && same) status_writes.erase(number);
                     }));
}

void FleetOwner::Impl::ListVms() {
  if (ports.vms == nullptr || listing || ports.now() < next_list) return;
  listing = true;
  ports.vms->List(Guard<const VmListAnswer&>([this](const VmListAnswer& answer) {
    listing = false;
    next_list = ports.now() + kVmListInterval;
    if (!answer.complete) return;
    if (!std::exchange(vms_fenced, true)) QueueFences(answer.vms);
    maintenance->SetVms(answer.vms, ports.now());
    lender->SetVms(answer.vms, ports.now());
  }));
}

// An order of an earlier owner may be carried out late. Ordering a VM to the pool where it is
// changes nothing, but shows the platform the new token, so that it refuses older orders. Only for
// VMs whose lasting tasks would be missed.
void FleetOwner::Impl::QueueFences(const std::vector<VmReport>& vms) {
  if (lease.token() <= Epoch(1)) return;
  std::set<BackendId> serving;
  for (const auto& it : dispatcher->Backends()) {
    if (it.lasting_tasks > 0) serving.insert(it.id);
  }
  for (const VmReport& it : vms) {
    if (it.state == VmState::kUp && serving.count(it.backend) > 0) {
      fences.emplace_back(it.vm, it.pool);
    }
  }
}

void FleetOwner::Impl::SendFence() {
  if (fences.empty()) return;
  const auto [vm, pool] = fences.back();
  fences.pop_back();
  // Neither lent nor maintained meanwhile, or the order would move it back.
  ports.vms->Move(vm, pool, lease.token(), Guard<VmOrderOutcome>([this](VmOrderOutcome outcome) {
                    if (outcome == VmOrderOutcome::kFenced) lease.StepDown();
                  }));
}

// Removes the rows of jobs whose state need not be kept any longer.
void FleetOwner::Impl::Clean() {
  const MonotonicTime now = ports.now();
  if (now < next_clean) return;
  next_clean = now + kCleanInterval;
  const auto expired = dispatcher->Expired(settings.state_kept, now);
  if (expired.empty()) return;
  const std::string part = rows::JobPart(expired.front());
  std::vector<JobId> batch;
  RowTransaction jobs;
  RowTransaction progress;
  progress.expected.emplace_back(rows::Owner(), lease.revision());
  for (const JobId& id : expired) {
    if (rows::JobPart(id) != part || batch.size() >= kMaxWrites) continue;
    batch.push_back(id);
    jobs.removes.push_back(rows::Job(id));
    progress.removes.push_back(rows::Progress(id));
  }
  next_clean = now + kStoreTimeout;
  // The job first: a job without progress would be run again.
  ports.store.Commit(jobs, kStoreTimeout, OnRows([this, batch, progress](const RowsAnswer& it) {
                       if (it.outcome != StoreOutcome::kDone) return;
                       ports.store.Commit(progress, kStoreTimeout,
                                          OnRows([](const RowsAnswer&) {}));
                       for (const JobId& id : batch) dispatcher->Forget(id);
                       next_clean = ports.now() + kCleanInterval;
                     }));
}

Dispatcher::Hooks FleetOwner::Impl::DispatcherHooks() {
  Dispatcher::Hooks hooks;
  hooks.wall_clock = ports.wall_clock;
  hooks.report = ports.report;
  hooks.start = [this](const StartOrder& order) {
    ports.backends.Start(order, Guard<const OrderAnswer&>([this, order](const OrderAnswer& it) {
                           dispatcher->OnStart(order, it, ports.now());
                         }));
  };
  hooks.stop = [this](const StopOrder& order) {
    ports.backends.Stop(order, Guard<const OrderAnswer&>([this, order](const OrderAnswer& it) {
                          dispatcher->OnStop(order, it, ports.now());
                        }));
  };
  hooks.look = [this](const LookOrder& order) {
    const MonotonicTime sent = ports.now();
    ports.backends.Look(order, Guard<const LookAnswer&>([this, order, sent](const LookAnswer& it) {
                          dispatcher->OnLook(order, it, sent, ports.now());
                        }));
  };
  hooks.pace = [this](const PaceOrder& order) {
    ports.backends.Pace(order, [](const OrderAnswer&) {});
  };
  if (ports.advice != nullptr) {
    hooks.advise = [this](const AdviceOrder& order) {
      ports.advice->Advise(order, Guard<const AdviceAnswer&>([this, order](const AdviceAnswer& it) {
                             dispatcher->OnAdvice(order, it, ports.now());
                           }));
    };
  }
  return hooks;
}

MaintenanceRunner::Hooks FleetOwner::Impl::MaintenanceHooks() {
  MaintenanceRunner::Hooks hooks;
  hooks.maintain = [this](const VmId& vm, std::int64_t wave) {
    ports.vms->Maintain(vm, wave, lease.token(),
                        Guard<VmOrderOutcome>([this, vm, wave](VmOrderOutcome outcome) {
                          if (outcome == VmOrderOutcome::kFenced) lease.StepDown();
                          maintenance->OnMaintain(vm, wave, outcome, ports.now());
                        }));
  };
  hooks.evacuate = [this](const BackendId& id, bool on) { dispatcher->SetEvacuating(id, on); };
  hooks.avoid = [this](const BackendId& id, bool on) { dispatcher->SetAvoided(id, on); };
  hooks.is_idle = [this](const BackendId& id) { return dispatcher->IsIdle(id); };
  hooks.ended = [this](const BackendId& id) { dispatcher->BackendEnded(id, ports.now()); };
  hooks.report = [this](std::int64_t wave, const VmId& vm, const std::string& what) {
    Note(NodeEvent::kWave, std::to_string(wave) + " " + vm.str() + " " + what);
  };
  return hooks;
}

PoolLender::Hooks FleetOwner::Impl::LenderHooks() {
  PoolLender::Hooks hooks;
  hooks.move = [this](const VmId& vm, const PoolId& pool) {
    ports.vms->Move(vm, pool, lease.token(),
                    Guard<VmOrderOutcome>([this, vm](VmOrderOutcome outcome) {
                      if (outcome == VmOrderOutcome::kFenced) lease.StepDown();
                      lender->OnMove(vm, outcome, ports.now());
                    }));
  };
  hooks.evacuate = [this](const BackendId& id, bool on) { dispatcher->SetEvacuating(id, on); };
  hooks.ended = [this](const BackendId& id) { dispatcher->BackendEnded(id, ports.now()); };
  hooks.report = [this](const std::string& what) { Note(NodeEvent::kVmMoved, what); };
  return hooks;
}

void FleetOwner::Impl::Tick(MonotonicTime now) {
  RunLater(now);
  if (!running) {
    if (!loading && now >= retry_load) Load();
    Commit();
    return;
  }
  const bool may_order = lease.MayAct(now) && !releasing;
  dispatcher->Tick(now, may_order);
  if (dispatcher->fenced()) {
    Note(NodeEvent::kOwnershipLost, "a backend server saw a higher fencing token");
    lease.StepDown();
    return;
  }
  Poll(
      jobs_feed, [this](const StoredRow& row) { TakeJob(row, false); }, [this] { ResyncJobs(); });
  Poll(
      registry_feed, [this](const StoredRow& row) { TakeBackend(row); },
      [this] { ResyncRegistry(); });
  if (may_order && ports.vms != nullptr) {
    ListVms();
    SendFence();
    if (now >= next_lend) {
      next_lend = now + kLendInterval;
      const auto backends = dispatcher->Backends();
      if (maintenance->Active()) maintenance->Tick(backends, now);
      lender->Tick(
          backends, dispatcher->Loads(),
          [this](const VmId& vm) { return maintenance->IsPending(vm); }, now);
    }
    for (const auto& it : maintenance->TakeChanges()) {
      wave_rows[it.wave] = MaintenanceRunner::EncodeFinished(it.finished);
      const bool first = known_waves.insert(it.wave).second;
      if (it.completed || first) status_writes[it.wave] = it.completed;
    }
    WriteWaveStatus();
  }
  if (may_order) Clean();
  Commit();
}

FleetOwner::FleetOwner(Settings settings, FleetPorts ports, FleetLease& lease)
    : impl_(std::make_shared<Impl>(settings, std::move(ports), lease)) {
  impl_->registry_feed.table = impl_->ports.reader.RegistryTable();
  impl_->registry_feed.pause = kRegistryPause;
}

FleetOwner::~FleetOwner() = default;

void FleetOwner::SetConfig(std::shared_ptr<const DispatchConfig> config) {
  impl_->config = config;
  if (impl_->lender) impl_->lender->SetConfig(config);
  if (impl_->dispatcher) impl_->dispatcher->SetConfig(std::move(config));
}

void FleetOwner::AddWave(const WaveOrder& order) {
  impl_->waves[order.number] = order;
  if (impl_->maintenance) {
    impl_->maintenance->AddWave(order, impl_->finished_vms[order.number]);
  }
}

void FleetOwner::Tick(MonotonicTime now) { impl_->Tick(now); }

void FleetOwner::BeginRelease() { impl_->releasing = true; }

bool FleetOwner::running() const noexcept { return impl_->running; }

std::map<QueueId, int> FleetOwner::Waiting() const {
  return impl_->dispatcher ? impl_->dispatcher->Waiting() : std::map<QueueId, int>{};
}

}  // namespace sapphirewheel
