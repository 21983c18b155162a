#include "tests/integration/fleet.h"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include "sapphirewheel/state/json.h"
#include "tests/standins/support.h"

namespace sapphirewheel::testing {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kControlTimeout{10000};
// Last byte of the IP address of the first worker and of the first entry VM.
constexpr int kFirstWorker = 20;
constexpr int kFirstEntry = 1;

std::string DataCentre(int n) { return "dc" + std::to_string(n); }

std::string Ip(int data_centre, int host) {
  return "127.0." + std::to_string(data_centre) + "." + std::to_string(host);
}

std::filesystem::path MakeLogFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create the log folder " + pattern);
  }
  return pattern;
}

json::object Exchange(const std::string& address, HttpRequest request) {
  const HttpOutcome outcome = HttpCall({address, ""}, std::move(request), kControlTimeout);
  if (!outcome.ok()) throw std::runtime_error(address + ": " + outcome.error);
  if (outcome.response.status != 200) {
    throw std::runtime_error(address + ": " + outcome.response.body);
  }
  return ParseOrThrow(outcome.response.body);
}

json::object PostControl(const std::string& address, const json::object& body) {
  return Exchange(address, {"POST", "/control", json::serialize(body), {}});
}

// Reads all pages of a log; `page` fetches the page that begins at an index.
std::vector<json::object> ReadAllPages(const char* field,
                                       const std::function<json::object(std::int64_t)>& page) {
  std::vector<json::object> all;
  for (std::int64_t next = 0;;) {
    json::object response = page(next);
    const auto& items = response.at(field).as_array();
    if (items.empty()) return all;
    for (const auto& item : items) all.push_back(item.as_object());
    next = IntField(response, "next");
  }
}

}  // namespace

Fleet::Fleet(FleetOptions options) : options_(std::move(options)), logs_(MakeLogFolder()) {
  StartPlatform();
  StartProxy();
  for (int dc = 1; dc <= options_.data_centres; ++dc) {
    StartWorkers(dc);
    for (int i = 0; i < options_.entries; ++i) {
      const std::string vm = DataCentre(dc) + "-e" + std::to_string(i + 1);
      entries_[vm] = {DataCentre(dc), Ip(dc, kFirstEntry + i), vm, "", "", nullptr};
    }
  }
  if (!options_.start_daemons) return;
  for (const auto& vm : entries()) Start(vm);
}

Fleet::~Fleet() {
  entries_.clear();
  backends_.clear();
  proxy_.reset();
  platform_.reset();
  std::error_code ec;
  if (std::getenv("SAPPHIREWHEEL_KEEP_LOGS") == nullptr) std::filesystem::remove_all(logs_, ec);
}

std::unique_ptr<Process> Fleet::Launch(const std::string& name, const char* program,
                                       std::vector<std::string> args,
                                       const std::vector<std::string>& more) {
  args.insert(args.end(), more.begin(), more.end());
  return std::make_unique<Process>(program, std::move(args), logs_ / name);
}

void Fleet::StartPlatform() {
  platform_ =
      Launch("platform", PLATFORM_PROGRAM, {"--listen", "127.0.100.1:0"}, options_.platform_flags);
  platform_address_ = platform_->AwaitListening(1).at("platform");
}

void Fleet::StartProxy() {
  std::vector<std::string> args{"--control", "127.0.100.2:0"};
  for (int dc = 1; dc <= options_.data_centres; ++dc) {
    args.insert(args.end(),
                {"--source", DataCentre(dc) + "-workers=" + Ip(dc, kFirstWorker) + ":0"});
    for (int i = 0; i < options_.entries; ++i) {
      const std::string vm = DataCentre(dc) + "-e" + std::to_string(i + 1);
      args.insert(args.end(), {"--source", vm + "=" + Ip(dc, kFirstEntry + i) + ":0"});
    }
  }
  const std::size_t listeners = args.size() / 2;
  proxy_ = Launch("proxy", PROXY_PROGRAM, std::move(args), {});
  proxies_ = proxy_->AwaitListening(listeners);
}

void Fleet::StartWorkers(int data_centre) {
  if (options_.workers == 0) return;
  const std::string name = DataCentre(data_centre);
  std::vector<std::string> args{"--control",      Ip(data_centre, kFirstWorker) + ":0",
                                "--platform",     platform_address_,
                                "--egress-proxy", ProxyOf(name + "-workers")};
  for (int i = 0; i < options_.workers; ++i) {
    const std::string vm = name + "-w" + std::to_string(i + 1);
    args.insert(args.end(), {"--vm", vm + "=" + Ip(data_centre, kFirstWorker + i)});
  }
  auto& process = backends_[name];
  process = Launch(name + "-workers", BACKEND_PROGRAM, std::move(args), options_.backend_flags);
  auto addresses = process->AwaitListening(static_cast<std::size_t>(options_.workers) + 1);
  backend_controls_[name] = addresses.at("control");
  json::array vms;
  for (int i = 0; i < options_.workers; ++i) {
    const std::string vm = name + "-w" + std::to_string(i + 1);
    const std::string rack = name + "-r" + std::to_string(i / options_.workers_per_rack + 1);
    workers_[vm] = addresses.at(vm);
    vms.push_back({{"vm", vm},
                   {"role", "worker"},
                   {"phase", "live"},
                   {"data_centre", name},
                   {"rack", rack},
                   {"address", workers_[vm]},
                   {"slots", 8},
                   {"cores", 32},
                   {"memory_mb", 65536},
                   {"control", backend_controls_[name]}});
  }
  ControlPlatform({{"op", "vms"}, {"vms", std::move(vms)}});
}

