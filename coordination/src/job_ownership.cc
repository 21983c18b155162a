#include <openssl/sha.h>

#include <utility>

#include "job_manager_internal.h"
#include "sapphirewheel/coordination/job_manager.h"
#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

using internal::FindRow;
using internal::HasEnded;

// The first 128 bits of the SHA-256 hash of team and request in hex, so that every node derives the
// same id for a request.
JobId DeterministicId(const TeamId& team, const std::string& request) {
  constexpr std::size_t kBytes = 16;
  constexpr const char* kHex = "0123456789abcdef";
  const std::string text = team.str() + '\n' + request;
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  std::string id;
  for (std::size_t i = 0; i < kBytes; ++i) {
    id += kHex[digest[i] >> 4U];
    id += kHex[digest[i] & 15U];
  }
  return JobId(id);
}

Error Refused(ErrorKind kind, std::string message, std::string remedy) {
  return Error{kind, std::move(message), std::move(remedy), RunState::kNotRun, std::nullopt};
}

}  // namespace

void JobManager::Submit(JobSpec spec, JobCallback done) {
  // Without a request id the submission cannot be repeated, so any unique id will do.
  const std::string request = spec.request.empty() ? "#" + schema::PaddedNumber(hooks_.random()) +
                                                         schema::PaddedNumber(hooks_.random())
                                                   : spec.request.str();
  const JobId id = DeterministicId(spec.team, request);
  const auto held = jobs_.find(id);
  if (held != jobs_.end()) return done(held->second.saved);
  const auto running = submissions_.find(id);
  if (running != submissions_.end()) return running->second.done.push_back(std::move(done));
  if (draining_ || fenced_) {
    return done(Refused(ErrorKind::kDraining, "this node is stopping", "retry at another node"));
  }
  if (jobs_.size() + submissions_.size() >= settings_.max_jobs) {
    return done(Refused(ErrorKind::kOverloaded, "this node holds the maximum number of jobs",
                        "retry later"));
  }
  Submission submission;
  submission.record.id = id;
  submission.record.holder = settings_.self;
  submission.record.epoch = Epoch(1);
  submission.record.spec = std::move(spec);
  JobRecord& record = submission.record;
  if (!hooks_.could_ever_fit(record.spec.service, record.spec.slots)) {
    record.state = JobState::kCannotRun;
    record.reason = "no worker of the service's pools has " +
                    std::to_string(record.spec.slots.count()) + " slots";
  }
  if (EncodeJob(record).size() > internal::kMaxRecordBytes) {
    return done(Refused(ErrorKind::kInvalidArgument, "the job's body is larger than 60 KiB",
                        "store the input elsewhere and submit a reference"));
  }
  submission.done.push_back(std::move(done));
  submissions_.emplace(id, std::move(submission));
  StepSubmission(id);
}

// Creates the job's row on condition that it is absent and that this node's member row is
// unchanged. Otherwise a node that was fenced while it was paused could create jobs that nobody
// adopts.
void JobManager::StepSubmission(const JobId& id) {
  const auto it = submissions_.find(id);
  if (it == submissions_.end()) return;
  Submission& submission = it->second;
  if (submission.busy || hooks_.clock() < submission.next_try) return;
  if (!member_known_) return ReadMember(id);
  if (!submission.sent) {
    if (fenced_) {
      return FinishSubmission(
          id, Refused(ErrorKind::kDraining, "this node was fenced", "retry at another node"));
    }
    Transaction transaction;
    transaction.attempt = NewAttemptId();
    transaction.checks = {{schema::JobRow(id), Revision(0)},
                          {schema::MemberRow(settings_.self), member_revision_}};
    transaction.writes = {{schema::JobRow(id), EncodeJob(submission.record)}};
    if (!HasEnded(submission.record.state)) {
      transaction.writes.push_back({schema::JobIndexRow(settings_.self, id), "{}"});
    }
    submission.transaction = std::move(transaction);
    submission.sent = true;
    submission.sends = 0;
  }
  submission.busy = true;
  ++submission.sends;
  hooks_.table.transact(submission.transaction,
                        [this, id](const TransactResult& result) { OnSubmitted(id, result); });
}

void JobManager::ReadMember(const JobId& id) {
  submissions_.at(id).busy = true;
  hooks_.table.read({schema::MemberRow(settings_.self)},
                    [this, id](const Result<std::vector<Row>>& rows) {
                      submissions_.at(id).busy = false;
                      if (!rows) return FinishSubmission(id, internal::PlatformUnavailable());
                      OnMemberRow(rows.value().front());
                      StepSubmission(id);
                    });
}

void JobManager::OnMemberRow(const Row& row) {
  auto object = ParseObject(row.value);
  const bool removed =
      member_known_ && member_revision_ != Revision(0) && row.revision == Revision(0);
  if (removed || (object && BoolField(object.value(), "fenced"))) fenced_ = true;
  member_revision_ = row.revision;
  member_known_ = true;
}

