#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/dispatcher.h"
#include "sapphirewheel/coordination/interference_model.h"
#include "sapphirewheel/coordination/start_ranking.h"

// What the dispatcher knows of jobs, their tasks and backend servers.

namespace sapphirewheel {

// Pace of a task at full speed, and readiness of a long-running task that is ready.
constexpr int kFullPercent = 100;
constexpr int kUnknownPace = -1;

enum class TaskPhase {
  kWaiting,
  // A start was ordered; whether the task runs is not known.
  kStarting,
  kRunning,
  // A stop was ordered; the task counts as running until its end is known.
  kStopping,
  // Done, or no longer needed.
  kClosed,
};

struct BackendEntry;

struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  // The present run, or the last one if none is present.
  RunNumber run;
  RunNumber highest_run;
  // How many numbers to leave out if the next run is refused because its number is too low.
  std::int64_t numbers_to_skip = 0;
  // Set while the task reserves capacity on a backend server.
  BackendEntry* backend = nullptr;
  std::string checkpoint;
  int percent = 0;
  // When the present run was ordered.
  MonotonicTime ordered_at;
  // When its progress was last seen to change.
  MonotonicTime last_progress;
  // When a start or stop was confirmed; polls sent later show its effect.
  MonotonicTime confirmed_at;
  MonotonicTime retry_at;
  // The task is not started again before this time.
  MonotonicTime not_before;
  BackendClock lease_until;
  bool order_in_flight = false;
  // Another run of the task, a copy, is under way.
  bool has_copy = false;
  // For a copy: the backend server of the other run, on which it must not start.
  BackendId other_run_on;
  // A start had no reply, so it may still be carried out.
  bool may_be_running = false;
  bool stop_confirmed = false;
  // Started or found running by this owner, so that no run of an earlier owner can exist unnoticed.
  bool located = false;
  // When the present run, which this owner did not start, was found running.
  std::optional<MonotonicTime> adopted_at;
  // When the start of the present run was confirmed, if its duration tells how long runs of its
  // image last.
  std::optional<MonotonicTime> measured_from;
  // The pace that was ordered last; kUnknownPace if that order may not have been carried out.
  int pace = kFullPercent;
  // Since when only backend servers on which best-effort and serving tasks would disturb each other
  // have room for it.
  std::optional<MonotonicTime> disturbed_since;
  // Backend server that keeps room for it while it is moved there; empty for none.
  BackendId promised_on;
  // Backend server on which it was stopped last, by this owner or an earlier one, until it is
  // started again.
  BackendId moved_from;
  std::int64_t load = 0;
  // Where it last failed or made no progress.
  BackendId failed_at;
};

// Advice of the queue's policy about running one step on a backend server.
struct Advice {
  // Empty if the backend server may not run the step; such a refusal is final.
  std::string ticket;
  MonotonicTime valid_until;
};

struct StepState {
  std::vector<TaskState> tasks;
  // Second runs of tasks, by the index of the task. Those that have ended are kClosed.
  std::map<int, TaskState> copies;
  std::map<BackendId, Advice> advice;
  int done = 0;
  // All its tasks were done when the occurrence was opened.
  bool done_before = false;
  bool ready = false;
  // A task of it has been on a backend server.
  bool any_placed = false;
  // When it was last reported that a long-running task of the step has no place.
  MonotonicTime waiting_reported;
};

struct OccurrenceState {
  int number = 0;
  std::vector<StepState> steps;
  UnixMillis due;
  // Critical path over the steps that are not done, by the expected durations of their tasks.
  Millis remaining_path{0};
  // Critical path over the steps that were not done when the occurrence was opened.
  Millis critical_path{0};
  // Work of all its tasks that end by themselves.
  CoreWork total_work = 0;
  // Counted as in time or not, see ServedBySize.
  bool counted = false;
  // As of the last ranking that it was part of; the deadline is a time of day.
  StartRank rank;
  bool ranked = false;

