#pragma once

#include "sapphirewheel/state/strong_type.h"

namespace sapphirewheel {

// A daemon process: the id of its VM, a '#' and an incarnation chosen at random when it starts.
using NodeId = StrongId<struct NodeIdTag>;
using VmId = StrongId<struct VmIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
// A failure domain within a data centre.
using RackId = StrongId<struct RackIdTag>;
using PoolId = StrongId<struct PoolIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using TeamId = StrongId<struct TeamIdTag>;
using KeyId = StrongId<struct KeyIdTag>;
// The caller's Idempotency-Key, unique within a team.
using RequestId = StrongId<struct RequestIdTag>;
using JobId = StrongId<struct JobIdTag>;
// One attempt to run a request or a job on a worker.
using TaskId = StrongId<struct TaskIdTag>;
using PlanId = StrongId<struct PlanIdTag>;
using WaveId = StrongId<struct WaveIdTag>;
// A transaction on the table service, which stores the id with every row that the transaction
// writes.
using AttemptId = StrongId<struct AttemptIdTag>;

}  // namespace sapphirewheel
