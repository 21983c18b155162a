#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "sapphirewheel/state/json.h"
#include "tests/standins/support.h"

namespace sapphirewheel::testing {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxValueBytes = 64U << 10U;
constexpr std::size_t kMaxRows = 200;
// Retention of old VM lists; longer than any list lag that a test sets.
constexpr std::chrono::seconds kListHistory{60};

using RowId = std::pair<std::string, std::string>;

struct StoredRow {
  std::int64_t revision = 0;
  std::string value;
  std::string attempt;
};

struct LogEntry {
  std::int64_t revision = 0;
  std::int64_t at_us = 0;
  // The body of the transaction, or {"reboot": VM}.
  std::string body;
};

struct PlatformOptions {
  std::string listen = "127.0.0.1:0";
  double row_writes = 400;
  double row_reads = 2000;
  std::int64_t list_lag_ms = 2000;
  std::int64_t reboot_ms = 500;
};

RowId IdOf(const json::value& row) {
  const auto& object = row.as_object();
  return {TextOrThrow(object, "table"), TextOrThrow(object, "key")};
}

const json::array& ArrayOf(const json::object& object, const char* name) {
  static const json::array none;
  const auto* value = object.if_contains(name);
  return value != nullptr ? value->as_array() : none;
}

// The table service, object store and VM service specified in docs/platform.md, with faults that
// are set through /control.
class Platform {
 public:
  Platform(boost::asio::io_context& io, const PlatformOptions& options)
      : io_(io),
        write_limit_(options.row_writes),
        read_limit_(options.row_reads),
        list_lag_(options.list_lag_ms),
        reboot_ms_(options.reboot_ms) {
    list_history_.emplace_back(MonotonicClock::now(), json::array());
  }

  void Handle(HttpRequest request, HttpRespond respond) {
    if (request.target == "/control") {
      return respond(HandleControl(request, [this](const auto& body) { return Control(body); }));
    }
    After(io_, delay_before_, [this, request = std::move(request), respond = std::move(respond)]() {
      if (outage_ == "503") return respond(JsonResponse(503, {}));
      if (outage_ == "drop") return respond({.delivery = Delivery::kDrop});
      if (outage_ == "hang") return hanging_.push_back(respond);
      HttpResponse response = Dispatch(request);
      const bool lost = response.status < 300 && request.method != "GET" &&
                        request.target.rfind(lost_response_target_, 0) == 0 &&
                        lost_response_fault_.Fires();
      if (lost) response.delivery = Delivery::kDrop;
      After(io_, delay_after_, [respond, response]() { respond(response); });
    });
  }

 private:
  HttpResponse Dispatch(const HttpRequest& request) {
    try {
      const std::string& target = request.target;
      if (target.rfind("/v1/objects/", 0) == 0) return Object(request);
      if (target == "/v1/vms") return ListVms();
      if (target.rfind("/v1/vms/", 0) == 0) return Reboot(target);
      const json::object body = ParseOrThrow(request.body);
      if (target == "/v1/transact") return Transact(request.body, body);
      if (target == "/v1/read") return Read(body);
      if (target == "/v1/scan") return Scan(body);
      return JsonResponse(404, {});
    } catch (const std::exception& e) {
      return JsonResponse(400, {{"error", e.what()}});
    }
  }

  [[nodiscard]] json::object Describe(const RowId& id) const {
    const auto it = rows_.find(id);
    json::object row{{"table", id.first},
                     {"key", id.second},
                     {"revision", 0},
                     {"value", nullptr},
                     {"attempt", ""}};
    if (it != rows_.end()) {
      row["revision"] = it->second.revision;
      row["value"] = it->second.value;
      row["attempt"] = it->second.attempt;
    }
    return row;
  }

  static void Validate(const json::array& checks, const json::array& writes) {
    if (checks.size() > kMaxRows || writes.size() > kMaxRows) {
      throw std::invalid_argument("more than 200 rows in a transaction");
    }
    for (const auto& write : writes) {
      const auto& value = write.at("value");
      if (!value.is_null() && value.as_string().size() > kMaxValueBytes) {
        throw std::invalid_argument("a value is longer than 64 KiB");
      }
      (void)IdOf(write);
    }
  }

