#include "sapphirewheel/coordination/first_contact.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace sapphirewheel {
namespace {

// Smallest round: a VM that cannot handle as many replies could not renew its ownership either.
constexpr std::size_t kSmallestRound = 8;
// A reply that took longer waited behind others. A poll is repeated after 250 ms, which would add
// to the load.
constexpr Millis kReplyTime{150};
// A tick this long after the last one shows that the node is short of processor time. Ticks are due
// every 20 ms.
constexpr Millis kTickGap{70};
// Time after the round was made smaller in which late replies and ticks do not count again, because
// they come from polls that were sent before.
constexpr Millis kRecovery{250};
// Part of the replies by which a round grows once it has been too large.
constexpr std::size_t kGrowthPart = 8;

}  // namespace

FirstContact::FirstContact(Settings settings)
    : settings_(settings),
      round_size_(std::max(settings.first_round, kSmallestRound)),
      fast_growth_below_(settings.max_open_calls) {}

void FirstContact::OnReply(Millis took) {
  ++(took <= kReplyTime ? replies_in_time_ : replies_late_);
}

void FirstContact::Shrink(MonotonicTime now) {
  round_size_ = std::max(round_size_ / 2, kSmallestRound);
  fast_growth_below_ = round_size_;
  shrunk_until_ = now + kRecovery;
}

void FirstContact::OnTick(MonotonicTime now) {
  const bool late = ticked_ && now - last_tick_ > kTickGap;
  // A single server may be slow by itself.
  const bool overloaded = late || replies_late_ > replies_in_time_;
  if (overloaded) {
    if (now >= shrunk_until_) Shrink(now);
  } else if (replies_in_time_ > 0) {
    const bool fast = round_size_ < fast_growth_below_;
    const std::size_t part = fast ? 1 : kGrowthPart;
    round_size_ = std::min(round_size_ + (replies_in_time_ + part - 1) / part,
                           std::max(settings_.max_open_calls, kSmallestRound));
  }
  replies_in_time_ = replies_late_ = 0;
  last_tick_ = now;
  ticked_ = true;
}

std::size_t FirstContact::Allowance(const OpenCalls& open) const {
  const auto left = [](std::size_t bound, std::size_t used) {
    return bound - std::min(used, bound);
  };
  return std::min(left(round_size_, open.contacts), left(settings_.max_open_calls, open.all));
}

std::vector<std::size_t> FirstContact::Choose(const std::vector<Candidate>& candidates,
                                              const OpenCalls& open) const {
  const std::size_t n = std::min(Allowance(open), candidates.size());
  std::vector<std::size_t> chosen;
  chosen.reserve(n);
  if (n == 0) return chosen;
  struct Place {
    Rank rank;
    bool polled;
    std::size_t turn;
    std::size_t index;
  };
  std::map<std::tuple<Rank, bool, PoolId>, std::size_t> turns;
  std::vector<Place> places;
  places.reserve(candidates.size());
  for (const Candidate& it : candidates) {
    places.push_back({it.rank, it.polled, turns[{it.rank, it.polled, it.pool}]++, it.index});
  }
  const auto before = [](const Place& a, const Place& b) {
    return std::tie(a.rank, a.polled, a.turn, a.index) <
           std::tie(b.rank, b.polled, b.turn, b.index);
  };
  std::partial_sort(places.begin(), places.begin() + static_cast<std::ptrdiff_t>(n), places.end(),
                    before);
  for (std::size_t k = 0; k < n; ++k) chosen.push_back(places[k].index);
  return chosen;
}

}  // namespace sapphirewheel
