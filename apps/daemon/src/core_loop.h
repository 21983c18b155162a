#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <thread>

#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/bounded_ring.h"

namespace sapphirewheel {

// Event loop of the thread that drives the coordination components: runs posted tasks in order, and
// a periodic tick.
class CoreLoop {
 public:
  using Task = std::function<void()>;
  struct Hooks {
    // Called about every 20 ms.
    std::function<void()> tick;
    // Called after each batch of tasks.
    std::function<void()> after_batch;
  };

  explicit CoreLoop(std::size_t capacity) : ring_(capacity), urgent_(capacity) {}

  // Runs on the calling thread until Stop is called.
  void Run(const Hooks& hooks);
  // Thread-safe.
  void Stop();

  // Queues new work; returns false when the ring is full, so that the caller can be refused.
  [[nodiscard]] bool TryPost(Task task);
  // Queues the completion of a call that the core thread started. Blocks while the ring is full,
  // except on the core thread.
  void Post(Task task);
  // The same for a completion that must not wait for those of other calls: it runs before the next
  // task, and after the urgent ones that were posted before it.
  void PostUrgent(Task task);

 private:
  void RunUrgent();

  // An empty task wakes the loop.
  BoundedRing<Task> ring_;
  BoundedRing<Task> urgent_;
  // Completions posted on the core thread itself, which must not block on a full ring.
  std::deque<Task> local_;
  std::atomic<std::thread::id> core_thread_{};
  std::atomic<bool> stopped_{false};
};

}  // namespace sapphirewheel
