#include <utility>

#include "job_manager_internal.h"
#include "sapphirewheel/coordination/job_manager.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {

using internal::FindRow;
using internal::HasEnded;

// Prepares the transaction that writes a held job's record together with its index row.
void JobManager::PrepareWrite(HeldJob& job) {
  const JobId& id = job.record.id;
  Transaction transaction;
  transaction.attempt = NewAttemptId();
  transaction.checks = {{schema::JobRow(id), job.saved.revision}};
  transaction.writes = {{schema::JobRow(id), EncodeJob(job.record)}};
  if (HasEnded(job.record.state) || job.releasing) {
    transaction.writes.push_back({schema::JobIndexRow(settings_.self, id), std::nullopt});
  }
  if (job.releasing) transaction.writes.push_back({schema::JobIndexRow(NodeId(), id), "{}"});
  job.pending = std::move(transaction);
  job.pending_record = job.record;
  job.ended_in_write = std::move(job.ended);
  job.ended.clear();
  job.changed = false;
  job.resent = false;
}

void JobManager::SendWrite(HeldJob& job) {
  job.busy = true;
  hooks_.table.transact(*job.pending, [this, id = job.record.id](const TransactResult& result) {
    OnWritten(id, result);
  });
}

void JobManager::OnWritten(const JobId& id, const TransactResult& result) {
  HeldJob& job = jobs_.at(id);
  job.busy = false;
  if (result.outcome == TransactOutcome::kCommitted) return OnSaved(id, result.revision);
  if (result.outcome == TransactOutcome::kConflict) {
    const Row* row = FindRow(result.current, schema::JobRow(id));
    if (row != nullptr && row->attempt == job.pending->attempt) return OnSaved(id, row->revision);
    if (row != nullptr) return OnRowChanged(id, *row);
  }
  OnWriteFailed(job, result.outcome == TransactOutcome::kUnavailable && !job.resent);
  StepJob(id);
}

// After an uncertain write the same transaction is sent again. It takes effect at most once, and
// the outcome shows whether an earlier delivery had committed. `no_effect`: the write did not
// commit.
void JobManager::OnWriteFailed(HeldJob& job, bool no_effect) {
  if (no_effect) {
    job.pending.reset();
    job.changed = true;
    job.ended.insert(job.ended.end(), job.ended_in_write.begin(), job.ended_in_write.end());
    job.ended_in_write.clear();
  } else {
    job.resent = true;
  }
  job.next_write = hooks_.clock() + Jitter(settings_.retry_base);
  if (++job.write_failures < internal::kMaxSends) return;
  std::vector<JobCallback> waiting;
  waiting.swap(job.waiting);
  for (const JobCallback& callback : waiting) callback(internal::OutcomeUnknown());
}

void JobManager::OnSaved(const JobId& id, Revision revision) {
  HeldJob& job = jobs_.at(id);
  job.pending.reset();
  job.write_failures = 0;
  job.saved = job.pending_record;
  job.saved.revision = job.record.revision = revision;
  job.last_write = hooks_.clock();
  SettleEnded(job.ended_in_write);
  if (HasEnded(job.saved.state) || job.releasing) return Remove(id, job.saved);
  StepJob(id);
}

// Handles a row that was changed by another node: the job was cancelled there or adopted.
void JobManager::OnRowChanged(const JobId& id, const Row& row) {
  HeldJob& job = jobs_.at(id);
  job.pending.reset();
  if (row.revision == Revision(0)) return Remove(id, internal::JobNotFound());
  auto record = DecodeJob(id, row.value, row.revision);
  const bool ended = record && HasEnded(record.value().state);
  if (ended) {
    AbandonAttempt(job);
    SettleEnded(job.ended_in_write);
    SettleEnded(job.ended);
  }
  if (!record || ended || record.value().holder != settings_.self) return Remove(id, record);
  job.saved = record.value();
  job.record.revision = row.revision;
  job.changed = true;
  StepJob(id);
}

void JobManager::Remove(const JobId& id, const Result<JobRecord>& result) {
  HeldJob& job = jobs_.at(id);
  AbandonAttempt(job);
  const std::vector<JobCallback> waiting = std::move(job.waiting);
  const TeamId team = job.record.spec.team;
  jobs_.erase(id);
  for (const JobCallback& callback : waiting) {
    if (!result || HasEnded(result.value().state)) {
      callback(result);
    } else {
      // The job continues on another node, so the cancellation goes through the table.
      Cancel(team, id, callback);
    }
  }
  CheckDrained();
}

