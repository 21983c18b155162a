#pragma once

#include <signal.h>

#include <functional>
#include <initializer_list>
#include <thread>

namespace sapphirewheel {

// Waits for signals on a thread of its own, since handlers may not take locks. SIGUSR1 ends it.
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
