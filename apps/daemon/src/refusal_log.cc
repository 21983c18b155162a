#include "refusal_log.h"

#include <chrono>
#include <utility>

namespace sapphirewheel {
namespace {

constexpr Millis kInterval{1000};

MonotonicTime SteadyNow() {
  return MonotonicTime(
      std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now().time_since_epoch()));
}

Event EventOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kHeaderTooLarge:
    case Refusal::kBodyTooLarge:
      return Event::kRequestTooLarge;
    case Refusal::kHeaderTooSlow:
    case Refusal::kBodyTooSlow:
      return Event::kRequestTooSlow;
    case Refusal::kMemoryFull:
    case Refusal::kEndedForMemory:
      return Event::kRequestMemoryFull;
    case Refusal::kConnectionsFull:
      return Event::kConnectionsExhausted;
    case Refusal::kEndedForConnection:
      return Event::kConnectionEnded;
  }
  return Event::kInternalFault;
}

void WriteLine(Event event, const std::string& listener, Refusal refusal, std::uint64_t count) {
  Log(event,
      {{"listener", listener}, {"reason", RefusalName(refusal)}, {"count", std::to_string(count)}});
}

}  // namespace

RefusalLog::RefusalLog(MetricsRegistry& registry) : RefusalLog(registry, {SteadyNow, WriteLine}) {}

RefusalLog::RefusalLog(MetricsRegistry& registry, Hooks hooks)
    : registry_(registry), hooks_(std::move(hooks)) {}

void RefusalLog::AddListener(const std::string& listener) {
  for (const Refusal it : kRefusals) CounterOf(listener, it);
}

void RefusalLog::Note(const std::string& listener, Refusal refusal) {
  CounterOf(listener, refusal).Add();
  const MonotonicTime now = hooks_.now();
  const std::lock_guard lock(mutex_);
  Line& line = lines_[{listener, refusal}];
  ++line.count;
  if (line.ever_written && now - line.written < kInterval) return;
  hooks_.write(EventOf(refusal), listener, refusal, line.count);
  line = {now, 0, true};
}

Counter& RefusalLog::CounterOf(const std::string& listener, Refusal refusal) {
  return registry_.GetCounter("sapphirewheel_refused_requests_total",
                              "Requests and connections that a listener refused or ended.",
                              {{"listener", listener}, {"reason", RefusalName(refusal)}});
}

}  // namespace sapphirewheel
