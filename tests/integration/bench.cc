#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "sapphirewheel/state/json.h"
#include "tests/integration/fleet.h"
#include "tests/integration/load_client.h"
#include "tests/standins/support.h"

namespace sapphirewheel::testing {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kDaemon = "dc1-e1";
constexpr const char* kDirectWorker = "dc2-w1";
constexpr int kLatencySamples = 2000;
constexpr int kWarmUp = 200;
constexpr int kClosedLoopCallers = 48;
constexpr seconds kClosedLoopTime{8};
constexpr seconds kOverloadTime{20};
constexpr int kOverloadFactor = 10;
constexpr int kOverloadThreads = 4;
constexpr int kOverloadRunMs = 100;
constexpr int kOverloadDeadlineMs = 1000;

double Percentile(std::vector<double>& values, double fraction) {
  if (values.empty()) return 0;
  const auto n = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
  return values[n];
}

// User plus system CPU time of a process, in microseconds.
double ProcessorMicros(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  // Skip fields 3 to 13 of /proc/PID/stat; utime and stime follow.
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  return (user + system) * 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::int64_t PeakMemoryKb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return std::stoll(line.substr(6));
  }
  return 0;
}

HttpRequest ServiceRequest(const std::string& token, const std::string& id, bool repeatable,
                           int run_ms) {
  HttpRequest request{"POST",
                      "/v1/services/blend/requests",
                      json::serialize(json::object{{"run_ms", run_ms}, {"echo", id}}),
                      {}};
  request.headers["Authorization"] = "Bearer " + token;
  request.headers["Sapphirewheel-Repeatable"] = repeatable ? "true" : "false";
  request.headers["Idempotency-Key"] = id;
  return request;
}

void ApplyOrThrow(Fleet& fleet, const json::object& intent) {
  const HttpOutcome outcome = fleet.Apply(kDaemon, intent);
  if (!outcome.ok() || outcome.response.status != 200) {
    throw std::runtime_error("intent refused: " + outcome.error + outcome.response.body);
  }
}

// Sets up a pool, a team and a key. Returns the key's token once the daemon serves requests with
// it.
std::string Configure(Fleet& fleet) {
  ApplyOrThrow(fleet, {{"kind", "pool"},
                       {"pool", "blending"},
                       {"services", json::array{"blend"}},
                       {"size", 4},
                       {"max_out", 1},
                       {"max_out_per_rack", 1}});
  ApplyOrThrow(fleet, {{"kind", "team"}, {"team", "brewers"}, {"share", 1}, {"upper_limit", 64}});
  const json::object grant{{"kind", "key-grant"}, {"key", "brewers-1"}, {"team", "brewers"}};
  const HttpOutcome plan = fleet.Call(kDaemon, {"POST", "/v1/intents", json::serialize(grant), {}});
  const json::object body = ParseOrThrow(plan.response.body);
  const std::string confirm = "/v1/plans/" + TextOrThrow(body, "plan") + "/confirm";
  (void)fleet.Call(kDaemon, {"POST", confirm, "{}", {}});
  std::string token = TextOrThrow(body, "token");
  int n = 0;
  const auto served = [&]() {
    const HttpRequest probe = ServiceRequest(token, "probe-" + std::to_string(++n), false, 0);
    const HttpOutcome outcome = fleet.Call(kDaemon, probe);
    return outcome.ok() && outcome.response.status == 200;
  };
  if (!WaitUntil(served, seconds(60))) {
    throw std::runtime_error("the daemon served no request within 60 s");
  }
  return token;
}

struct Latency {
  double median_us = 0;
  double p99_us = 0;
  int refused = 0;
};

// Makes calls one after the other on one connection; `next` returns the n-th request. Only calls
// with status 200 are timed.
Latency MeasureLatency(const HttpTarget& target, const std::function<HttpRequest(int)>& next) {
  LoadClient client(target);
  std::vector<double> samples;
  int refused = 0;
  for (int i = 0; i < kLatencySamples + kWarmUp; ++i) {
    const HttpRequest request = next(i);
    const std::int64_t start = MonotonicMicros();
    const HttpResponse response = client.Call(request);
    if (response.status != 200) ++refused;
    if (i >= kWarmUp && response.status == 200) {
      samples.push_back(static_cast<double>(MonotonicMicros() - start));
    }
  }
  return {Percentile(samples, 0.5), Percentile(samples, 0.99), refused};
}

