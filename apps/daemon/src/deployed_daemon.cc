#include "deployed_daemon.h"

#include <openssl/rand.h>
#include <signal.h>
#include <time.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>

#include "client_settings.h"
#include "core_loop.h"
#include "deployed_metrics.h"
#include "entry_node_settings.h"
#include "log_limiter.h"
#include "metrics_listener.h"
#include "refusal_log.h"
#include "sapphirewheel/coordination/entry_node.h"
#include "sapphirewheel/platform/deployment_settings.h"
#include "sapphirewheel/platform/gateways.h"
#include "sapphirewheel/platform/ingress.h"
#include "sapphirewheel/transport/events.h"
#include "sapphirewheel/transport/telemetry.h"
#include "signal_watch.h"

namespace sapphirewheel {
namespace {

// Maximum number of calls of callers, and of replies of backend servers and the store, that wait
// for the node's thread.
constexpr std::size_t kRingCapacity = 8192;
// Time between the loss of readiness and the close of the listener. The platform checks readiness
// once a second and stops sending connections after two checks.
constexpr Millis kDrainNotice{2300};
// Time between the close of the listener and that of idle connections, in which the first request
// of a connection arrives that was opened just before.
constexpr Millis kLastRequests{200};
// A stop that is not finished this long before the platform would kill the process is ended: calls
// in progress are answered that their outcome is unknown, and the process exits.
constexpr Millis kGraceReserve{1000};
// Time for writing these answers.
constexpr Millis kAbandonTime{300};
// Interval in which the longest gap between two ticks is reported, and the gap that is logged.
constexpr Millis kTickGapInterval{1000};
constexpr Millis kLateTick{250};

// CLOCK_BOOTTIME advances while the VM is suspended, unlike the steady clock, so that a lease that
// ends during a suspension is noticed.
MonotonicTime BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr std::int64_t kMillisPerSecond = 1000;
  constexpr std::int64_t kNanosPerMilli = 1'000'000;
  return MonotonicTime(Millis(now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli));
}

UnixMillis WallClock() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return UnixMillis(std::chrono::duration_cast<Millis>(now).count());
}

NodeId NewNodeId(const VmId& vm) {
  std::uint32_t n = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&n), sizeof n) != 1) std::abort();
  char buf[9];
  std::snprintf(buf, sizeof buf, "%08x", n);
  return NodeId(vm.str() + "#" + buf);
}

Event EventOf(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kJobTaken:
      return Event::kJobTaken;
    case DecisionKind::kJobEnded:
      return Event::kJobEnded;
    case DecisionKind::kOccurrencesWait:
      return Event::kOccurrencesWait;
    case DecisionKind::kTaskStarted:
      return Event::kTaskStarted;
    case DecisionKind::kTaskEnded:
      return Event::kTaskEnded;
    case DecisionKind::kTaskLost:
      return Event::kTaskLost;
    case DecisionKind::kTaskStopped:
      return Event::kTaskStopped;
    case DecisionKind::kTaskWaiting:
      return Event::kTaskWaiting;
    case DecisionKind::kCopyStarted:
      return Event::kCopyStarted;
    case DecisionKind::kCopyDone:
      return Event::kCopyDone;
    case DecisionKind::kBackendSeen:
      return Event::kBackendSeen;
    case DecisionKind::kBackendSuspect:
      return Event::kBackendSuspect;
    case DecisionKind::kBackendGone:
      return Event::kBackendGone;
    case DecisionKind::kBackendDraining:
      return Event::kBackendDraining;
    case DecisionKind::kStartRefused:
      return Event::kStartRefused;
    case DecisionKind::kInterference:
      return Event::kInterferenceLearned;
    case DecisionKind::kFenced:
      return Event::kOwnerFenced;
    case DecisionKind::kOverloadBegan:
      return Event::kOverloadBegan;
    case DecisionKind::kOverloadEnded:
      return Event::kOverloadEnded;
  }
  return Event::kInternalFault;
}

