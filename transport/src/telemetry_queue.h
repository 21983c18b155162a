#pragma once

#include <string>

#include "sapphirewheel/transport/events.h"

namespace sapphirewheel {

// An event or a span for the telemetry thread to write.
struct TelemetryRecord {
  enum class Kind { kEvent, kSpan };
  Kind kind = Kind::kEvent;
  EventLevel level = EventLevel::kInfo;
  std::string line;
};

// Queues a record for the running telemetry, if any. Never waits for output.
void EnqueueTelemetry(TelemetryRecord record);

}  // namespace sapphirewheel
