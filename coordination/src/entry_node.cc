#include "sapphirewheel/coordination/entry_node.h"

#include <algorithm>

#include "entry_node_state.h"

namespace sapphirewheel {
namespace {

// Bounds the age of the configuration between two answers of the feed.
constexpr Millis kConfigWait{800};
// Longest wait of the feed of the owner row, which changes with each renewal.
constexpr Millis kOwnerWait{1200};
// Added to a feed's wait before its answer counts as lost.
constexpr Millis kFeedSlack{700};
// Ids of accepted jobs that a node remembers, so that their state needs one read.
constexpr std::size_t kRememberedJobs = 5000;

}  // namespace

const StoredRow* FindRow(const RowsReply& answer, const std::string& key) {
  const auto it = std::find_if(answer.rows.begin(), answer.rows.end(),
                               [&](const StoredRow& row) { return row.at.key == key; });
  return it == answer.rows.end() ? nullptr : &*it;
}

void EntryNode::Impl::Later(Millis delay, std::function<void()> task) {
  later.emplace_back(ports.now() + delay, std::move(task));
}

void EntryNode::Impl::Remember(const JobId& id) {
  if (!remembered.insert(id).second) return;
  remembered_order.push_back(id);
  if (remembered_order.size() <= kRememberedJobs) return;
  remembered.erase(remembered_order.front());
  remembered_order.pop_front();
}

void EntryNode::Impl::PollConfig(MonotonicTime now) {
  if (config_in_flight || now < config_next) return;
  config_in_flight = true;
  // After an outage the first answer comes at once, so that the node is ready again.
  const Millis wait = config_read && config_reachable ? kConfigWait : Millis(0);
  const auto take = Guard<const RowsReply&>([this, now, wait](const RowsReply& answer) {
    config_in_flight = false;
    const bool waited = answer.outcome != StoreOutcome::kDone || answer.rows.empty();
    const Millis delay = waited ? ports.now() - now - wait : Millis(0);
    store_delay = std::clamp(delay, store_delay / 2, kStoreTimeout);
    const bool reached = answer.outcome == StoreOutcome::kDone;
    if (reached != config_reachable) {
      config_reachable = reached;
      Note(reached ? NodeEvent::kStoreAvailable : NodeEvent::kStoreUnavailable,
           "configuration version " +
               std::to_string(admission_controller.config()
                                  ? admission_controller.config()->version.count()
                                  : 0) +
               " confirmed " + std::to_string((ports.now() - now).count()) + " ms before");
    }
    if (answer.outcome == StoreOutcome::kHistoryGone) {
      config_read = false;
      return;
    }
    if (!reached) {
      config_next = ports.now() + kStoreRetryDelay;
      return;
    }
    TakeOperatorRows(answer, now);
  });
  const std::string table = ports.reader.OperatorTable();
  if (config_read) {
    ports.store.Follow(table, config_after, wait, kConfigWait + kFeedSlack, take);
  } else {
    ports.store.Read(table, "", "", "", kStoreTimeout, take);
  }
}

void EntryNode::Impl::TakeOperatorRows(const RowsReply& answer, MonotonicTime sent) {
  for (const StoredRow& row : answer.rows) {
    if (auto config = ports.reader.Config(row)) {
      auto shared = std::make_shared<const DispatchConfig>(std::move(*config));
      if (!admission_controller.Apply(shared)) continue;
      Note(NodeEvent::kConfigApplied, "version " + std::to_string(shared->version.count()) +
                                          " revision " + std::to_string(row.revision.count()));
      if (owner) owner->SetConfig(admission_controller.config());
    } else if (const auto wave = ports.reader.Wave(row)) {
      Note(NodeEvent::kWave, std::to_string(wave->number) +
                                 " ordered, vms=" + std::to_string(wave->vms.size()) +
                                 " most=" + std::to_string(wave->max_down) +
                                 " deadline=" + std::to_string(wave->deadline.count()));
      waves[wave->number] = *wave;
      if (owner) owner->AddWave(*wave);
    }
  }
  config_after = config_read ? std::max(config_after, answer.newest) : answer.newest;
  config_read = true;
  admission_controller.Confirm(sent);
}

void EntryNode::Impl::PollOwner(MonotonicTime now) {
  if (owner_in_flight || now < owner_next || claiming || lease.owner()) return;
  owner_in_flight = true;
  const bool whole = !owner_read;
  const auto take = Guard<const RowsReply&>([this, whole](const RowsReply& answer) {
    owner_in_flight = false;
    if (answer.outcome == StoreOutcome::kHistoryGone) owner_read = false;
    if (answer.outcome != StoreOutcome::kDone) {
      owner_next = ports.now() + kStoreRetryDelay;
      return;
    }
    owner_confirmed = ports.now();
    TakeOwnerRow(answer, whole);
  });
  if (whole) {
    ports.store.Read(rows::kFleet, rows::kOwnerPart, "", "", kStoreTimeout, take);
  } else {
    ports.store.Follow(rows::kFleet, owner_after, kOwnerWait, kOwnerWait + kFeedSlack, take);
  }
}

void EntryNode::Impl::TakeOwnerRow(const RowsReply& answer, bool whole) {
  const StoredRow* row = FindRow(answer, rows::kOwner);
  if (row != nullptr) {
    const auto decoded = OwnerRow::Decode(row->value);
    if (decoded) lease.Observe(decoded.value(), row->revision, ports.now());
  } else if (whole) {
    lease.Observe(std::nullopt, Revision(), ports.now());
  }
  owner_after = whole ? answer.newest : std::max(owner_after, answer.newest);
  owner_read = true;
}

void EntryNode::Impl::ClaimOwnership(MonotonicTime now) {
  // The row must have been confirmed lately: a node that is cut off claims nothing.
  const bool connected = now - owner_confirmed < kOwnerWait + kFeedSlack;
  if (stopping || claiming || !admission_controller.config() || !connected) return;
  const auto write = lease.Claim(now, store_delay);
  if (!write) return;
  claiming = true;
  RowTransaction tx;
  tx.expected.emplace_back(rows::Owner(), write->expected);
  tx.writes.emplace_back(rows::Owner(), write->row.Encode());
  ports.store.Commit(
      tx, kStoreTimeout,
      Guard<const RowsReply&>([this, row = write->row, now](const RowsReply& answer) {
        claiming = false;
        owner_read = false;
        if (answer.outcome != StoreOutcome::kDone) {
          lease.Lost();
          return;
        }
        lease.Won(row, answer.newest, now);
        Note(NodeEvent::kOwnershipTaken, "token " + std::to_string(row.token.count()) +
                                             " revision " + std::to_string(answer.newest.count()));
      }));
}

void EntryNode::Impl::Tick(MonotonicTime now) {
  PollConfig(now);
  PollOwner(now);
  ClaimOwnership(now);
  if (lease.owner() && !owner) {
    owner = std::make_unique<FleetOwner>(settings.owner, ports, lease);
    owner->SetConfig(admission_controller.config());
    for (const auto& [number, wave] : waves) owner->AddWave(wave);
    if (stopping) owner->BeginRelease();
  }
  if (owner) owner->Tick(now);
  if (owner && !lease.owner()) {
    owner.reset();
    owner_read = false;
    Note(NodeEvent::kOwnershipEnded, "token " + std::to_string(lease.token().count()));
  }
  auto due =
      std::partition(later.begin(), later.end(), [&](const auto& it) { return it.first > now; });
  std::vector<std::pair<MonotonicTime, std::function<void()>>> tasks(
      std::make_move_iterator(due), std::make_move_iterator(later.end()));
  later.erase(due, later.end());
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

}  // namespace sapphirewheel
