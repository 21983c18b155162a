#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// One incarnation of a backend server. After a restart on the same VM, either the id or the start
// time (BackendReport::started_at) differs.
using BackendId = StrongId<struct BackendIdTag>;
// A queue of jobs, addressed by callers by host and path.
using QueueId = StrongId<struct QueueIdTag>;

// Time of day in milliseconds since 1970.
using UnixMillis = StrongNumber<struct UnixMillisTag, std::int64_t>;
// A reading of a backend server's own monotonic clock, in milliseconds.
using BackendClock = StrongNumber<struct BackendClockTag, std::int64_t>;

// An amount of resources of a backend server.
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
  friend Resources operator*(const Resources& a, int n) noexcept {
    return {a.cpu_millis * n, a.memory_mib * n, a.accelerators * n};
  }
  // Whether every component is at most that of `available`.
  [[nodiscard]] bool FitsIn(const Resources& available) const noexcept {
    return cpu_millis <= available.cpu_millis && memory_mib <= available.memory_mib &&
           accelerators <= available.accelerators;
  }
  // The larger of each component.
  friend Resources LargerOf(const Resources& a, const Resources& b) noexcept {
    return {std::max(a.cpu_millis, b.cpu_millis), std::max(a.memory_mib, b.memory_mib),
            std::max(a.accelerators, b.accelerators)};
  }
  bool operator==(const Resources&) const = default;
};

// Far more than any backend server has; sums of many fit in 64 bits.
inline constexpr Resources kMaxResources{10'000'000, 1'000'000'000, 1'000'000};
// Beyond the year 5000.
inline constexpr UnixMillis kMaxUnixMillis{100'000'000'000'000};
// Limits of the target completion time of a job, so that it fits in 64 bits for any job.
inline constexpr double kMaxStretch = 1e5;
inline constexpr Millis kMaxTargetLatency = std::chrono::hours(24 * 366);

// One step of a job: identical tasks that start once the steps in `after` are done.
struct StepSpec {
  int count = 1;
  Resources per_task;
  // The caller's rough estimate of the duration of one task.
  Millis estimate{0};
  // What the tasks run: tasks of the same image behave alike. Empty if the caller gave none.
  std::string image;
  // Numbers of the steps whose tasks must all be done first.
  std::vector<int> after;
  bool checkpoints = false;
  // The tasks run only all together and end together.
  bool gang = false;
  bool one_rack = false;
  // Copies of a task may run in parallel.
  bool allows_copies = false;
  // The tasks run until the job is cancelled.
  bool long_running = false;
  // The tasks use the processor time that other tasks leave idle and reserve no processor capacity.
  bool best_effort = false;
  // Label that a backend server must have; empty for none.
  std::string required_label;
  // Label of the rack near the data; empty for none.
  std::string near_rack;
  // Maximum number of the step's tasks on one backend server; 0 for no limit.
  int per_server_limit = 0;
  // Target for the tail latency of tasks that serve users; 0 for none.
  Millis latency_target{0};
  // Number of tasks that the system may make unavailable at the same time; absent for no such
  // budget.
  std::optional<int> unavailable_budget;

  // Whether its tasks may keep their capacity for any length of time.
  [[nodiscard]] bool IsOpenEnded() const noexcept { return long_running || best_effort; }
  // The capacity that one task reserves on a backend server.
  [[nodiscard]] Resources Charge() const noexcept {
    Resources charge = per_task;
    if (best_effort) charge.cpu_millis = 0;
    return charge;
  }
};

// Maximum size in bytes of a row of the table service, if the deployment gives none.
inline constexpr std::size_t kMaxRowBytes = 65'536;

struct WorkSpec {
  // Opaque text that is passed to the tasks.
  std::string payload;
  std::vector<StepSpec> steps;
  // If above zero, the steps run this many times; occurrence n is due at first_due + n * interval.
  int repetitions = 0;
  UnixMillis first_due;
  Millis interval{0};
};

// An accepted job as it is stored.
struct StoredJob {
  JobId id;
  QueueId queue;
  // Empty for a queue that needs no key.
  TeamId team;
  UnixMillis accepted_at;
  bool cancelled = false;
  WorkSpec spec;
  // Revision of its row, which is not part of the row's value.
  Revision revision;
};

// Times of the advice that a queue's policy requires before a task is started.
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
  // 0 is the highest priority.
  int priority = 0;
  // Number of failed runs of a task after which its job fails.
  int attempts = 1;
  // A job should end within `stretch` times its critical path plus `target_latency`.
  double stretch = 1;
  Millis target_latency{0};
  std::optional<AdvicePolicy> advice;
};

struct PoolPolicy {
  PoolId id;
  // Backend servers refuse tasks that exceed their capacity.
  bool servers_enforce_capacity = false;
  // VMs of this pool are switched off.
  bool spare = false;
};

struct TeamPolicy {
  TeamId id;
  std::vector<std::string> keys;
  // Jobs a second that are the team's share when the fleet is full.
  double share = 1;
  // Upper limit over all backend servers; a component of 0 is not limited.
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
  // The queue of the host with the longest prefix of `path`; null if there is none.
  [[nodiscard]] const QueuePolicy* Route(const std::string& host,
                                         const std::string& path) const noexcept;
  // The team that has this key; null if there is none.
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

// Parses the format of TaskKey::str; absent if the text is malformed.
[[nodiscard]] std::optional<TaskKey> ParseTaskKey(const std::string& text);

// Number of a run of a task; increases with each start.
using RunNumber = StrongNumber<struct RunNumberTag, std::int64_t>;

// The registry entry that a backend server publishes about itself.
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
  // While it drains: for how long it stays at least, from when it reported this. Absent if it did
  // not tell.
  std::optional<Millis> remaining;
  // How much longer it is slow after its start, from when it reported this.
  Millis cold_left{0};
  // Start of this incarnation; 0 if not reported.
  UnixMillis started_at;
};

// A run that a backend server lists as running.
struct ListedRun {
  TaskKey task;
  RunNumber run;
  std::string checkpoint;
  // Progress, or readiness of a long-running task.
  int percent = 0;
  // Tail latency in milliseconds for a task that serves users, else thousandths of a core.
  std::int64_t load = 0;
};

enum class RunEnd { kDone, kFailed, kStopped, kLeaseExpired, kGangMemberEnded, kGangIncomplete };

// The end of a run. A backend server lists it until it is acknowledged.
struct ListedEnd {
  std::int64_t number = 0;
  TaskKey task;
  RunNumber run;
  RunEnd how = RunEnd::kFailed;
  std::string checkpoint;
};

// One maintenance wave that operators ordered.
struct WaveOrder {
  std::int64_t number = 0;
  std::vector<VmId> vms;
  Millis deadline{0};
  // Maximum number of VMs in maintenance at the same time.
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
