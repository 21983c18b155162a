#include "daemon.h"

#include <openssl/rand.h>
#include <signal.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <thread>
#include <utility>

#include "core_loop.h"
#include "http_api.h"
#include "instruments.h"
#include "node.h"
#include "node_events.h"
#include "node_metrics.h"
#include "peer_adapter.h"
#include "refusal_log.h"
#include "sapphirewheel/transport/events.h"
#include "sapphirewheel/transport/http_server.h"
#include "sapphirewheel/transport/platform_client.h"
#include "sapphirewheel/transport/telemetry.h"
#include "sapphirewheel/transport/worker_client.h"
#include "signal_watch.h"

namespace sapphirewheel {
namespace {

MonotonicTime Now() {
  return MonotonicTime(
      std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now().time_since_epoch()));
}

std::uint64_t StrongRandom() {
  std::uint64_t n = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&n), sizeof n) != 1) std::abort();
  return n;
}

NodeId NewNodeId(const VmId& vm) {
  char buf[9];
  std::snprintf(buf, sizeof buf, "%08x", static_cast<unsigned>(StrongRandom()));
  return NodeId(vm.str() + "#" + buf);
}

std::optional<Endpoint> Proxy(const DaemonSettings& settings) {
  if (settings.egress_proxy.port == 0) return std::nullopt;
  return settings.egress_proxy;
}

// Time for the replies to peers' calls that are in flight at the end of a planned stop.
constexpr Millis kPeerGrace{200};

int StartFailed(const Error& error) {
  std::cerr << "sapphirewheeld: " << error.message << "; " << error.remedy << "\n";
  return 1;
}

Telemetry::Settings TelemetrySettings(const DaemonSettings& s) {
  Telemetry::Settings settings;
  settings.span_file = s.trace_file;
  if (s.log_level == "warn") settings.min_level = EventLevel::kWarning;
  if (s.log_level == "error") settings.min_level = EventLevel::kError;
  return settings;
}

Error Overloaded() {
  return Error{ErrorKind::kOverloaded, "this node has too many calls waiting",
               "retry later or send the request to another node", RunState::kNotRun, Millis(1000)};
}

}  // namespace

// One node incarnation and the clients that it calls through. Callbacks that arrive after its end
// are dropped.
class Incarnation {
 public:
  Incarnation(const DaemonSettings& settings, const Endpoint& http, const Endpoint& peer,
              CoreLoop& loop, Instruments& instruments)
      : alive_(std::make_shared<bool>(true)),
        post_([&loop, alive = std::weak_ptr<bool>(alive_)](std::function<void()> task) {
          loop.Post([alive, task = std::move(task)] {
            if (!alive.expired()) task();
          });
        }),
        platform_(PlatformSettings(settings), post_),
        workers_(WorkerSettings(settings), post_),
        peers_(Proxy(settings), post_),
        node_(settings, Self(settings, http, peer), instruments.Wrap(Hooks())) {}

  [[nodiscard]] Node& node() noexcept { return node_; }

 private:
  static PlatformClient::Settings PlatformSettings(const DaemonSettings& s) {
    PlatformClient::Settings settings;
    settings.endpoints = s.platform;
    settings.proxy = Proxy(s);
    settings.call_timeout = s.platform_timeout;
    settings.settle_deadline = s.platform_settle;
    return settings;
  }

  static WorkerClient::Settings WorkerSettings(const DaemonSettings& s) {
    WorkerClient::Settings settings;
    settings.proxy = Proxy(s);
    return settings;
  }

  static MemberRecord Self(const DaemonSettings& s, const Endpoint& http, const Endpoint& peer) {
    MemberRecord self;
    self.node = NewNodeId(s.vm);
    self.vm = s.vm;
    self.data_centre = s.data_centre;
    self.http_address = s.advertise.empty() ? http.str() : s.advertise;
    self.peer_address = s.peer_advertise.empty() ? peer.str() : s.peer_advertise;
    return self;
  }

  NodeHooks Hooks() {
    NodeHooks hooks;
    hooks.clock = Now;
    hooks.random = StrongRandom;
    hooks.table = platform_.hooks();
    hooks.workers = workers_.hooks();
    hooks.peers = peers_.hooks();
    hooks.list_vms = [this](auto done) { platform_.ListVms(std::move(done)); };
    hooks.reboot = [this](const VmId& vm, DoneCallback done) {
      platform_.Reboot(vm, std::move(done));
    };
    return hooks;
  }

  std::shared_ptr<bool> alive_;
  PostFunction post_;
  PlatformClient platform_;
  WorkerClient workers_;
  PeerAdapter peers_;
  Node node_;
};

struct Daemon::Impl {
  explicit Impl(DaemonSettings s)
      : settings(std::move(s)),
        instruments(settings.vm.str()),
        loop(settings.core_ring),
        api(
            {settings.default_deadline, settings.max_deadline, settings.operator_token},
            [this] { return Metrics(); },
            [this](const Node& node, ServiceRequest& request, AnswerCallback answer) {
              return instruments.ObserveRequest(node, request, std::move(answer));
            }),
        http(HttpSettings(), [this](HttpRequest request, const HttpServer::Respond& respond) {
          OnRequest(std::move(request), respond);
        }) {}