  HttpResponse Transact(const std::string& text, const json::object& body) {
    const auto& checks = ArrayOf(body, "checks");
    const auto& writes = ArrayOf(body, "writes");
    const std::string attempt = TextOrThrow(body, "attempt");
    Validate(checks, writes);
    if (!write_limit_.Take(static_cast<double>(writes.size()))) return JsonResponse(429, {});
    bool holds = true;
    for (const auto& check : checks) {
      const auto it = rows_.find(IdOf(check));
      const std::int64_t revision = it == rows_.end() ? 0 : it->second.revision;
      holds = holds && revision == check.at("revision").to_number<std::int64_t>();
    }
    if (!holds) {
      std::map<RowId, json::object> current;
      for (const auto& check : checks) current[IdOf(check)] = Describe(IdOf(check));
      for (const auto& write : writes) current[IdOf(write)] = Describe(IdOf(write));
      json::array list;
      for (auto& [id, row] : current) list.emplace_back(std::move(row));
      return JsonResponse(409, {{"current", std::move(list)}});
    }
    ++revision_;
    for (const auto& write : writes) {
      const auto& value = write.at("value");
      if (value.is_null()) {
        rows_.erase(IdOf(write));
      } else {
        rows_[IdOf(write)] = {revision_, std::string(value.as_string()), attempt};
      }
    }
    log_.push_back({revision_, MonotonicMicros(), text});
    return JsonResponse(200, {{"revision", revision_}});
  }

  HttpResponse Read(const json::object& body) {
    const auto& keys = ArrayOf(body, "keys");
    if (!read_limit_.Take(static_cast<double>(keys.size()))) return JsonResponse(429, {});
    json::array rows;
    for (const auto& key : keys) rows.emplace_back(Describe(IdOf(key)));
    return JsonResponse(200, {{"rows", std::move(rows)}});
  }

  [[nodiscard]] json::array Range(const std::string& table, const std::string& first,
                                  const std::string& last, std::size_t limit) const {
    json::array rows;
    for (auto it = rows_.lower_bound({table, first}); it != rows_.end(); ++it) {
      const bool past = it->first.first != table || (!last.empty() && it->first.second >= last);
      if (past || rows.size() >= limit) break;
      rows.emplace_back(Describe(it->first));
    }
    return rows;
  }

  HttpResponse Scan(const json::object& body) {
    const auto limit = static_cast<std::size_t>(IntField(body, "limit", 1000));
    json::array rows =
        Range(TextOrThrow(body, "table"), TextField(body, "first"), TextField(body, "last"), limit);
    const auto cost = static_cast<double>(std::max<std::size_t>(rows.size(), 1));
    if (!read_limit_.Take(cost)) return JsonResponse(429, {});
    return JsonResponse(200, {{"rows", std::move(rows)}});
  }

  HttpResponse Object(const HttpRequest& request) {
    const std::string name =
        PercentDecode(request.target.substr(std::string("/v1/objects/").size()));
    if (request.method == "PUT") {
      objects_[name] = request.body;
      return JsonResponse(200, {});
    }
    const auto it = objects_.find(name);
    if (it == objects_.end()) return JsonResponse(404, {});
    return {.body = it->second, .headers = {{"Content-Type", "application/octet-stream"}}};
  }

  // Returns the newest list that is at least as old as the lag.
  HttpResponse ListVms() {
    const auto wanted = MonotonicClock::now() - list_lag_;
    const json::array* list = &list_history_.front().second;
    for (const auto& [since, vms] : list_history_) {
      if (since <= wanted) list = &vms;
    }
    return JsonResponse(200, {{"vms", *list}});
  }

  HttpResponse Reboot(const std::string& target) {
    const std::size_t start = std::string("/v1/vms/").size();
    const std::string vm = PercentDecode(target.substr(start, target.rfind('/') - start));
    const auto it = vms_.find(vm);
    if (it == vms_.end() || !target.ends_with("/reboot")) return JsonResponse(404, {});
    log_.push_back({revision_, MonotonicMicros(), json::serialize(json::object{{"reboot", vm}})});
    const std::string control = TextField(it->second, "control");
    if (!control.empty()) {
      const json::object body{{"op", "restart"}, {"vm", vm}, {"down_ms", reboot_ms_}};
      HttpRequest call{"POST", "/control", json::serialize(body), {}};
      AsyncHttpCall(io_, {control, ""}, std::move(call), milliseconds(5000),
                    [](const HttpOutcome&) {});
    }
    return JsonResponse(202, {});
  }

  void PublishList() {
    json::array list;
    for (const auto& [id, vm] : vms_) {
      json::object shown = vm;
      shown.erase("control");
      list.emplace_back(std::move(shown));
    }
    const auto now = MonotonicClock::now();
    list_history_.emplace_back(now, std::move(list));
    while (list_history_.size() > 2 && list_history_[1].first < now - kListHistory) {
      list_history_.pop_front();
    }
  }

