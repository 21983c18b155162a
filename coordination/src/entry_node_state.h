#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "sapphirewheel/coordination/entry_node.h"
#include "sapphirewheel/coordination/stored_job.h"
#include "store_timeouts.h"

namespace sapphirewheel {

// One call of a caller that is being served.
struct CallInProgress {
  JobId job;
  StoredJob stored;
  EntryNode::Respond respond;
  MonotonicTime answer_by;
  int attempts = 0;
  // A write may have been carried out.
  bool maybe_done = false;
};
using Pending = std::shared_ptr<CallInProgress>;

// The row of an answer with a key; null when there is none.
[[nodiscard]] const StoredRow* FindRow(const RowsReply& answer, const std::string& key);

struct EntryNode::Impl : std::enable_shared_from_this<EntryNode::Impl> {
  Impl(Settings given, FleetPorts given_ports)
      : settings(std::move(given)),
        ports(std::move(given_ports)),
        admission_controller(settings.admission),
        lease(settings.lease) {}

  // entry_node.cc
  void Tick(MonotonicTime now);
  void PollConfig(MonotonicTime now);
  void TakeOperatorRows(const RowsReply& answer, MonotonicTime sent);
  void PollOwner(MonotonicTime now);
  void TakeOwnerRow(const RowsReply& answer, bool whole);
  void ClaimOwnership(MonotonicTime now);

  // entry_node_calls.cc
  void Handle(const CallerCall& call, Respond respond);
  // Answers a call that nothing was done for, and tells why.
  void Refuse(const std::string& path, const Error& error, const Respond& respond) const;
  void Submit(const Pending& call);
  // Reads one row for a call and passes it on, null when it is absent; reads again or answers the
  // call when the store does not.
  void ReadRow(const Pending& call, const RowAddress& at,
               const std::function<void(const StoredRow*)>& take);
  void ReadState(const Pending& call);
  void ReadJob(const Pending& call);
  void Cancel(const Pending& call);
  void WriteCancel(const Pending& call, Revision revision);
  void ReadWaiting(const QueueId& queue, const std::string& path, const Respond& respond,
                   MonotonicTime answer_by);
  void ReplyWaiting(const QueueId& queue, const std::string& path, const Respond& respond);
  void Later(Millis delay, std::function<void()> task);
  [[nodiscard]] Millis Remaining(const CallInProgress& call) const;
  // Tries the store once more where that is worth it; else answers the call.
  void RetryOrAnswer(const Pending& call, StoreOutcome outcome, std::function<void()> again);
  void Remember(const JobId& id);
  void Note(NodeEvent event, const std::string& detail) const {
    if (ports.note) ports.note(event, detail);
  }

  template <typename Arg, typename F>
  std::function<void(Arg)> Guard(F task) {
    return [weak = this->weak_from_this(), task = std::move(task)](Arg arg) {
      if (const auto self = weak.lock()) task(arg);
    };
  }

  const Settings settings;
  const FleetPorts ports;
  AdmissionController admission_controller;
  FleetLease lease;
  std::unique_ptr<FleetOwner> owner;
  bool stopping = false;

  bool config_read = false;
  bool config_in_flight = false;
  bool config_reachable = true;
  Revision config_after;
  MonotonicTime config_next;
  // How late answers of the table service are.
  Millis store_delay{0};
  std::map<std::int64_t, WaveOrder> waves;

  bool owner_read = false;
  bool owner_in_flight = false;
  Revision owner_after;
  MonotonicTime owner_next;
  // When the table service last answered about the owner.
  MonotonicTime owner_confirmed;
  bool claiming = false;

  std::optional<WaitingCounts> waiting;
  // Store clock at `waiting_read`.
  StoreClock waiting_now;
  MonotonicTime waiting_read;

  std::vector<std::pair<MonotonicTime, std::function<void()>>> later;
  std::unordered_set<JobId> remembered;
  std::deque<JobId> remembered_order;
};

}  // namespace sapphirewheel
