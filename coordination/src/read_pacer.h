#pragma once

#include <algorithm>

#include "store_timeouts.h"

namespace sapphirewheel {

// Chooses how many reads of pages run at the same time and how many rows a page has, so that a slow
// link is not filled: the owner's renewals share it and must arrive within the lease. Both grow
// after a fast page and fall after a slow one.
class ReadPacer {
 public:
  // Maximum number of reads at the same time.
  [[nodiscard]] int reads() const noexcept { return reads_; }
  // Maximum number of rows of a page.
  [[nodiscard]] int rows() const noexcept { return rows_; }

  void OnPage(Millis took) noexcept {
    constexpr Millis kFast{120};
    constexpr Millis kSlow{400};
    if (took < kFast) {
      rows_ = std::min(2 * rows_, kMaxRows);
      reads_ = std::min(reads_ + 1, kMaxReads);
    } else if (took > kSlow) {
      Shrink();
    }
  }
  void OnTimeout() noexcept { Shrink(); }

 private:
  // Fewer rows only when reads run one after the other: with an unreachable or slow service, which
  // cannot be told from a slow link, small pages would cost more.
  void Shrink() noexcept {
    constexpr int kMinRows = 4;
    if (reads_ == 1) rows_ = std::max(rows_ / 2, kMinRows);
    reads_ = std::max(reads_ / 2, 1);
  }

  static constexpr int kFirstReads = 8;
  static constexpr int kMaxReads = 18;
  static constexpr int kFirstRows = 16;
  // The table service's limit.
  static constexpr int kMaxRows = 500;
  int reads_ = kFirstReads;
  int rows_ = kFirstRows;
};

}  // namespace sapphirewheel
