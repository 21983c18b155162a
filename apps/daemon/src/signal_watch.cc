#include "signal_watch.h"

#include <utility>

namespace sapphirewheel {

SignalWatch::SignalWatch(std::function<void(int)> on_signal, std::initializer_list<int> signals) {
  sigemptyset(&set_);
  for (const int it : signals) sigaddset(&set_, it);
  sigaddset(&set_, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &set_, nullptr);
  thread_ = std::thread([this, on_signal = std::move(on_signal)] {
    int number = 0;
    while (sigwait(&set_, &number) == 0 && number != SIGUSR1) on_signal(number);
  });
}

SignalWatch::~SignalWatch() {
  pthread_kill(thread_.native_handle(), SIGUSR1);
  thread_.join();
}

}  // namespace sapphirewheel
