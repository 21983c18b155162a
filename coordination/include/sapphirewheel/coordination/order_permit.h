#pragma once

#include <atomic>
#include <memory>

#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// The right of one owner to give orders to VMs and backend servers: its fencing token, and the time
// at which the right ends. Copies share the end, which moves with each renewal, so that an order
// under way lasts as long as the ownership. Times are by the owner's clock, which goes on while the
// VM is suspended. Thread-safe.
class OrderPermit {
 public:
  // A permit that has ended.
  OrderPermit() = default;
  OrderPermit(Epoch token, MonotonicTime ends) : token_(token) { SetEnd(ends); }

  [[nodiscard]] Epoch token() const noexcept { return token_; }
  [[nodiscard]] MonotonicTime ends() const noexcept {
    return MonotonicTime(Millis(ends_->load(std::memory_order_relaxed)));
  }
  // Moves the end for all copies.
  void SetEnd(MonotonicTime ends) noexcept {
    ends_->store(ends.time_since_epoch().count(), std::memory_order_relaxed);
  }

 private:
  Epoch token_;
  std::shared_ptr<std::atomic<std::int64_t>> ends_ = std::make_shared<std::atomic<std::int64_t>>(0);
};

}  // namespace sapphirewheel
