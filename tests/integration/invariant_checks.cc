#include "tests/integration/invariant_checks.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <set>
#include <utility>

#include "sapphirewheel/state/json.h"
#include "sapphirewheel/transport/endpoint.h"
#include "tests/standins/support.h"

// MemoryLeakWarningPlugin.h needs types of TestHarness.h, so the order is fixed.
// clang-format off
#include "CppUTest/TestHarness.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"
// clang-format on

namespace sapphirewheel::testing {
namespace {

namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;
using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// Longer than every deadline that tests use, so that only a daemon that never responds reaches it.
constexpr milliseconds kCallTimeout{15000};
// The leak check of CppUTest is not thread-safe, and callers run on threads. It must be off before
// the first allocation, because memory that was allocated in one state must not be freed in the
// other.
[[maybe_unused]] const bool kLeakCheckOff = [] {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return true;
}();

constexpr const char* kRefused = "Connection refused";

std::string KeyOf(const std::string& request) { return request.substr(0, request.find('/')); }

bool NeverConnected(const CallerCall& call) {
  return call.outcome.error.find(kRefused) != std::string::npos;
}

std::string Describe(const CallerCall& call) {
  return call.request + " at " + call.vm + ": " +
         (call.outcome.ok()
              ? std::to_string(call.outcome.response.status) + " " + call.outcome.response.body
              : call.outcome.error);
}

// Number of starts of each call, by CallerCall::request.
std::map<std::string, int> Starts(const std::vector<json::object>& events) {
  std::map<std::string, int> starts;
  for (const auto& event : events) {
    if (TextField(event, "event") == "start") ++starts[TextField(event, "request")];
  }
  return starts;
}

std::pair<CallerCall, HttpRequest> Prepare(const std::string& vm, const std::string& key, int n,
                                           const CallOptions& options) {
  CallerCall call;
  call.key = key;
  call.request = key + "/" + std::to_string(n);
  call.echo = call.request + std::string(options.padding, '.');
  call.repeatable = options.repeatable;
  call.vm = vm;
  const json::object body{{"run_ms", options.run_ms}, {"echo", call.echo}, {"id", call.request}};
  HttpRequest request{"POST", "/v1/services/blend/requests", json::serialize(body), {}};
  request.headers["Sapphirewheel-Deadline-Ms"] = std::to_string(options.deadline_ms);
  if (options.repeatable) {
    request.headers["Sapphirewheel-Repeatable"] = "true";
  } else {
    request.headers["Idempotency-Key"] = key;
  }
  return {std::move(call), std::move(request)};
}

void ReadProblem(CallerCall& call) {
  if (!call.outcome.ok() || call.outcome.response.status < 300) return;
  const auto problem = ParseObject(call.outcome.response.body);
  if (problem) call.run = TextField(problem.value(), "run");
}

struct VmRows {
  // Revision and pool by VM.
  std::map<std::string, std::pair<std::int64_t, std::string>> rows;
  std::string violations;
};

bool ChecksRevision(const json::object& transaction, const std::string& vm, std::int64_t revision) {
  for (const auto& item : transaction.at("checks").as_array()) {
    const auto& check = item.as_object();
    if (TextField(check, "table") == "vms" && TextField(check, "key") == vm) {
      return IntField(check, "revision") == revision;
    }
  }
  return false;
}

// Applies the committed transactions in their order.
VmRows ReplayVmRows(const std::vector<json::object>& transactions) {
  VmRows result;
  for (const auto& transaction : transactions) {
    const auto* writes = transaction.if_contains("writes");
    if (writes == nullptr) continue;
    for (const auto& item : writes->as_array()) {
      const auto& write = item.as_object();
      if (TextField(write, "table") != "vms") continue;
      const std::string vm = TextField(write, "key");
      const std::int64_t before = result.rows.count(vm) == 0 ? 0 : result.rows[vm].first;
      if (!ChecksRevision(transaction, vm, before)) {
        result.violations +=
            vm + " was written without a check of revision " + std::to_string(before) + "\n";
      }
      if (write.at("value").is_null()) {
        result.rows.erase(vm);
        continue;
      }
      const auto row = ParseObject(TextField(write, "value"));
      const std::string pool = row ? TextField(row.value(), "pool") : "";
      if (pool.empty()) result.violations += vm + " has no pool\n";
      result.rows[vm] = {IntField(transaction, "revision"), pool};
    }
  }
  return result;
}

// `changes` holds, by time, the causes that begin (true) or end (false) to make a VM unavailable:
// "down/VM" for its process and "rows/VM" for its row.
std::string CheckOutageOverTime(
    const std::multimap<std::int64_t, std::pair<std::string, bool>>& changes, std::int64_t max_out,
    std::int64_t max_out_per_rack) {
  std::set<std::string> causes;
  std::string found;
  for (const auto& [at_us, change] : changes) {
    if (change.second) {
      causes.insert(change.first);
    } else {
      causes.erase(change.first);
    }
    std::set<std::string> out;
    std::map<std::string, std::int64_t> by_rack;
    for (const std::string& cause : causes) {
      const std::string vm = cause.substr(cause.find('/') + 1);
      if (out.insert(vm).second) ++by_rack[vm.substr(0, vm.find('-'))];
    }
    bool within = std::ssize(out) <= max_out;
    for (const auto& [rack, n] : by_rack) within = within && n <= max_out_per_rack;
    if (within) continue;
    found += std::to_string(at_us) + ":";
    for (const std::string& cause : causes) found += " " + cause;
    found += "\n";
  }
  return found;
}

}  // namespace

FleetOptions FastPollFleet() {
  FleetOptions options;
  options.workers = 2;
  options.platform_flags = {"--list-lag-ms", "200", "--reboot-ms", "300"};
  options.daemon_flags = {"--fleet-poll-ms",  "200", "--assignment-poll-ms", "500",
                          "--config-pull-ms", "300", "--drain-notice-ms",    "300"};
  return options;
}

bool SetUpOpenService(Fleet& fleet, int workers, int max_out, int max_out_per_rack) {
  if (!fleet.AwaitReady(20s)) return false;
  const std::string vm = fleet.entries().front();
  const HttpOutcome team =
      fleet.Apply(vm, {{"kind", "team"}, {"team", "open"}, {"share", 1}, {"upper_limit", 500}});
  const HttpOutcome pool = fleet.Apply(vm, {{"kind", "pool"},
                                            {"pool", "mixers"},
                                            {"services", json::array{"blend"}},
                                            {"open_services", json::array{"blend"}},
                                            {"size", workers},
                                            {"max_out", max_out},
                                            {"max_out_per_rack", max_out_per_rack}});
  if (team.response.status != 200 || pool.response.status != 200) {
    std::cerr << team.response.body << "\n" << pool.response.body << "\n";
    return false;
  }
  for (const std::string& entry : fleet.entries()) {
    int n = 0;
    const auto serves = [&]() {
      const CallOptions options{.repeatable = true, .run_ms = 0, .deadline_ms = 1000};
      const CallerCall call = CallOnce(entry, fleet.Address(entry), "warm-" + entry, ++n, options);
      return call.outcome.ok() && call.outcome.response.status == 200;
    };
    if (!WaitUntil(serves, 20s)) return false;
  }
  return true;
}

CallerCall CallOnce(const std::string& vm, const std::string& address, const std::string& key,
                    int n, const CallOptions& options) {
  auto [call, request] = Prepare(vm, key, n, options);
  call.outcome = HttpCall({address, ""}, std::move(request), kCallTimeout);
  ReadProblem(call);
  return call;
}

struct PersistentConnection::State {
  std::string address;
  boost::asio::io_context io{1};
  boost::beast::tcp_stream stream{io};
  boost::beast::flat_buffer buf;
  bool connected = false;
  bool open = true;

