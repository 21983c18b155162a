#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "sapphirewheel/transport/peer_client.h"
#include "sapphirewheel/transport/peer_server.h"

namespace sapphirewheel::testing {

// Runs posted tasks on one thread, as the core thread of a daemon does.
class TaskThread {
 public:
  TaskThread() : thread_([this] { Run(); }) {}
  ~TaskThread() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    ready_.notify_all();
    thread_.join();
  }
  TaskThread(const TaskThread&) = delete;
  TaskThread& operator=(const TaskThread&) = delete;

  [[nodiscard]] PostFunction post() {
    return [this](std::function<void()> task) {
      const std::lock_guard lock(mutex_);
      tasks_.push_back(std::move(task));
      ready_.notify_all();
    };
  }

 private:
  void Run() {
    std::unique_lock lock(mutex_);
    while (true) {
      ready_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      if (tasks_.empty()) return;
      std::function<void()> task = std::move(tasks_.front());
      tasks_.pop_front();
      lock.unlock();
      task();
      task = nullptr;
      lock.lock();
    }
  }

  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<std::function<void()>> tasks_;
  bool stopping_ = false;
  std::thread thread_;
};

// A value that another thread sets. Waits are bounded, so that a missing value fails the test
// instead of blocking it.
template <typename T>
class Awaited {
 public:
  // A callback that sets the value; may outlive this object.
  [[nodiscard]] std::function<void(T)> setter() {
    return [state = state_](T value) {
      const std::lock_guard lock(state->mutex);
      ++state->sets;
      state->value.emplace(std::move(value));
      state->ready.notify_all();
    };
  }
  // Waits for the value; empty when it was not set within 20 s.
  [[nodiscard]] std::optional<T> Wait() {
    std::unique_lock lock(state_->mutex);
    state_->ready.wait_for(lock, std::chrono::seconds(20),
                           [this] { return state_->value.has_value(); });
    return state_->value;
  }
  [[nodiscard]] int sets() const {
    const std::lock_guard lock(state_->mutex);
    return state_->sets;
  }

 private:
  struct State {
    std::mutex mutex;
    std::condition_variable ready;
    std::optional<T> value;
    int sets = 0;
  };
  std::shared_ptr<State> state_ = std::make_shared<State>();
};

// Time-out of calls that are expected to end before it.
inline constexpr Millis kLongTimeout(15000);

inline std::unique_ptr<PeerServer> StartServer(PeerHandlers handlers, const PostFunction& post,
                                               PeerServer::Settings settings = {}) {
  if (settings.listen.address.empty()) settings.listen.address = "127.0.1.1";
  auto server = PeerServer::Start(settings, std::move(handlers), post);
  return server ? std::move(server.value()) : nullptr;
}

}  // namespace sapphirewheel::testing
