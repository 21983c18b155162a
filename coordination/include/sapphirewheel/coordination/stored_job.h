#pragma once

#include <string>
#include <string_view>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/state/error.h"

namespace sapphirewheel {

// Compact JSON of a job for a table row; the id is the row's key and not repeated. Members that
// have their default value are left out.
[[nodiscard]] std::string EncodeStoredJob(const StoredJob& job);

// Errors: kInvalidArgument for anything that EncodeStoredJob does not write.
[[nodiscard]] Result<StoredJob> DecodeStoredJob(const JobId& id, std::string_view text);

// Checks what a caller submitted: step numbers, counts, sizes. Errors: kInvalidArgument.
[[nodiscard]] Result<void> CheckWorkSpec(const WorkSpec& spec);

}  // namespace sapphirewheel
