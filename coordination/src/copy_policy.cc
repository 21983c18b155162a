#include "sapphirewheel/coordination/copy_policy.h"

#include <algorithm>

namespace sapphirewheel {
namespace {

constexpr int kWhole = 100;
// Time for the order that starts a copy and for the list that shows its end.
constexpr Millis kOverhead{200};

// What a run still needs if it goes on as before; absent if its progress does not tell.
std::optional<Millis> RemainingByProgress(const CopyPolicy::Run& run) {
  if (!run.percent || *run.percent <= 0 || *run.percent >= kWhole) return std::nullopt;
  return run.elapsed * (kWhole - *run.percent) / *run.percent;
}

}  // namespace

bool CopyPolicy::IsLong(const Run& run) const {
  if (!run.high) return false;
  const auto high = static_cast<double>(run.high->count());
  if (static_cast<double>(run.elapsed.count()) <= settings_.beyond_high * high) return false;
  auto remaining = RemainingByProgress(run);
  if (!remaining) remaining = run.remaining;
  return remaining && *remaining > run.usual + kOverhead;
}

bool CopyPolicy::HasRoom(const Pool& pool, const Resources& charge) const {
  if (pool.waiting > 0) return false;
  const auto keep = static_cast<std::int64_t>(settings_.free_share *
                                              static_cast<double>(pool.capacity.cpu_millis));
  return (charge + Resources{keep, 0, 0}).FitsIn(pool.free);
}

bool CopyPolicy::IsWithinBudget(const Pool& pool, MonotonicTime now) {
  const Millis passed = now - credit_at_.value_or(now);
  credit_ +=
      static_cast<double>(passed.count()) / static_cast<double>(settings_.credit_interval.count());
  credit_ = std::min(credit_, settings_.max_credit);
  credit_at_ = now;
  const auto share = static_cast<int>(settings_.max_share * static_cast<double>(pool.running));
  return credit_ >= 1 && pool.copies < std::max(settings_.min_copies, share);
}

void CopyPolicy::RecordStart() { credit_ -= 1; }

void CopyPolicy::RecordWin() {
  credit_ = std::min(credit_ + settings_.win_credit, settings_.max_credit);
}

}  // namespace sapphirewheel
