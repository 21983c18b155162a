#pragma once

#include <algorithm>

#include "store_timeouts.h"

namespace sapphirewheel {

// Chooses how many reads of pages run at the same time and how many rows a page has, so that a slow
// link is not filled: the owner's renewals share it and must arrive within the lease. Both start
// low, grow after a fast page and fall after a slow one.
class ReadPacer {
 public:
  // `reply_delay` is the time that a small reply takes, which says nothing about the link.
  explicit ReadPacer(Millis reply_delay) noexcept : reply_delay_(reply_delay) {}

  // Maximum number of reads at the same time.
  [[nodiscard]] int reads() const noexcept { return reads_; }
  // Maximum number of rows of a page.
  [[nodiscard]] int rows() const noexcept { return rows_; }

  void OnPage(Millis took) noexcept {
    constexpr Millis kFast{120};
    constexpr Millis kSlow{400};
    const Millis on_link = took - reply_delay_;
    if (on_link < kFast) {
      rows_ = std::min(2 * rows_, kMaxRows);
      reads_ = std::min(reads_ + 1, kMaxReads);
    } else if (on_link > kSlow) {
      Shrink();
    }
  }
  void OnTimeout() noexcept { Shrink(); }

 private:
  // Fewer rows only when reads run one after the other: if the service has become slow since
  // reply_delay_ was measured, small pages would cost more.
  void Shrink() noexcept {
    constexpr int kMinRows = 1;
    if (reads_ == 1) rows_ = std::max(rows_ / 2, kMinRows);
    reads_ = std::max(reads_ / 2, 1);
  }

  static constexpr int kFirstReads = 2;
  static constexpr int kMaxReads = 18;
  static constexpr int kFirstRows = 16;
  // The table service's limit.
  static constexpr int kMaxRows = 500;
  Millis reply_delay_;
  int reads_ = kFirstReads;
  int rows_ = kFirstRows;
};

}  // namespace sapphirewheel