void JobManager::OnSubmitted(const JobId& id, const TransactResult& result) {
  Submission& submission = submissions_.at(id);
  submission.busy = false;
  if (result.outcome == TransactOutcome::kCommitted) {
    submission.record.revision = result.revision;
    return FinishSubmission(id, submission.record, true);
  }
  if (result.outcome == TransactOutcome::kConflict) {
    const Row* row = FindRow(result.current, schema::JobRow(id));
    const Row* member = FindRow(result.current, schema::MemberRow(settings_.self));
    if (member != nullptr) OnMemberRow(*member);
    if (row != nullptr && row->revision != Revision(0)) {
      // The row was created by an earlier delivery of this transaction or by another submission of
      // the request. In the second case this node does not hold the job, or the periodic check of
      // the index adopts it.
      const bool own = row->attempt == submission.transaction.attempt;
      return FinishSubmission(id, DecodeJob(id, row->value, row->revision), own);
    }
    submission.sent = false;
    return StepSubmission(id);
  }
  if (result.outcome == TransactOutcome::kUnavailable && submission.sends == 1) {
    return FinishSubmission(id, internal::PlatformUnavailable());
  }
  // The transaction may still take effect, so it is sent again until its outcome is known.
  // Otherwise the job could be in the table without a node that runs it.
  submission.next_try = hooks_.clock() + Jitter(settings_.retry_base);
  if (submission.sends < internal::kMaxSends) return;
  std::vector<JobCallback> waiting;
  waiting.swap(submission.done);
  for (const JobCallback& callback : waiting) callback(internal::OutcomeUnknown());
}

void JobManager::FinishSubmission(const JobId& id, const Result<JobRecord>& result, bool created) {
  Submission submission = std::move(submissions_.at(id));
  submissions_.erase(id);
  if (created && result) Hold(result.value());
  for (const JobCallback& callback : submission.done) callback(result);
  CheckDrained();
}

void JobManager::AdoptFrom(const NodeId& node) {
  if (draining_ || fenced_ || node == settings_.self || adoptions_.contains(node)) return;
  adoptions_[node].scan_from = schema::JobIndexRow(node, JobId()).key;
  StepAdoption(node);
}

void JobManager::StepAdoption(const NodeId& from) {
  const auto it = adoptions_.find(from);
  if (it == adoptions_.end()) return;
  Adoption& adoption = it->second;
  if (adoption.busy || hooks_.clock() < adoption.next_try) return;
  if (adoption.pending) return SendAdoption(from);
  if (draining_ || fenced_ || (adoption.scanned && adoption.remaining.empty())) {
    adoptions_.erase(from);
    return CheckDrained();
  }
  adoption.busy = true;
  if (!adoption.scanned) {
    const std::string end = schema::PrefixEnd(schema::JobIndexRow(from, JobId()).key);
    hooks_.table.scan(
        {schema::kJobIndex, adoption.scan_from, end},
        [this, from](const Result<std::vector<Row>>& rows) { OnAdoptionScan(from, rows); });
    return;
  }
  hooks_.table.read({schema::JobRow(adoption.remaining.back()), schema::MemberRow(settings_.self)},
                    [this, from](const Result<std::vector<Row>>& rows) {
                      if (!rows) return NextAdoption(from, false, false);
                      AdoptJob(from, rows.value());
                    });
}

void JobManager::OnAdoptionScan(const NodeId& from, const Result<std::vector<Row>>& rows) {
  if (!rows) return NextAdoption(from, false, false);
  Adoption& adoption = adoptions_.at(from);
  const std::size_t prefix = schema::JobIndexRow(from, JobId()).key.size();
  for (const Row& row : rows.value()) adoption.remaining.emplace_back(row.key.key.substr(prefix));
  const ScanRequest defaults;
  adoption.scanned = rows.value().size() < static_cast<std::size_t>(defaults.limit);
  if (!adoption.scanned) adoption.scan_from = rows.value().back().key.key + '\x01';
  NextAdoption(from, false, true);
}

