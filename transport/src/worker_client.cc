#include "sapphirewheel/transport/worker_client.h"

#include <atomic>
#include <boost/json/serialize.hpp>
#include <utility>

#include "sapphirewheel/state/json.h"
#include "sapphirewheel/transport/http_client.h"
#include "worker_codec.h"

namespace sapphirewheel {
namespace {

constexpr int kOk = 200;

HttpClient::Settings ClientSettings(const WorkerClient::Settings& settings) {
  HttpClient::Settings out;
  out.connections_per_host = settings.connections_per_worker;
  out.connect_timeout = settings.connect_timeout;
  out.max_response_bytes = settings.max_response_bytes;
  out.proxy = settings.proxy;
  return out;
}

HttpCall ControlCall(std::string target, std::string body) {
  HttpCall call;
  call.method = "POST";
  call.target = std::move(target);
  call.body = std::move(body);
  return call;
}

std::string TaskTarget(const TaskId& task, const char* action) {
  return "/v1/tasks/" + EncodePath(task.str()) + "/" + action;
}

}  // namespace

struct WorkerClient::Impl {
  Impl(const Settings& given, Post given_post)
      : settings(given), post(std::move(given_post)), client(ClientSettings(settings)) {}

  // Sends a call to a worker, converts the result by `decode` and posts `done` with the reply.
  template <typename Reply>
  void Send(const std::string& address, HttpCall call, std::function<Reply(HttpResult)> decode,
            std::function<void(Reply)> done);

  template <typename Reply>
  void Control(const std::string& address, HttpCall call, std::function<Reply(HttpResult)> decode,
               std::function<void(Reply)> done) {
    call.headers.emplace_back("Content-Type", "application/json");
    call.deadline = settings.control_timeout;
    Send<Reply>(address, std::move(call), std::move(decode), std::move(done));
  }

  const Settings settings;
  const Post post;
  std::atomic<std::size_t> in_flight = 0;
  HttpClient client;
};

template <typename Reply>
void WorkerClient::Impl::Send(const std::string& address, HttpCall call,
                              std::function<Reply(HttpResult)> decode,
                              std::function<void(Reply)> done) {
  const auto finish = [this, decode = std::move(decode),
                       done = std::move(done)](HttpResult result) {
    --in_flight;
    post([done, reply = decode(std::move(result))]() mutable { done(std::move(reply)); });
  };
  HttpResult refused;
  const auto endpoint = ParseEndpoint(address);
  if (in_flight.fetch_add(1) >= settings.max_in_flight) {
    refused.reason = "too many calls to workers are in progress";
    return finish(std::move(refused));
  }
  if (!endpoint) {
    refused.reason = endpoint.error().message;
    return finish(std::move(refused));
  }
  call.to = endpoint.value();
  client.Call(std::move(call), finish);
}

WorkerClient::WorkerClient(const Settings& settings, Post post)
    : impl_(std::make_unique<Impl>(settings, std::move(post))) {}

WorkerClient::~WorkerClient() { Stop(); }

WorkerHooks WorkerClient::hooks() {
  WorkerHooks hooks;
  Impl* impl = impl_.get();
  hooks.ownership = [impl](const OwnershipCall& call, std::function<void(OwnershipReply)> done) {
    impl->Control<OwnershipReply>(call.address, ControlCall("/v1/ownership", EncodeOwnership(call)),
                                  DecodeOwnership, std::move(done));
  };
  hooks.start = [impl](TaskStart task, std::function<void(TaskStartReply)> done) {
    HttpCall call = EncodeStart(task);
    const std::string address = task.address;
    // The body has been copied to the call; decoding the response needs only the task's identity.
    task.body.clear();
    impl->Send<TaskStartReply>(
        address, std::move(call),
        [task = std::move(task)](HttpResult result) {
          return DecodeStart(task, std::move(result));
        },
        std::move(done));
  };
  hooks.fence = [impl](const std::string& address, const NodeId& node,
                       std::function<void(FenceReply)> done) {
    const std::string body = boost::json::serialize(boost::json::object{{"node", node.str()}});
    impl->Control<FenceReply>(address, ControlCall("/v1/fence", body), DecodeFence,
                              std::move(done));
  };
  hooks.stop = [impl](const std::string& address, const TaskId& task,
                      std::function<void(bool)> done) {
    impl->Control<bool>(
        address, ControlCall(TaskTarget(task, "stop"), "{}"),
        [](const HttpResult& result) {
          return result.outcome == HttpOutcome::kComplete && result.status == kOk;
        },
        std::move(done));
  };
  hooks.checkpoint = [impl](const std::string& address, const TaskId& task,
                            std::function<void(std::string)> done) {
    impl->Control<std::string>(
        address, ControlCall(TaskTarget(task, "checkpoint"), "{}"),
        [](const HttpResult& result) -> std::string {
          if (result.outcome != HttpOutcome::kComplete || result.status != kOk) return "";
          const auto object = ParseObject(result.body);
          return object ? TextField(object.value(), "checkpoint") : "";
        },
        std::move(done));
  };
  hooks.drain = [impl](const std::string& address, Millis hold,
                       std::function<void(std::optional<std::int64_t>)> done) {
    const std::string body = boost::json::serialize(boost::json::object{{"hold_ms", hold.count()}});
    impl->Control<std::optional<std::int64_t>>(address, ControlCall("/v1/drain", body), DecodeDrain,
                                               std::move(done));
  };
  hooks.health = [impl](const std::string& address,
                        std::function<void(std::optional<WorkerHealth>)> done) {
    HttpCall call;
    call.target = "/v1/health";
    impl->Control<std::optional<WorkerHealth>>(address, std::move(call), DecodeHealth,
                                               std::move(done));
  };
  return hooks;
}

void WorkerClient::Stop() { impl_->client.Stop(); }

std::size_t WorkerClient::InFlight() const noexcept { return impl_->in_flight; }

}  // namespace sapphirewheel
