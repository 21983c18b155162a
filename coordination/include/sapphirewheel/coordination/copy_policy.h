#pragma once

#include <cstdint>
#include <optional>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Decides when a second run of a task that lasts unusually long is worth its cost, and limits how
// many there are.
class CopyPolicy {
 public:
  struct Settings {
    // A task is long when it has run for this multiple of the high quantile of its image. The
    // longest of the usual tasks stay below it.
    double beyond_high = 1.5;
    // Largest number of copies of a pool's tasks at the same time, as a fraction of the tasks that
    // run there. About 3 % of the tasks last many times as long as usual.
    double max_share = 0.05;
    // A pool with few tasks may have this many copies.
    int min_copies = 2;
    // Fraction of the pool's capacity that stays free, for work that arrives while a copy runs.
    double free_share = 0.1;
    // Copies that may be made without any of them being faster. After that they are made at a low
    // rate, because the long tasks seem to be long in each run.
    double max_credit = 8;
    // What a copy returns that was faster than the first run.
    double win_credit = 2;
    Millis credit_interval{5000};
  };

  // A run without a copy.
  struct Run {
    // Since its start was confirmed.
    Millis elapsed{0};
    // Progress in percent, if it is known.
    std::optional<int> percent;
    // Usual duration of a task of its image, and the one that few tasks exceed.
    Millis usual{0};
    std::optional<Millis> high;
    // How much longer it may be expected to run, by the durations of other runs.
    std::optional<Millis> remaining;
    Resources charge;
  };

  struct Pool {
    Resources capacity;
    Resources free;
    // Tasks that run there and copies of them.
    int running = 0;
    int copies = 0;
    // Tasks that could start if they had room.
    int waiting = 0;
  };

  CopyPolicy() : CopyPolicy(Settings{}) {}
  explicit CopyPolicy(Settings settings) : settings_(settings), credit_(settings.max_credit) {}

  // Whether the run lasts so long that a fresh run would probably end earlier.
  [[nodiscard]] bool IsLong(const Run& run) const;
  // Whether the pool has room for a copy that nothing else needs.
  [[nodiscard]] bool HasRoom(const Pool& pool, const Resources& charge) const;
  // Whether the limits allow a further copy in the pool.
  [[nodiscard]] bool IsWithinBudget(const Pool& pool, MonotonicTime now);

  void RecordStart();
  // A copy was done before the first run.
  void RecordWin();

 private:
  Settings settings_;
  double credit_;
  std::optional<MonotonicTime> credit_at_;
};

}  // namespace sapphirewheel