void JobManager::AdoptJob(const NodeId& from, const std::vector<Row>& rows) {
  Adoption& adoption = adoptions_.at(from);
  adoption.busy = false;
  OnMemberRow(rows.at(1));
  const JobId id = adoption.remaining.back();
  const Row& row = rows.front();
  auto record = DecodeJob(id, row.value, row.revision);
  bool known = jobs_.contains(id) || submissions_.contains(id);
  // Another adoption of the job may already have committed, with the reply still outstanding.
  for (const auto& [node, other] : adoptions_) {
    known = known || (other.pending && other.record.id == id);
  }
  // A released job is left to a node that has a worker for it.
  const bool unplaceable = record && from.empty() && !HasWorker(record.value());
  if (!record || HasEnded(record.value().state) || record.value().holder != from || known ||
      unplaceable) {
    return NextAdoption(from, true, true);
  }
  if (fenced_ || draining_) return NextAdoption(from, false, true);
  adoption.record = record.value();
  adoption.record.holder = settings_.self;
  adoption.record.epoch += Epoch(1);
  adoption.record.state = JobState::kQueued;
  Transaction transaction;
  transaction.attempt = NewAttemptId();
  transaction.checks = {{row.key, row.revision}, {rows.at(1).key, rows.at(1).revision}};
  transaction.writes = {{row.key, EncodeJob(adoption.record)},
                        {schema::JobIndexRow(settings_.self, id), "{}"}};
  if (from != settings_.self) {
    transaction.writes.push_back({schema::JobIndexRow(from, id), std::nullopt});
  }
  adoption.pending = std::move(transaction);
  adoption.resent = false;
  SendAdoption(from);
}

void JobManager::SendAdoption(const NodeId& from) {
  Adoption& adoption = adoptions_.at(from);
  adoption.busy = true;
  hooks_.table.transact(*adoption.pending,
                        [this, from](const TransactResult& result) { OnAdopted(from, result); });
}

void JobManager::OnAdopted(const NodeId& from, const TransactResult& result) {
  Adoption& adoption = adoptions_.at(from);
  Revision revision = result.revision;
  bool committed = result.outcome == TransactOutcome::kCommitted;
  const bool conflict = result.outcome == TransactOutcome::kConflict;
  if (conflict) {
    const Row* row = FindRow(result.current, schema::JobRow(adoption.record.id));
    committed = row != nullptr && row->attempt == adoption.pending->attempt;
    if (committed) revision = row->revision;
  }
  const bool refused = result.outcome == TransactOutcome::kUnavailable && !adoption.resent;
  if (committed || conflict || refused) {
    adoption.pending.reset();
  } else {
    adoption.resent = true;
  }
  if (committed) {
    JobRecord record = adoption.record;
    record.revision = revision;
    Hold(std::move(record));
  }
  NextAdoption(from, committed, committed || conflict);
}

void JobManager::NextAdoption(const NodeId& from, bool pop, bool at_once) {
  Adoption& adoption = adoptions_.at(from);
  adoption.busy = false;
  if (pop) adoption.remaining.pop_back();
  if (!at_once) adoption.next_try = hooks_.clock() + Jitter(settings_.retry_base);
  StepAdoption(from);
}

// Compares the node's job index with the jobs it holds. A held job that is not in the index was
// cancelled or adopted elsewhere. A job that is only in the index was recorded without this node
// learning of it.
void JobManager::StepIndexCheck(MonotonicTime now) {
  if (draining_ || fenced_ || index_scan_busy_ || now < next_index_check_) return;
  if (index_scan_from_.empty()) {
    index_scan_from_ = schema::JobIndexRow(settings_.self, JobId()).key;
    indexed_jobs_.clear();
    held_at_scan_start_.clear();
    for (const auto& [id, job] : jobs_) held_at_scan_start_.insert(id);
  }
  index_scan_busy_ = true;
  const std::string prefix = schema::JobIndexRow(settings_.self, JobId()).key;
  hooks_.table.scan({schema::kJobIndex, index_scan_from_, schema::PrefixEnd(prefix)},
                    [this](const Result<std::vector<Row>>& rows) {
                      index_scan_busy_ = false;
                      next_index_check_ = hooks_.clock() + Jitter(settings_.index_check_interval);
                      if (rows) OnIndexScan(rows.value());
                    });
}

void JobManager::OnIndexScan(const Result<std::vector<Row>>& rows) {
  const std::size_t prefix = schema::JobIndexRow(settings_.self, JobId()).key.size();
  for (const Row& row : rows.value()) indexed_jobs_.insert(JobId(row.key.key.substr(prefix)));
  const ScanRequest defaults;
  if (rows.value().size() >= static_cast<std::size_t>(defaults.limit)) {
    index_scan_from_ = rows.value().back().key.key + '\x01';
    next_index_check_ = hooks_.clock();
    return;
  }
  index_scan_from_.clear();
  if (draining_ || fenced_) return;
  for (const JobId& id : held_at_scan_start_) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || indexed_jobs_.contains(id)) continue;
    if (!it->second.busy && !it->second.pending) CheckRow(id);
  }
  if (!adoptions_.contains(settings_.self)) {
    Adoption unknown;
    unknown.scanned = true;
    for (const JobId& id : indexed_jobs_) {
      if (!jobs_.contains(id) && !submissions_.contains(id)) unknown.remaining.push_back(id);
    }
    if (!unknown.remaining.empty()) {
      adoptions_.emplace(settings_.self, std::move(unknown));
      StepAdoption(settings_.self);
    }
  }
}

}  // namespace sapphirewheel
