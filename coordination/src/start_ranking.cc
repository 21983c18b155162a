#include "sapphirewheel/coordination/start_ranking.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <queue>
#include <tuple>

namespace sapphirewheel {
namespace {

// The part in time of the large jobs of a queue, relative to that of all its jobs, below which they
// are not deferred. A half is required; large jobs are late more often than others when estimates
// are wrong, because they have more tasks.
constexpr double kLargeShare = 0.75;
// Part of the room that must stay free when a deferred job comes back, so that it is not deferred
// again by a small change.
constexpr double kReturnReserve = 0.1;
// Number of latest jobs from which the size groups of a queue are computed, the number of jobs
// before the first computation, and between two.
constexpr std::size_t kSizesKept = 256;
constexpr std::size_t kFewestSizes = 20;
constexpr std::size_t kUpdateInterval = 16;
// Number of counted jobs at which all counts are halved, a few peaks of a queue.
constexpr double kMaxCounted = 400;
// Running tasks are grouped by their remaining time into intervals of this length; a task that
// needs longer than all of them counts as running at all times.
constexpr std::int64_t kIntervalMs = 50;
constexpr std::size_t kIntervals = 256;

constexpr double kNoLimit = std::numeric_limits<double>::infinity();

std::size_t IndexOf(SizeGroup group) { return static_cast<std::size_t>(group); }

// By when the next step of a job must start so that the job can be in time.
Millis LatestStart(const WaitingJob& job) { return job.deadline - job.path; }

// Mean capacity that a job uses while it runs.
double MeanCpu(const WaitingJob& job) {
  return static_cast<double>(job.work) /
         static_cast<double>(std::max<std::int64_t>(job.path.count(), 1));
}

// The work that a pool can do, apart from its running tasks, until a given time from now.
class Room {
 public:
  explicit Room(const PoolDemand& demand) : capacity_(static_cast<double>(demand.capacity)) {
    for (const RunningWork& it : demand.running) {
      const auto n = IntervalOf(it.remaining);
      const auto cpu = static_cast<double>(it.cpu_millis);
      running_ += cpu;
      if (n >= kIntervals) continue;
      ended_cpu_[n + 1] += cpu;
      ended_work_[n + 1] += cpu * static_cast<double>(it.remaining.count());
    }
    for (std::size_t n = 1; n <= kIntervals; ++n) {
      ended_cpu_[n] += ended_cpu_[n - 1];
      ended_work_[n] += ended_work_[n - 1];
    }
  }

  // A job that starts now counts as running.
  void Start(const WaitingJob& job) {
    const double cpu = MeanCpu(job);
    running_ += cpu;
    for (std::size_t n = IntervalOf(job.path) + 1; n <= kIntervals; ++n) {
      ended_cpu_[n] += cpu;
      ended_work_[n] += static_cast<double>(job.work);
    }
  }

  [[nodiscard]] double Until(Millis time) const {
    const std::size_t n = IntervalOf(time);
    const auto length = static_cast<double>(std::max(time, Millis(0)).count());
    return std::max((capacity_ - running_ + ended_cpu_[n]) * length - ended_work_[n], 0.0);
  }

 private:
  static std::size_t IntervalOf(Millis time) {
    const auto n = std::max<std::int64_t>(time.count(), 0) / kIntervalMs;
    return std::min(static_cast<std::size_t>(n), kIntervals);
  }

  double capacity_;
  double running_ = 0;
  // Of the tasks that end before interval n.
  std::array<double, kIntervals + 1> ended_cpu_{};
  std::array<double, kIntervals + 1> ended_work_{};
};

// The jobs of a queue that can be in time, by size group: those counted so far and the present
// ones, which end in time unless they are deferred.
class SizeBalance {
 public:
  explicit SizeBalance(const std::array<ServedBySize::Counts, kSizeGroups>& counts)
      : counts_(counts) {
    for (const auto& it : counts_) {
      all_.in_time += it.in_time;
      all_.all += it.all;
    }
  }

