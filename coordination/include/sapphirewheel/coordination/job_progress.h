#pragma once

#include <boost/icl/interval_set.hpp>
#include <boost/json/fwd.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/state/error.h"

namespace sapphirewheel {

enum class JobOutcome { kOpen, kCompleted, kFailed, kCancelled };

// The stored progress of a job: the ends of tasks that are final. Starts are not stored; backend
// servers list what is running.
class JobProgress {
 public:
  JobOutcome outcome = JobOutcome::kOpen;
  // Runs of the job's tasks may have numbers up to this one; 0 if none has left the range of the
  // owner that started it.
  RunNumber reserved_runs;

  // Returns false if the task was already marked done.
  bool MarkDone(const TaskKey& task);
  [[nodiscard]] bool IsDone(const TaskKey& task) const;
  [[nodiscard]] int DoneCount(int occurrence, int step) const;

  // Counts a failed run once, however often it is reported. Returns the number of failed runs.
  int CountFailure(const TaskKey& task, RunNumber run);
  [[nodiscard]] int FailureCount(const TaskKey& task) const;
  // The tasks that have failed at least this often; a gang is named by its first member.
  [[nodiscard]] std::vector<TaskKey> TasksWithFailures(const JobId& job, int runs) const;

  // Replaces the marks of an occurrence's tasks by one mark for the whole occurrence.
  void FinishOccurrence(int occurrence);
  [[nodiscard]] bool IsFinished(int occurrence) const {
    return boost::icl::contains(finished_, occurrence);
  }
  [[nodiscard]] std::size_t FinishedCount() const { return finished_.size(); }

  // Upper bound of the bytes that an open occurrence of the work adds to a row, as long as none of
  // its tasks has failed.
  [[nodiscard]] static std::size_t MaxOccurrenceBytes(const WorkSpec& spec);

  // Compact JSON for a table row; about 5 kB for each 20,000 tasks of an open occurrence. Finished
  // occurrences are listed, as older versions read them, if the row has no more than `max_bytes`
  // then; else they are ranges, of up to 20 bytes for each gap between them.
  [[nodiscard]] std::string Encode(std::size_t max_bytes = kMaxRowBytes) const;
  // Errors: kInvalidArgument for any text that Encode does not produce.
  [[nodiscard]] static Result<JobProgress> Decode(std::string_view text);

 private:
  using StepKey = std::pair<int, int>;

  [[nodiscard]] boost::json::array EncodeFailureBitmaps() const;

  std::map<StepKey, std::set<int>> done_;
  // Failed runs by occurrence, step and index. Each run number is kept, because a new owner
  // receives the ends of several backend servers in any order.
  std::map<std::tuple<int, int, int>, std::set<RunNumber>> failures_;
  boost::icl::interval_set<int> finished_;
};

// "queued", "completed", "failed" or "cancelled". Callers of this function tell queued from running
// jobs, which are both open.
[[nodiscard]] const char* OutcomeName(JobOutcome outcome) noexcept;

}  // namespace sapphirewheel
