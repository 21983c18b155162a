#include "sapphirewheel/transport/telemetry.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <pthread.h>

#include <atomic>
#include <fstream>
#include <future>
#include <iostream>
#include <shared_mutex>
#include <thread>

#include "sapphirewheel/transport/bounded_ring.h"
#include "sapphirewheel/transport/events.h"
#include "telemetry_queue.h"

namespace sapphirewheel {
namespace {

constexpr const char* kLoggerName = "sapphirewheel";
// How long the end of telemetry waits for output that nobody reads.
constexpr std::chrono::milliseconds kFlushTime{300};

log4cplus::LogLevel ToLogLevel(EventLevel level) noexcept {
  switch (level) {
    case EventLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case EventLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case EventLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

void InitializeLogging() {
  // Lives until the process ends, as log4cplus keeps threads and allocations of its own.
  static const log4cplus::Initializer initializer;
}

log4cplus::Logger OpenLogger(const Telemetry::Settings& settings) {
  InitializeLogging();
  log4cplus::SharedAppenderPtr appender;
  if (settings.log_file.empty()) {
    constexpr bool kFlushEachLine = false;
    appender = new log4cplus::ConsoleAppender(!settings.standard_output, kFlushEachLine);
  } else {
    appender = new log4cplus::FileAppender(settings.log_file, std::ios_base::app);
  }
  appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>("time=%d{%Y-%m-%dT%H:%M:%S.%q}Z %m%n"));
  log4cplus::Logger logger = log4cplus::Logger::getInstance(kLoggerName);
  logger.removeAllAppenders();
  logger.setAdditivity(false);
  logger.setLogLevel(ToLogLevel(settings.min_level));
  logger.addAppender(appender);
  return logger;
}

bool CanAppend(const std::string& file) {
  return file.empty() || std::ofstream(file, std::ios::app).good();
}

// Protects `running` from being destroyed while a record is passed to it.
std::shared_mutex running_mutex;
Telemetry::Impl* running = nullptr;

}  // namespace

struct Telemetry::Impl {
  explicit Impl(const Settings& settings) : queue(settings.capacity), logger(OpenLogger(settings)) {
    if (!settings.span_file.empty()) spans.open(settings.span_file, std::ios::app);
    thread = std::thread([this] { Run(); });
  }

  void Run();
  void WriteUntilStopped();
  void Write(const TelemetryRecord& record);
  void ReportDropped();

  BoundedRing<TelemetryRecord> queue;
  std::atomic<std::uint64_t> dropped = 0;
  std::atomic<bool> stopping = false;
  std::uint64_t reported_drops = 0;
  log4cplus::Logger logger;
  std::ofstream spans;
  std::promise<void> written;
  std::thread thread;
};

void Telemetry::Impl::Run() {
  WriteUntilStopped();
  written.set_value();
}

void Telemetry::Impl::WriteUntilStopped() {
  constexpr std::chrono::milliseconds kFlushInterval{500};
  // Lines wait this long for further ones, so that one wake-up and one write handle several.
  constexpr std::chrono::milliseconds kBatchDelay{10};
  // Makes the CPU use of logging visible in lists of the process's threads.
  pthread_setname_np(pthread_self(), "telemetry");
  while (true) {
    const bool last = stopping;
    auto record = queue.PopFor(kFlushInterval);
    if (record && !last) std::this_thread::sleep_for(kBatchDelay);
    const bool idle = !record;
    for (; record; record = queue.PopFor(std::chrono::milliseconds(0))) Write(*record);
    if (idle) {
      ReportDropped();
      spans.flush();
    }
    std::cout.flush();
    if (idle && last) return;
  }
}

void Telemetry::Impl::Write(const TelemetryRecord& record) {
  if (record.kind == TelemetryRecord::Kind::kEvent) {
    logger.log(ToLogLevel(record.level), record.line);
  } else if (spans.is_open()) {
    spans << record.line << '\n';
  }
}

// Called when the queue is empty and written directly, so that the report cannot be dropped itself.
void Telemetry::Impl::ReportDropped() {
  const std::uint64_t now = dropped;
  if (now == reported_drops) return;
  logger.log(
      log4cplus::WARN_LOG_LEVEL,
      FormatEvent(Event::kTelemetryDropped, {{"count", std::to_string(now - reported_drops)}}));
  reported_drops = now;
}

void EnqueueTelemetry(TelemetryRecord record) {
  const std::shared_lock lock(running_mutex);
  if (running == nullptr) return;
  if (!running->queue.TryPush(std::move(record))) ++running->dropped;
}

void Log(Event event, EventFields fields) {
  EnqueueTelemetry(TelemetryRecord{TelemetryRecord::Kind::kEvent, Describe(event).level,
                                   FormatEvent(event, fields)});
}

Telemetry::Telemetry(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Result<std::unique_ptr<Telemetry>> Telemetry::Start(const Settings& settings) {
  const std::unique_lock lock(running_mutex);
  if (running != nullptr) {
    return Error{ErrorKind::kConflict, "telemetry is already running",
                 "stop the running instance first", RunState::kNotRun, std::nullopt};
  }
  for (const auto& file : {settings.log_file, settings.span_file}) {
    if (!CanAppend(file)) {
      return Error{ErrorKind::kInvalidArgument, "cannot write to " + file,
                   "choose a file that can be created or appended to", RunState::kNotRun,
                   std::nullopt};
    }
  }
  auto impl = std::make_unique<Impl>(settings);
  running = impl.get();
  return std::unique_ptr<Telemetry>(new Telemetry(std::move(impl)));
}

Telemetry::~Telemetry() {
  {
    const std::unique_lock lock(running_mutex);
    running = nullptr;
  }
  impl_->stopping = true;
  impl_->queue.Close();
  if (impl_->written.get_future().wait_for(kFlushTime) != std::future_status::ready) {
    // The thread waits in a write and uses its state when that returns.
    impl_->thread.detach();
    static_cast<void>(impl_.release());
    return;
  }
  impl_->thread.join();
  impl_->logger.removeAllAppenders();
}

std::uint64_t Telemetry::Dropped() const noexcept { return impl_->dropped; }

}  // namespace sapphirewheel
