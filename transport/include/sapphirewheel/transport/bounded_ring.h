#pragma once

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace sapphirewheel {

// A bounded, thread-safe queue on a ring buffer, for any number of producers and consumers. A full
// ring rejects the item, so that the producer can apply back-pressure.
template <typename T>
class BoundedRing {
 public:
  // `on_push` is called after each successful push, outside the lock, on the producer's thread. A
  // consumer that runs an event loop uses it to post itself a task.
  explicit BoundedRing(std::size_t capacity, std::function<void()> on_push = {})
      : items_(capacity), on_push_(std::move(on_push)) {}

  // Returns false, and leaves `item` untouched, when the ring is full or closed.
  [[nodiscard]] bool TryPush(T&& item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || items_.full()) return false;
      items_.push_back(std::move(item));
    }
    not_empty_.notify_one();
    if (on_push_) on_push_();
    return true;
  }

  // Blocks until there is space. Meant for results of calls that the consumer started itself: their
  // number is bounded, and none may be lost. Returns false when the ring is closed.
  bool Push(T&& item) {
    {
      std::unique_lock lock(mutex_);
      not_full_.wait(lock, [this] { return closed_ || !items_.full(); });
      if (closed_) return false;
      items_.push_back(std::move(item));
    }
    not_empty_.notify_one();
    if (on_push_) on_push_();
    return true;
  }

  [[nodiscard]] std::optional<T> TryPop() {
    const std::lock_guard lock(mutex_);
    return PopLocked();
  }

  // Waits for an item until the timeout expires or the ring is closed.
  [[nodiscard]] std::optional<T> PopFor(std::chrono::milliseconds timeout) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_for(lock, timeout, [this] { return closed_ || !items_.empty(); });
    return PopLocked();
  }

  // Rejects further items; items that are already queued can still be popped.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  [[nodiscard]] std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return items_.size();
  }

 private:
  std::optional<T> PopLocked() {
    if (items_.empty()) return std::nullopt;
    std::optional<T> item(std::move(items_.front()));
    items_.pop_front();
    not_full_.notify_one();
    return item;
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  boost::circular_buffer<T> items_;
  std::function<void()> on_push_;
  bool closed_ = false;
};

}  // namespace sapphirewheel