  // Whether any run of its tasks is under way.
  [[nodiscard]] bool HasRuns() const {
    const auto runs = [](const TaskState& task) { return task.backend != nullptr; };
    return std::any_of(steps.begin(), steps.end(), [&](const StepState& step) {
      return std::any_of(step.tasks.begin(), step.tasks.end(), runs) ||
             std::any_of(step.copies.begin(), step.copies.end(),
                         [&](const auto& copy) { return runs(copy.second); });
    });
  }
};

struct JobEntry {
  StoredJob stored;
  // The job's queue in the present configuration; null if there is none.
  const QueuePolicy* queue = nullptr;
  JobProgress progress;
  // Earlier owners may have used run numbers up to this one.
  RunNumber inherited_runs;
  std::map<int, OccurrenceState> open;
  // Some of the open occurrences are finished.
  bool has_finished_open = false;
  // Number of the next occurrence to open.
  int next_occurrence = 0;
  // Occurrences that may be open at the same time, so that the progress row has room for them.
  std::size_t max_open = 1;
  // It was reported that due occurrences wait for others.
  bool occurrences_wait = false;
  bool inherited = false;
  // Its team had submitted more than its share.
  bool over_share = false;
  // A run of it is known to have started; an order to start one is not enough.
  bool any_started = false;
  // Number of copies of its tasks that are under way, and whether there have been any.
  int copies = 0;
  bool had_copies = false;
  // Sequence number of the oldest unwritten change; 0 if there is none.
  std::uint64_t dirty_since = 0;
  bool end_written = false;
  std::optional<MonotonicTime> ended_at;

  [[nodiscard]] bool IsOpen() const { return progress.outcome == JobOutcome::kOpen; }
  // Whether any run of it is under way.
  [[nodiscard]] bool HasRuns() const {
    return copies > 0 || std::any_of(open.begin(), open.end(),
                                     [](const auto& it) { return it.second.HasRuns(); });
  }
};

// Order of jobs that does not depend on where they are in memory.
struct ById {
  bool operator()(const JobEntry* a, const JobEntry* b) const {
    return a->stored.id < b->stored.id;
  }
};

// A run that a backend server lists but that is no longer needed, or is unknown.
struct OrphanRun {
  Resources charge;
  // Its resources are not known, so nothing else is placed on the backend server.
  bool unknown_size = false;
  bool order_in_flight = false;
  MonotonicTime retry_at;
};

// A start that had no reply. It may still be carried out, also by a later incarnation, to which its
// lease seems longer because that incarnation's clock has started anew.
struct UnansweredStart {
  // When it was given up.
  MonotonicTime at;
  // The incarnation in which it cannot begin another run: the one that was known then, or a later
  // one in which the run was stopped.
  UnixMillis harmless_in;
  bool stop_in_flight = false;
  MonotonicTime retry_at;
  // The VM did not run the backend server when the order was too old to be on the way, so that only
  // a late copy of it is left.
  bool not_delivered = false;
};

struct BackendEntry {
  BackendReport report;
  bool registered = true;
  // The last written roster lets it have new work.
  bool in_roster = false;
  // No roster that was sent says that it gets no further starts.
  bool open_to_starts = true;
  // The platform has ended it, and its entry has not been seen since.
  bool said_to_have_ended = false;
  // The present incarnation has replied to a poll of this owner, which fences earlier owners there.
  bool has_replied = false;
  // Has recently not replied to an order.
  bool failing = false;
  bool evacuating = false;
  bool avoided = false;
  // It is slow until then.
  MonotonicTime cold_until;
  // When it was first known to drain.
  MonotonicTime draining_since;
  bool suspect_reported = false;
  Resources used;
  // The part of it that long-running and best-effort tasks use, whose ends cannot be foreseen.
  Resources open_ended_use;
  std::set<TaskKey> tasks;
  std::map<std::pair<TaskKey, RunNumber>, OrphanRun> orphans;
  // Tasks that are being moved here.
  std::map<TaskKey, Resources> promised;
  int long_running_tasks = 0;
  int serving_tasks = 0;
  int best_effort_tasks = 0;
  // The same by image.
  InterferenceModel::Neighbours serving_images;
  InterferenceModel::Neighbours best_effort_images;
  // When the best-effort tasks there, or their pace, last changed.
  MonotonicTime best_effort_changed_at;
  // When a report of its serving tasks was last used to learn from.
  MonotonicTime tails_observed_at;

