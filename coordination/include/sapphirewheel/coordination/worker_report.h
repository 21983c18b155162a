#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

enum class TaskState { kRunning, kDone, kFailed };

// A task as a worker reports it.
struct TaskReport {
  TaskId task;
  // The node that dispatched the task.
  NodeId node;
  // Empty for requests.
  JobId job;
  Epoch job_epoch;
  TeamId team;
  Slots slots{1};
  TaskState state = TaskState::kRunning;
  std::string reason;
  std::string checkpoint;
  // From 0 to 1.
  double progress = 0;
  std::string result;
  // CPU use in thousandths of a core; lags behind the actual use.
  std::int64_t used_millicores = 0;
};

// A worker's reply when it grants or renews ownership.
struct WorkerReport {
  Epoch epoch;
  // Changes with each start of the VM.
  std::string boot;
  Millis lease{3000};
  Slots slots;
  Slots free_slots;
  bool leaving = false;
  std::int64_t used_millicores = 0;
  std::vector<TaskReport> tasks;
};

enum class OwnershipOutcome { kGranted, kHeldByOther, kFenced, kUnreachable };

struct OwnershipReply {
  OwnershipOutcome outcome = OwnershipOutcome::kUnreachable;
  WorkerReport report;
  // The holder when another node has the lease.
  NodeId owner;
};

struct OwnershipCall {
  VmId vm;
  std::string address;
  NodeId node;
  bool release = false;
  // Finished job tasks whose results were recorded.
  std::vector<TaskId> acknowledged;
};

enum class TaskKind { kRequest, kJob };

// A task to start on a worker.
struct TaskStart {
  TaskId task;
  VmId vm;
  std::string address;
  NodeId node;
  Epoch epoch;
  TaskKind kind = TaskKind::kRequest;
  TeamId team;
  ServiceId service;
  Slots slots{1};
  JobId job;
  Epoch job_epoch;
  std::string checkpoint;
  std::string body;
  Millis timeout{30000};
  std::string traceparent;
};

enum class TaskStartOutcome {
  // The task completed (kRequest) or was accepted (kJob).
  kDone,
  // The task ran and failed.
  kFailed,
  // The task certainly did not run: the worker refused it, or it was never sent.
  kNotRun,
  // The task may have run: the connection broke, or the response was incomplete, late or for
  // another call.
  kUnknown,
};

struct TaskStartReply {
  TaskStartOutcome outcome = TaskStartOutcome::kUnknown;
  // Code of a refusal, e.g. "not-owner", or a description of the failure.
  std::string reason;
  std::string content_type;
  std::string answer;
};

struct FenceReply {
  bool confirmed = false;
  std::int64_t running = 0;
};

struct WorkerHealth {
  std::string boot;
  bool leaving = false;
};

// Access to backend servers. Each callback is called exactly once, on the thread that drives the
// coordination components.
struct WorkerHooks {
  std::function<void(OwnershipCall, std::function<void(OwnershipReply)>)> ownership;
  std::function<void(TaskStart, std::function<void(TaskStartReply)>)> start;
  std::function<void(std::string address, NodeId node, std::function<void(FenceReply)>)> fence;
  std::function<void(std::string address, TaskId task, std::function<void(bool)> done)> stop;
  // Requests a checkpoint and passes its object name to the callback; empty on failure.
  std::function<void(std::string address, TaskId task, std::function<void(std::string)>)>
      checkpoint;
  // Makes the worker refuse new tasks for `hold` and passes the number of its running tasks to the
  // callback; nullopt when the worker did not respond.
  std::function<void(std::string address, Millis hold,
                     std::function<void(std::optional<std::int64_t>)>)>
      drain;
  std::function<void(std::string address, std::function<void(std::optional<WorkerHealth>)>)> health;
};

}  // namespace sapphirewheel
