#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "sapphirewheel/coordination/entry_node.h"
#include "sapphirewheel/coordination/stored_job.h"
#include "store_timeouts.h"
#include "submission_memory.h"

namespace sapphirewheel {

// A call that is being served.
struct PendingCall {
  JobId job;
  StoredJob stored;
  EntryNode::Respond respond;
  MonotonicTime received_at;
  MonotonicTime reply_by;
  // When the present attempt to serve it began.
  MonotonicTime attempt_began;
  int attempts = 0;
  // A write may have been carried out.
  bool may_be_done = false;
  // Of a submission.
  SubmissionMemory::Share memory;
};
using PendingCallRef = std::shared_ptr<PendingCall>;

// The row of a reply with the given key; null if there is none.
[[nodiscard]] const StoredRow* FindRow(const RowsReply& reply, const std::string& key);

// A full read of the operators' rows, page by page.
struct OperatorRead {
  // When the first page was requested, and the revision that it shows; the feed continues there.
  MonotonicTime began;
  std::optional<Revision> newest;
  // Smallest key of the next page.
  std::string from;
  std::set<DataCentreId> evacuated;
};

struct EntryNode::Impl : std::enable_shared_from_this<EntryNode::Impl> {
  Impl(Settings given, FleetPorts given_ports)
      : settings(std::move(given)),
        ports(std::move(given_ports)),
        admission_controller(settings.admission),
        submission_memory(settings.max_submission_bytes),
        lease(settings.lease),
        evacuations(settings.evacuation_max_age) {}

  // entry_node.cc
  void Tick(MonotonicTime now);
  void PollConfig(MonotonicTime now);
  // Records whether the reply of a poll of the configuration outlasted the time in which it should
  // have begun.
  void RecordConfigDelay(Millis took, bool done);
  void ApplyOperatorRows(const RowsReply& reply, MonotonicTime sent);
  void ApplyOperatorRow(const StoredRow& row);
  // Takes a page of a full read. Returns whether it was the last one.
  bool FinishFullRead(const RowsReply& reply);
  void PollOwner(MonotonicTime now);
  void ApplyOwnerRow(const RowsReply& reply, bool full_read);
  void ClaimOwnership(MonotonicTime now);
  // Asks an owner on a much weaker VM for the ownership.
  void RequestOwnership(MonotonicTime now);

  // entry_node_calls.cc
  void Handle(const CallerCall& call, Respond respond);
  // Logs and sends an error reply to a call for which nothing was done.
  void Refuse(const std::string& path, const Error& error, const Respond& respond) const;
  void Submit(const PendingCallRef& call);
  // Logs and answers that the job is stored.
  void Accept(const PendingCallRef& call, const std::string& detail);
  void HandleStoredAlready(const PendingCallRef& call, const RowsReply& reply);
  // Reads one row for a call and passes it to `handle_row`, null if it is absent. If the store does
  // not reply, reads again or sends an error reply.
  void ReadRow(const PendingCallRef& call, const RowAddress& at,
               const std::function<void(const StoredRow*)>& handle_row);
  void ReadState(const PendingCallRef& call);
  void ReadJob(const PendingCallRef& call);
  void ReadEnded(const PendingCallRef& call);
  static void ReplyProgress(const PendingCallRef& call, const StoredRow& row);
  void Cancel(const PendingCallRef& call);
  void CancelEnded(const PendingCallRef& call);
  void MarkCancelled(const PendingCallRef& call);
  void WriteCancel(const PendingCallRef& call, Revision revision);
  void RetryCancel(const PendingCallRef& call, StoreOutcome outcome);
  // Logs and answers that the job is not known.
  void ReplyGone(const PendingCallRef& call) const;
  void ReadWaiting(const QueueId& queue, const std::string& path, const Respond& respond,
                   MonotonicTime reply_by);
  void ReplyWaiting(const QueueId& queue, const std::string& path, const Respond& respond);
  void ScheduleAfter(Millis delay, std::function<void()> task);
  [[nodiscard]] Millis Remaining(const PendingCall& call) const;
  // Retries the request to the store if that may still succeed; else sends an error reply.
  void RetryOrReply(const PendingCallRef& call, StoreOutcome outcome, std::function<void()> retry);
  void RememberAccepted(const JobId& id);
  void ReportEvent(NodeEvent event, const std::string& detail) const {
    if (ports.on_event) ports.on_event(event, detail);
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
  SubmissionMemory submission_memory;
  FleetLease lease;
  std::unique_ptr<FleetOwner> owner;
  bool stopping = false;

  // A full read of the operators' rows has been completed, and the feed is followed.
  bool config_read = false;
  // Set during a full read.
  std::optional<OperatorRead> full_read;
  bool config_in_flight = false;
  bool config_reachable = true;
  Revision config_revision;
  MonotonicTime next_config_poll;
  // The present poll of the configuration, or the last one.
  MonotonicTime config_sent;
  ReplyLimits config_limits;
  // The last reply took so long that it confirms only an old state.
  bool config_late = false;
  // Present delay of the table service's replies.
  Millis store_delay{0};
  std::map<std::int64_t, WaveOrder> waves;
  Evacuations evacuations;

  bool owner_read = false;
  bool owner_in_flight = false;
  Revision owner_revision;
  MonotonicTime next_owner_poll;
  // When the table service last replied about the owner row.
  MonotonicTime owner_confirmed_at;
  bool claiming = false;

  std::optional<WaitingCounts> waiting;
  // Store clock at `waiting_read_at`.
  StoreClock waiting_store_time;
  MonotonicTime waiting_read_at;

  std::vector<std::pair<MonotonicTime, std::function<void()>>> scheduled;
  // Jobs that this node has recently accepted, and their order.
  std::unordered_set<JobId> accepted_jobs;
  std::deque<JobId> accepted_order;
};

}  // namespace sapphirewheel
