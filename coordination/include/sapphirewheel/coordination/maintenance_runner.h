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

// Carries out the maintenance waves that operators ordered: frees a VM of its tasks, orders its
// maintenance, and waits until it is back. No more VMs are down at the same time than a wave
// allows.
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

  // `finished` are the VMs whose maintenance an earlier owner recorded as finished.
  void AddWave(const WaveOrder& order, const std::set<VmId>& finished);
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
    std::set<VmId> finished;
    bool completed = false;
  };
  // Takes the waves whose state has changed since the last call, to be written.
  [[nodiscard]] std::vector<Change> TakeChanges();

  [[nodiscard]] static std::string EncodeFinished(const std::set<VmId>& vms);
  [[nodiscard]] static std::set<VmId> DecodeFinished(std::string_view text);

 private:
  enum class VmPhase { kPending, kFreeing, kOrdered, kDown, kFinished };
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
    // Set while an order without a reply may still be carried out.
    std::optional<MonotonicTime> may_run_until;
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
  void ObserveServers(VmEntry& entry, const std::vector<const Dispatcher::BackendView*>& servers,
                      MonotonicTime now);
  void EndServers(const VmEntry& entry);
  void BeginDown(Wave& wave, const VmId& vm, VmEntry& entry, MonotonicTime now);
  void SetPhase(Wave& wave, const VmId& vm, VmEntry& entry, VmPhase phase, MonotonicTime now);

  Hooks hooks_;
  Millis maintenance_time_;
  std::map<std::int64_t, Wave> waves_;
  std::map<VmId, VmReport> vms_by_id_;
  bool list_known_ = false;
};

}  // namespace sapphirewheel
