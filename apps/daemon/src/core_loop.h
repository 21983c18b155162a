#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <thread>

#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/bounded_ring.h"

namespace sapphirewheel {

// The thread that drives the coordination parts: runs posted tasks in order and a tick at
// intervals.
class CoreLoop {
 public:
  using Task = std::function<void()>;
  struct Hooks {
    // About every 20 ms.
    std::function<void()> tick;
    // After each batch of tasks.
    std::function<void()> after_batch;
  };

  explicit CoreLoop(std::size_t capacity) : ring_(capacity) {}

  // Runs on the calling thread until Stop.
  void Run(const Hooks& hooks);
  // May be called from any thread.
  void Stop();

  // Queues new work; false when the ring is full, so that the caller is refused.
  [[nodiscard]] bool TryPost(Task task);
  // Queues the completion of a call that the core thread started; waits for room.
  void Post(Task task);

 private:
  BoundedRing<Task> ring_;
  // Completions that come on the core thread itself; they cannot wait for room there.
  std::deque<Task> local_;
  std::atomic<std::thread::id> core_thread_{};
  std::atomic<bool> stopped_{false};
};

}  // namespace sapphirewheel