  // Sequence numbers of the newest poll that was sent, and of the newest one with a reply.
  std::int64_t last_poll_sent = 0;
  std::int64_t last_poll_replied = 0;
  // The newest poll has neither got a reply nor timed out.
  bool poll_in_flight = false;
  // When this owner first polled it; until then it is neither failing nor suspect.
  std::optional<MonotonicTime> first_polled_at;
  // When a poll without a reply is repeated; each is repeated once.
  std::optional<MonotonicTime> repeat_poll_at;
  MonotonicTime next_poll;
  // A list of its runs is needed at once, also if a poll in flight waits for an end.
  bool list_wanted = false;
  MonotonicTime last_reply;
  // When its list of runs was last received.
  MonotonicTime last_list;
  // All runs there have ended by then, unless a further order extends the lease.
  MonotonicTime lease_end;
  // The longest lease that was ordered of the present incarnation, when an order last extended the
  // lease, and when the last such order without a reply ended.
  std::optional<BackendClock> longest_lease;
  std::optional<MonotonicTime> last_lease_order;
  std::optional<MonotonicTime> last_lease_unanswered;
  // After a restart, until a lease by the clock of the earlier incarnation no longer matters.
  MonotonicTime unusable_until;
  // Until then such a lease may last, which a successor has to know.
  MonotonicTime longer_lease_until;
  // An incarnation whose list has not been received yet has confirmed a start.
  bool runs_in_unlisted = false;
  std::map<std::pair<TaskKey, RunNumber>, UnansweredStart> unanswered_starts;
  // Start time of the incarnation that sent the last list.
  std::optional<UnixMillis> listed_incarnation;
  // When its start time last changed; polls sent later reach that incarnation or a later one.
  MonotonicTime start_changed_at;
  // Clock of that incarnation; replies to other orders do not name theirs.
  std::optional<BackendClock> clock;
  MonotonicTime clock_read_at;
  std::int64_t ends_seen = 0;
  std::int64_t ends_acknowledged = 0;
  // Highest end number that was sent as acknowledged in a poll.
  std::int64_t ends_ack_sent = 0;
  // End numbers, each with the change that must be written before the end is acknowledged.
  std::deque<std::pair<std::int64_t, std::uint64_t>> unacknowledged;

  // Jobs with failed runs since the last successful run.
  std::set<JobId> failed_jobs;
  MonotonicTime penalized_until;
  // What long-running tasks without room wait for here, in the present placement round. Other work
  // is placed elsewhere.
  std::optional<Resources> reserved;
  // Reserved in the round before.
  bool was_reserved = false;
  // It may get work in the present placement round.
  bool usable = false;

  // Nothing runs there and all ends have been written, so that no result is lost with the server.
  [[nodiscard]] bool IsSettled() const { return !HasRuns() && unacknowledged.empty(); }
  [[nodiscard]] bool HasRuns() const { return !tasks.empty() || !orphans.empty(); }
  // Whether any run of the task is known there or may still begin there.
  [[nodiscard]] bool MayHaveRunOf(const TaskKey& key) const {
    const std::pair<TaskKey, RunNumber> first{key, RunNumber(0)};
    const auto is_of_task = [&](const auto& runs) {
      const auto it = runs.lower_bound(first);
      return it != runs.end() && it->first.first == key;
    };
    return tasks.count(key) > 0 || is_of_task(orphans) || is_of_task(unanswered_starts);
  }
};

inline bool HasLabel(const BackendReport& report, const std::string& label) {
  return std::find(report.labels.begin(), report.labels.end(), label) != report.labels.end();
}

struct TaskRef {
  JobEntry* job = nullptr;
  OccurrenceState* occurrence = nullptr;
  StepState* step = nullptr;
  const StepSpec* spec = nullptr;
  TaskState* task = nullptr;
  int step_number = 0;
  int index = 0;
  // `task` is the state of a copy.
  bool is_copy = false;
  explicit operator bool() const { return task != nullptr; }
};

}  // namespace sapphirewheel