  void Add(SizeGroup group, bool in_time) {
    const double kept = in_time ? 1 : 0;
    counts_[IndexOf(group)].in_time += kept;
    counts_[IndexOf(group)].all += 1;
    all_.in_time += kept;
    all_.all += 1;
  }
  void Change(SizeGroup group, bool in_time) {
    const double change = in_time ? 1 : -1;
    counts_[IndexOf(group)].in_time += change;
    all_.in_time += change;
  }
  // Whether the group has its share after `deferred` more jobs of it have been deferred.
  [[nodiscard]] bool HasShare(SizeGroup group, int deferred) const {
    if (group == SizeGroup::kRest) return true;
    const auto& it = counts_[IndexOf(group)];
    return (it.in_time - deferred) * all_.all >= kLargeShare * (all_.in_time - deferred) * it.all;
  }

 private:
  std::array<ServedBySize::Counts, kSizeGroups> counts_;
  ServedBySize::Counts all_;
};

bool CanBeInTime(const WaitingJob& job) { return job.path <= job.deadline; }
bool HasValue(const WaitingJob& job) { return job.path <= job.worthless; }

// The ranking of one pool.
class Ranker {
 public:
  explicit Ranker(const PoolDemand& demand);
  PoolRanking Run();

 private:
  using Indices = std::vector<std::size_t>;

  [[nodiscard]] const WaitingJob& Job(std::size_t n) const { return demand_.jobs[n]; }
  SizeBalance& BalanceOf(std::size_t n) { return balances_[Job(n).queue]; }
  void SortByLatestStart(Indices& jobs) const;
  void SortByWork(Indices& jobs) const;
  void ClassifyJobs();
  // Defers jobs among `jobs`, which are sorted by their latest start, so that the others fit into
  // the room beside the work `base` of jobs that go before them, and into `limit`. Adds their work
  // to `base`.
  void Admit(const Indices& jobs, double& base, double limit);
  // Takes `free` capacity for a job that need not wait, if there is enough.
  bool StartsNow(std::size_t n, double free);
  // Removes the marks of deferred jobs of size groups that have less than their share.
  void TakeBackLargeJobs(const Indices& jobs);
  // Takes back deferred jobs that fit. Returns the work of the kept ones.
  double Return(const Indices& jobs, double base, double limit);
  // Chooses the next job to be deferred among those that were taken; absent if there is none.
  std::optional<std::size_t> NextVictim();
  void SetDeferred(std::size_t n, bool deferred);
  // The work that may go before the late and deferred jobs without loss of their value.
  [[nodiscard]] double SpareBeforeLate(double base) const;
  void SetRanks(bool overloaded);
  void SetRank(std::size_t n, bool overloaded);

  // Jobs by their waiting work, the largest first; of equal ones the last.
  struct LessWork {
    const PoolDemand* demand;
    bool operator()(std::size_t a, std::size_t b) const {
      const CoreWork left = demand->jobs[a].work;
      const CoreWork right = demand->jobs[b].work;
      return std::tie(left, a) < std::tie(right, b);
    }
  };
  using Heap = std::priority_queue<std::size_t, Indices, LessWork>;

