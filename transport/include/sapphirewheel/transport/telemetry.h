#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/transport/events.h"

namespace sapphirewheel {

// The thread that writes log events and spans. At most one runs in a process at a time; what is
// logged while none runs is dropped.
class Telemetry {
 public:
  struct Settings {
    // Events and spans that wait to be written; further ones are dropped and counted.
    std::size_t capacity = 8192;
    // Empty: standard error, or standard output when that is set.
    std::string log_file;
    bool standard_output = false;
    // Empty: spans are not written.
    std::string span_file;
    // Events below this level are not written.
    EventLevel min_level = EventLevel::kInfo;
  };

  // Errors: kConflict when one runs already, kInvalidArgument when a file cannot be opened.
  [[nodiscard]] static Result<std::unique_ptr<Telemetry>> Start(const Settings& settings);

  // Writes what is queued and joins the thread.
  ~Telemetry();
  Telemetry(const Telemetry&) = delete;
  Telemetry& operator=(const Telemetry&) = delete;

  // Events and spans that were dropped because the ring was full.
  [[nodiscard]] std::uint64_t Dropped() const noexcept;

  struct Impl;

 private:
  explicit Telemetry(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
