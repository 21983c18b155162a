#pragma once

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

// What is written down of a job's tasks: ends that count for good. Starts are not written; the
// backend servers list what runs.
class JobProgress {
 public:
  JobOutcome outcome = JobOutcome::kOpen;

  // Returns false when it was marked before.
  bool MarkDone(const TaskKey& task);
  [[nodiscard]] bool IsDone(const TaskKey& task) const;
  [[nodiscard]] int DoneCount(int occurrence, int step) const;

  // Counts a failed run once, however often it is listed. Returns the count.
  int CountFailure(const TaskKey& task, RunNumber run);
  [[nodiscard]] int FailureCount(const TaskKey& task) const;

  // Replaces the task marks of a finished occurrence by one mark.
  void FinishOccurrence(int occurrence);
  [[nodiscard]] bool IsFinished(int occurrence) const { return finished_.count(occurrence) > 0; }
  [[nodiscard]] std::size_t FinishedCount() const { return finished_.size(); }

  // Compact JSON for a table row.
  [[nodiscard]] std::string Encode() const;
  // Errors: kInvalidArgument for anything that Encode does not write.
  [[nodiscard]] static Result<JobProgress> Decode(std::string_view text);

 private:
  using StepKey = std::pair<int, int>;

  std::map<StepKey, std::set<int>> done_;
  // Failed runs by occurrence, step and index. Each run is kept, as a new owner meets the ends of
  // several backend servers in any order.
  std::map<std::tuple<int, int, int>, std::set<RunNumber>> failures_;
  std::set<int> finished_;
};

// "queued", "completed", "failed" or "cancelled"; open jobs are told apart by whether a task runs.
[[nodiscard]] const char* OutcomeName(JobOutcome outcome) noexcept;

}  // namespace sapphirewheel