Event EventOf(NodeEvent event) {
  switch (event) {
    case NodeEvent::kConfigApplied:
      return Event::kConfigApplied;
    case NodeEvent::kConfigDelayed:
      return Event::kConfigDelayed;
    case NodeEvent::kStoreAvailable:
      return Event::kPlatformAvailable;
    case NodeEvent::kStoreUnavailable:
      return Event::kPlatformUnavailable;
    case NodeEvent::kOwnershipTaken:
      return Event::kOwnershipTaken;
    case NodeEvent::kOwnershipRequested:
      return Event::kOwnershipRequested;
    case NodeEvent::kOwnershipLost:
      return Event::kOwnershipLost;
    case NodeEvent::kOwnershipEnded:
      return Event::kOwnershipEnded;
    case NodeEvent::kLoaded:
      return Event::kOwnerLoaded;
    case NodeEvent::kWave:
      return Event::kMaintenance;
    case NodeEvent::kVmMoved:
      return Event::kVmMoved;
    case NodeEvent::kFleetLoad:
      return Event::kFleetLoad;
    case NodeEvent::kContacting:
      return Event::kContacting;
    case NodeEvent::kContacted:
      return Event::kContacted;
    case NodeEvent::kEvacuationBegun:
      return Event::kEvacuationBegun;
    case NodeEvent::kEvacuationEnded:
      return Event::kEvacuationEnded;
    case NodeEvent::kJobAccepted:
      return Event::kCallAccepted;
    case NodeEvent::kJobCancelled:
      return Event::kCallCancelled;
    case NodeEvent::kJobUnreadable:
      return Event::kJobUnreadable;
    case NodeEvent::kRowTooLarge:
      return Event::kRowTooLarge;
    case NodeEvent::kWriteRejected:
      return Event::kWriteRejected;
    case NodeEvent::kWriteUnanswered:
      return Event::kWriteUnanswered;
    case NodeEvent::kCallRefused:
      return Event::kCallRefused;
    case NodeEvent::kCallUnanswered:
      return Event::kCallUnanswered;
    case NodeEvent::kCallGone:
      return Event::kCallGone;
  }
  return Event::kInternalFault;
}

// Writes log lines within the rate limit and counts every event. Used on the node's thread.
class EventLog {
 public:
  explicit EventLog(DeployedMetrics& metrics) : metrics_(metrics) {}

  void Write(const Decision& decision) {
    const Event event = EventOf(decision.kind);
    if (!Count(event)) return;
    if (decision.task.empty()) {
      Log(event, {{"job", decision.job.str()},
                  {"backend", decision.backend.str()},
                  {"detail", decision.detail}});
      return;
    }
    Log(event, {{"task", decision.task},
                {"run", std::to_string(decision.run.count())},
                {"backend", decision.backend.str()},
                {"detail", decision.detail}});
  }

  void Write(NodeEvent node_event, const std::string& detail) {
    const Event event = EventOf(node_event);
    if (Count(event)) Log(event, {{"detail", detail}});
  }

  // Logs how many lines were suppressed.
  void Tick(MonotonicTime now) {
    while (const auto suppressed = limiter_.TakeSuppressed(now)) {
      Log(Event::kTelemetryDropped,
          {{"of", Describe(suppressed->event).name}, {"count", std::to_string(suppressed->lines)}});
      metrics_.SetSuppressedLines(static_cast<double>(limiter_.total()));
    }
  }

 private:
  bool Count(Event event) {
    metrics_.CountEvent(event);
    return limiter_.Allow(event, BootTime());
  }

  DeployedMetrics& metrics_;
  LogLimiter limiter_;
};

class DeployedDaemon {
 public:
  DeployedDaemon(platform::DeploymentSettings settings, std::uint16_t metrics_port)
      : settings_(std::move(settings)),
        self_(NewNodeId(settings_.vm)),
        loop_(kRingCapacity),
        client_(BackendClientSettings(settings_, BootTime)),
        store_client_(StoreClientSettings(BootTime)),
        http_store_(store_client_, settings_.table_service, PostUrgent()),
        store_(http_store_, metrics_),
        backends_(client_, Post()),
        metrics_listener_(settings_.address, metrics_port, metrics_, refusals_) {
    if (settings_.vm_service) {
      vms_ =
          std::make_unique<platform::HttpVmService>(client_, *settings_.vm_service, self_, Post());
    }
    if (settings_.advice_service) {
      advice_ =
          std::make_unique<platform::HttpAdviceService>(client_, *settings_.advice_service, Post());
    }
    node_ = std::make_unique<EntryNode>(EntryNodeSettings(settings_, self_, WallClock()), Ports());
    ingress_ = std::make_unique<platform::Ingress>(
        settings_,
        [this](CallerCall call, platform::Ingress::Respond respond) {
          OnCall(std::move(call), std::move(respond));
        },
        [this](const char* listener, Refusal refusal) { refusals_.Note(listener, refusal); });
    for (const char* it : {"callers", "readiness"}) refusals_.AddListener(it);
  }

