#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/availability.h"
#include "sapphirewheel/coordination/leader_lease.h"
#include "sapphirewheel/coordination/vm_mover.h"
#include "sapphirewheel/coordination/wave_record.h"

namespace sapphirewheel {

// Progress of a wave, for operators.
struct WaveProgress {
  WaveId wave;
  WavePhase phase = WavePhase::kRunning;
  std::int64_t todo = 0;
  std::int64_t under_way = 0;
  std::int64_t done = 0;
  // VMs that failed verification and are out of service.
  std::vector<VmId> failed;
  // Why the wave is paused, or what blocks the next VM.
  std::string reason;
};

// Runs all maintenance waves of the fleet on the node that holds the lease `waves`. Each VM is
// drained, its jobs are checkpointed, and it is rebooted, verified and returned to service. Each
// step is a transaction over the VM row, the budget row of its pool, the rows of the wave and the
// fence of the lease. All state is in these rows, so that any node can continue a wave.
class WaveController {
 public:
  struct Settings {
    NodeId self;
    // Time within which all nodes have read a new draining phase.
    Millis settle{2000};
    Millis poll_interval{500};
    // Tasks that still run this long after the start of the drain are checkpointed and moved to
    // other VMs; repeated at this interval.
    Millis checkpoint_after{10000};
    // Interval at which a reboot is requested again while the VM reports no new boot id.
    Millis reboot_retry_interval{60000};
    // A VM without a new boot id or a successful verification after these times has failed.
    Millis reboot_timeout{300000};
    Millis verify_timeout{30000};
    // Failed VMs are verified again at this interval, because they may have been repaired.
    Millis recheck_interval{30000};
    // A VM that is absent from the VM list for this long counts as removed. Longer than a
    // reboot, which also makes a VM absent for a while.
    Millis removal_timeout{600000};
    // Number of failed VMs in one rack, or in the whole wave, at which the wave is paused.
    int rack_failures = 2;
    int wave_failures = 3;
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    Clock clock;
    CountRunningTasks count_running;
    // Checkpoints the jobs on a VM and moves them to other VMs; aborts no request.
    std::function<void(VmId)> checkpoint;
    // Passes the VM's boot id to the callback; empty when the VM does not respond.
    std::function<void(VmId, std::function<void(std::string)>)> read_boot_id;
    std::function<void(VmId)> reboot;
    // Passes to the callback whether the VM is up and can accept tasks.
    std::function<void(VmId, std::function<void(bool)>)> verify;
  };

  WaveController(Settings settings, Hooks hooks);

  // To be called about every 100 ms; each call starts at most one transaction.
  void Tick(const FleetSnapshot& fleet, MonotonicTime now);
  // Gives up the lease when this node drains.
  void Resign() { lease_.Resign(); }

  [[nodiscard]] const LeaderLease& lease() const noexcept { return lease_; }
  // Empty on nodes that do not hold the lease.
  [[nodiscard]] std::vector<WaveProgress> Waves() const;

 private:
  struct Part {
    WavePart record;
    Revision revision;
  };
  struct Wave {
    WaveRecord record;
    Revision revision;
    std::map<PoolId, Part> parts;
    // Why no further VM can be admitted now.
    std::string wait_reason;
  };
  // What this node knows of a VM in its current phase, and when it acts next. Not stored: a new
  // holder of the lease can start without it.
  struct VmTracking {
    std::optional<AssignmentPhase> phase;
    MonotonicTime since{};
    MonotonicTime next_poll{};
    MonotonicTime next_checkpoint{};
    MonotonicTime next_reboot{};
    std::optional<MonotonicTime> absent_since;
    bool query_pending = false;
    bool drained = false;
    bool verified = false;
    std::string boot_id;
  };
  // kReturn ends the maintenance of a VM; kRelease returns a VM whose maintenance has not begun;
  // kRemove drops a VM that no longer exists.
  enum class Action { kAdmit, kReboot, kVerify, kFail, kReturn, kRelease, kRemove };
  struct Step;
  struct Change;

  void Load(const std::string& first);
  void ApplyRows(const std::vector<Row>& rows);
  bool ApplyConfig(const FleetSnapshot& fleet);
  void StartWave(const WaveId& id, const WaveState& state, ConfigVersion version,
                 const FleetSnapshot& fleet);
  bool FinishWaves();
  bool AdvanceVms(const FleetSnapshot& fleet, MonotonicTime now);
  std::optional<Action> Advance(const Wave& wave, const VmId& vm, const WaveVm& state,
                                MonotonicTime now);
  std::optional<Action> AdvanceDraining(const VmId& vm, VmTracking& tracking, MonotonicTime now);
  std::optional<Action> AdvanceRebooting(const VmId& vm, const WaveVm& state, VmTracking& tracking,
                                         MonotonicTime now);
  std::optional<Action> AdvanceFailed(const Wave& wave, const VmId& vm, const WaveVm& state,
                                      VmTracking& tracking, MonotonicTime now);
  bool IsRemoved(const VmId& vm, const FleetSnapshot& fleet, MonotonicTime now);
  bool AdmitVms(const FleetSnapshot& fleet, MonotonicTime now);
  bool AdmitFrom(const WaveId& id, const PoolId& part, const FleetSnapshot& fleet,
                 std::map<PoolId, PoolMembers>& members, MonotonicTime now);
  void QueryBootId(const VmId& vm);
  void QueryRunning(const VmId& vm);
  void QueryVerified(const VmId& vm);

  void StartStep(const WaveId& wave, const PoolId& part, const VmId& vm, Action action,
                 const FleetSnapshot& fleet);
  void OnBudget(Step step, const Row& budget);
  void OnRows(Step step, const std::vector<Row>& rows);
  [[nodiscard]] bool Admit(Step& step, Change& change);
  [[nodiscard]] bool ApplyAction(Step& step, Change& change);
  void Fail(const Step& step, Change& change) const;
  void ReleaseVm(Step& step, Change& change, bool done) const;
  void CommitStep(Step step, Change change);
  void Commit(Transaction transaction, std::function<void(Revision)> committed);

  Settings settings_;
  Hooks hooks_;
  LeaderLease lease_;
  bool loaded_ = false;
  // A read or a transaction is in progress.
  bool busy_ = false;
  MonotonicTime next_admission_{};
  std::map<WaveId, Wave> waves_;
  std::map<VmId, VmTracking> tracking_;
};

}  // namespace sapphirewheel
