#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/availability.h"
#include "sapphirewheel/coordination/policy_profile.h"

namespace sapphirewheel {

// Demand for a service across the fleet, in slots.
struct ServiceDemand {
  ServiceId service;
  Slots queued;
  Slots running;
  Slots free;
};

enum class MoveReason { kNewVm, kBelowSize, kPeak, kReturn };
[[nodiscard]] const char* MoveReasonName(MoveReason reason) noexcept;

// A VM to move; `from` is empty for a VM that has no row yet.
struct VmMove {
  VmId vm;
  PoolId from;
  PoolId to;
  MoveReason reason = MoveReason::kNewVm;
};

// Decides which VMs change pool; VmMover carries out the moves. Plan must be called at a steady
// rate (about once a second), because each call updates the demand history of the pools.
class PoolPlanner {
 public:
  struct Settings {
    PolicyProfile profile;
    // Waiting time, in slot-seconds, that a move must save; multiplied by the weight `moves`.
    double move_cost = 8;
    // From the decision until the VM accepts tasks in its new pool.
    Millis move_time{1500};
    // Minimum time that a VM stays in a pool; multiplied by the weight `moves`.
    Millis min_stay{5000};
    // Multiplied by the weight `rollout`.
    int max_concurrent_moves = 4;
  };
  struct Input {
    FleetSnapshot fleet;
    std::vector<ServiceDemand> demand;
    std::map<PoolId, BudgetRecord> budgets;
    // Target pools of the moves in progress.
    std::map<VmId, PoolId> moving;
    // VMs that must not be drained now because their last drain timed out.
    std::set<VmId> in_drain_backoff;
    // Slots in use on each VM, as far as known; the VMs with the fewest are moved first.
    std::map<VmId, std::int64_t> running;
  };

  explicit PoolPlanner(Settings settings);

  [[nodiscard]] std::vector<VmMove> Plan(const Input& input, MonotonicTime now);

 private:
  // Demand history of a pool.
  struct History {
    // Queued slots that wait for capacity, smoothed over about 2 s.
    double queued = 0;
    // Recent demand; decays with a half-life of 2 s after a peak.
    double recent_demand = 0;
    // Mean length of peaks and of the gaps between them, in seconds.
    double peak_length = 5;
    double gap_length = 30;
    bool in_peak = false;
    // When `in_peak` last changed.
    MonotonicTime since{};
    MonotonicTime updated{};
  };
  struct PoolDraft;
  struct Draft;

  [[nodiscard]] Draft MakeDraft(const Input& input, MonotonicTime now);
  static void AddMembers(PoolDraft& pool, const PoolMembers& members, const Input& input);
  static void DivideDemand(Draft& draft);
  void UpdateHistory(PoolDraft& pool, MonotonicTime now);
  void AssignNewVms(Draft& draft);
  void ServePeaks(Draft& draft);
  void RefillPools(Draft& draft);
  void ReturnSurplus(Draft& draft);
  [[nodiscard]] std::optional<VmId> ChooseVm(const Draft& draft, const PoolDraft& from,
                                             const PoolDraft& to, double max_load) const;
  [[nodiscard]] PoolDraft* ChooseDonor(Draft& draft, const PoolDraft& to, double gain) const;
  [[nodiscard]] bool CanSpare(const PoolDraft& pool) const;
  [[nodiscard]] static double ExpectedPeakLeft(const History& history, MonotonicTime now);
  [[nodiscard]] double Risk(const PoolDraft& pool, double seconds) const;
  void Move(Draft& draft, const VmId& vm, PoolDraft* from, PoolDraft& to, MoveReason reason);

  Settings settings_;
  // Factor by which the capacity that a donor keeps must exceed its recent demand.
  double headroom_;
  std::map<PoolId, History> history_;
  std::map<VmId, MonotonicTime> moved_;
};

}  // namespace sapphirewheel