  Result<void> Start() {
    metrics_listener_.Start();
    return ingress_->Start();
  }

  void Run(const std::atomic<bool>& stop_requested) {
    CoreLoop::Hooks hooks;
    hooks.tick = [&] { Tick(stop_requested); };
    hooks.after_batch = [] {};
    loop_.Run(hooks);
    ingress_->Stop();
    metrics_listener_.Stop();
    client_.Stop();
    store_client_.Stop();
  }

  const NodeId& self() const { return self_; }

 private:
  PostFunction Post() {
    return [this](std::function<void()> task) { loop_.Post(std::move(task)); };
  }

  PostFunction PostUrgent() {
    return [this](std::function<void()> task) { loop_.PostUrgent(std::move(task)); };
  }

  FleetPorts Ports() {
    return FleetPorts{
        store_,
        backends_,
        vms_.get(),
        advice_.get(),
        codec_,
        WallClock,
        BootTime,
        [this](const Decision& decision) { log_.Write(decision); },
        [this](NodeEvent event, const std::string& detail) { log_.Write(event, detail); }};
  }

  // Runs on the listener's thread.
  void OnCall(CallerCall given, platform::Ingress::Respond respond) {
    const auto start = std::chrono::steady_clock::now();
    // Shared, because the listener counts the body of a call once.
    const auto call = std::make_shared<const CallerCall>(std::move(given));
    const auto measured = [this, call, respond = std::move(respond),
                           start](const CallerReply& reply) {
      const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - start;
      metrics_.ObserveCall(*call, reply, passed.count());
      respond(reply);
    };
    const bool queued = loop_.TryPost([this, call, measured] { node_->Handle(*call, measured); });
    if (!queued) measured(Overloaded());
  }

  static CallerReply Overloaded() {
    constexpr Millis kRetryAfter{1000};
    CallerReply reply;
    reply.error =
        Error{ErrorKind::kOverloaded, "this node has too many calls waiting",
              "retry later or send the request to another node", RunState::kNotRun, kRetryAfter};
    return reply;
  }

  void ObserveTick(MonotonicTime now) {
    if (last_tick_) longest_tick_gap_ = std::max(longest_tick_gap_, now - *last_tick_);
    last_tick_ = now;
    if (now < next_tick_report_) return;
    next_tick_report_ = now + kTickGapInterval;
    metrics_.SetLongestTickGap(longest_tick_gap_);
    metrics_.SetEvacuations(node_->EvacuatedDataCentres(), node_->EvacuatedTasks());
    metrics_.SetDeferredJobs(node_->DeferredJobs());
    if (longest_tick_gap_ > kLateTick) {
      Log(Event::kNodeLate, {{"ms", std::to_string(longest_tick_gap_.count())}});
    }
    longest_tick_gap_ = Millis(0);
  }

  void Tick(bool stop_requested) {
    const MonotonicTime now = BootTime();
    ObserveTick(now);
    node_->Tick(now);
    log_.Tick(now);
    if (node_->owner() != owner_) {
      owner_ = node_->owner();
      metrics_.SetOwner(owner_);
    }
    ingress_->SetMaxBodyBytes(node_->MaxBodyBytes());
    const bool ready = node_->Ready(now) && !stop_requested;
    if (ready != ready_) {
      ready_ = ready;
      ingress_->SetReady(ready);
      Log(ready ? Event::kReady : Event::kNotFresh, {{"node", self_.str()}});
    }
    if (stop_requested) ContinueStop(now);
  }

