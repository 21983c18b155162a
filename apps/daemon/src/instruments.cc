#include "instruments.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "sapphirewheel/transport/events.h"
#include "sapphirewheel/transport/tracing.h"

namespace sapphirewheel {
namespace {

// Consecutive failed platform calls that count as an outage; a single one may be a lost connection.
constexpr int kOutageFailures = 3;

using SpanPtr = std::shared_ptr<TraceSpan>;

SpanPtr StartSpan(const char* name, const std::string& traceparent, const std::string& vm) {
  auto span = std::make_shared<TraceSpan>(name, traceparent);
  span->SetAttribute("vm", vm);
  return span;
}

void EndSpan(TraceSpan& span, const std::string& outcome) {
  span.SetAttribute("outcome", outcome);
  span.Finish();
}

const char* OutcomeName(TransactOutcome outcome) noexcept {
  switch (outcome) {
    case TransactOutcome::kCommitted:
      return "committed";
    case TransactOutcome::kConflict:
      return "conflict";
    case TransactOutcome::kUnavailable:
      return "unavailable";
    case TransactOutcome::kUncertain:
      return "uncertain";
  }
  return "uncertain";
}

const char* OutcomeName(TaskStartOutcome outcome) noexcept {
  switch (outcome) {
    case TaskStartOutcome::kDone:
      return "done";
    case TaskStartOutcome::kFailed:
      return "failed";
    case TaskStartOutcome::kNotRun:
      return "not-run";
    case TaskStartOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* OutcomeName(ClaimVerdict verdict) noexcept {
  switch (verdict) {
    case ClaimVerdict::kGranted:
      return "granted";
    case ClaimVerdict::kDuplicate:
      return "duplicate";
    case ClaimVerdict::kRefused:
      return "refused";
    case ClaimVerdict::kUncertain:
      return "uncertain";
  }
  return "uncertain";
}

const char* OutcomeName(const Result<ServiceAnswer>& result) noexcept {
  return result ? "ok" : ErrorCode(result.error().kind);
}

// Callers choose the service name freely, so only configured services become a label value; others
// are counted as "other".
std::string ServiceLabel(const FleetConfig& config, const ServiceId& service) {
  for (const auto& [id, pool] : config.pools) {
    if (std::find(pool.services.begin(), pool.services.end(), service) != pool.services.end()) {
      return service.str();
    }
  }
  return "other";
}

}  // namespace

void Instruments::OnPlatformCall(const char* call, const char* outcome, bool reached) {
  metrics_
      .GetCounter("sapphirewheel_platform_calls_total",
                  "Calls to the platform by call and outcome.",
                  {{"call", call}, {"outcome", outcome}})
      .Add();
  platform_failures_ = reached ? 0 : platform_failures_ + 1;
  if (!platform_down_ && platform_failures_ >= kOutageFailures) {
    platform_down_ = true;
    Log(Event::kPlatformUnavailable, {{"vm", vm_}, {"call", call}, {"outcome", outcome}});
  } else if (platform_down_ && reached) {
    platform_down_ = false;
    Log(Event::kPlatformAvailable, {{"vm", vm_}});
  }
}

template <typename T>
std::function<void(Result<T>)> Instruments::Observe(const char* call,
                                                    std::function<void(Result<T>)> done) {
  return [this, call, done = std::move(done)](Result<T> result) {
    const bool reached = result || result.error().kind != ErrorKind::kPlatformUnavailable;
    OnPlatformCall(call, result ? "ok" : ErrorCode(result.error().kind), reached);
    done(std::move(result));
  };
}

void Instruments::WrapTable(TableHooks& table) {
  table.transact = [this, call = std::move(table.transact)](Transaction tx, TransactCallback done) {
    call(std::move(tx), [this, done = std::move(done)](TransactResult result) {
      const bool reached = result.outcome == TransactOutcome::kCommitted ||
                           result.outcome == TransactOutcome::kConflict;
      OnPlatformCall("transact", OutcomeName(result.outcome), reached);
      if (result.outcome == TransactOutcome::kUncertain) {
        Log(Event::kTransactionUncertain, {{"vm", vm_}});
      }
      done(std::move(result));
    });
  };
  table.read = [this, call = std::move(table.read)](std::vector<RowKey> keys, ReadCallback done) {
    call(std::move(keys), Observe("read", std::move(done)));
  };
  table.scan = [this, call = std::move(table.scan)](ScanRequest scan, ScanCallback done) {
    call(std::move(scan), Observe("scan", std::move(done)));
  };
  table.put_object = [this, call = std::move(table.put_object)](std::string name, std::string bytes,
                                                                DoneCallback done) {
    call(std::move(name), std::move(bytes), Observe("put-object", std::move(done)));
  };
  table.get_object = [this, call = std::move(table.get_object)](std::string name,
                                                                ObjectCallback done) {
    call(std::move(name), Observe("get-object", std::move(done)));
  };
}

Instruments::ClaimDone Instruments::ObserveClaim(const std::string& traceparent, bool at_peer,
                                                 ClaimDone done) const {
  SpanPtr span = StartSpan(at_peer ? "claim at peer" : "claim at platform", traceparent, vm_);
  return [span, done = std::move(done)](ClaimReply reply) {
    EndSpan(*span, OutcomeName(reply.verdict));
    done(std::move(reply));
  };
}

void Instruments::WrapPeers(PeerHooks& peers) {
  peers.observe_claim = [this](const std::string& traceparent, bool at_peer, ClaimDone done) {
    return ObserveClaim(traceparent, at_peer, std::move(done));
  };
  peers.forward = [this, call = std::move(peers.forward)](std::string address, ForwardCall forward,
                                                          std::function<void(ForwardReply)> done) {
    SpanPtr span = StartSpan("forward to peer", forward.traceparent, vm_);
    span->SetAttribute("peer", address);
    forward.traceparent = span->traceparent();
    call(std::move(address), std::move(forward),
         [span, done = std::move(done)](ForwardReply reply) {
           EndSpan(*span, reply.error ? ErrorCode(reply.error->kind) : "ok");
           done(std::move(reply));
         });
  };
}

void Instruments::WrapWorkers(WorkerHooks& workers) {
  workers.start = [this, call = std::move(workers.start)](
                      TaskStart start, std::function<void(TaskStartReply)> done) {
    SpanPtr span = StartSpan("call backend server", start.traceparent, vm_);
    span->SetAttribute("worker", start.vm.str());
    span->SetAttribute("task", start.task.str());
    span->SetAttribute("service", start.service.str());
    start.traceparent = span->traceparent();
    call(std::move(start), [span, done = std::move(done)](TaskStartReply reply) {
      EndSpan(*span, OutcomeName(reply.outcome));
      done(std::move(reply));
    });
  };
}

NodeHooks Instruments::Wrap(NodeHooks hooks) {
  WrapTable(hooks.table);
  WrapPeers(hooks.peers);
  WrapWorkers(hooks.workers);
  hooks.list_vms = [this,
                    call = std::move(hooks.list_vms)](std::function<void(Result<VmList>)> done) {
    call(Observe("list-vms", std::move(done)));
  };
  hooks.reboot = [this, call = std::move(hooks.reboot)](VmId vm, DoneCallback done) {
    call(std::move(vm), Observe("reboot", std::move(done)));
  };
  return hooks;
}

PeerHandlers Instruments::Wrap(PeerHandlers handlers) {
  handlers.forward = [this, call = std::move(handlers.forward)](
                         ForwardCall forward, std::function<void(ForwardReply)> reply) {
    SpanPtr span = StartSpan("forwarded request", forward.traceparent, vm_);
    span->SetAttribute("service", forward.service.str());
    forward.traceparent = span->traceparent();
    call(std::move(forward), [span, reply = std::move(reply)](ForwardReply forward_reply) {
      EndSpan(*span, forward_reply.error ? ErrorCode(forward_reply.error->kind) : "ok");
      reply(std::move(forward_reply));
    });
  };
  return handlers;
}

AnswerCallback Instruments::ObserveRequest(const Node& node, ServiceRequest& request,
                                           AnswerCallback answer) {
  SpanPtr span = StartSpan("request", request.traceparent, vm_);
  const std::string service = ServiceLabel(node.config(), request.service);
  span->SetAttribute("service", service);
  span->SetAttribute("urgent", request.urgent);
  request.traceparent = span->traceparent();
  const auto start = std::chrono::steady_clock::now();
  return [this, span, service, start, answer = std::move(answer)](Result<ServiceAnswer> result) {
    const std::string outcome = OutcomeName(result);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    metrics_
        .GetCounter("sapphirewheel_requests_total", "Requests of callers by service and outcome.",
                    {{"service", service}, {"outcome", outcome}})
        .Add();
    metrics_
        .GetHistogram("sapphirewheel_request_duration_seconds",
                      "Time from the arrival of a request to its response.", DurationBounds(),
                      {{"service", service}})
        .Observe(took.count());
    SpanPtr answering = StartSpan("answer", span->traceparent(), vm_);
    answer(std::move(result));
    EndSpan(*answering, outcome);
    EndSpan(*span, outcome);
  };
}

}  // namespace sapphirewheel
