#pragma once

#include <cstddef>
#include <vector>

#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Decides which backend servers an owner may contact for the first time now. It has to poll all of
// them, and their replies together can take a small VM longer than its lease of the ownership
// lasts. So they are polled in rounds. The size of a round is the number of polls without a reply
// that may be open at a time. It grows while replies come in time, and is halved when they, or the
// ticks of the node, come late. Not thread-safe; the time is passed in.
class FirstContact {
 public:
  struct Settings {
    // Size of the first round.
    std::size_t first_round = 200;
    // Upper bound of the calls in progress to backend servers, of all kinds.
    std::size_t max_open_calls = 4096;
  };
  // In the order in which servers are contacted.
  enum class Rank {
    // The roster lists it and its pool has waiting work, which may have to wait for its list.
    kMayRunWaitingWork,
    // The roster lists it, so tasks of an earlier owner may run there.
    kMayRun,
    // Its pool has waiting work.
    kWaitingWork,
    kOther,
    // Its pool is a spare pool, which runs no work.
    kSpare,
  };
  struct Candidate {
    Rank rank = Rank::kOther;
    // Whether it was polled before without a reply. Servers that were not polled yet go first.
    bool polled = false;
    PoolId pool;
    // What the caller knows it by.
    std::size_t index = 0;
  };
  // The calls to backend servers that are in progress.
  struct OpenCalls {
    // Polls of servers that have not replied yet.
    std::size_t contacts = 0;
    // Calls of all kinds, with these polls.
    std::size_t all = 0;
  };

  explicit FirstContact(Settings settings);

  // A server replied for the first time, `took` after its poll was sent.
  void OnReply(Millis took);
  // Called once per tick, before Choose: adapts the size of a round to the replies since the last
  // tick, and to the time since then.
  void OnTick(MonotonicTime now);
  // How many servers may be polled now.
  [[nodiscard]] std::size_t Allowance(const OpenCalls& open) const;
  // The indices of the servers to be polled now, by rank. Within a rank the pools take turns, so
  // that work of each of them can be placed soon.
  [[nodiscard]] std::vector<std::size_t> Choose(const std::vector<Candidate>& candidates,
                                                const OpenCalls& open) const;
  [[nodiscard]] std::size_t round_size() const noexcept { return round_size_; }

 private:
  void Shrink(MonotonicTime now);

  const Settings settings_;
  std::size_t round_size_;
  // Up to this size a round grows by the number of replies, so that it doubles in the time of a
  // reply; above, by a part of it.
  std::size_t fast_growth_below_;
  std::size_t replies_in_time_ = 0;
  std::size_t replies_late_ = 0;
  bool ticked_ = false;
  MonotonicTime last_tick_;
  // What comes late until then was sent before the round was last made smaller.
  MonotonicTime shrunk_until_;
};

}  // namespace sapphirewheel
