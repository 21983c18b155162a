#include "process_exit.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <iostream>
#include <memory>
#include <thread>

namespace sapphirewheel {
namespace {

// How long the exit waits for output that nobody reads.
constexpr std::chrono::milliseconds kFlushTime{200};

void FlushStandardStreams() {
  std::cout.flush();
  std::cerr.flush();
  std::fflush(nullptr);
}

}  // namespace

void ExitProcess(int status) {
  const auto flushed = std::make_shared<std::promise<void>>();
  auto done = flushed->get_future();
  std::thread([flushed] {
    FlushStandardStreams();
    flushed->set_value();
  }).detach();
  done.wait_for(kFlushTime);
  std::_Exit(status);
}

}  // namespace sapphirewheel