// Calls a backend server directly, as its owner and through the same fault proxy as the daemon.
Latency MeasureDirect(const Fleet& fleet) {
  const HttpTarget target{fleet.Address(kDirectWorker), fleet.ProxyOf(kDaemon)};
  LoadClient owner(target);
  std::string epoch;
  return MeasureLatency(target, [&](int n) {
    if (n % 100 == 0) {
      const HttpResponse lease = owner.Call({"POST", "/v1/ownership", R"({"node":"bench"})", {}});
      epoch = std::to_string(IntField(ParseOrThrow(lease.body), "epoch"));
    }
    HttpRequest request = ServiceRequest("", "direct-" + std::to_string(n), true, 0);
    request.target = "/v1/tasks";
    request.headers["Sapphirewheel-Task"] = "direct-" + std::to_string(n);
    request.headers["Sapphirewheel-Node"] = "bench";
    request.headers["Sapphirewheel-Epoch"] = epoch;
    request.headers["Sapphirewheel-Kind"] = "request";
    return request;
  });
}

struct Throughput {
  double per_second = 0;
  double processor_us = 0;
  std::int64_t refused = 0;
};

// A closed loop of callers: each sends its next request after the response to the previous one.
Throughput MeasureThroughput(const Fleet& fleet, const std::string& token, const std::string& name,
                             bool repeatable, int run_ms) {
  std::atomic<std::int64_t> done{0};
  std::atomic<std::int64_t> refused{0};
  const pid_t pid = fleet.Daemon(kDaemon).pid();
  const double processor = ProcessorMicros(pid);
  const std::int64_t start = MonotonicMicros();
  const std::int64_t end = start + std::chrono::microseconds(kClosedLoopTime).count();
  std::vector<std::thread> callers;
  callers.reserve(kClosedLoopCallers);
  for (int i = 0; i < kClosedLoopCallers; ++i) {
    callers.emplace_back([&, i]() {
      LoadClient client({fleet.Address(kDaemon), ""});
      for (int n = 0; MonotonicMicros() < end; ++n) {
        const std::string id = name + "-" + std::to_string(i) + "-" + std::to_string(n);
        const HttpResponse response = client.Call(ServiceRequest(token, id, repeatable, run_ms));
        ++(response.status == 200 ? done : refused);
      }
    });
  }
  for (auto& caller : callers) caller.join();
  const double used = ProcessorMicros(pid) - processor;
  const double passed = static_cast<double>(MonotonicMicros() - start) / 1e6;
  const auto all = static_cast<double>(done + refused);
  return {static_cast<double>(done) / passed, used / all, refused};
}

struct Overload {
  std::int64_t offered = 0, accepted = 0, other = 0;
  std::set<std::string> not_run;
  std::vector<double> accepted_ms;
  std::map<std::string, std::int64_t> outcomes;

  void Add(const std::string& id, const HttpOutcome& outcome, double ms) {
    ++offered;
    if (outcome.ok() && outcome.response.status == 200) {
      ++accepted;
      accepted_ms.push_back(ms);
      return;
    }
    const auto problem = ParseObject(outcome.response.body);
    const json::object body = outcome.ok() && problem ? problem.value() : json::object();
    const std::string run = TextField(body, "run");
    ++outcomes[outcome.ok() ? TextField(body, "code") + " " + run : outcome.error];
    if (run == "not-run") {
      not_run.insert(id);
    } else {
      ++other;
    }
  }
};