  // Steps of a planned stop: lose readiness, close the listener after the drain notice, wait for
  // all calls to be answered and the ownership to be released, close the idle connections, exit.
  // Callers use open connections until they are closed, so what arrives before that is answered.
  void ContinueStop(MonotonicTime now) {
    if (!stopping_since_) {
      stopping_since_ = now;
      Log(Event::kStopping, {{"node", self_.str()}, {"owner", node_->owner() ? "yes" : "no"}});
      ingress_->BeginDrain();
      node_->BeginStop();
    }
    const Millis passed = now - *stopping_since_;
    if (passed > kDrainNotice) ingress_->StopAccepting();
    const bool out_of_time = passed > settings_.stop_grace - kGraceReserve;
    const bool finished =
        passed > kDrainNotice + kLastRequests && ingress_->ActiveRequests() == 0 && !node_->owner();
    if ((finished || out_of_time) && !std::exchange(closing_, true)) ingress_->CloseIdle();
    if (out_of_time && !abandoned_at_) {
      abandoned_at_ = now;
      abandoned_requests_ = ingress_->ActiveRequests();
      ingress_->Abandon();
    }
    const bool drained = closing_ && ingress_->Drained();
    if (!drained && !(abandoned_at_ && now - *abandoned_at_ > kAbandonTime)) return;
    LogStop(passed);
    loop_.Stop();
  }

  // Logs why the process ends, and what callers have open then.
  void LogStop(Millis passed) const {
    Log(Event::kStopped, {{"node", self_.str()},
                          {"reason", abandoned_at_ ? "out-of-time" : "drained"},
                          {"after_ms", std::to_string(passed.count())},
                          {"owner", node_->owner() ? "yes" : "no"},
                          {"abandoned", std::to_string(abandoned_requests_)},
                          {"requests", std::to_string(ingress_->ActiveRequests())},
                          {"connections", std::to_string(ingress_->OpenConnections())}});
  }

  const platform::DeploymentSettings settings_;
  const NodeId self_;
  CoreLoop loop_;
  DeployedMetrics metrics_;
  RefusalLog refusals_{metrics_.registry()};
  EventLog log_{metrics_};
  HttpClient client_;
  HttpClient store_client_;
  platform::HttpRowStore http_store_;
  MeteredRowStore store_;
  platform::HttpBackendServers backends_;
  std::unique_ptr<platform::HttpVmService> vms_;
  std::unique_ptr<platform::HttpAdviceService> advice_;
  platform::WireCodec codec_;
  std::unique_ptr<EntryNode> node_;
  MetricsListener metrics_listener_;
  std::unique_ptr<platform::Ingress> ingress_;
  bool ready_ = false;
  bool owner_ = false;
  // Steps of a planned stop that were taken.
  std::optional<MonotonicTime> stopping_since_;
  bool closing_ = false;
  std::optional<MonotonicTime> abandoned_at_;
  std::size_t abandoned_requests_ = 0;
  std::optional<MonotonicTime> last_tick_;
  MonotonicTime next_tick_report_;
  Millis longest_tick_gap_{0};
};

int StartFailed(const Error& error) {
  Log(Event::kSettingsInvalid, {{"fault", error.message}, {"remedy", error.remedy}});
  std::cerr << "sapphirewheeld: " << error.message << "; " << error.remedy << "\n";
  return 1;
}

}  // namespace

int RunDeployedDaemon(const DaemonSettings& settings) {
  signal(SIGPIPE, SIG_IGN);
  std::atomic<bool> stop_requested = false;
  SignalWatch signals(
      [&](int number) {
        if (number != SIGHUP) {
          stop_requested = true;
          return;
        }
        // A reload only checks the file: addresses stay bound for the life of the process, and
        // everything else is read at the next start.
        const auto read = platform::LoadDeploymentSettings(settings.deployment_file);
        Log(Event::kSettingsReloaded, {{"valid", read ? "yes" : "no"}});
      },
      {SIGTERM, SIGINT, SIGHUP});
  Telemetry::Settings telemetry_settings;
  telemetry_settings.standard_output = true;
  if (settings.log_level == "warn") telemetry_settings.min_level = EventLevel::kWarning;
  if (settings.log_level == "error") telemetry_settings.min_level = EventLevel::kError;
  auto telemetry = Telemetry::Start(telemetry_settings);
  if (!telemetry) return StartFailed(telemetry.error());
  auto loaded = platform::LoadDeploymentSettings(settings.deployment_file);
  if (!loaded) return StartFailed(loaded.error());
  DeployedDaemon daemon(std::move(loaded.value()), settings.metrics_port);
  if (auto started = daemon.Start(); !started) return StartFailed(started.error());
  Log(Event::kStarted, {{"node", daemon.self().str()}, {"version", kVersion}});
  daemon.Run(stop_requested);
  return 0;
}

}  // namespace sapphirewheel
