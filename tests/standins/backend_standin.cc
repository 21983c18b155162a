#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <map>
#include <memory>
#include <stdexcept>
#include <utility>

#include "sapphirewheel/state/json.h"
#include "tests/standins/backend_worker.h"

namespace sapphirewheel::testing {
namespace {

struct BackendOptions {
  std::string control = "127.0.0.1:0";
  // Each "VM=ip".
  std::vector<std::string> vms;
  WorkerOptions worker;
  std::int64_t usage_lag_ms = 2000;
};

// The workers of one process and their control interface.
class Backend {
 public:
  Backend(boost::asio::io_context& io, const BackendOptions& options) {
    for (const auto& vm : options.vms) {
      const std::size_t split = vm.find('=');
      if (split == std::string::npos) throw std::invalid_argument("--vm needs VM=ip: " + vm);
      WorkerOptions one = options.worker;
      one.vm = vm.substr(0, split);
      one.usage_lag = std::chrono::milliseconds(options.usage_lag_ms);
      auto worker = std::make_unique<Worker>(io, one, log_);
      AnnounceListening(one.vm, worker->Listen(vm.substr(split + 1) + ":0"));
      workers_[one.vm] = std::move(worker);
    }
  }

  HttpResponse Handle(const HttpRequest& request) {
    if (request.target.rfind("/log", 0) == 0) {
      const std::size_t split = request.target.find("after=");
      const std::string after = split == std::string::npos ? "0" : request.target.substr(split + 6);
      return JsonResponse(200, log_.Show(std::strtoull(after.c_str(), nullptr, 10), kLogPage));
    }
    return HandleControl(request, [this](const boost::json::object& body) {
      const std::string vm = TextField(body, "vm");
      for (auto& [id, worker] : workers_) {
        if (vm == "*" || vm == id) worker->Control(body);
      }
      if (vm != "*" && workers_.count(vm) == 0) throw std::invalid_argument("unknown VM " + vm);
      return boost::json::object();
    });
  }

 private:
  static constexpr std::size_t kLogPage = 5000;
  EventLog log_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
};

}  // namespace
}  // namespace sapphirewheel::testing

int main(int argc, char** argv) {
  using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)
  BackendOptions options;
  CLI::App app("stand-in of backend servers (docs/workers.md)", "backend_standin");
  app.add_option("--control", options.control, "ip:port that serves /control and /log");
  app.add_option("--vm", options.vms, "VM=ip of each worker")->required();
  app.add_option("--platform", options.worker.platform.address, "ip:port of the object store");
  app.add_option("--egress-proxy", options.worker.platform.proxy, "ip:port of an HTTP proxy");
  app.add_option("--slots", options.worker.slots, "executor slots of each worker");
  app.add_option("--usage-lag-ms", options.usage_lag_ms, "delay of the reported usage");
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io(1);
  Backend backend(io, options);
  HttpServer server(io, [&backend](const HttpRequest& request, const HttpRespond& respond) {
    respond(backend.Handle(request));
  });
  AnnounceListening("control", server.Listen(options.control));
  RunUntilSignal(io);
  return 0;
}
