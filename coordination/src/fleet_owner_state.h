#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cancel_marks.h"
#include "read_pacer.h"
#include "sapphirewheel/coordination/fleet_owner.h"
#include "sapphirewheel/coordination/roster_rows.h"
#include "sapphirewheel/coordination/vm_fences.h"
#include "store_timeouts.h"

namespace sapphirewheel {

// Interval of the reports of the first contact with the backend servers. A fleet that the node
// contacts within this time is not reported.
inline constexpr Millis kContactReportInterval{500};
// Pause between two reads of the feed of jobs, so that one read returns several changes.
inline constexpr Millis kJobsFeedPause{25};

// State of following the changes of one table, with a pause between two reads.
struct Feed {
  std::string table;
  Revision after;
  Millis pause{0};
  MonotonicTime next;
  bool in_flight = false;
  // The last poll had a reply.
  bool reachable = true;
  // Number of the last poll. Replies to earlier ones, which were given up, are not used.
  std::uint64_t last_poll = 0;
  // It is in flight and waits for a change.
  bool waiting = false;
};

// Calls a function when the last reference to the guard is released, that is when the last of
// several reads has completed.
class CompletionGuard {
 public:
  explicit CompletionGuard(std::function<void()> done) : done_(std::move(done)) {}
  ~CompletionGuard() { done_(); }
  CompletionGuard(const CompletionGuard&) = delete;
  CompletionGuard& operator=(const CompletionGuard&) = delete;

 private:
  std::function<void()> done_;
};
using CompletionGuardRef = std::shared_ptr<CompletionGuard>;
using RowHandler = std::function<void(const StoredRow&)>;

// The state of an owner. The stored state is loaded first; then the dispatcher, the maintenance
// waves and the autoscaler run.
struct FleetOwner::Impl : std::enable_shared_from_this<FleetOwner::Impl> {
  Impl(Settings given, FleetPorts given_ports, FleetLease& given_lease, Millis store_delay)
      : settings(given),
        ports(std::move(given_ports)),
        lease(given_lease),
        taken_at(ports.now()),
        read_pacer(store_delay) {}

  // fleet_owner_load.cc
  void Load();
  // Whether another node should try to load the stored state in place of this one.
  [[nodiscard]] bool LoadsTooLong(MonotonicTime now) const;
  void LoadTables();
  void ReadPart(const std::string& table, const std::string& part, const std::string& from,
                const CompletionGuardRef& completion, const RowHandler& handle_row);
  void ReadPage(const std::string& table, const std::string& part, const std::string& from,
                const CompletionGuardRef& completion, const RowHandler& handle_row);
  void RunWaitingReads();
  void ReadJobs(const std::string& after, const CompletionGuardRef& completion,
                const RowHandler& handle_row);
  void ScheduleAfter(Millis delay, std::function<void()> task);
  void RunScheduled(MonotonicTime now);
  void Resync(Feed& feed, const std::function<void(const CompletionGuardRef&)>& read,
              const std::function<void()>& done);
  void ApplyOwnedRow(const StoredRow& row);
  [[nodiscard]] std::string EncodeRoster(const Roster& entries) const;
  [[nodiscard]] Roster DecodeRoster(const std::string& text) const;
  [[nodiscard]] std::string EncodeHandOver(const HandOver& hand_over) const;
  // Absent if the text is malformed, or is not of the last owner.
  [[nodiscard]] std::optional<HandOver> DecodeHandOver(const std::string& text) const;
  [[nodiscard]] std::string DescribeHandOver(MonotonicTime now) const;
  void StartRunning();
  // Absent for a removed row, or one that cannot be decoded.
  [[nodiscard]] std::optional<StoredJob> DecodeJobRow(const StoredRow& row) const;
  // Whether an earlier owner may have started the job.
  [[nodiscard]] bool IsInherited(const StoredJob& job) const;
  void AddJob(StoredJob job, bool inherited);
  void ApplyJobRow(const StoredRow& row);
  // Updates `cancel_marks`. Returns whether the row is a mark, and not a job.
  bool RecordCancelMark(const StoredRow& row);
  void ApplyBackendRow(const StoredRow& row);
  void PollFeed(Feed& feed, const std::function<void(const StoredRow&)>& handle_row,
                const std::function<void()>& resync);
  // Gives up the polls that wait for a change.
  void DoubtFeeds();
  void ResyncJobs();
  void ResyncRegistry();

  // fleet_owner_write.cc
  void Commit();
  // Adds a row to a transaction. One that is larger than the table service takes is left out and
  // reported, because the service would refuse the whole transaction. Returns whether it was added.
  bool AddWrite(RowTransaction& tx, const RowAddress& at, std::string value);
  void AddProgress(RowTransaction& tx);
  std::optional<RosterRows::Change> AddRoster(RowTransaction& tx, const Roster& wanted);
  void ReportTooLarge(const RowAddress& at, std::size_t bytes);
  void OnCommitted(const RowsReply& reply, bool renewed, bool released, MonotonicTime sent);
  void WriteWaveStatus();
  void RemoveEndedJobs();
  void RemoveExpiredJobs();
  void RemoveExpiredMarks();

  // fleet_owner_evacuation.cc
  // Logs the evacuations that began or ended since the last call, with what runs there.
  void ReportEvacuations();

