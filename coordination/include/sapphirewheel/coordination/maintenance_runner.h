#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/coordination/dispatcher.h"
#include "sapphirewheel/coordination/fleet_ports.h"

namespace sapphirewheel {

// What is stored of a wave, so that a later owner can continue it.
struct MaintenanceProgress {
  std::set<VmId> finished;
  // VMs whose maintenance in this wave may have been ordered. Stored before the first order is
  // sent.
  std::set<VmId> ordered;

  bool operator==(const MaintenanceProgress&) const = default;
  // JSON; VMs that are not named have neither been ordered nor finished.
  [[nodiscard]] std::string Encode() const;
  // Empty if the text is malformed.
  [[nodiscard]] static MaintenanceProgress Decode(std::string_view text);
};

// Carries out the maintenance waves that operators ordered: frees a VM of its tasks, records that
// its maintenance is ordered, orders it, and waits until the VM is back. No more VMs are down at
// the same time than a wave allows. The list of VMs does not tell in which wave a VM is in
// maintenance, so only the record does, and a VM that is in several waves is maintained in each,
// one at a time.
class MaintenanceRunner {
 public:
  struct Hooks {
    std::function<void(const VmId&, std::int64_t wave)> maintain;
    // Stops new tasks on a backend server and moves its long-running tasks away.
    std::function<void(const BackendId&, bool)> evacuate;
    // Uses a backend server last for new tasks.
    std::function<void(const BackendId&, bool)> avoid;
    std::function<bool(const BackendId&)> is_idle;
    // All runs on the backend server have ended.
    std::function<void(const BackendId&)> ended;
    std::function<void(std::int64_t wave, const VmId&, const std::string& what)> report;
  };

  // `maintenance_time` is the time that the platform takes to maintain one VM.
  MaintenanceRunner(Hooks hooks, Millis maintenance_time)
      : hooks_(std::move(hooks)), maintenance_time_(maintenance_time) {}

  // `progress` is what an earlier owner stored of the wave. Its last orders may still be carried
  // out.
  void AddWave(const WaveOrder& order, const MaintenanceProgress& progress, MonotonicTime now);
  // Takes the platform's list of VMs, which must be complete and was requested at `requested`.
  void SetVms(const std::vector<VmReport>& vms, MonotonicTime requested, MonotonicTime now);
  void OnMaintain(const VmId& vm, std::int64_t wave, VmOrderOutcome outcome, MonotonicTime now);
  void Tick(const std::vector<Dispatcher::BackendView>& backends, MonotonicTime now);

  // Whether any wave is unfinished.
  [[nodiscard]] bool Active() const;
  // Whether the VM still has to be maintained in a wave.
  [[nodiscard]] bool IsPending(const VmId& vm) const;

  struct Change {
    std::int64_t wave = 0;
    MaintenanceProgress progress;
    bool completed = false;
  };
  // Takes the waves whose state has changed since the last call, to be written.
  [[nodiscard]] std::vector<Change> TakeChanges();
  // The progress of a wave has been stored, so that what it names as ordered may be ordered.
  void OnStored(std::int64_t wave, const MaintenanceProgress& progress);

 private:
  // kRecording: the VM is free and its order is being recorded.
  enum class VmPhase { kPending, kFreeing, kRecording, kOrdered, kDown, kFinished };
  struct VmEntry {
    VmPhase phase = VmPhase::kPending;
    // When the phase began. For kDown, the maintenance had begun by then.
    MonotonicTime since;
    MonotonicTime retry_at;
    // When the first order was sent that may have begun the maintenance.
    MonotonicTime ordered_at;
    // The VM is not back before this time.
    MonotonicTime earliest_return;
    // Backend servers that the maintenance ends.
    std::set<BackendId> earlier_backends;
    // Backend servers that were seen before it was known that the maintenance had begun, so that
    // they do not show the return of the VM.
    std::set<BackendId> known_backends;
    // The backend servers at the beginning of kDown have been added to the known ones.
    bool down_observed = false;
    // Set while an order without a reply, or one of an earlier owner, may still be carried out.
    std::optional<MonotonicTime> may_run_until;
    // The stored progress names the order.
    bool recorded = false;
    // An earlier owner recorded the order, so the maintenance may have ended already.
    bool inherited = false;

    [[nodiscard]] bool MayBeOrdered(MonotonicTime now) const {
      const bool open = may_run_until && now < *may_run_until;
      return phase == VmPhase::kRecording || phase == VmPhase::kOrdered ||
             phase == VmPhase::kDown || (phase == VmPhase::kFreeing && open);
    }
  };
  struct Wave {
    WaveOrder order;
    std::map<VmId, VmEntry> vms;
    bool changed = true;
    bool completed = false;
  };

  // The registered backend servers of each VM: more than one while the registry still has one that
  // has ended.
  using Servers = std::map<VmId, std::vector<const Dispatcher::BackendView*>>;

  void TickWave(Wave& wave, const Servers& servers, MonotonicTime now);
  // Keeps new work away from VMs whose maintenance an earlier owner may have ordered.
  void EvacuateInherited(const Wave& wave, const Servers& servers);
  void ObserveServers(VmEntry& entry, const std::vector<const Dispatcher::BackendView*>& servers,
                      MonotonicTime now);
  void EndServers(const VmEntry& entry);
  void BeginDown(Wave& wave, const VmId& vm, VmEntry& entry, MonotonicTime now);
  void SetPhase(Wave& wave, const VmId& vm, VmEntry& entry, VmPhase phase, MonotonicTime now);
  // Whether the VM is being freed, or may be in maintenance, in a wave other than `number`.
  [[nodiscard]] bool IsFreedElsewhere(const VmId& vm, std::int64_t number) const;
  [[nodiscard]] bool IsOrderedElsewhere(const VmId& vm, std::int64_t number,
                                        MonotonicTime now) const;
  // Whether the last list showed the VM in maintenance, for whatever reason.
  [[nodiscard]] bool IsListedInMaintenance(const VmId& vm) const;
  void Order(Wave& wave, const VmId& vm, VmEntry& entry, MonotonicTime now);

  Hooks hooks_;
  Millis maintenance_time_;
  std::map<std::int64_t, Wave> waves_;
  std::map<VmId, VmReport> vms_by_id_;
  bool list_known_ = false;
};

}  // namespace sapphirewheel
