#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sapphirewheel/coordination/dispatcher.h"
#include "sapphirewheel/coordination/evacuations.h"
#include "sapphirewheel/coordination/fleet_lease.h"
#include "sapphirewheel/coordination/fleet_ports.h"
#include "sapphirewheel/coordination/maintenance_runner.h"
#include "sapphirewheel/coordination/pool_autoscaler.h"

namespace sapphirewheel {

// Tables, parts and keys of the rows that Sapphirewheel stores at the table service.
namespace rows {
inline constexpr const char* kJobs = "jobs";
inline constexpr const char* kProgress = "progress";
inline constexpr const char* kFleet = "fleet";
inline constexpr const char* kOwner = "owner";
inline constexpr const char* kOwned = "owned";
inline constexpr const char* kRoster = "roster";
inline constexpr const char* kStartHorizon = "start-horizon";
inline constexpr const char* kRoutes = "routes";
inline constexpr const char* kHandOver = "hand-over";
inline constexpr const char* kWaiting = "waiting";
inline constexpr const char* kWavePrefix = "wave/";
// The part of all rows that only the owner writes. It also holds the owner row, so that each write
// can be conditional on that row.
inline constexpr const char* kOwnerPart = "fleet";
// Number of parts over which accepted jobs are distributed by their id.
inline constexpr int kJobParts = 16;
[[nodiscard]] std::string JobPart(const JobId& id);
[[nodiscard]] RowAddress Job(const JobId& id);
[[nodiscard]] RowAddress Progress(const JobId& id);
[[nodiscard]] RowAddress Owner();
[[nodiscard]] RowAddress Owned(const std::string& key);
}  // namespace rows

// The revision up to which the owner with this fencing token may have started jobs, stored before
// it starts them. Jobs stored later need not wait for the leases of silent backend servers when the
// next owner takes over.
struct StartHorizon {
  Epoch token;
  Revision revision;

  [[nodiscard]] std::string Encode() const;
  [[nodiscard]] static std::optional<StartHorizon> Decode(std::string_view text);
};

// Counts of waiting jobs, written by the owner for the other nodes.
struct WaitingCounts {
  StoreClock at;
  std::map<QueueId, int> queues;

  [[nodiscard]] std::string Encode() const;
  [[nodiscard]] static std::optional<WaitingCounts> Decode(std::string_view text);
};

// State changes of a node, and its decisions about calls, for the log.
enum class NodeEvent {
  kConfigApplied,
  kConfigDelayed,
  kStoreAvailable,
  kStoreUnavailable,
  kOwnershipTaken,
  kOwnershipRequested,
  kOwnershipLost,
  kOwnershipEnded,
  kLoaded,
  kWave,
  kVmMoved,
  kFleetLoad,
  kContacting,
  kContacted,
  kEvacuationBegun,
  kEvacuationEnded,
  kJobAccepted,
  kJobCancelled,
  kJobUnreadable,
  kRowTooLarge,
  kWriteRejected,
  kWriteUnanswered,
  kCallRefused,
  kCallUnanswered,
  kCallGone,
};

struct FleetPorts {
  RowStore& store;
  BackendServers& backends;
  // Null if VMs are neither moved nor maintained.
  VmService* vms = nullptr;
  // Null if no queue needs advice.
  AdviceService* advice = nullptr;
  const PlatformCodec& codec;
  std::function<UnixMillis()> wall_clock;
  std::function<MonotonicTime()> now;
  std::function<void(const Decision&)> on_decision;
  std::function<void(NodeEvent, const std::string& detail)> on_event;
};

// Runs on the node that owns the fleet, from taking the ownership to losing it: loads the stored
// state, drives the dispatcher, the maintenance waves and the autoscaler, follows new jobs and the
// registry, and writes progress, always on the condition that it is still the owner.
class FleetOwner {
 public:
  struct Settings {
    Dispatcher::Settings dispatcher;
    PoolAutoscaler::Settings autoscaler;
    // Time for which the state of an ended job can be read.
    Millis job_retention{120'000};
    // Time that the platform takes to maintain one VM.
    Millis maintenance_time{2000};
    // Maximum size of a row of the table service.
    std::size_t max_row_bytes = kMaxRowBytes;
  };

  // `store_delay` is the present delay of the table service's replies.
  FleetOwner(Settings settings, FleetPorts ports, FleetLease& lease, Millis store_delay);
  ~FleetOwner();
  FleetOwner(const FleetOwner&) = delete;
  FleetOwner& operator=(const FleetOwner&) = delete;

  void SetConfig(std::shared_ptr<const DispatchConfig> config);
  // The data centres in which nothing is started; to be called with each confirmation.
  void SetEvacuations(const Evacuations& evacuations);
  void AddWave(const WaveOrder& order);
  // A call of this node to the table service had no reply, so that all open connections to it may
  // have gone silent. Polls that wait for a change are sent again.
  void OnStoreSilent();
  void Tick(MonotonicTime now);
  // Releases the ownership once all pending progress has been written.
  void BeginRelease();

  [[nodiscard]] bool running() const noexcept;
  [[nodiscard]] std::map<QueueId, int> Waiting() const;
  // Number of tasks that run in evacuated data centres.
  [[nodiscard]] int EvacuatedTasks() const;
  // See Dispatcher::Deferred.
  [[nodiscard]] std::map<PoolId, int> Deferred() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
