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

// A bounded queue between duty threads. A full ring refuses the item, so that the sender answers
// with back-pressure. Any number of senders and receivers may use it.
template <typename T>
class BoundedQueue {
 public:
  // `wake` is called after each successful push, outside the lock, on the sender's thread; an
  // event loop that receives from the ring posts itself a task there.
  explicit BoundedQueue(std::size_t capacity, std::function<void()> wake = {})
      : items_(capacity), wake_(std::move(wake)) {}

  // Returns false, and leaves `item` untouched, when the ring is full or closed.
  [[nodiscard]] bool TryPush(T&& item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || items_.full()) return false;
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
    if (wake_) wake_();
    return true;
  }

  // Waits for room. For the results of calls that the receiver itself started: their number is
  // bounded, and each must arrive. Returns false when the ring is closed.
  bool Push(T&& item) {
    {
      std::unique_lock lock(mutex_);
      room_.wait(lock, [this] { return closed_ || !items_.full(); });
      if (closed_) return false;
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
    if (wake_) wake_();
    return true;
  }

  [[nodiscard]] std::optional<T> TryPop() {
    const std::lock_guard lock(mutex_);
    return PopLocked();
  }

  // Waits for an item until the time-out or the close of the ring.
  [[nodiscard]] std::optional<T> PopFor(std::chrono::milliseconds timeout) {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, timeout, [this] { return closed_ || !items_.empty(); });
    return PopLocked();
  }

  // Refuses further items; those already queued can still be received.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
    room_.notify_all();
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
    room_.notify_one();
    return item;
  }

  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::condition_variable room_;
  boost::circular_buffer<T> items_;
  std::function<void()> wake_;
  bool closed_ = false;
};

}  // namespace sapphirewheel
