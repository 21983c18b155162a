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

// Demand of a service over the whole fleet, in slots.
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

// Decides which VMs change pool. It only decides: VmMover carries the moves out. Call Plan at a
// steady pace (about once a second), because it learns from the demand of each call.
class PoolPlanner {
 public:
  struct Settings {
    PolicyProfile profile;
    // Waiting, in slot-seconds, that a move must save to be worth it; times the weight of moves.
    double move_cost = 8;
    // From the decision until the VM takes work.
    Millis move_time{1500};
    // A VM stays in a pool at least so long; times the weight of moves.
    Millis min_stay{5000};
    // Moves under way at once; times the weight of roll-out time.
    int max_concurrent_moves = 4;
  };
  struct Input {
    FleetSnapshot fleet;
    std::vector<ServiceDemand> demand;
    std::map<PoolId, BudgetRecord> budgets;
    // Moves under way, by VM, with the pool each goes to.
    std::map<VmId, PoolId> moving;
    // VMs that must not be drained now.
    std::set<VmId> in_drain_backoff;
    // Slots in use on each VM, as far as known; idle VMs are moved first.
    std::map<VmId, std::int64_t> running;
  };

  explicit PoolPlanner(Settings settings);

  [[nodiscard]] std::vector<VmMove> Plan(const Input& input, MonotonicTime now);

 private:
  // What was learned of a pool's demand.
  struct History {
    // Slots that wait for capacity, smoothed over about 2 s.
    double queued = 0;
    // Demand that falls by half in 2 s after a peak.
    double recent = 0;
    // Mean length of peaks and of the times between them, in seconds.
    double peak_length = 5;
    double gap = 30;
    bool peaking = false;
    MonotonicTime since{};
    MonotonicTime updated{};
  };
  struct PoolDraft;
  struct Draft;

  [[nodiscard]] Draft Begin(const Input& input, MonotonicTime now);
  static void AddMembers(PoolDraft& pool, const PoolMembers& members, const Input& input);
  static void DivideDemand(Draft& draft);
  void Learn(PoolDraft& pool, MonotonicTime now);
  void Bootstrap(Draft& draft);
  void ServePeaks(Draft& draft);
  void RefillSizes(Draft& draft);
  void ReturnSurplus(Draft& draft);
  [[nodiscard]] std::optional<VmId> PickVm(const Draft& draft, const PoolDraft& from,
                                           const PoolDraft& to, double busiest) const;
  [[nodiscard]] PoolDraft* PickDonor(Draft& draft, const PoolDraft& to, double gain) const;
  [[nodiscard]] bool CanSpare(const PoolDraft& pool) const;
  [[nodiscard]] static double PeakLeft(const History& history, MonotonicTime now);
  [[nodiscard]] double Risk(const PoolDraft& pool, double seconds) const;
  void Move(Draft& draft, const VmId& vm, PoolDraft* from, PoolDraft& to, MoveReason reason);

  Settings settings_;
  // Capacity that a donor keeps above its recent demand.
  double headroom_;
  std::map<PoolId, History> history_;
  std::map<VmId, MonotonicTime> moved_;
};

}  // namespace sapphirewheel