  const PoolDemand& demand_;
  Room room_;
  std::vector<SizeBalance> balances_;
  std::vector<bool> deferred_;
  std::vector<bool> starts_now_;
  // Free capacity for jobs that can start now.
  double free_;
  Indices in_time_;
  Indices over_share_;
  Indices late_;
  Heap unstarted_;
  Heap started_;
  // Large jobs whose group has no more than its share.
  Heap spared_;
  PoolRanking ranking_;
};

Ranker::Ranker(const PoolDemand& demand)
    : demand_(demand),
      room_(demand),
      balances_(demand.queues.begin(), demand.queues.end()),
      deferred_(demand.jobs.size(), false),
      starts_now_(demand.jobs.size(), false),
      free_(static_cast<double>(demand.free)),
      unstarted_(LessWork{&demand}),
      started_(LessWork{&demand}),
      spared_(LessWork{&demand}) {
  ranking_.ranks.resize(demand.jobs.size());
}

void Ranker::SortByLatestStart(Indices& jobs) const {
  std::sort(jobs.begin(), jobs.end(), [this](std::size_t a, std::size_t b) {
    return std::tuple(Job(a).priority, LatestStart(Job(a)), a) <
           std::tuple(Job(b).priority, LatestStart(Job(b)), b);
  });
}

void Ranker::SortByWork(Indices& jobs) const {
  std::sort(jobs.begin(), jobs.end(), [this](std::size_t a, std::size_t b) {
    return std::tie(Job(a).work, a) < std::tie(Job(b).work, b);
  });
}

void Ranker::ClassifyJobs() {
  for (std::size_t n = 0; n < demand_.jobs.size(); ++n) {
    const WaitingJob& job = Job(n);
    if (!CanBeInTime(job)) {
      if (!job.over_share) late_.push_back(n);
      continue;
    }
    deferred_[n] = job.deferred && demand_.capacity > 0;
    (job.over_share ? over_share_ : in_time_).push_back(n);
    if (!job.over_share) BalanceOf(n).Add(job.size, !deferred_[n]);
  }
  SortByLatestStart(in_time_);
  SortByLatestStart(over_share_);
}

void Ranker::SetDeferred(std::size_t n, bool deferred) {
  if (deferred_[n] == deferred) return;
  deferred_[n] = deferred;
  if (!Job(n).over_share) BalanceOf(n).Change(Job(n).size, !deferred);
}

std::optional<std::size_t> Ranker::NextVictim() {
  for (Heap* heap : {&unstarted_, &started_}) {
    while (!heap->empty()) {
      const std::size_t n = heap->top();
      heap->pop();
      if (Job(n).over_share || BalanceOf(n).HasShare(Job(n).size, 1)) return n;
      spared_.push(n);
    }
  }
  if (spared_.empty()) return std::nullopt;
  const std::size_t n = spared_.top();
  spared_.pop();
  return n;
}

void Ranker::TakeBackLargeJobs(const Indices& jobs) {
  Indices large;
  for (const std::size_t n : jobs) {
    if (deferred_[n] && Job(n).size != SizeGroup::kRest && !Job(n).over_share) large.push_back(n);
  }
  SortByWork(large);
  for (const std::size_t n : large) {
    if (!BalanceOf(n).HasShare(Job(n).size, 0)) SetDeferred(n, false);
  }
}

void Ranker::Admit(const Indices& jobs, double& base, double limit) {
  unstarted_ = started_ = spared_ = Heap(LessWork{&demand_});
  TakeBackLargeJobs(jobs);
  double sum = 0;
  for (const std::size_t n : jobs) {
    if (deferred_[n] || StartsNow(n, free_)) continue;
    sum += static_cast<double>(Job(n).work);
    (Job(n).started ? started_ : unstarted_).push(n);
    // Work that goes before it has to be done when it starts. Its own counts as well, because its
    // later steps wait for slots again.
    const double room = room_.Until(LatestStart(Job(n))) - base;
    while (sum > std::min(room, limit)) {
      const auto victim = NextVictim();
      if (!victim) break;
      SetDeferred(*victim, true);
      sum -= static_cast<double>(Job(*victim).work);
    }
  }
  base += Return(jobs, base, limit);
}

bool Ranker::StartsNow(std::size_t n, double free) {
  const double cpu = MeanCpu(Job(n));
  if (cpu > free) return false;
  free_ -= cpu;
  room_.Start(Job(n));
  starts_now_[n] = true;
  return true;
}

double Ranker::Return(const Indices& jobs, double base, double limit) {
  Indices deferred;
  std::vector<std::size_t> position(demand_.jobs.size(), 0);
  // Room that is left until the latest start of each job, and the least from there on.
  std::vector<double> left(jobs.size() + 1, kNoLimit);
  double sum = 0;
  for (std::size_t n = 0; n < jobs.size(); ++n) {
    position[jobs[n]] = n;
    if (deferred_[jobs[n]]) {
      if (Job(jobs[n]).deferred) deferred.push_back(jobs[n]);
    } else if (!starts_now_[jobs[n]]) {
      sum += static_cast<double>(Job(jobs[n]).work);
    }
    left[n] = room_.Until(LatestStart(Job(jobs[n]))) - base - sum;
  }
  const auto update = [&] {
    for (std::size_t n = jobs.size(); n-- > 0;) left[n] = std::min(left[n], left[n + 1]);
  };
  update();
  SortByWork(deferred);
  for (const std::size_t n : deferred) {
    if (StartsNow(n, free_ * (1 - kReturnReserve))) {
      SetDeferred(n, false);
      continue;
    }
    const auto work = static_cast<double>(Job(n).work);
    const double reserve = kReturnReserve * room_.Until(LatestStart(Job(n)));
    if (left[position[n]] < work + reserve || sum + work + reserve > limit) continue;
    SetDeferred(n, false);
    sum += work;
    for (std::size_t i = position[n]; i < jobs.size(); ++i) left[i] -= work;
    update();
  }
  return sum;
}

double Ranker::SpareBeforeLate(double base) const {
  Indices waiting;
  for (const std::size_t n : late_) {
    if (HasValue(Job(n))) waiting.push_back(n);
  }
  for (const std::size_t n : in_time_) {
    if (deferred_[n]) waiting.push_back(n);
  }
  std::sort(waiting.begin(), waiting.end(), [this](std::size_t a, std::size_t b) {
    return std::tie(Job(a).worthless, a) < std::tie(Job(b).worthless, b);
  });
  double spare = kNoLimit;
  for (const std::size_t n : waiting) {
    base += static_cast<double>(Job(n).work);
    spare = std::min(spare, room_.Until(Job(n).worthless) - base);
  }
  return spare;
}

void Ranker::SetRank(std::size_t n, bool overloaded) {
  const WaitingJob& job = Job(n);
  StartRank& rank = ranking_.ranks[n];
  const bool in_time = CanBeInTime(job);
  rank.deferred = deferred_[n];
  if (job.over_share) {
    const bool has_room = overloaded && in_time && !deferred_[n];
    rank.tier = has_room ? StartTier::kOverShareWithRoom : StartTier::kOverShare;
  } else if (in_time) {
    rank.tier = deferred_[n] ? StartTier::kDeferred : StartTier::kInTime;
  } else {
    rank.tier = HasValue(job) || !overloaded ? StartTier::kLate : StartTier::kWorthless;
  }
  if (!overloaded || rank.tier <= StartTier::kOverShareWithRoom) {
    rank.deadline = overloaded ? LatestStart(job) : job.deadline;
    return;
  }
  rank.unstarted = !job.started;
  rank.work = job.work;
}

PoolRanking Ranker::Run() {
  ClassifyJobs();
  double base = 0;
  if (demand_.capacity > 0) {
    for (auto first = in_time_.begin(); first != in_time_.end();) {
      const auto last = std::find_if(first, in_time_.end(), [&](std::size_t n) {
        return Job(n).priority != Job(*first).priority;
      });
      Admit(Indices(first, last), base, kNoLimit);
      first = last;
    }
    const double spare = SpareBeforeLate(base);
    Admit(over_share_, base, std::max(spare, 0.0));
    ranking_.deferred = static_cast<int>(std::count(deferred_.begin(), deferred_.end(), true));
    const bool backlog = ranking_.deferred > 0 || !late_.empty();
    ranking_.overloaded = ranking_.deferred > 0 || spare < 0 || (demand_.overloaded && backlog);
  }
  for (std::size_t n = 0; n < demand_.jobs.size(); ++n) SetRank(n, ranking_.overloaded);
  return std::move(ranking_);
}

}  // namespace

void ServedBySize::AddArrival(CoreWork work) {
  if (sizes_.size() < kSizesKept) {
    sizes_.push_back(work);
  } else {
    sizes_[next_] = work;
    next_ = (next_ + 1) % kSizesKept;
  }
  if (++since_update_ >= kUpdateInterval && sizes_.size() >= kFewestSizes) UpdateBounds();
}

void ServedBySize::UpdateBounds() {
  since_update_ = 0;
  std::vector<CoreWork> sorted = sizes_;
  std::sort(sorted.begin(), sorted.end());
  tenth_ = sorted[sorted.size() - sorted.size() / 10 - 1];
  three_tenths_ = sorted[sorted.size() - sorted.size() * 3 / 10 - 1];
}

SizeGroup ServedBySize::GroupOf(CoreWork work) const {
  if (tenth_ == 0 || work <= three_tenths_) return SizeGroup::kRest;
  return work > tenth_ ? SizeGroup::kLargestTenth : SizeGroup::kNextFifth;
}

void ServedBySize::Count(SizeGroup group, bool in_time) {
  Counts& counts = counts_[IndexOf(group)];
  counts.all += 1;
  if (in_time) counts.in_time += 1;
  double all = 0;
  for (const Counts& it : counts_) all += it.all;
  if (all < kMaxCounted) return;
  for (Counts& it : counts_) {
    it.in_time /= 2;
    it.all /= 2;
  }
}

PoolRanking RankStarts(const PoolDemand& demand) { return Ranker(demand).Run(); }

}  // namespace sapphirewheel
