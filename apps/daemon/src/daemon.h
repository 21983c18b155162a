#pragma once

#include <memory>

#include "settings.h"

namespace sapphirewheel {

// The daemon process: its threads and listeners, around one node incarnation at a time.
class Daemon {
 public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Runs until a planned stop is complete. Returns the exit status.
  int Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
