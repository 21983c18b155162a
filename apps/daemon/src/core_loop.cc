#include "core_loop.h"

#include <chrono>
#include <utility>

namespace sapphirewheel {
namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
// Bounds the time between two ticks under a continuous stream of tasks.
constexpr int kMaxBatch = 256;

}  // namespace

void CoreLoop::Run(const Hooks& hooks) {
  core_thread_ = std::this_thread::get_id();
  auto next_tick = std::chrono::steady_clock::now();
  while (!stopped_) {
    const auto now = std::chrono::steady_clock::now();
    if (now >= next_tick) {
      hooks.tick();
      next_tick = now + kTickInterval;
    }
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(next_tick - now) +
                      std::chrono::milliseconds(1);
    auto task = local_.empty() ? ring_.PopFor(wait) : ring_.TryPop();
    int n = 0;
    while (task || !local_.empty()) {
      RunUrgent();
      if (task && *task) (*task)();
      // Runs only the tasks queued now, since a task may queue further ones.
      for (std::size_t left = local_.size(); left > 0; --left) {
        Task local = std::move(local_.front());
        local_.pop_front();
        local();
      }
      if (++n >= kMaxBatch) break;
      task = ring_.TryPop();
      if (!task && local_.empty()) break;
    }
    RunUrgent();
    if (n > 0) hooks.after_batch();
  }
}

void CoreLoop::Stop() {
  stopped_ = true;
  ring_.Close();
  urgent_.Close();
}

void CoreLoop::RunUrgent() {
  while (auto task = urgent_.TryPop()) (*task)();
}

bool CoreLoop::TryPost(Task task) { return ring_.TryPush(std::move(task)); }

void CoreLoop::Post(Task task) {
  if (std::this_thread::get_id() == core_thread_.load()) {
    local_.push_back(std::move(task));
  } else {
    ring_.Push(std::move(task));
  }
}

void CoreLoop::PostUrgent(Task task) {
  if (std::this_thread::get_id() == core_thread_.load()) {
    local_.push_back(std::move(task));
    return;
  }
  urgent_.Push(std::move(task));
  // A full ring keeps the loop awake.
  [[maybe_unused]] const bool woken = ring_.TryPush(Task());
}

}  // namespace sapphirewheel