  HttpServer::Settings HttpSettings() {
    HttpServer::Settings result;
    result.listen = settings.listen;
    result.max_header_bytes = settings.max_header_bytes;
    result.max_body_bytes = settings.max_body_bytes;
    result.max_connections = settings.max_connections;
    result.idle_timeout = settings.idle_timeout;
    result.header_timeout = settings.header_timeout;
    result.read_timeout = settings.read_timeout;
    result.min_body_rate = settings.min_body_rate;
    result.max_request_memory = settings.request_memory;
    result.on_refusal = [this](Refusal refusal) { refusals.Note("callers", refusal); };
    refusals.AddListener("callers");
    return result;
  }

  void OnRequest(HttpRequest request, const HttpServer::Respond& respond) {
    const bool queued = loop.TryPost([this, request = std::move(request), respond] {
      if (incarnation) {
        api.Handle(incarnation->node(), request, respond);
      } else {
        respond(ProblemReply(Overloaded()));
      }
    });
    if (!queued) respond(ProblemReply(Overloaded()));
  }

  std::string Metrics() {
    node_metrics.Publish(incarnation->node(), instruments.metrics());
    return instruments.metrics().Render();
  }

  void NewIncarnation() {
    incarnation.reset();
    incarnation =
        std::make_unique<Incarnation>(settings, http_endpoint, peer_endpoint, loop, instruments);
  }

  void Tick() {
    if (incarnation->node().obsolete()) {
      Log(Event::kIncarnationChanged, {{"node", incarnation->node().self().node.str()},
                                       {"reason", *incarnation->node().obsolete()}});
      NewIncarnation();
    }
    incarnation->node().Tick();
    events.Observe(incarnation->node());
    if (stop_requested) ContinueStop();
  }

  // Steps of a planned stop: lose readiness, close the listener after the drain notice, wait for
  // all requests to end, hand over.
  void ContinueStop() {
    Node& node = incarnation->node();
    if (!node.draining()) {
      node.BeginDrain();
      http.BeginDrain();
      listener_end = Now() + settings.drain_notice;
      drain_end = Now() + settings.drain_timeout;
    }
    if (Now() >= drain_end) return EndStopOutOfTime();
    if (Now() < listener_end) return;
    http.StopAccepting();
    if (drained) {
      if (http.Drained()) loop.Stop();
      return;
    }
    if (http.ActiveRequests() > 0 || node.active_requests() > 0) return;
    node.HandOver([this] {
      drained = true;
      http.CloseIdle();
    });
  }

  // Answers the requests in progress before the process ends.
  void EndStopOutOfTime() {
    constexpr Millis kAbandonTime{300};
    if (!std::exchange(abandoned, true)) {
      http.CloseIdle();
      http.Abandon(ProblemReply(Error{ErrorKind::kOutcomeUnknown, "this node stops",
                                      "check the outcome before repeating the request",
                                      RunState::kUnknown, std::nullopt}));
    }
    if (http.Drained() || Now() >= drain_end + kAbandonTime) loop.Stop();
  }

  DaemonSettings settings;
  Instruments instruments;
  RefusalLog refusals{instruments.metrics()};
  NodeEvents events;
  NodeMetrics node_metrics;
  CoreLoop loop;
  HttpApi api;
  HttpServer http;
  Endpoint http_endpoint;
  Endpoint peer_endpoint;
  std::unique_ptr<Incarnation> incarnation;
  std::atomic<bool> stop_requested{false};
  MonotonicTime listener_end{};
  MonotonicTime drain_end{};
  bool drained = false;
  bool abandoned = false;
};

Daemon::Daemon(DaemonSettings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Daemon::~Daemon() = default;

int Daemon::Run() {
  SignalWatch signals([this](int) { impl_->stop_requested = true; }, {SIGTERM, SIGINT});
  auto telemetry = Telemetry::Start(TelemetrySettings(impl_->settings));
  if (!telemetry) return StartFailed(telemetry.error());
  CoreLoop& loop = impl_->loop;
  PeerServer::Settings peer_settings;
  peer_settings.listen = impl_->settings.peer_listen;
  auto peers =
      PeerServer::Start(peer_settings, impl_->instruments.Wrap(NodePeerHandlers([this] {
        return impl_->incarnation ? &impl_->incarnation->node() : nullptr;
      })),
                        [&loop](std::function<void()> task) { loop.Post(std::move(task)); });
  if (!peers) return StartFailed(peers.error());
  impl_->peer_endpoint = peers.value()->endpoint();
  auto http_endpoint = impl_->http.Start();
  if (!http_endpoint) return StartFailed(http_endpoint.error());
  impl_->http_endpoint = http_endpoint.value();
  impl_->NewIncarnation();
  Log(Event::kStarted, {{"node", impl_->incarnation->node().self().node.str()},
                        {"version", kVersion},
                        {"http", impl_->http_endpoint.str()},
                        {"peer", impl_->peer_endpoint.str()}});
  std::cout << "listening http " << impl_->http_endpoint.str() << "\nlistening peer "
            << impl_->peer_endpoint.str() << std::endl;
  loop.Run({[this] { impl_->Tick(); }, [this] { impl_->incarnation->node().Dispatch(); }});
  impl_->http.Stop();
  peers.value()->Stop(kPeerGrace);
  impl_->incarnation.reset();
  Log(Event::kStopped,
      {{"vm", impl_->settings.vm.str()}, {"complete", impl_->drained ? "true" : "false"}});
  return impl_->drained ? 0 : 1;
}

}  // namespace sapphirewheel