  void Connect() {
    if (std::exchange(connected, true)) return;
    const auto endpoint = ParseEndpoint(address).value();
    stream.connect({boost::asio::ip::make_address(endpoint.address), endpoint.port});
  }
  HttpResponse Exchange(const HttpRequest& request);
};

HttpResponse PersistentConnection::State::Exchange(const HttpRequest& request) {
  http::request<http::string_body> message(http::verb::post, request.target, 11);
  message.set(http::field::host, address);
  for (const auto& [name, value] : request.headers) message.set(name, value);
  message.body() = request.body;
  message.prepare_payload();
  http::response<http::string_body> reply;
  boost::system::error_code result;
  stream.expires_after(kCallTimeout);
  http::async_write(stream, message, [&](const boost::system::error_code& ec, std::size_t) {
    result = ec;
    if (ec) return;
    http::async_read(stream, buf, reply,
                     [&](const boost::system::error_code& read, std::size_t) { result = read; });
  });
  io.restart();
  io.run();
  if (result) throw boost::system::system_error(result);
  open = reply.keep_alive();
  HttpResponse response;
  response.status = static_cast<int>(reply.result_int());
  for (const auto& field : reply) {
    response.headers[std::string(field.name_string())] = std::string(field.value());
  }
  response.body = std::move(reply.body());
  return response;
}

PersistentConnection::PersistentConnection(std::string address)
    : state_(std::make_unique<State>()) {
  state_->address = std::move(address);
}

PersistentConnection::~PersistentConnection() = default;

bool PersistentConnection::open() const { return state_->open; }

CallerCall PersistentConnection::Call(const std::string& vm, const std::string& key, int n,
                                      const CallOptions& options) {
  auto [call, request] = Prepare(vm, key, n, options);
  try {
    state_->Connect();
    call.outcome.response = state_->Exchange(request);
  } catch (const std::exception& ex) {
    call.outcome.error = ex.what();
    state_->open = false;
  }
  ReadProblem(call);
  return call;
}

CallerLoad::CallerLoad(const Fleet& fleet, std::string prefix, int threads,
                       std::function<CallOptions(int)> options)
    : prefix_(std::move(prefix)), options_(std::move(options)) {
  for (const std::string& vm : fleet.entries()) daemons_.emplace_back(vm, fleet.Address(vm));
  for (int i = 0; i < threads; ++i) threads_.emplace_back([this, i]() { Run(i); });
}

CallerLoad::~CallerLoad() { Finish(); }

void CallerLoad::Run(int thread) {
  std::size_t turn = static_cast<std::size_t>(thread);
  for (int number = 0;; ++number) {
    const std::string key = prefix_ + std::to_string(thread) + "-" + std::to_string(number);
    const CallOptions options = options_(number);
    for (int n = 1;; ++n) {
      {
        const std::lock_guard lock(mutex_);
        if (stopping_) return;
      }
      const auto& [vm, address] = daemons_[turn++ % daemons_.size()];
      CallerCall call = CallOnce(vm, address, key, n, options);
      const bool again = !call.outcome.ok() || call.run == "not-run";
      Record(std::move(call));
      if (!again) break;
      // Limits the rate of callers that are refused immediately, which would overload the machine.
      std::this_thread::sleep_for(10ms);
    }
  }
}

void CallerLoad::Record(CallerCall call) {
  const std::lock_guard lock(mutex_);
  calls_.push_back(std::move(call));
}

std::vector<CallerCall> CallerLoad::Calls() const {
  const std::lock_guard lock(mutex_);
  return calls_;
}

bool CallerLoad::AwaitServed(std::size_t n, milliseconds timeout) {
  const auto served = [this]() {
    std::size_t count = 0;
    for (const auto& call : Calls())
      count += call.outcome.response.status == 200 && call.outcome.ok();
    return count;
  };
  const std::size_t before = served();
  return WaitUntil([&]() { return served() >= before + n; }, timeout);
}

std::vector<CallerCall> CallerLoad::Finish() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  for (auto& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
  return Calls();
}

std::string CheckAtMostOnce(const std::vector<CallerCall>& calls,
                            const std::vector<json::object>& events) {
  std::set<std::string> keys;
  for (const auto& call : calls) {
    if (!call.repeatable) keys.insert(call.key);
  }
  std::map<std::string, int> by_key;
  for (const auto& [request, count] : Starts(events)) {
    if (keys.count(KeyOf(request)) != 0) by_key[KeyOf(request)] += count;
  }
  std::string found;
  for (const auto& [key, count] : by_key) {
    if (count > 1) found += key + " started " + std::to_string(count) + " times\n";
  }
  return found;
}

std::string CheckNotRun(const std::vector<CallerCall>& calls,
                        const std::vector<json::object>& events) {
  const auto starts = Starts(events);
  std::string found;
  for (const auto& call : calls) {
    if (call.run == "not-run" && starts.count(call.request) != 0) {
      found += Describe(call) + "; it started\n";
    }
  }
  return found;
}

std::string CheckEchoes(const std::vector<CallerCall>& calls) {
  std::string found;
  for (const auto& call : calls) {
    if (!call.outcome.ok() || call.outcome.response.status != 200) continue;
    const auto body = ParseObject(call.outcome.response.body);
    const std::string echo = body ? TextField(body.value(), "echo") : "";
    const bool own = call.outcome.response.headers.count("Sapphirewheel-Replayed") != 0
                         ? KeyOf(echo) == call.key
                         : echo == call.echo;
    if (!own) found += Describe(call) + "; not the echo of its own request\n";
  }
  return found;
}

std::string CheckNoBrokenCall(const std::vector<CallerCall>& calls) {
  std::string found;
  for (const auto& call : calls) {
    if (!call.outcome.ok() && !NeverConnected(call)) found += Describe(call) + "\n";
  }
  return found;
}

std::string CheckNoneUnknown(const std::vector<CallerCall>& calls) {
  std::string found;
  for (const auto& call : calls) {
    if (call.outcome.ok() && call.run == "unknown") found += Describe(call) + "\n";
  }
  return found;
}

std::string CheckVmRows(const std::vector<json::object>& transactions) {
  return ReplayVmRows(transactions).violations;
}

std::map<std::string, std::string> PoolsOf(const std::vector<json::object>& transactions) {
  std::map<std::string, std::string> pools;
  for (const auto& [vm, row] : ReplayVmRows(transactions).rows) pools[vm] = row.second;
  return pools;
}

std::string CheckOutage(const std::vector<json::object>& transactions,
                        const std::vector<json::object>& events, std::int64_t max_out,
                        std::int64_t max_out_per_rack) {
  std::multimap<std::int64_t, std::pair<std::string, bool>> changes;
  for (const auto& event : events) {
    const std::string kind = TextField(event, "event");
    if (kind != "down" && kind != "boot") continue;
    changes.emplace(IntField(event, "at_us"),
                    std::pair("down/" + TextField(event, "vm"), kind == "down"));
  }
  for (const auto& transaction : transactions) {
    const auto* writes = transaction.if_contains("writes");
    if (writes == nullptr) continue;
    for (const auto& item : writes->as_array()) {
      const auto& write = item.as_object();
      if (TextField(write, "table") != "vms") continue;
      const auto row = ParseObject(TextField(write, "value"));
      const bool out = !row || TextField(row.value(), "phase") != "active" ||
                       !TextField(row.value(), "wave").empty();
      changes.emplace(IntField(transaction, "at_us"),
                      std::pair("rows/" + TextField(write, "key"), out));
    }
  }
  return CheckOutageOverTime(changes, max_out, max_out_per_rack);
}

std::string Summary(const std::vector<CallerCall>& calls) {
  std::map<std::string, int> counts;
  for (const auto& call : calls) {
    std::string kind = std::to_string(call.outcome.response.status);
    if (!call.outcome.ok()) {
      kind = NeverConnected(call) ? "refused" : "broken";
    } else if (!call.run.empty()) {
      kind += " " + call.run;
    }
    ++counts[kind];
  }
  std::string text;
  for (const auto& [kind, count] : counts) {
    text += (text.empty() ? "" : ", ") + kind + " x " + std::to_string(count);
  }
  return text;
}

std::size_t CountRun(const std::vector<CallerCall>& calls, const std::string& run) {
  std::size_t count = 0;
  for (const auto& call : calls) count += call.outcome.ok() && call.run == run;
  return count;
}

}  // namespace sapphirewheel::testing
