#pragma once

#include <string>
#include <vector>

#include "sapphirewheel/coordination/job_manager.h"

namespace sapphirewheel::internal {

// The table takes at most 64 KiB a value; a larger record cannot be written.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{60} * 1024;
// Sends of one transaction before the caller is told that its outcome is unknown.
inline constexpr int kMaxTries = 3;

[[nodiscard]] inline bool HasEnded(JobState state) noexcept {
  return state != JobState::kQueued && state != JobState::kRunning;
}

[[nodiscard]] inline Error PlatformUnavailable() {
  return Error{ErrorKind::kPlatformUnavailable, "the platform's table service did not answer",
               "retry when the platform is available", RunState::kNotRun, Millis(1000)};
}

[[nodiscard]] inline Error OutcomeUnknown() {
  return Error{ErrorKind::kOutcomeUnknown, "the job's record could not be settled in time",
               "repeat the call with the same Idempotency-Key", RunState::kUnknown, Millis(1000)};
}

[[nodiscard]] inline Error JobNotFound() {
  return Error{ErrorKind::kNotFound, "the team has no such job", "check the job id",
               RunState::kNotRun, std::nullopt};
}

// The row of a key among the rows of a conflict; null when it is not there.
[[nodiscard]] inline const Row* FindRow(const std::vector<Row>& rows, const RowKey& key) {
  for (const Row& row : rows) {
    if (row.key == key) return &row;
  }
  return nullptr;
}

}  // namespace sapphirewheel::internal