// An open loop: sends requests at a constant rate, independent of the responses to earlier ones,
// each on a connection of its own.
void OfferLoad(const std::string& address, const std::string& token, int thread, double rate,
               Overload& result) {
  boost::asio::io_context io(1);
  const std::int64_t start = MonotonicMicros();
  std::int64_t sent = 0;
  boost::asio::steady_timer timer(io);
  std::function<void()> tick = [&]() {
    const std::int64_t now = MonotonicMicros();
    const double due = static_cast<double>(now - start) / 1e6 * rate;
    for (; static_cast<double>(sent) < due; ++sent) {
      const std::string id = "over-" + std::to_string(thread) + "-" + std::to_string(sent);
      HttpRequest request = ServiceRequest(token, id, sent % 2 == 0, kOverloadRunMs);
      request.headers["Sapphirewheel-Deadline-Ms"] = std::to_string(kOverloadDeadlineMs);
      AsyncHttpCall(io, {address, ""}, request, seconds(10),
                    [&result, id, now](const HttpOutcome& outcome) {
                      const auto us = static_cast<double>(MonotonicMicros() - now);
                      result.Add(id, outcome, us / 1000);
                    });
    }
    if (now - start >= std::chrono::microseconds(kOverloadTime).count()) return;
    timer.expires_after(milliseconds(2));
    timer.async_wait([&](const boost::system::error_code&) { tick(); });
  };
  tick();
  io.run();
}

Overload MeasureOverload(const Fleet& fleet, const std::string& token, double rate) {
  std::vector<Overload> parts(kOverloadThreads);
  std::vector<std::thread> threads;
  threads.reserve(kOverloadThreads);
  for (int i = 0; i < kOverloadThreads; ++i) {
    threads.emplace_back([&, i]() {
      OfferLoad(fleet.Address(kDaemon), token, i, rate / kOverloadThreads,
                parts[static_cast<std::size_t>(i)]);
    });
  }
  for (auto& thread : threads) thread.join();
  Overload all;
  for (auto& part : parts) {
    all.offered += part.offered;
    all.accepted += part.accepted;
    all.other += part.other;
    all.not_run.merge(part.not_run);
    all.accepted_ms.insert(all.accepted_ms.end(), part.accepted_ms.begin(), part.accepted_ms.end());
    for (const auto& [name, n] : part.outcomes) all.outcomes[name] += n;
  }
  return all;
}

std::int64_t StartedAmong(const Fleet& fleet, const std::set<std::string>& ids) {
  std::set<std::string> started;
  for (const auto& event : fleet.WorkerEvents()) {
    const std::string id = TextField(event, "request");
    if (TextField(event, "event") == "start" && ids.count(id) != 0) started.insert(id);
  }
  return static_cast<std::int64_t>(started.size());
}

std::string Fixed(double value, int digits) {
  char buf[64];
  (void)std::snprintf(buf, sizeof buf, "%.*f", digits, value);
  return buf;
}

void WriteLatency(std::ostream& out, const char* name, const Latency& it, const Latency& direct) {
  out << "| " << name << " | " << Fixed(it.median_us / 1000, 2) << " | "
      << Fixed(it.p99_us / 1000, 2) << " | " << Fixed((it.median_us - direct.median_us) / 1000, 2)
      << " | " << Fixed((it.p99_us - direct.p99_us) / 1000, 2) << " | " << it.refused << " |\n";
}

void WriteThroughput(std::ostream& out, const char* name, const Throughput& it) {
  out << "| " << name << " | " << Fixed(it.per_second, 0) << " | " << Fixed(it.processor_us, 0)
      << " | " << it.refused << " |\n";
}

void WriteOverload(std::ostream& out, Overload& load, double capacity, std::int64_t started,
                   std::int64_t memory_kb) {
  const auto refused = static_cast<std::int64_t>(load.not_run.size());
  const double share =
      refused == 0 ? 1 : static_cast<double>(refused - started) / static_cast<double>(refused);
  out << "\n| overload | value |\n|---|---|\n"
      << "| capacity, requests/s of " << kOverloadRunMs << " ms | " << Fixed(capacity, 0) << " |\n"
      << "| offered, requests/s | "
      << Fixed(static_cast<double>(load.offered) / kOverloadTime.count(), 0) << " |\n"
      << "| answered with 200 | " << load.accepted << " |\n"
      << "| refused `not-run` | " << refused << " |\n"
      << "| other outcomes | " << load.other << " |\n"
      << "| refusals `not-run` that are true | " << Fixed(share * 100, 3) << " % |\n"
      << "| latency of accepted, median ms | " << Fixed(Percentile(load.accepted_ms, 0.5), 1)
      << " |\n"
      << "| latency of accepted, p99 ms | " << Fixed(Percentile(load.accepted_ms, 0.99), 1)
      << " |\n"
      << "| peak memory of the daemon, MB | " << memory_kb / 1024 << " |\n\nOutcomes: ";
  for (const auto& [name, n] : load.outcomes) out << name << " " << n << "; ";
  out << "\n";
}

