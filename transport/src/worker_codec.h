#pragma once

#include <optional>
#include <string>

#include "sapphirewheel/coordination/worker_report.h"
#include "sapphirewheel/transport/http_client.h"

namespace sapphirewheel {

[[nodiscard]] std::string EncodeOwnership(const OwnershipCall& call);
[[nodiscard]] OwnershipReply DecodeOwnership(const HttpResult& result);

[[nodiscard]] HttpCall EncodeStart(const TaskStart& task);
// Determines the outcome of a task start from the response; kUnknown unless another one is proven.
[[nodiscard]] TaskStartReply DecodeStart(const TaskStart& task, HttpResult result);

[[nodiscard]] FenceReply DecodeFence(const HttpResult& result);

// The number of running tasks of a worker that refuses new ones; empty when it did not confirm the
// drain.
[[nodiscard]] std::optional<std::int64_t> DecodeDrain(const HttpResult& result);

[[nodiscard]] std::optional<WorkerHealth> DecodeHealth(const HttpResult& result);

}  // namespace sapphirewheel
