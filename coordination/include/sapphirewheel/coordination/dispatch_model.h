#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// One life of a backend server; another life of the same VM has another id or birth.
using BackendId = StrongId<struct BackendIdTag>;
// A queue of jobs: what callers address by host and path.
using QueueId = StrongId<struct QueueIdTag>;

// Time of day in milliseconds since 1970.
using UnixMillis = StrongNumber<struct UnixMillisTag, std::int64_t>;
// Reading of a backend server's own steady clock, in milliseconds.
using BackendClock = StrongNumber<struct BackendClockTag, std::int64_t>;

// An amount of a backend server's capacity.
struct Resources {
  // Thousandths of a processor core.
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;

  Resources& operator+=(const Resources& other) noexcept {
    cpu_millis += other.cpu_millis;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) noexcept {
    cpu_millis -= other.cpu_millis;
    memory_mib -= other.memory_mib;
    accelerators -= other.accelerators;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) noexcept { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) noexcept { return a -= b; }
  // Whether this amount is at most `room` in each part.
  [[nodiscard]] bool FitsIn(const Resources& room) const noexcept {
    return cpu_millis <= room.cpu_millis && memory_mib <= room.memory_mib &&
           accelerators <= room.accelerators;
  }
  bool operator==(const Resources&) const = default;
};

// One step of a job: equal tasks that start when the steps before it are done.
struct StepSpec {
  int count = 1;
  Resources per_task;
  // The caller's rough estimate of one task's duration.
  Millis estimate{0};
  // Steps, by number, whose tasks must all be done before.
  std::vector<int> after;
  bool checkpoints = false;
  // The tasks work only together and end together.
  bool gang = false;
  bool one_rack = false;
  // Copies may run in parallel.
  bool allows_copies = false;
  // The tasks run until the job is cancelled.
  bool long_running = false;
  // The tasks take the processor time that others leave, and count no processor capacity.
  bool best_effort = false;
  // Label that a backend server must have; empty: none.
  std::string required_label;
  // Label of the rack near the data; empty: none.
  std::string near_rack;
  // Largest number of the step's tasks on one backend server; 0: any.
  int per_server_limit = 0;
  // Bound on the tail of response times of tasks that serve users; 0: none.
  Millis latency_target{0};
  // Tasks that the system may make unavailable at once; absent: no such budget.
  std::optional<int> unavailable_budget;

  // What one task takes of a backend server's capacity.
  [[nodiscard]] Resources Charge() const noexcept {
    Resources charge = per_task;
    if (best_effort) charge.cpu_millis = 0;
    return charge;
  }
};

struct WorkSpec {
  // Opaque text that is handed to the tasks.
  std::string payload;
  std::vector<StepSpec> steps;
  // Above zero: the steps run this many times, occurrence n at first_due + n * interval.
  int repetitions = 0;
  UnixMillis first_due;
  Millis interval{0};
};

// An accepted job as it is stored.
struct StoredJob {
  JobId id;
  QueueId queue;
  // Empty for a queue that is open to all.
  TeamId team;
  UnixMillis accepted_at;
  bool cancelled = false;
  WorkSpec spec;
};

// Advice that a queue's policy requires before a start.
struct AdvicePolicy {
  Millis decide{0};
  Millis per_server{0};
  Millis validity{0};
};

struct QueuePolicy {
  QueueId id;
  std::string host;
  std::string path_prefix;
  PoolId pool;
  // Calls need no key.
  bool open = false;
  // 0 is the most urgent.
  int priority = 0;
  // Failed runs after which a task fails its job.
  int attempts = 1;
  // The objective is `stretch` times the longest chain of work and `target_latency`.
  double stretch = 1;
  Millis target_latency{0};
  std::optional<AdvicePolicy> advice;
};

struct PoolPolicy {
  PoolId id;
  // Backend servers refuse what exceeds their capacity.
  bool servers_enforce_capacity = false;
  // VMs of this pool are switched off.
  bool spare = false;
};

struct TeamPolicy {
  TeamId id;
  std::vector<std::string> keys;
  std::int64_t share = 1;
  // Upper limit over all backend servers; a part that is 0 is not limited.
  Resources limit;
};

// The operators' configuration, one version.
struct DispatchConfig {
  ConfigVersion version;
  std::vector<QueuePolicy> queues;
  std::vector<PoolPolicy> pools;
  std::vector<TeamPolicy> teams;
  std::size_t max_body_bytes = 262'144;

  [[nodiscard]] const QueuePolicy* FindQueue(const QueueId& id) const noexcept;
  [[nodiscard]] const PoolPolicy* FindPool(const PoolId& id) const noexcept;
  [[nodiscard]] const TeamPolicy* FindTeam(const TeamId& id) const noexcept;
  // The queue of a host whose prefix is the longest that the path begins with.
  [[nodiscard]] const QueuePolicy* Route(const std::string& host,
                                         const std::string& path) const noexcept;
  // The team that holds a key.
  [[nodiscard]] const TeamPolicy* TeamOfKey(const std::string& key) const noexcept;
};

// One task of one occurrence of a job's step.
struct TaskKey {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskKey&) const = default;
  // JOB.OCCURRENCE.STEP.INDEX
  [[nodiscard]] std::string str() const;
};

// Parses the form of TaskKey::str.
[[nodiscard]] std::optional<TaskKey> ParseTaskKey(const std::string& text);

// Number of a task's start; rises with each start.
using RunNumber = StrongNumber<struct RunNumberTag, std::int64_t>;

// What a backend server says of itself in the registry.
struct BackendReport {
  BackendId id;
  PoolId pool;
  // ip:port
  std::string address;
  DataCentreId data_centre;
  VmId vm;
  Resources capacity;
  std::vector<std::string> labels;
  bool draining = false;
  // Start of this life; 0 when not told.
  UnixMillis started_at;
};

// A run that a backend server lists as present.
struct ListedRun {
  TaskKey task;
  RunNumber run;
  std::string checkpoint;
  // Progress, or readiness of a lasting task.
  int percent = 0;
  // Tail of response times in milliseconds for a task that serves, else thousandths of a core.
  std::int64_t load = 0;
};

enum class RunEnd { kDone, kFailed, kStopped, kLeaseExpired, kGangMemberEnded, kGangIncomplete };

// The end of a run as a backend server lists it until it is acknowledged.
struct ListedEnd {
  std::int64_t number = 0;
  TaskKey task;
  RunNumber run;
  RunEnd how = RunEnd::kFailed;
  std::string checkpoint;
};

// One wave of maintenance that operators asked for.
struct WaveOrder {
  std::int64_t number = 0;
  std::vector<VmId> vms;
  Millis deadline{0};
  // VMs in maintenance at once.
  int max_down = 1;
};

enum class VmState { kUp, kMoving, kMaintenance, kDown };

// A row of the platform's list of VMs.
struct VmReport {
  VmId vm;
  PoolId pool;
  VmState state = VmState::kDown;
  BackendId backend;
};

}  // namespace sapphirewheel