  // fleet_owner.cc
  void ListVms();
  void SendFence();
  void Tick(MonotonicTime now);
  // Logs what the pools need and have, and what placement cost, once in kLoadReportInterval.
  void FollowRequest();
  // Logs how many backend servers were not polled yet, if that takes long.
  void ReportContact(MonotonicTime now);
  void ReportLoad(const std::map<PoolId, Dispatcher::PoolLoad>& loads, MonotonicTime now);
  void ReportEvent(NodeEvent event, const std::string& detail) const {
    if (ports.on_event) ports.on_event(event, detail);
  }
  // Counts an order to a VM as open until its outcome is known, and steps down if it was fenced.
  [[nodiscard]] std::function<void(VmOrderOutcome)> OnVmOrder(
      std::function<void(VmOrderOutcome)> handle_outcome);
  Dispatcher::Hooks DispatcherHooks();
  MaintenanceRunner::Hooks MaintenanceHooks();
  PoolAutoscaler::Hooks AutoscalerHooks();

  // Wraps a callback so that it does nothing once the owner has been destroyed.
  template <typename... Args, typename F>
  [[nodiscard]] std::function<void(Args...)> Guard(F task) {
    return [weak = this->weak_from_this(), task = std::move(task)](Args... args) {
      if (const auto self = weak.lock()) task(args...);
    };
  }
  std::function<void(const RowsReply&)> OnRows(std::function<void(const RowsReply&)> task) {
    return Guard<const RowsReply&>(std::move(task));
  }

  const Settings settings;
  const FleetPorts ports;
  FleetLease& lease;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<MaintenanceRunner> maintenance;
  std::unique_ptr<PoolAutoscaler> autoscaler;
  MonotonicTime next_autoscale;
  MonotonicTime next_load_report;
  Dispatcher::PlacementWork reported_work;
  MonotonicTime next_contact_report;
  // When it was first reported that servers were not polled yet.
  std::optional<MonotonicTime> contact_reported_at;
  bool fences_queued = false;
  // Orders to VMs without an outcome. The ownership is not released before it is 0, because the
  // next owner may order the same VM at once.
  int open_vm_orders = 0;
  VmFences fences;
  std::shared_ptr<const DispatchConfig> config;
  Evacuations evacuations;
  std::set<DataCentreId> reported_evacuations;
  std::map<std::int64_t, WaveOrder> waves;
  // What earlier owners stored of each wave.
  std::map<std::int64_t, MaintenanceProgress> wave_progress;
  std::set<std::int64_t> known_waves;

  // When this node took the ownership; earlier owners sent no orders after it.
  const MonotonicTime taken_at;
  bool loading = false;
  bool running = false;
  bool releasing = false;
  MonotonicTime retry_load;
  ReadPacer read_pacer;
  // When a page of the stored state was last read.
  MonotonicTime page_read_at;
  int open_reads = 0;
  // Reads of pages that wait for an earlier one.
  std::deque<std::function<void()>> waiting_reads;
  std::vector<StoredRow> loaded_jobs;
  std::map<JobId, JobProgress> loaded_progress;
  std::vector<StoredRow> loaded_backends;
  RosterRows roster_rows;
  // The horizon of the last owner, if it stored one: no later job has been started.
  std::optional<Revision> inherited_horizon;
  // The token of the last owner that stored a horizon, and the routes of the last one that stored
  // any.
  std::optional<Epoch> horizon_token;
  std::optional<RouteRecord> inherited_routes;
  std::optional<HandOver> inherited_hand_over;
  // The start horizon that was sent last. It is ahead of the newest revision seen by as many
  // revisions as there were between the last two renewals, so that most jobs need not wait for it.
  Revision horizon;
  Revision newest_seen;
  Revision renewed_revision;
  std::uint64_t revisions_per_renewal = 0;
  Feed jobs_feed{rows::kJobs, Revision(), kJobsFeedPause, {}, false};
  Feed registry_feed;
  std::vector<std::pair<MonotonicTime, std::function<void()>>> scheduled;

  bool committing = false;
  // A write without a reply may still be carried out.
  bool commit_uncertain = false;
  // After the table service has rejected a write, the next ones hold only what the ownership and
  // new jobs need until then.
  MonotonicTime essential_writes_until;
  // When rows that are too large may be reported again.
  std::map<RowAddress, MonotonicTime> next_too_large_report;
  // Recent duration of a write.
  Millis commit_time{20};
  MonotonicTime next_commit;
  MonotonicTime next_horizon;
  // Wave rows to be written, and the completion of waves to be shown to operators.
  std::map<std::int64_t, MaintenanceProgress> wave_rows;
  std::map<std::int64_t, bool> status_writes;
  bool status_in_flight = false;
  // The store's clock in its last reply, and when the call was sent and the reply was here: the
  // clock was read between the two.
  StoreClock store_now;
  MonotonicTime store_asked_at;
  MonotonicTime store_read_at;
  MonotonicTime next_vm_list;
  bool vm_list_in_flight = false;
  // Ended jobs whose rows are still to be removed, by part.
  std::map<std::string, std::vector<JobId>> removable_jobs;
  MonotonicTime next_row_removal;
  MonotonicTime next_cleanup;
  CancelMarks cancel_marks;
  MonotonicTime next_mark_cleanup;
};

}  // namespace sapphirewheel
