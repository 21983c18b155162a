#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/events.h"
#include "sapphirewheel/transport/http_server.h"
#include "sapphirewheel/transport/metrics.h"

namespace sapphirewheel {

// Counts what HTTP listeners refuse, and logs it with at most one line a second for each reason at
// each listener. A line has the number of refusals since the last one. Thread-safe.
class RefusalLog {
 public:
  struct Hooks {
    std::function<MonotonicTime()> now;
    std::function<void(Event event, const std::string& listener, Refusal refusal,
                       std::uint64_t count)>
        write;
  };

  // Counts in the registry, which must outlive this object, and writes to the log.
  explicit RefusalLog(MetricsRegistry& registry);
  RefusalLog(MetricsRegistry& registry, Hooks hooks);

  // Creates the counters of a listener with the value 0, so that a missing counter is not mistaken
  // for zero.
  void AddListener(const std::string& listener);
  void Note(const std::string& listener, Refusal refusal);

 private:
  struct Line {
    MonotonicTime written;
    std::uint64_t count = 0;
    bool ever_written = false;
  };
  Counter& CounterOf(const std::string& listener, Refusal refusal);

  MetricsRegistry& registry_;
  const Hooks hooks_;
  std::mutex mutex_;
  std::map<std::pair<std::string, Refusal>, Line> lines_;
};

}  // namespace sapphirewheel