void Fleet::Start(const std::string& vm) {
  Entry& entry = EntryOf(vm);
  const std::string any = entry.ip + ":0";
  entry.process = Launch(vm, DAEMON_PROGRAM,
                         {"--vm", vm, "--data-centre", entry.data_centre, "--listen",
                          entry.http.empty() ? any : entry.http, "--peer-listen",
                          entry.peer.empty() ? any : entry.peer, "--platform", platform_address_,
                          "--egress-proxy", ProxyOf(entry.source)},
                         options_.daemon_flags);
  const auto addresses = entry.process->AwaitListening(2);
  entry.http = addresses.at("http");
  entry.peer = addresses.at("peer");
  const json::object row{{"vm", vm},         {"role", "entry"},
                         {"phase", "live"},  {"data_centre", entry.data_centre},
                         {"rack", vm},       {"address", entry.peer},
                         {"slots", 0},       {"cores", 2},
                         {"memory_mb", 2048}};
  ControlPlatform({{"op", "vms"}, {"vms", json::array{row}}});
}

void Fleet::Kill(const std::string& vm) { EntryOf(vm).process->Kill(); }

void Fleet::Freeze(const std::string& vm) { EntryOf(vm).process->Signal(SIGSTOP); }

void Fleet::Thaw(const std::string& vm) { EntryOf(vm).process->Signal(SIGCONT); }

std::optional<int> Fleet::Stop(const std::string& vm, milliseconds timeout) {
  EntryOf(vm).process->Signal(SIGTERM);
  return EntryOf(vm).process->AwaitExit(timeout);
}

void Fleet::Replace(const std::string& vm, const std::string& new_vm) {
  Entry entry = std::move(EntryOf(vm));
  entries_.erase(vm);
  entry.process.reset();
  ControlPlatform({{"op", "remove_vm"}, {"vm", vm}});
  entry.http.clear();
  entry.peer.clear();
  entries_[new_vm] = std::move(entry);
  Start(new_vm);
}

HttpOutcome Fleet::Call(const std::string& vm, HttpRequest request, milliseconds timeout) const {
  return HttpCall({Address(vm), ""}, std::move(request), timeout);
}

HttpOutcome Fleet::Apply(const std::string& vm, const json::object& intent) {
  HttpOutcome plan = Call(vm, {"POST", "/v1/intents", json::serialize(intent), {}});
  if (!plan.ok() || plan.response.status >= 300) return plan;
  const std::string id = TextOrThrow(ParseOrThrow(plan.response.body), "plan");
  return Call(vm, {"POST", "/v1/plans/" + id + "/confirm", "{}", {}});
}

bool Fleet::AwaitReady(milliseconds timeout) const {
  const auto ready = [this](const auto& entry) {
    const auto& process = entry.second.process;
    if (!process || process->AwaitExit(milliseconds(0))) return true;
    const HttpOutcome outcome = Call(entry.first, {"GET", "/readyz", "", {}}, milliseconds(1000));
    return outcome.ok() && outcome.response.status == 200;
  };
  return WaitUntil([&]() { return std::all_of(entries_.begin(), entries_.end(), ready); }, timeout);
}

json::object Fleet::ControlPlatform(const json::object& body) const {
  return PostControl(platform_address_, body);
}

json::object Fleet::ControlProxy(const json::object& body) const {
  return PostControl(ProxyOf("control"), body);
}

void Fleet::ControlWorker(const std::string& vm, json::object body) const {
  body["vm"] = vm;
  const std::string data_centre = vm.substr(0, vm.find('-'));
  for (const auto& [name, address] : backend_controls_) {
    if (vm == "*" || name == data_centre) PostControl(address, body);
  }
}

std::vector<json::object> Fleet::WorkerEvents() const {
  std::vector<json::object> all;
  for (const auto& control : backend_controls_) {
    const auto events = ReadAllPages("events", [&control](std::int64_t next) {
      return Exchange(control.second, {"GET", "/log?after=" + std::to_string(next), "", {}});
    });
    all.insert(all.end(), events.begin(), events.end());
  }
  std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return IntField(a, "at_us") < IntField(b, "at_us");
  });
  return all;
}

std::vector<json::object> Fleet::Transactions() const {
  return ReadAllPages("entries", [this](std::int64_t next) {
    return ControlPlatform({{"op", "log"}, {"after", next}});
  });
}

const std::string& Fleet::Address(const std::string& vm) const {
  const auto worker = workers_.find(vm);
  return worker != workers_.end() ? worker->second : entries_.at(vm).http;
}

const std::string& Fleet::ProxyOf(const std::string& source) const { return proxies_.at(source); }

const Process& Fleet::Daemon(const std::string& vm) const { return *entries_.at(vm).process; }

std::vector<std::string> Fleet::entries() const {
  std::vector<std::string> names;
  for (const auto& entry : entries_) names.push_back(entry.first);
  return names;
}

Fleet::Entry& Fleet::EntryOf(const std::string& vm) { return entries_.at(vm); }

}  // namespace sapphirewheel::testing
