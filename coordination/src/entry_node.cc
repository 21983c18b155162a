#include "sapphirewheel/coordination/entry_node.h"

#include <algorithm>

#include "entry_node_state.h"

namespace sapphirewheel {
namespace {

// Longest wait of a poll of the configuration feed; bounds the age of the configuration between two
// replies.
constexpr Millis kConfigPollWait{800};
// Longest wait of a poll for the owner row, which changes with each renewal.
constexpr Millis kOwnerPollWait{1200};
// Added to the wait of a feed before its reply counts as lost.
constexpr Millis kFeedSlack{700};
// Number of accepted job ids that a node remembers, so that reading the state of such a job before
// it has progress needs only one read.
constexpr std::size_t kMaxRememberedJobs = 5000;

}  // namespace

const StoredRow* FindRow(const RowsReply& reply, const std::string& key) {
  const auto it = std::find_if(reply.rows.begin(), reply.rows.end(),
                               [&](const StoredRow& row) { return row.at.key == key; });
  return it == reply.rows.end() ? nullptr : &*it;
}

void EntryNode::Impl::ScheduleAfter(Millis delay, std::function<void()> task) {
  scheduled.emplace_back(ports.now() + delay, std::move(task));
}

void EntryNode::Impl::RememberAccepted(const JobId& id) {
  if (!accepted_jobs.insert(id).second) return;
  accepted_order.push_back(id);
  if (accepted_order.size() <= kMaxRememberedJobs) return;
  accepted_jobs.erase(accepted_order.front());
  accepted_order.pop_front();
}

void EntryNode::Impl::PollConfig(MonotonicTime now) {
  // A poll that is open for longer has a reply on the way, which may show a newer configuration.
  const bool arriving = config_in_flight && now - config_sent > config_limits.begin;
  admission_controller.SetCatchingUp(config_late || arriving);
  if (config_in_flight || now < next_config_poll) return;
  config_in_flight = true;
  config_sent = now;
  config_limits = WhileInProgress(config_read ? kConfigPollWait + kFeedSlack : kStoreTimeout);
  // After an outage the first poll does not wait, so that the node becomes ready again at once. Nor
  // does the one after a reply that took long, because that reply confirms only an old state.
  const bool steady = config_read && config_reachable && !config_late;
  const Millis wait = steady ? kConfigPollWait : Millis(0);
  const auto handle_reply = Guard<const RowsReply&>([this, now, wait](const RowsReply& reply) {
    config_in_flight = false;
    RecordConfigDelay(ports.now() - now, reply.outcome == StoreOutcome::kDone);
    const bool waited = reply.outcome != StoreOutcome::kDone || reply.rows.empty();
    const Millis delay = waited ? ports.now() - now - wait : Millis(0);
    store_delay = std::clamp(delay, store_delay / 2, kStoreTimeout);
    const bool reached = reply.outcome == StoreOutcome::kDone;
    if (reached != config_reachable) {
      config_reachable = reached;
      ReportEvent(reached ? NodeEvent::kStoreAvailable : NodeEvent::kStoreUnavailable,
                  "configuration version " +
                      std::to_string(admission_controller.config()
                                         ? admission_controller.config()->version.count()
                                         : 0) +
                      " confirmed " + std::to_string((ports.now() - now).count()) + " ms before");
    }
    if (reply.outcome == StoreOutcome::kHistoryGone) {
      config_read = false;
      full_read.reset();
      return;
    }
    if (!reached) {
      if (owner) owner->OnStoreSilent();
      next_config_poll = ports.now() + kStoreRetryDelay;
      return;
    }
    ApplyOperatorRows(reply, now);
  });
  const std::string table = ports.codec.OperatorTable();
  if (config_read) {
    ports.store.Follow(table, config_revision, wait, config_limits, handle_reply);
  } else {
    // Begins anew as long as no page has arrived, so that it is confirmed as of a recent time.
    if (!full_read || !full_read->newest) full_read = OperatorRead{now, std::nullopt, "", {}};
    ports.store.Read(RowRange{table, "", full_read->from, "", 0}, config_limits, handle_reply);
  }
}

void EntryNode::Impl::RecordConfigDelay(Millis took, bool done) {
  const Millis over = took - config_limits.begin;
  // A poll without a reply ends when the reply should have begun, give or take the delay of a tick.
  if (done || over > kStoreRetryDelay) config_late = over > Millis(0);
  if (!config_late) return;
  ReportEvent(NodeEvent::kConfigDelayed,
              std::string(done ? "read" : "given up") + " after " + std::to_string(took.count()) +
                  " ms, confirmed " +
                  std::to_string(admission_controller.Age(ports.now()).count()) + " ms before");
}

void EntryNode::Impl::ApplyOperatorRows(const RowsReply& reply, MonotonicTime sent) {
  for (const StoredRow& row : reply.rows) ApplyOperatorRow(row);
  MonotonicTime as_of = sent;
  bool complete = true;
  if (full_read) {
    as_of = full_read->began;
    complete = FinishFullRead(reply);
  } else {
    config_revision = std::max(config_revision, reply.newest);
    complete = !reply.more;
  }
  if (complete) {
    admission_controller.Confirm(as_of);
    evacuations.Confirm(as_of);
  }
  if (owner) owner->SetEvacuations(evacuations);
}

bool EntryNode::Impl::FinishFullRead(const RowsReply& reply) {
  if (!full_read->newest) full_read->newest = reply.newest;
  if (reply.more && !reply.rows.empty()) {
    // Continues from the smallest key above the last one.
    full_read->from = reply.rows.back().at.key + '\0';
    return false;
  }
  evacuations.Replace(std::move(full_read->evacuated));
  config_revision = *full_read->newest;
  config_read = true;
  full_read.reset();
  return true;
}

void EntryNode::Impl::ApplyOperatorRow(const StoredRow& row) {
  if (auto config = ports.codec.Config(row)) {
    auto shared = std::make_shared<const DispatchConfig>(std::move(*config));
    if (!admission_controller.Apply(shared)) return;
    ReportEvent(NodeEvent::kConfigApplied, "version " + std::to_string(shared->version.count()) +
                                               " revision " + std::to_string(row.revision.count()));
    if (owner) owner->SetConfig(admission_controller.config());
  } else if (const auto wave = ports.codec.Wave(row)) {
    ReportEvent(NodeEvent::kWave, std::to_string(wave->number) +
                                      " ordered, vms=" + std::to_string(wave->vms.size()) +
                                      " most=" + std::to_string(wave->max_down) +
                                      " deadline=" + std::to_string(wave->deadline.count()));
    waves[wave->number] = *wave;
    if (owner) owner->AddWave(*wave);
  } else if (const auto evacuation = ports.codec.Evacuation(row)) {
    evacuations.Apply(*evacuation);
    if (full_read) full_read->evacuated.insert(evacuation->data_centre);
  }
}

void EntryNode::Impl::PollOwner(MonotonicTime now) {
  if (owner_in_flight || now < next_owner_poll || claiming || lease.owner()) return;
  owner_in_flight = true;
  const bool full_read = !owner_read;
  const auto handle_reply = Guard<const RowsReply&>([this, full_read](const RowsReply& reply) {
    owner_in_flight = false;
    if (reply.outcome == StoreOutcome::kHistoryGone) owner_read = false;
    if (reply.outcome != StoreOutcome::kDone) {
      lease.OnUnreadable();
      next_owner_poll = ports.now() + kStoreRetryDelay;
      return;
    }
    owner_confirmed_at = ports.now();
    ApplyOwnerRow(reply, full_read);
  });
  if (full_read) {
    ports.store.Read(RowRange{rows::kFleet, rows::kOwnerPart, "", "", 0}, Within(kStoreTimeout),
                     handle_reply);
  } else {
    ports.store.Follow(rows::kFleet, owner_revision, kOwnerPollWait,
                       Within(kOwnerPollWait + kFeedSlack), handle_reply);
  }
}

void EntryNode::Impl::ApplyOwnerRow(const RowsReply& reply, bool full_read) {
  const StoredRow* row = FindRow(reply, rows::kOwner);
  if (row != nullptr) {
    const auto decoded = OwnerRow::Decode(row->value);
    if (decoded) lease.Observe(decoded.value(), row->revision, ports.now());
  } else if (full_read) {
    lease.Observe(std::nullopt, Revision(), ports.now());
  }
  owner_revision = full_read ? reply.newest : std::max(owner_revision, reply.newest);
  owner_read = true;
}

void EntryNode::Impl::ClaimOwnership(MonotonicTime now) {
  // The row must have been confirmed recently: a disconnected node must not claim the ownership.
  const bool connected = now - owner_confirmed_at < kOwnerPollWait + kFeedSlack;
  if (stopping || claiming || !admission_controller.config() || !connected) return;
  // The requests of operators must be known before the first start.
  if (!evacuations.confirmed()) return;
  const auto write = lease.Claim(now, store_delay);
  if (!write) return;
  claiming = true;
  RowTransaction tx;
  tx.expected.emplace_back(rows::Owner(), write->expected);
  tx.writes.emplace_back(rows::Owner(), write->row.Encode());
  ports.store.Commit(tx, kStoreTimeout,
                     Guard<const RowsReply&>([this, row = write->row, now](const RowsReply& reply) {
                       claiming = false;
                       owner_read = false;
                       if (reply.outcome != StoreOutcome::kDone) {
                         lease.OnWriteFailed();
                         return;
                       }
                       lease.OnWriteSucceeded(row, reply.newest, now);
                       ReportEvent(NodeEvent::kOwnershipTaken,
                                   "token " + std::to_string(row.token.count()) + " revision " +
                                       std::to_string(reply.newest.count()));
                     }));
}

void EntryNode::Impl::RequestOwnership(MonotonicTime now) {
  if (stopping || claiming || !admission_controller.Ready(now) || !config_reachable) return;
  const auto write = lease.Request(now);
  if (!write) return;
  claiming = true;
  RowTransaction tx;
  tx.expected.emplace_back(rows::Owner(), write->expected);
  tx.writes.emplace_back(rows::Owner(), write->row.Encode());
  ReportEvent(NodeEvent::kOwnershipRequested,
              "token " + std::to_string(write->row.token.count()) + " holder " +
                  write->row.holder.str() + " capability " + std::to_string(write->row.capability) +
                  " here " + std::to_string(settings.lease.capability));
  ports.store.Commit(tx, kStoreTimeout,
                     Guard<const RowsReply&>([this, row = write->row](const RowsReply& reply) {
                       claiming = false;
                       if (reply.outcome == StoreOutcome::kDone) {
                         lease.OnRequestWritten(row, reply.newest, ports.now());
                         return;
                       }
                       owner_read = false;
                       lease.OnWriteFailed();
                     }));
}

void EntryNode::Impl::Tick(MonotonicTime now) {
  PollConfig(now);
  PollOwner(now);
  ClaimOwnership(now);
  RequestOwnership(now);
  if (lease.owner() && !owner) {
    owner = std::make_unique<FleetOwner>(settings.owner, ports, lease, store_delay);
    owner->SetConfig(admission_controller.config());
    owner->SetEvacuations(evacuations);
    for (const auto& [number, wave] : waves) owner->AddWave(wave);
    if (stopping) owner->BeginRelease();
  }
  if (owner) owner->Tick(now);
  if (owner && !lease.owner()) {
    owner.reset();
    owner_read = false;
    ReportEvent(NodeEvent::kOwnershipEnded, "token " + std::to_string(lease.token().count()));
  }
  auto due = std::partition(scheduled.begin(), scheduled.end(),
                            [&](const auto& it) { return it.first > now; });
  std::vector<std::pair<MonotonicTime, std::function<void()>>> tasks(
      std::make_move_iterator(due), std::make_move_iterator(scheduled.end()));
  scheduled.erase(due, scheduled.end());
  for (auto& [at, task] : tasks) task();
}

EntryNode::EntryNode(Settings settings, FleetPorts ports)
    : impl_(std::make_shared<Impl>(std::move(settings), std::move(ports))) {}

EntryNode::~EntryNode() = default;

void EntryNode::Tick(MonotonicTime now) { impl_->Tick(now); }

void EntryNode::Handle(const CallerCall& call, Respond respond) {
  impl_->Handle(call, std::move(respond));
}

void EntryNode::BeginStop() {
  impl_->stopping = true;
  if (impl_->owner) impl_->owner->BeginRelease();
}

bool EntryNode::Ready(MonotonicTime now) const {
  return !impl_->stopping && impl_->config_reachable && impl_->admission_controller.Ready(now);
}

bool EntryNode::owner() const noexcept { return impl_->lease.owner(); }

std::size_t EntryNode::MaxBodyBytes() const {
  const auto config = impl_->admission_controller.config();
  return config ? config->max_body_bytes : DispatchConfig{}.max_body_bytes;
}

std::size_t EntryNode::EvacuatedDataCentres() const {
  return impl_->evacuations.data_centres().size();
}

int EntryNode::EvacuatedTasks() const { return impl_->owner ? impl_->owner->EvacuatedTasks() : 0; }

std::map<PoolId, int> EntryNode::DeferredJobs() const {
  return impl_->owner ? impl_->owner->Deferred() : std::map<PoolId, int>{};
}

}  // namespace sapphirewheel
