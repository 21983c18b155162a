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

// A wave as operators see it.
struct WaveProgress {
  WaveId wave;
  WavePhase phase = WavePhase::kRunning;
  std::int64_t todo = 0;
  std::int64_t under_way = 0;
  std::int64_t done = 0;
  // VMs that failed to verify and are out of service.
  std::vector<VmId> failed;
  // Why it is paused, or what the next VM waits for.
  std::string reason;
};

// Runs all maintenance waves of the fleet under one lease. Everything is in the rows, so that any
// node can continue a wave: each VM is drained, its jobs are checkpointed, it is rebooted, verified
// and returned, and each step is a transaction over the VM row, the budget row of its pool, the
// wave's rows and the fence of the lease.
class WaveController {
 public:
  struct Settings {
    NodeId self;
    // Nodes learn of the draining phase within this time.
    Millis settle{2000};
    Millis poll_interval{500};
    // Tasks that run longer after the start of the drain are asked for a checkpoint and handed
    // over; asked again after the same time.
    Millis checkpoint_after{10000};
    // A reboot that shows no new boot id is requested again after this time.
    Millis reboot_retry{60000};
    Millis reboot_limit{300000};
    Millis verify_limit{30000};
    // A failed VM is verified again at this interval; it may have been repaired.
    Millis recheck_failed{30000};
    // A VM that the list lacks for so long was removed. Reboots make VMs absent for a while.
    Millis gone_after{600000};
    int rack_failures = 2;
    int wave_failures = 3;
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    Clock clock;
    RunningTasks running;
    // Checkpoints the jobs on a VM and places them elsewhere; aborts no request.
    std::function<void(VmId)> checkpoint;
    // Answers the VM's boot id, empty when it does not answer.
    std::function<void(VmId, std::function<void(std::string)>)> boot;
    std::function<void(VmId)> reboot;
    // Answers whether the VM is up and fit for work.
    std::function<void(VmId, std::function<void(bool)>)> verify;
  };

  WaveController(Settings settings, Hooks hooks);

  // Call often (every 100 ms); takes at most one transaction a call.
  void Tick(const FleetSnapshot& fleet, MonotonicTime now);
  // Gives the duty up; for the drain of this node.
  void Resign() { lease_.Resign(); }

  [[nodiscard]] const LeaderLease& lease() const noexcept { return lease_; }
  // Empty on nodes that do not hold the duty.
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
    std::string waiting;
  };
  // What this node found out about a VM in its present phase; lost without harm.
  struct Work {
    std::optional<AssignmentPhase> phase;
    MonotonicTime since{};
    MonotonicTime next_poll{};
    MonotonicTime next_checkpoint{};
    MonotonicTime next_reboot{};
    std::optional<MonotonicTime> absent_since;
    bool asking = false;
    bool drained = false;
    bool verified = false;
    std::string boot;
  };
  enum class Action { kAdmit, kReboot, kVerify, kFail, kReturn, kRelease, kGone };
  struct Step;
  struct Change;

  void Load(const std::string& first);
  void TakeRows(const std::vector<Row>& rows);
  bool ApplyConfig(const FleetSnapshot& fleet);
  void StartWave(const WaveId& id, const WaveState& state, ConfigVersion version,
                 const FleetSnapshot& fleet);
  bool FinishWaves();
  bool AdvanceVms(const FleetSnapshot& fleet, MonotonicTime now);
  std::optional<Action> Advance(const Wave& wave, const VmId& vm, const WaveVm& state,
                                MonotonicTime now);
  std::optional<Action> AdvanceDraining(const VmId& vm, Work& work, MonotonicTime now);
  std::optional<Action> AdvanceRebooting(const VmId& vm, const WaveVm& state, Work& work,
                                         MonotonicTime now);
  std::optional<Action> AdvanceFailed(const Wave& wave, const VmId& vm, const WaveVm& state,
                                      Work& work, MonotonicTime now);
  bool IsGone(const VmId& vm, const FleetSnapshot& fleet, MonotonicTime now);
  bool AdmitVms(const FleetSnapshot& fleet, MonotonicTime now);
  bool AdmitFrom(const WaveId& id, const PoolId& part, const FleetSnapshot& fleet,
                 std::map<PoolId, PoolMembers>& members, MonotonicTime now);
  void AskBoot(const VmId& vm);
  void AskRunning(const VmId& vm);
  void AskVerify(const VmId& vm);

  void BeginStep(const WaveId& wave, const PoolId& part, const VmId& vm, Action action,
                 const FleetSnapshot& fleet);
  void OnBudget(Step step, const Row& budget);
  void OnRows(Step step, const std::vector<Row>& rows);
  [[nodiscard]] bool Admit(Step& step, Change& change);
  [[nodiscard]] bool Proceed(Step& step, Change& change);
  void Fail(const Step& step, Change& change) const;
  void Leave(Step& step, Change& change, bool done) const;
  void CommitStep(Step step, Change change);
  void Commit(Transaction transaction, std::function<void(Revision)> committed);

  Settings settings_;
  Hooks hooks_;
  LeaderLease lease_;
  bool loaded_ = false;
  // A read or a transaction is under way.
  bool busy_ = false;
  MonotonicTime next_admission_{};
  std::map<WaveId, Wave> waves_;
  std::map<VmId, Work> work_;
};

}  // namespace sapphirewheel
