#include "sapphirewheel/transport/telemetry.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "sapphirewheel/transport/events.h"
#include "sapphirewheel/transport/tracing.h"
#include "transport/tests/test_support.h"

#include "CppUTest/TestHarness.h"

using sapphirewheel::Event;
using sapphirewheel::Log;
using sapphirewheel::Telemetry;
using sapphirewheel::TraceSpan;

namespace {

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string TemporaryFile(const char* name) {
  return (std::filesystem::temp_directory_path() /
          (std::string("sapphirewheel-") + std::to_string(::getpid()) + name))
      .string();
}

// log4cplus keeps what it allocates at its first use until the process ends. The leak check ignores
// what is allocated before the first test.
[[maybe_unused]] const bool kLoggingIsInitialized = [] {
  sapphirewheel::EnableThreadSafeLeakCheck();
  Telemetry::Settings settings;
  settings.log_file = TemporaryFile(".first");
  auto telemetry = Telemetry::Start(settings);
  Log(Event::kStarted);
  telemetry.value().reset();
  std::filesystem::remove(settings.log_file);
  return true;
}();

}  // namespace

// clang-format off
TEST_GROUP(Telemetry) {
  std::string log_file = TemporaryFile(".log");
  std::string span_file = TemporaryFile(".spans");
  void setup() override {
    sapphirewheel::EnableThreadSafeLeakCheck();
  }
  void teardown() override {
    std::filesystem::remove(log_file);
    std::filesystem::remove(span_file);
  }
  [[nodiscard]] Telemetry::Settings Files() const {
    Telemetry::Settings settings;
    settings.log_file = log_file;
    settings.span_file = span_file;
    return settings;
  }
};
// clang-format on

// Guards against a minimum log level that has no effect, or that hides more severe events.
TEST(Telemetry, OmitsEventsBelowTheMinimumLevel) {
  Telemetry::Settings settings;
  settings.log_file = log_file;
  settings.min_level = sapphirewheel::EventLevel::kWarning;
  auto telemetry = Telemetry::Start(settings);
  Log(Event::kStarted);
  Log(Event::kPeerLost);
  Log(Event::kInternalFault);
  telemetry.value().reset();
  const std::string log = ReadFile(log_file);
  CHECK_TRUE(log.find("name=started") == std::string::npos);
  STRCMP_CONTAINS("name=peer-lost", log.c_str());
  STRCMP_CONTAINS("name=internal-fault", log.c_str());
}

// Guards against events and spans that are lost when the daemon stops.
TEST(Telemetry, WritesQueuedRecordsBeforeItStops) {
  auto telemetry = Telemetry::Start(Files());
  CHECK_TRUE(telemetry.has_value());
  Log(Event::kStarted, {{"node", "n1"}});
  Log(Event::kWavePaused, {{"wave", "w1"}});
  std::string trace;
  {
    TraceSpan span("hop");
    trace = span.context().ToTraceID();
  }
  CHECK_EQUAL(0U, telemetry.value()->Dropped());
  telemetry.value().reset();
  const std::string log = ReadFile(log_file);
  CHECK_TRUE(log.find("event=100 name=started level=info node=n1\n") != std::string::npos);
  CHECK_TRUE(log.find("event=611 name=wave-paused level=error wave=w1\n") != std::string::npos);
  CHECK_TRUE(ReadFile(span_file).find("\"traceId\":\"" + trace + "\"") != std::string::npos);
}

// Guards against writing spans of traces that the caller marked as not sampled.
TEST(Telemetry, DoesNotWriteUnsampledSpans) {
  auto telemetry = Telemetry::Start(Files());
  { const TraceSpan span("hop", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00"); }
  telemetry.value().reset();
  STRCMP_EQUAL("", ReadFile(span_file).c_str());
}

// Guards against events that are dropped silently: each one is written or counted.
TEST(Telemetry, CountsDroppedEvents) {
  constexpr std::uint64_t kEvents = 20000;
  auto settings = Files();
  settings.capacity = 1;
  auto telemetry = Telemetry::Start(settings);
  for (std::uint64_t i = 0; i < kEvents; ++i) Log(Event::kStarted);
  const std::uint64_t dropped = telemetry.value()->Dropped();
  telemetry.value().reset();
  const std::string log = ReadFile(log_file);
  std::uint64_t written = 0;
  for (auto at = log.find("event=100 "); at != std::string::npos;
       at = log.find("event=100 ", at + 1)) {
    ++written;
  }
  CHECK_EQUAL(kEvents, written + dropped);
  CHECK_EQUAL(dropped > 0, log.find("name=telemetry-dropped") != std::string::npos);
}

// Guards against two writers in one process, and against an unwritable log that goes unnoticed.
TEST(Telemetry, ReportsStartFailures) {
  auto telemetry = Telemetry::Start(Files());
  CHECK_FALSE(Telemetry::Start(Files()).has_value());
  telemetry.value().reset();
  auto settings = Files();
  settings.log_file = "/nonexistent-directory/log";
  CHECK_FALSE(Telemetry::Start(settings).has_value());
}

// Guards against a crash of components that log while no telemetry runs.
TEST(Telemetry, DropsEventsWhileItDoesNotRun) { Log(Event::kStarted); }