void JobManager::CheckRow(const JobId& id) {
  jobs_.at(id).busy = true;
  hooks_.table.read({schema::JobRow(id)}, [this, id](const Result<std::vector<Row>>& rows) {
    HeldJob& job = jobs_.at(id);
    job.busy = false;
    if (rows && rows.value().front().revision != job.saved.revision) {
      return OnRowChanged(id, rows.value().front());
    }
    StepJob(id);
  });
}

void JobManager::Cancel(const TeamId& team, const JobId& job, JobCallback done) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second.releasing) {
    Cancellation& cancellation = cancellations_[++next_cancellation_];
    cancellation.team = team;
    cancellation.record.id = job;
    cancellation.done = std::move(done);
    return StepCancellation(next_cancellation_);
  }
  if (it->second.record.spec.team != team) return done(internal::JobNotFound());
  it->second.waiting.push_back(std::move(done));
  CancelHeld(it->second);
  StepJob(job);
}

void JobManager::StepCancellation(std::uint64_t n) {
  const auto it = cancellations_.find(n);
  if (it == cancellations_.end()) return;
  Cancellation& cancellation = it->second;
  if (cancellation.busy || hooks_.clock() < cancellation.next_try) return;
  if (cancellation.pending) return SendCancellation(n);
  cancellation.busy = true;
  hooks_.table.read({schema::JobRow(cancellation.record.id)},
                    [this, n](const Result<std::vector<Row>>& rows) {
                      cancellations_.at(n).busy = false;
                      if (!rows) return FinishCancellation(n, internal::PlatformUnavailable());
                      OnCancelRow(n, rows.value().front());
                    });
}

void JobManager::OnCancelRow(std::uint64_t n, const Row& row) {
  Cancellation& cancellation = cancellations_.at(n);
  const JobId id = cancellation.record.id;
  if (row.revision == Revision(0)) return FinishCancellation(n, internal::JobNotFound());
  auto record = DecodeJob(id, row.value, row.revision);
  if (!record) return FinishCancellation(n, record);
  if (record.value().spec.team != cancellation.team) {
    return FinishCancellation(n, internal::JobNotFound());
  }
  if (HasEnded(record.value().state)) return FinishCancellation(n, record);
  cancellation.record = record.value();
  cancellation.record.state = JobState::kCancelled;
  cancellation.record.reason = "cancelled by the caller";
  cancellation.record.spec.body.clear();
  Transaction transaction;
  transaction.attempt = NewAttemptId();
  transaction.checks = {{row.key, row.revision}};
  transaction.writes = {{row.key, EncodeJob(cancellation.record)},
                        {schema::JobIndexRow(record.value().holder, id), std::nullopt}};
  cancellation.pending = std::move(transaction);
  cancellation.resent = false;
  SendCancellation(n);
}

void JobManager::SendCancellation(std::uint64_t n) {
  Cancellation& cancellation = cancellations_.at(n);
  cancellation.busy = true;
  ++cancellation.sends;
  hooks_.table.transact(*cancellation.pending,
                        [this, n](const TransactResult& result) { OnCancelled(n, result); });
}

void JobManager::OnCancelled(std::uint64_t n, const TransactResult& result) {
  Cancellation& cancellation = cancellations_.at(n);
  cancellation.busy = false;
  bool committed = result.outcome == TransactOutcome::kCommitted;
  if (result.outcome == TransactOutcome::kConflict) {
    const Row* row = FindRow(result.current, schema::JobRow(cancellation.record.id));
    committed = row != nullptr && row->attempt == cancellation.pending->attempt;
  }
  if (committed) {
    cancellation.record.revision = result.revision;
    return FinishCancellation(n, cancellation.record);
  }
  if (result.outcome == TransactOutcome::kUnavailable && !cancellation.resent) {
    return FinishCancellation(n, internal::PlatformUnavailable());
  }
  const bool conflict = result.outcome == TransactOutcome::kConflict;
  if (conflict) cancellation.pending.reset();
  if (!conflict) cancellation.resent = true;
  if (!conflict && cancellation.sends >= internal::kMaxSends) {
    return FinishCancellation(n, internal::OutcomeUnknown());
  }
  cancellation.next_try = hooks_.clock() + Jitter(settings_.retry_base);
}

void JobManager::FinishCancellation(std::uint64_t n, const Result<JobRecord>& result) {
  const JobCallback done = std::move(cancellations_.at(n).done);
  cancellations_.erase(n);
  done(result);
}

}  // namespace sapphirewheel
