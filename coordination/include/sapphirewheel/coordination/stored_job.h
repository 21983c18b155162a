#pragma once

#include <string>
#include <string_view>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/state/error.h"

namespace sapphirewheel {

// Encodes a job as compact JSON for a table row. The id is the row's key and is not repeated.
// Members with their default value are omitted.
[[nodiscard]] std::string EncodeStoredJob(const StoredJob& job);

// Errors: kInvalidArgument for any text that EncodeStoredJob does not produce.
[[nodiscard]] Result<StoredJob> DecodeStoredJob(const JobId& id, std::string_view text);

// The row of an id that was cancelled while no job was stored under it. As long as the row exists,
// a submission of the id that is carried out late fails, and one that is sent again is stored as
// cancelled.
[[nodiscard]] std::string EncodeCancelMark();
[[nodiscard]] bool IsCancelMark(std::string_view text);

// Validates that the job's row, of `row_bytes` bytes, has room for the mark that the job is
// cancelled, and that the row of its progress can't outgrow the limit as long as few tasks fail.
// Errors: kInvalidArgument.
[[nodiscard]] Result<void> CheckRowSizes(const WorkSpec& spec, std::size_t row_bytes,
                                         std::size_t max_row_bytes);

// Validates the step numbers, counts and sizes of a submitted job. Errors: kInvalidArgument.
[[nodiscard]] Result<void> CheckWorkSpec(const WorkSpec& spec);
// Validates that times, limits and repetitions of a submitted job are in range and that its work
// can be summed up with that of others. Not applied to stored jobs, which were accepted before.
// Errors: kInvalidArgument.
[[nodiscard]] Result<void> CheckAmounts(const WorkSpec& spec);

}  // namespace sapphirewheel
