#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/transport/events.h"

namespace sapphirewheel {

// Owns the thread that writes log events and spans. At most one instance runs in a process at a
// time; events and spans that are recorded while none runs are dropped.
class Telemetry {
 public:
  struct Settings {
    // Maximum number of queued events and spans; further ones are dropped and counted.
    std::size_t capacity = 8192;
    // If empty, events go to standard error, or to standard output if `standard_output` is set.
    std::string log_file;
    bool standard_output = false;
    // If empty, spans are not written.
    std::string span_file;
    // Events below this level are not written.
    EventLevel min_level = EventLevel::kInfo;
  };

  // Errors: kConflict when an instance already runs, kInvalidArgument when a file cannot be opened.
  [[nodiscard]] static Result<std::unique_ptr<Telemetry>> Start(const Settings& settings);

  // Writes the queued events and spans and joins the thread. If the output does not take them
  // within 0.3 s, the rest is lost and the thread is left behind.
  ~Telemetry();
  Telemetry(const Telemetry&) = delete;
  Telemetry& operator=(const Telemetry&) = delete;

  // The number of events and spans that were dropped because the queue was full.
  [[nodiscard]] std::uint64_t Dropped() const noexcept;

  struct Impl;

 private:
  explicit Telemetry(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
