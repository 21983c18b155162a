#include <algorithm>

#include "fleet_owner_state.h"

namespace sapphirewheel {
namespace {

// A write times out after this multiple of its usual duration, so that a renewal is repeated within
// the lease.
constexpr int kTimeoutFactor = 4;
// Minimum timeout of a write, however fast the store was.
constexpr Millis kMinCommitTimeout{250};
// Minimum time between two writes of progress, so that one write contains several ends.
constexpr Millis kCommitInterval{60};
// Minimum time between two writes of the start horizon, for which new jobs wait.
constexpr Millis kHorizonInterval{20};
// Maximum numbers of rows in one transaction: of progress rows, or of removed rows, and of waves
// beside progress rows. With the owner's other rows, below the table service's limit of 100
// entries.
constexpr std::size_t kMaxWrites = 64;
constexpr std::size_t kMaxWaveWrites = 20;
// Maximum size of the progress rows in one transaction, unless a single row is larger. In base64
// and with the owner's other rows, below the table service's limit of 1 MB.
constexpr std::size_t kMaxProgressBytes = 400'000;
// Maximum number of rows of the roster in one transaction; the rest follows with the next one.
constexpr std::size_t kMaxRosterRows = 8;
// Time without other rows than the owner's and the start horizon after a rejected write.
constexpr Millis kRejectedWriteDelay{1000};
// Interval between two reports of a row that is too large.
constexpr Millis kTooLargeReportInterval{10'000};
// Interval between two batches of rows of ended jobs that are removed, and the time for which such
// a row is kept, so that it does not come back by a repeated submission.
constexpr Millis kRowRemovalInterval{300};
constexpr Millis kRowKeep{2000};
// Interval between two batches of expired rows that are removed.
constexpr Millis kCleanupInterval{500};

std::string Describe(const RowAddress& at) { return at.table + "/" + at.key; }

std::string DescribeWrites(const RowTransaction& tx) {
  std::string text = std::to_string(tx.writes.size()) + " rows";
  const auto largest = std::max_element(
      tx.writes.begin(), tx.writes.end(),
      [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
  if (largest == tx.writes.end()) return text;
  return text + ", the largest " + Describe(largest->first) + " with " +
         std::to_string(largest->second.size()) + " bytes";
}

}  // namespace

void FleetOwner::Impl::ReportTooLarge(const RowAddress& at, std::size_t bytes) {
  const MonotonicTime now = ports.now();
  MonotonicTime& next = next_too_large_report[at];
  if (now < next) return;
  next = now + kTooLargeReportInterval;
  ReportEvent(NodeEvent::kRowTooLarge, Describe(at) + " has " + std::to_string(bytes) +
                                           " bytes, limit " +
                                           std::to_string(settings.max_row_bytes));
}

bool FleetOwner::Impl::AddWrite(RowTransaction& tx, const RowAddress& at, std::string value) {
  if (value.size() > settings.max_row_bytes) {
    ReportTooLarge(at, value.size());
    return false;
  }
  next_too_large_report.erase(at);
  tx.writes.emplace_back(at, std::move(value));
  return true;
}

void FleetOwner::Impl::AddProgress(RowTransaction& tx) {
  for (ProgressWrite& it : dispatcher->TakeWrites(kMaxWrites, kMaxProgressBytes)) {
    const RowAddress at = rows::Progress(it.job);
    if (it.oversize > 0) ReportTooLarge(at, it.oversize);
    tx.writes.emplace_back(at, std::move(it.value));
  }
}

// Adds some of the rows that differ from the wanted roster; all of them, or none if one is too
// large.
std::optional<RosterRows::Change> FleetOwner::Impl::AddRoster(RowTransaction& tx,
                                                              const Roster& wanted) {
  RosterRows::Change change = roster_rows.Next(wanted, kMaxRosterRows);
  const std::size_t before = tx.writes.size();
  for (const auto& [row, entries] : change.rows) {
    if (AddWrite(tx, rows::Owned(RosterRows::Key(row)), EncodeRoster(entries))) continue;
    tx.writes.resize(before);
    return std::nullopt;
  }
  return change;
}

void FleetOwner::Impl::Commit() {
  const MonotonicTime now = ports.now();
  const auto above_horizon = running ? dispatcher->RevisionAboveHorizon() : std::nullopt;
  const MonotonicTime due = above_horizon ? std::min(next_commit, next_horizon) : next_commit;
  if (committing || !lease.owner() || now < due) return;
  // A write without a reply may be carried out later and overwrite newer progress. Renewing changes
  // the revision of the owner row, which prevents that.
  const bool work = running && dispatcher->HasWrites();
  const bool all_rows = running && now >= essential_writes_until;
  const auto wanted_roster = all_rows ? dispatcher->RosterToWrite() : std::nullopt;
  const bool renew = lease.RenewalDue(now) || commit_uncertain;
  auto new_routes = all_rows ? dispatcher->RoutesToWrite() : std::nullopt;
  const bool release = releasing && !work && open_vm_orders == 0;
  const bool other_rows = all_rows && (work || !wave_rows.empty());
  if (!renew && !other_rows && !wanted_roster && !new_routes && !release && !above_horizon) return;
  if (running) {
    horizon = std::max({horizon, Revision(newest_seen.count() + revisions_per_renewal),
                        above_horizon.value_or(Revision())});
  }
  RowTransaction tx;
  tx.expected.emplace_back(rows::Owner(), lease.revision());
  if (release) {
    tx.writes.emplace_back(rows::Owner(), lease.Release().row.Encode());
    if (running && store_now.count() > 0) {
      AddWrite(tx, rows::Owned(rows::kHandOver), EncodeHandOver(dispatcher->MakeHandOver()));
    }
  } else if (renew) {
    tx.writes.emplace_back(rows::Owner(), lease.Renewal().row.Encode());
  }
  if (running) {
    tx.writes.emplace_back(rows::Owned(rows::kStartHorizon),
                           StartHorizon{lease.token(), horizon}.Encode());
  }
  std::optional<RosterRows::Change> roster_change;
  if (all_rows) {
    AddProgress(tx);
    if (wanted_roster) roster_change = AddRoster(tx, *wanted_roster);
    const RouteRecord routes{lease.token(), new_routes.value_or(QueueRoutes())};
    if (new_routes && !AddWrite(tx, rows::Owned(rows::kRoutes), routes.Encode())) {
      new_routes.reset();
    }
    if (renew && !release && store_now.count() > 0) {
      const Millis passed = now - store_read_at;
      const WaitingCounts counts{StoreClock(store_now.count() + passed.count()),
                                 dispatcher->Waiting()};
      AddWrite(tx, rows::Owned(rows::kWaiting), counts.Encode());
    }
  }
  // The rest follows with the next write.
  std::map<std::int64_t, MaintenanceProgress> waves_sent;
  for (const auto& [number, progress] : wave_rows) {
    if (!all_rows || waves_sent.size() == kMaxWaveWrites) break;
    const RowAddress at = rows::Owned(rows::kWavePrefix + std::to_string(number));
    if (AddWrite(tx, at, progress.Encode())) waves_sent[number] = progress;
  }
  committing = true;
  const std::optional<Revision> new_horizon = running ? std::optional(horizon) : std::nullopt;
  if (roster_change) {
    roster_rows.OnSent(*roster_change);
    dispatcher->RosterSent(roster_change->result);
  }
  if (new_routes) dispatcher->RoutesSent(*new_routes);
  const Millis timeout = std::clamp(kTimeoutFactor * commit_time, kMinCommitTimeout, kStoreTimeout);
  ports.store.Commit(tx, timeout,
                     OnRows([this, contents = DescribeWrites(tx), renew, release, roster_change,
                             new_routes, new_horizon, waves_sent, now](const RowsReply& reply) {
                       if (reply.outcome == StoreOutcome::kRejected) {
                         essential_writes_until = ports.now() + kRejectedWriteDelay;
                         ReportEvent(NodeEvent::kWriteRejected, contents);
                       }
                       if (reply.outcome == StoreOutcome::kDone) {
                         if (roster_change) {
                           roster_rows.OnWritten(*roster_change);
                           dispatcher->RosterWritten(roster_change->result);
                         }
                         if (new_routes) dispatcher->RoutesWritten(*new_routes);
                         if (new_horizon) dispatcher->SetStartHorizon(*new_horizon);
                         for (const auto& [number, progress] : waves_sent) {
                           if (wave_rows[number] == progress) wave_rows.erase(number);
                           maintenance->OnStored(number, progress);
                           next_autoscale = ports.now();
                         }
                       }
                       OnCommitted(reply, renew, release, now);
                     }));
}

void FleetOwner::Impl::OnCommitted(const RowsReply& reply, bool renewed, bool released,
                                   MonotonicTime sent) {
  committing = false;
  const bool done = reply.outcome == StoreOutcome::kDone;
  if (reply.outcome == StoreOutcome::kUnknown) {
    commit_uncertain = true;
    ReportEvent(NodeEvent::kWriteUnanswered,
                "for " + std::to_string((ports.now() - sent).count()) + " ms");
    DoubtFeeds();
  }
  if (done && renewed) commit_uncertain = false;
  if (dispatcher) dispatcher->WritesDone(done);
  next_commit = ports.now() + (done ? kCommitInterval : kStoreRetryDelay);
  next_horizon = ports.now() + (done ? kHorizonInterval : kStoreRetryDelay);
  newest_seen = std::max(newest_seen, reply.newest);
  // A missing reply makes the next timeout longer, so that a slow store gets enough time.
  const Millis took = ports.now() - sent;
  commit_time = done ? std::max(took, (commit_time + took) / 2) : std::max(commit_time, took);
  if (done) {
    store_now = reply.now;
    store_asked_at = sent;
    store_read_at = ports.now();
    if (renewed) {
      if (renewed_revision != Revision()) {
        revisions_per_renewal = reply.newest.count() - renewed_revision.count();
      }
      renewed_revision = reply.newest;
    }
    if (released) {
      lease.OnWriteSucceeded(lease.Release().row, reply.newest, sent);
    } else if (renewed) {
      lease.OnWriteSucceeded(*lease.row(), reply.newest, sent);
    }
    return;
  }
  if (reply.outcome != StoreOutcome::kConflict) return;
  for (const StoredRow& row : reply.rows) {
    if (row.at != rows::Owner()) continue;
    const auto owner = OwnerRow::Decode(row.value);
    const bool ours = owner && owner.value().holder == lease.row()->holder &&
                      owner.value().token == lease.token() && !owner.value().released;
    if (ours) {
      // An earlier renewal without a reply was carried out.
      lease.Observe(owner.value(), row.revision, ports.now());
      next_commit = ports.now();
      return;
    }
  }
  ReportEvent(NodeEvent::kOwnershipLost, "another node holds the owner row");
  lease.StepDown();
}

void FleetOwner::Impl::WriteWaveStatus() {
  if (status_in_flight || status_writes.empty()) return;
  const auto [number, completed] = *status_writes.begin();
  RowTransaction tx;
  tx.writes.push_back(ports.codec.WaveStatus(number, completed));
  status_in_flight = true;
  ports.store.Commit(tx, kStoreTimeout,
                     OnRows([this, number = number, completed = completed](const RowsReply& it) {
                       status_in_flight = false;
                       const bool same =
                           status_writes.count(number) > 0 && status_writes[number] == completed;
                       if (it.outcome == StoreOutcome::kDone && same) status_writes.erase(number);
                     }));
}

// Removes the rows of jobs whose end is written. Their progress answers callers, and keeps a late
// repetition of the submission from running; without the rows a new owner has less to read.
void FleetOwner::Impl::RemoveEndedJobs() {
  const MonotonicTime now = ports.now();
  if (now < next_row_removal) return;
  next_row_removal = now + kRowRemovalInterval;
  for (const JobId& id : dispatcher->TakeRemovable(kRowKeep, now)) {
    removable_jobs[rows::JobPart(id)].push_back(id);
  }
  const auto most = std::max_element(
      removable_jobs.begin(), removable_jobs.end(),
      [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
  if (most == removable_jobs.end() || most->second.empty()) return;
  std::vector<JobId> batch = std::move(most->second);
  most->second.clear();
  if (batch.size() > kMaxWrites) {
    most->second.assign(batch.begin() + kMaxWrites, batch.end());
    batch.resize(kMaxWrites);
  }
  RowTransaction tx;
  for (const JobId& id : batch) tx.removes.push_back(rows::Job(id));
  ports.store.Commit(tx, kStoreTimeout, OnRows([this, batch](const RowsReply& reply) {
                       if (reply.outcome == StoreOutcome::kDone) return;
                       auto& again = removable_jobs[rows::JobPart(batch.front())];
                       again.insert(again.end(), batch.begin(), batch.end());
                     }));
}

// Removes the rows of ended jobs whose retention time has passed.
void FleetOwner::Impl::RemoveExpiredJobs() {
  const MonotonicTime now = ports.now();
  if (now < next_cleanup) return;
  next_cleanup = now + kCleanupInterval;
  const auto expired = dispatcher->Expired(settings.job_retention, now);
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
  next_cleanup = now + kStoreTimeout;
  // The job row is removed first, because a job without progress would be run again.
  ports.store.Commit(jobs, kStoreTimeout, OnRows([this, batch, progress](const RowsReply& it) {
                       if (it.outcome != StoreOutcome::kDone) return;
                       ports.store.Commit(progress, kStoreTimeout, OnRows([](const RowsReply&) {}));
                       for (const JobId& id : batch) dispatcher->Forget(id);
                       next_cleanup = ports.now() + kCleanupInterval;
                     }));
}

// Removes the marks of cancelled ids for which no submission can be under way any more.
void FleetOwner::Impl::RemoveExpiredMarks() {
  const MonotonicTime now = ports.now();
  if (now < next_mark_cleanup) return;
  next_mark_cleanup = now + kCleanupInterval;
  // Each mark takes two entries of the transaction.
  const auto expired = cancel_marks.Expired(settings.job_retention, kMaxWrites / 2, now);
  if (expired.empty()) return;
  RowTransaction tx;
  for (const auto& [id, revision] : expired) {
    tx.expected.emplace_back(rows::Job(id), revision);
    tx.removes.push_back(rows::Job(id));
  }
  next_mark_cleanup = now + kStoreTimeout;
  // After a conflict the feed shows which of the rows are jobs now.
  ports.store.Commit(tx, kStoreTimeout, OnRows([this, expired](const RowsReply& reply) {
                       if (reply.outcome != StoreOutcome::kDone) return;
                       for (const auto& [id, revision] : expired) cancel_marks.Remove(id);
                       next_mark_cleanup = ports.now() + kCleanupInterval;
                     }));
}

}  // namespace sapphirewheel
