#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Size of a job among the jobs of its queue.
enum class SizeGroup { kLargestTenth, kNextFifth, kRest };
inline constexpr std::size_t kSizeGroups = 3;

// Work is in milli-cores times milliseconds.
using CoreWork = std::int64_t;

// How many jobs of a queue ended in time, by size group. Older jobs count less.
class ServedBySize {
 public:
  struct Counts {
    double in_time = 0;
    double all = 0;
  };

  // Takes note of the size of a new job.
  void AddArrival(CoreWork work);
  // A job has ended in time, or has missed its deadline.
  void Count(SizeGroup group, bool in_time);
  [[nodiscard]] SizeGroup GroupOf(CoreWork work) const;
  [[nodiscard]] const std::array<Counts, kSizeGroups>& counts() const noexcept { return counts_; }

 private:
  void UpdateBounds();

  std::array<Counts, kSizeGroups> counts_;
  // The sizes of the latest jobs, as a ring.
  std::vector<CoreWork> sizes_;
  std::size_t next_ = 0;
  std::size_t since_update_ = 0;
  // Jobs with more work than these belong to the largest tenth, or to the three largest tenths.
  CoreWork tenth_ = 0;
  CoreWork three_tenths_ = 0;
};

// Tasks that run in a pool.
struct RunningWork {
  Millis remaining{0};
  std::int64_t cpu_millis = 0;
};

// A job with waiting tasks. Times are relative to the present.
struct WaitingJob {
  // Index in PoolDemand::queues.
  std::size_t queue = 0;
  // 0 is the highest.
  int priority = 0;
  SizeGroup size = SizeGroup::kRest;
  // Remaining critical path.
  Millis path{0};
  Millis deadline{0};
  // When a response no longer has any value.
  Millis worthless{0};
  // Of the tasks that do not run yet, also of steps that are not ready.
  CoreWork work = 0;
  // A run of it has started.
  bool started = false;
  bool over_share = false;
  // It was deferred in the round before.
  bool deferred = false;
};

struct PoolDemand {
  // Milli-cores that serve these jobs, whether they are in use or not; 0 if that is not known yet.
  std::int64_t capacity = 0;
  // The part of it that is not in use.
  std::int64_t free = 0;
  std::vector<RunningWork> running;
  std::vector<WaitingJob> jobs;
  // One for each queue of the pool.
  std::vector<std::array<ServedBySize::Counts, kSizeGroups>> queues;
  // The pool was overloaded in the round before.
  bool overloaded = false;
};

// Tiers of the jobs that end by themselves, in the order of their starts.
enum class StartTier {
  kInTime,
  // Beyond the team's share, in room that no other job needs.
  kOverShareWithRoom,
  // Could be in time, but there is no room for it.
  kDeferred,
  kLate,
  // Too late to have any value to its caller.
  kWorthless,
  kOverShare,
};

struct StartRank {
  StartTier tier = StartTier::kInTime;
  bool deferred = false;
  // Jobs of the same tier and priority start in this order, the smallest first. `deadline` and
  // `work` are alternatives; the other one is 0.
  bool unstarted = false;
  Millis deadline{0};
  CoreWork work = 0;
};

struct PoolRanking {
  // One for each job of the demand.
  std::vector<StartRank> ranks;
  // More work is to be done than there is room for. If not, the ranks are in the order of tiers,
  // then of deadlines.
  bool overloaded = false;
  int deferred = 0;
};

// Decides in which order the jobs of a pool get free slots, so that the fewest miss their deadlines
// when not all of them can meet it. Deterministic; depends on its argument only.
[[nodiscard]] PoolRanking RankStarts(const PoolDemand& demand);

}  // namespace sapphirewheel