  // Operations: outage (mode "503", "drop", "hang" or ""), slow (before_ms or ms: delay before the
  // effect; after_ms: delay after it), lose_answers (next, or probability and seed; target: path
  // prefix), limits (row_writes, row_reads), list_lag (ms), vms (adds or replaces VMs), remove_vm
  // (vm), phase (vm, phase), dump (table), log (after, limit).
  json::object Control(const json::object& body) {
    const std::string op = TextField(body, "op");
    if (op == "outage") {
      outage_ = TextField(body, "mode");
      for (auto& respond : std::exchange(hanging_, {})) respond({.delivery = Delivery::kDrop});
    } else if (op == "slow") {
      delay_before_ = milliseconds(IntField(body, "before_ms", IntField(body, "ms")));
      delay_after_ = milliseconds(IntField(body, "after_ms"));
    } else if (op == "lose_answers") {
      lost_response_fault_.Set(body);
      lost_response_target_ = TextField(body, "target", "/v1/");
    } else if (op == "limits") {
      write_limit_.SetRate(DoubleField(body, "row_writes", 400));
      read_limit_.SetRate(DoubleField(body, "row_reads", 2000));
    } else if (op == "list_lag") {
      list_lag_ = milliseconds(IntField(body, "ms"));
    } else if (op == "dump") {
      return {{"rows",
               Range(TextField(body, "table"), "", "", std::numeric_limits<std::size_t>::max())}};
    } else if (op == "log") {
      return ShowLog(body);
    } else {
      ControlVms(op, body);
    }
    return {};
  }

  void ControlVms(const std::string& op, const json::object& body) {
    if (op == "vms") {
      for (const auto& vm : ArrayOf(body, "vms")) {
        const auto& object = vm.as_object();
        vms_[TextOrThrow(object, "vm")] = object;
      }
    } else if (op == "remove_vm") {
      vms_.erase(TextField(body, "vm"));
    } else if (op == "phase") {
      vms_.at(TextField(body, "vm"))["phase"] = TextField(body, "phase", "live");
    } else {
      throw std::invalid_argument("unknown operation \"" + op + "\"");
    }
    PublishList();
  }

  [[nodiscard]] json::object ShowLog(const json::object& body) const {
    const auto after = static_cast<std::size_t>(IntField(body, "after"));
    const auto limit = static_cast<std::size_t>(IntField(body, "limit", 5000));
    json::array entries;
    std::size_t i = after;
    for (; i < log_.size() && entries.size() < limit; ++i) {
      json::object entry = json::parse(log_[i].body).as_object();
      entry["revision"] = log_[i].revision;
      entry["at_us"] = log_[i].at_us;
      entries.emplace_back(std::move(entry));
    }
    return {{"entries", std::move(entries)}, {"next", i}};
  }

  boost::asio::io_context& io_;
  std::map<RowId, StoredRow> rows_;
  std::int64_t revision_ = 0;
  std::vector<LogEntry> log_;
  std::map<std::string, std::string> objects_;
  std::map<std::string, json::object> vms_;
  std::deque<std::pair<MonotonicClock::time_point, json::array>> list_history_;
  TokenBucket write_limit_;
  TokenBucket read_limit_;
  milliseconds list_lag_;
  std::int64_t reboot_ms_;
  std::string outage_;
  std::vector<HttpRespond> hanging_;
  milliseconds delay_before_{0};
  milliseconds delay_after_{0};
  FaultTrigger lost_response_fault_;
  std::string lost_response_target_;
};

}  // namespace
}  // namespace sapphirewheel::testing

int main(int argc, char** argv) {
  using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)
  PlatformOptions options;
  CLI::App app("stand-in of the platform (docs/platform.md)", "platform_standin");
  app.add_option("--listen", options.listen, "ip:port that serves the API and /control");
  app.add_option("--row-writes", options.row_writes, "limit of row writes per second");
  app.add_option("--row-reads", options.row_reads, "limit of row reads per second");
  app.add_option("--list-lag-ms", options.list_lag_ms, "delay of the VM list");
  app.add_option("--reboot-ms", options.reboot_ms, "downtime of a rebooting VM");
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io(1);
  Platform platform(io, options);
  HttpServer server(io, [&platform](HttpRequest request, HttpRespond respond) {
    platform.Handle(std::move(request), std::move(respond));
  });
  AnnounceListening("platform", server.Listen(options.listen));
  RunUntilSignal(io);
  return 0;
}
