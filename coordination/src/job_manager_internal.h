#pragma once

#include <string>
#include <vector>

#include "sapphirewheel/coordination/job_manager.h"

namespace sapphirewheel::internal {

// Limit for an encoded record; the table accepts values of up to 64 KiB.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{60} * 1024;
// Number of times that a transaction is sent before the caller gets kOutcomeUnknown.
inline constexpr int kMaxSends = 3;

[[nodiscard]] inline bool HasEnded(JobState state) noexcept {
  return state != JobState::kQueued && state != JobState::kRunning;
}

[[nodiscard]] inline Error PlatformUnavailable() {
  return Error{ErrorKind::kPlatformUnavailable, "the platform's table service did not answer",
               "retry when the platform is available", RunState::kNotRun, Millis(1000)};
}

[[nodiscard]] inline Error OutcomeUnknown() {
  return Error{ErrorKind::kOutcomeUnknown,
               "the platform's table service did not confirm the job's record in time",
               "repeat the call with the same Idempotency-Key", RunState::kUnknown, Millis(1000)};
}

[[nodiscard]] inline Error JobNotFound() {
  return Error{ErrorKind::kNotFound, "the team has no such job", "check the job id",
               RunState::kNotRun, std::nullopt};
}

// Finds the row with the key among the rows of a conflict; null if it is missing.
[[nodiscard]] inline const Row* FindRow(const std::vector<Row>& rows, const RowKey& key) {
  for (const Row& row : rows) {
    if (row.key == key) return &row;
  }
  return nullptr;
}

}  // namespace sapphirewheel::internal