constexpr const char* kNotes = R"(
How it is measured: one daemon, four stand-in workers with 8 slots each, real processes on one
machine. The stand-in platform and the workers are one single-threaded process each, and every
connection of the daemon passes the single-threaded fault proxy, so requests a second are a lower
bound of what the daemon can do. Processor time is that of the whole daemon process, background
work included, from /proc/PID/stat.

- Latency: one caller on a persistent connection, tasks of 0 ms. `direct` calls a backend server as
  its owner through the same fault proxy; `added` is the difference to it. Requests that may not be
  repeated wait for the group commit of their claim at the platform.
- Requests a second: 48 callers, each sends the next request after the last response.
- Overload: a constant rate of ten times the capacity for 20 s, half of it repeatable, with a
  deadline of 1 s, each request on its own connection. A refusal `not-run` is true when no worker
  saw a start of that request.
)";

int Run(std::ostream& out) {
  FleetOptions options;
  options.start_daemons = false;
  options.platform_flags = {"--list-lag-ms", "300"};
  options.daemon_flags = {"--max-connections", "8192"};
  Fleet fleet(options);
  fleet.Start(kDaemon);
  if (!fleet.AwaitReady(seconds(60))) {
    throw std::runtime_error("the daemon was not ready within 60 s");
  }
  const std::string token = Configure(fleet);
  const auto through_daemon = [&](const char* name, bool repeatable) {
    return MeasureLatency({fleet.Address(kDaemon), ""}, [&token, name, repeatable](int n) {
      return ServiceRequest(token, name + std::to_string(n), repeatable, 0);
    });
  };
  const Latency direct = MeasureDirect(fleet);
  const Latency repeatable = through_daemon("lat-r-", true);
  const Latency not_repeatable = through_daemon("lat-o-", false);
  out << "# Measurements of running daemons\n\nCommand: `scripts/bench`.\n\n"
      << "| latency | median ms | p99 ms | added median ms | added p99 ms | refused |\n"
      << "|---|---|---|---|---|---|\n";
  WriteLatency(out, "direct", direct, direct);
  WriteLatency(out, "repeatable", repeatable, direct);
  WriteLatency(out, "not repeatable", not_repeatable, direct);
  out << "\n| closed loop | requests/s | processor us a request | refused |\n|---|---|---|---|\n";
  WriteThroughput(out, "repeatable", MeasureThroughput(fleet, token, "tr", true, 0));
  WriteThroughput(out, "not repeatable", MeasureThroughput(fleet, token, "to", false, 0));
  const Throughput capacity = MeasureThroughput(fleet, token, "tc", true, kOverloadRunMs);
  Overload load = MeasureOverload(fleet, token, capacity.per_second * kOverloadFactor);
  const std::int64_t started = StartedAmong(fleet, load.not_run);
  const std::int64_t memory = PeakMemoryKb(fleet.Daemon(kDaemon).pid());
  WriteOverload(out, load, capacity.per_second, started, memory);
  out << kNotes;
  return started == 0 ? 0 : 1;
}

}  // namespace
}  // namespace sapphirewheel::testing

// Prints the measurements as a Markdown page. Exit status 1 when a request that was refused with
// `not-run` did run, 2 when the benchmark itself failed.
int main() {
  std::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
    files.rlim_cur = files.rlim_max;
    (void)setrlimit(RLIMIT_NOFILE, &files);
  }
  try {
    return sapphirewheel::testing::Run(std::cout);
  } catch (const std::exception& ex) {
    std::cerr << ex.what() << "\n";
    return 2;
  }
}
