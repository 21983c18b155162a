#pragma once

#include <signal.h>

#include <functional>
#include <initializer_list>
#include <thread>

namespace sapphirewheel {

// Receives signals on its own thread, since signal handlers must not take locks. The destructor
// ends the thread with SIGUSR1.
class SignalWatch {
 public:
  SignalWatch(std::function<void(int)> on_signal, std::initializer_list<int> signals);
  ~SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

 private:
  sigset_t set_{};
  std::thread thread_;
};

}  // namespace sapphirewheel
