// Stand-ins for the scripts of the third review: the platform's store, its machine service,
// executors and clients, all on loopback addresses in one process and on one thread, and the
// handling of the daemons that a script starts. They follow PROTOCOL.md and DEPLOY.md.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using Tcp = asio::ip::tcp;
template <typename T>
using Task = asio::awaitable<T>;
using Ms = std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Record of a script, with seconds since its begin.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file), began_(Steady::now()) {}
  double Now() const { return std::chrono::duration<double>(Steady::now() - began_).count(); }
  void Write(const std::string& line) {
    char at[32];
    std::snprintf(at, sizeof at, "%9.3f ", Now());
    out_ << at << line << "\n";
    out_.flush();
  }
  void Say(const std::string& line) {
    Write(line);
    std::cout << line << std::endl;
  }

 private:
  std::ofstream out_;
  Steady::time_point began_;
};

inline Task<void> Sleep(Ms time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

inline Response Reply(int status, const json::object& body) {
  Response response{http::int_to_status(static_cast<unsigned>(status)), 11};
  response.set(http::field::content_type, "application/json");
  response.body() = json::serialize(body);
  response.prepare_payload();
  return response;
}

// An HTTP/1.1 server. The handler gives no response to close the connection without one.
class Server {
 public:
  using Handler = std::function<Task<std::optional<Response>>(Request)>;

  Server(asio::io_context& io, const std::string& ip, Handler handler)
      : io_(io), acceptor_(io, Tcp::endpoint(asio::ip::make_address(ip), 0)),
        handler_(std::move(handler)), ip_(ip) {
    asio::co_spawn(io_, Accept(), asio::detached);
  }
  std::string address() const {
    return ip_ + ":" + std::to_string(acceptor_.local_endpoint().port());
  }
  // The connections that are open now go silent for good: what arrives on them has no effect, and
  // nothing is sent on them any more. New ones work.
  void Silence() { silent_below_ = next_connection_; }

 private:
  Task<void> Accept() {
    for (;;) {
      Tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
      asio::co_spawn(io_, Serve(std::move(socket), next_connection_++), asio::detached);
    }
  }
  Task<void> Serve(Tcp::socket socket, std::uint64_t number) {
    try {
      socket.set_option(Tcp::no_delay(true));
      beast::flat_buffer buffer;
      for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(64ULL * 1024 * 1024);
        co_await http::async_read(socket, buffer, parser, asio::use_awaitable);
        Request request = parser.release();
        const bool keep = request.keep_alive();
        std::optional<Response> response;
        if (number >= silent_below_) response = co_await handler_(std::move(request));
        if (number < silent_below_) {
          co_await Sleep(Ms(120'000));
          co_return;
        }
        if (!response) co_return;
        response->keep_alive(keep);
        response->prepare_payload();
        co_await http::async_write(socket, *response, asio::use_awaitable);
        if (!keep) co_return;
      }
    } catch (const std::exception&) {
    }
  }

  asio::io_context& io_;
  Tcp::acceptor acceptor_;
  Handler handler_;
  std::string ip_;
  std::uint64_t next_connection_ = 0;
  std::uint64_t silent_below_ = 0;
};

inline std::string Decode(std::string_view text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      out += static_cast<char>(std::stoi(std::string(text.substr(n + 1, 2)), nullptr, 16));
      n += 2;
    } else {
      out += text[n] == '+' ? ' ' : text[n];
    }
  }
  return out;
}

inline std::map<std::string, std::string> Query(std::string_view target) {
  std::map<std::string, std::string> fields;
  auto at = target.find('?');
  while (at != std::string_view::npos) {
    const auto end = target.find('&', at + 1);
    const auto part = target.substr(at + 1, end == std::string_view::npos ? end : end - at - 1);
    const auto is = part.find('=');
    if (is != std::string_view::npos) {
      fields[Decode(part.substr(0, is))] = Decode(part.substr(is + 1));
    }
    at = end;
  }
  return fields;
}

inline std::int64_t Int(const json::object& object, const char* name, std::int64_t otherwise = 0) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : otherwise;
}
inline std::string Text(const json::object& object, const char* name) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

inline std::string ToBase64(const std::string& bytes) {
  std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
  text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

// The platform's store: rows, transactions and feeds.
class Store {
 public:
  struct Row {
    std::string value;  // base64
    std::uint64_t ver = 0;
    bool removed = false;
  };
  using Key = std::pair<std::string, std::string>;  // part, key

  // An address for each daemon.
  Store(asio::io_context& io, const std::string& ip, Record& record, int daemons)
      : record_(record) {
    for (int n = 0; n < daemons; ++n) {
      servers_.push_back(std::make_unique<Server>(
          io, ip, [this, n](Request request) { return HandleFor(n, std::move(request)); }));
    }
  }
  std::string address(int daemon) const { return servers_.at(daemon)->address(); }
  void Silence(int daemon) { servers_.at(daemon)->Silence(); }
  // The value of a row; empty when it is missing.
  std::string Value(const std::string& table, const std::string& part, const std::string& key) {
    const auto it = rows_[table].find({part, key});
    if (it == rows_[table].end() || it->second.removed) return {};
    const std::string& text = it->second.value;
    std::string bytes(beast::detail::base64::decoded_size(text.size()), '\0');
    bytes.resize(beast::detail::base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
  }

  void Put(const std::string& table, const std::string& key, const std::string& value) {
    ++ver_;
    Write(table, {"", key}, ToBase64(value), false);
    Wake();
  }
  // What becomes of a call; empty for none of this. kLost: carried out and not answered; kLate: a
  // transaction is not answered, and carried out so much later; kDropped: neither; kRefused: 503.
  enum class Fate { kNormal, kLost, kLate, kDropped, kRefused };
  std::function<Fate(int daemon, const std::string& path)> fate;
  std::function<Ms()> late_by;
  // Size of the largest row that was refused, and how many transactions were refused for it.
  std::size_t refused_bytes = 0;
  int refused = 0;
  static constexpr std::size_t kRowBytes = 65536;

 private:
  static std::size_t RawSize(const std::string& base64) {
    std::size_t padding = 0;
    while (padding < 2 && padding < base64.size() && base64[base64.size() - 1 - padding] == '=') {
      ++padding;
    }
    return base64.size() / 4 * 3 - padding;
  }
  void Write(const std::string& table, const Key& key, std::string value, bool removed) {
    Row& row = rows_[table][key];
    auto& changes = changes_[table];
    if (row.ver != 0) changes.erase({row.ver, key});
    row = Row{std::move(value), ver_, removed};
    changes.emplace(ver_, key);
  }
  void Wake() {
    for (auto* it : waiting_) it->cancel();
  }
  static std::int64_t NowMs() {
    return std::chrono::duration_cast<Ms>(Steady::now().time_since_epoch()).count();
  }
  Response Answer(int status, json::object body) const {
    body["ver"] = ver_;
    body["now_ms"] = NowMs();
    return Reply(status, body);
  }
  static json::object Show(const std::string& table, const Key& key, const Row& row) {
    json::object shown{{"table", table}, {"part", key.first}, {"key", key.second},
                       {"ver", row.ver}, {"value", row.value}};
    if (row.removed) shown["tombstone"] = true;
    return shown;
  }
  Task<std::optional<Response>> HandleFor(int daemon, Request request) {
    const std::string target(request.target());
    const Fate is = fate ? fate(daemon, target.substr(0, target.find('?'))) : Fate::kNormal;
    if (is == Fate::kDropped) co_return std::nullopt;
    if (is == Fate::kRefused) co_return Reply(503, {});
    if (is == Fate::kLate) {
      co_await Sleep(late_by());
      (void)Transact(request.body());
      co_return std::nullopt;
    }
    std::optional<Response> response = co_await Handle(std::move(request));
    if (is == Fate::kLost) {
      co_await Sleep(Ms(3000));
      co_return std::nullopt;
    }
    co_return response;
  }
  Task<std::optional<Response>> Handle(Request request) {
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    const auto query = Query(target);
    const auto field = [&](const char* name) {
      const auto it = query.find(name);
      return it == query.end() ? std::string() : it->second;
    };
    co_await Sleep(Ms(path == "/api/rows-tx" ? 8 : 4));
    if (path == "/api/rows-tx") co_return Transact(request.body());
    if (path == "/api/rows-get") {
      json::array rows;
      bool more = false;
      std::size_t limit = 500;
      if (!field("limit").empty()) limit = std::min<std::size_t>(500, std::stoul(field("limit")));
      std::size_t bytes = 0;
      auto& table = rows_[field("table")];
      const std::string part = field("part");
      const std::string to = field("to");
      for (auto it = table.lower_bound({part, field("from")}); it != table.end(); ++it) {
        if (it->first.first != part || (!to.empty() && it->first.second >= to)) break;
        if (it->second.removed) continue;
        if (rows.size() == limit || (bytes > 0 && bytes + it->second.value.size() > 1'000'000)) {
          more = true;
          break;
        }
        bytes += it->second.value.size();
        rows.push_back(Show(field("table"), it->first, it->second));
      }
      co_return Answer(200, {{"rows", std::move(rows)}, {"more_pages", more}});
    }
    if (path == "/api/rows-parts") {
      std::set<std::string> parts;
      for (const auto& [key, row] : rows_[field("table")]) {
        if (!row.removed && key.first > field("after")) parts.insert(key.first);
      }
      json::array list;
      for (const auto& it : parts) {
        if (list.size() == 1000) break;
        list.emplace_back(it);
      }
      co_return Answer(200, {{"parts", std::move(list)}});
    }
    if (path == "/api/rows-feed") {
      const std::uint64_t after = std::stoull(field("after"));
      const auto until = Steady::now() + Ms(std::stoll(field("wait_ms")));
      const std::string table = field("table");
      for (;;) {
        auto& changes = changes_[table];
        auto it = changes.lower_bound({after + 1, Key()});
        if (it != changes.end() || Steady::now() >= until) {
          json::array rows;
          for (; it != changes.end(); ++it) {
            rows.push_back(Show(table, it->second, rows_[table][it->second]));
          }
          co_return Answer(200, {{"rows", std::move(rows)}});
        }
        asio::steady_timer timer(co_await asio::this_coro::executor, until);
        waiting_.insert(&timer);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        waiting_.erase(&timer);
      }
    }
    co_return Reply(404, {});
  }
  Response Transact(const std::string& body) {
    const json::object tx = json::parse(body).as_object();
    const auto list = [&](const char* name) {
      const auto* value = tx.if_contains(name);
      return value == nullptr ? json::array() : value->as_array();
    };
    const json::array expected = list("expect_rev");
    const json::array writes = list("writes");
    const json::array removes = list("remove");
    std::size_t entries = expected.size() + writes.size() + removes.size();
    if (entries > 100 || body.size() > 1'000'000) return Answer(400, {});
    for (const auto& it : writes) {
      const auto& row = it.as_object();
      const std::size_t size = RawSize(Text(row, "value"));
      if (size <= kRowBytes) continue;
      if (refused == 0 || refused % 100 == 0) {
        record_.Write("store: 400, row " + Text(row, "table") + "/" + Text(row, "key") + " has " +
                      std::to_string(size) + " bytes, more than row_bytes " +
                      std::to_string(kRowBytes));
      }
      ++refused;
      refused_bytes = std::max(refused_bytes, size);
      return Answer(400, {});
    }
    bool holds = true;
    json::array present;
    const auto key_of = [](const json::object& row) {
      return Key{Text(row, "part"), Text(row, "key")};
    };
    for (const auto& it : expected) {
      const auto& want = it.as_object();
      auto& table = rows_[Text(want, "table")];
      const auto row = table.find(key_of(want));
      const bool there = row != table.end() && !row->second.removed;
      if (there) present.push_back(Show(Text(want, "table"), row->first, row->second));
      holds = holds && (there ? row->second.ver : 0) == static_cast<std::uint64_t>(Int(want, "ver"));
    }
    if (!holds) return Answer(412, {{"rows", std::move(present)}});
    ++ver_;
    for (const auto& it : writes) {
      const auto& row = it.as_object();
      Write(Text(row, "table"), key_of(row), Text(row, "value"), false);
    }
    for (const auto& it : removes) {
      const auto& row = it.as_object();
      auto& table = rows_[Text(row, "table")];
      const auto there = table.find(key_of(row));
      if (there != table.end() && !there->second.removed) {
        Write(Text(row, "table"), key_of(row), "", true);
      }
    }
    Wake();
    return Answer(200, {});
  }

  Record& record_;
  std::uint64_t ver_ = 0;
  std::map<std::string, std::map<Key, Row>> rows_;
  std::map<std::string, std::set<std::pair<std::uint64_t, Key>>> changes_;
  std::set<asio::steady_timer*> waiting_;
  std::vector<std::unique_ptr<Server>> servers_;
};

// What a run does.
struct Work {
  Ms time{100};
  std::string how = "done";
  bool lasts = false;
};

class Executor {
 public:
  struct Settings {
    std::string id;
    std::string machine;
    std::string service = "work";
    std::string rack = "r1";
    std::int64_t cpu = 32000;
    std::int64_t mem_mb = 65536;
    std::int64_t max_hold_ms = 10000;
    std::int64_t stop_ms = 200;
  };
  struct Hooks {
    std::function<Work(const std::string& task, std::int64_t run, const std::string& spec)> work;
    std::function<void(Executor&, const std::string& task, std::int64_t run)> started;
    std::function<void(Executor&, const std::string& task, std::int64_t run,
                       const std::string& how)>
        ended;
    // The end has been taken note of.
    std::function<void(Executor&, const std::string& task, std::int64_t run,
                       const std::string& how)>
        noted;
    // Absent to carry the call out; otherwise the call is not answered, and is carried out so much
    // later, or never.
    std::function<std::optional<Ms>(Executor&, const std::string& path, const json::object& call)>
        late;
  };

  Executor(asio::io_context& io, const std::string& ip, Settings settings, Hooks& hooks,
           Store& store)
      : io_(io), settings_(std::move(settings)), hooks_(hooks), store_(store),
        server_(io, ip, [this](Request request) { return Handle(std::move(request)); }) {
    Begin();
    asio::co_spawn(io_, Beat(), asio::detached);
    asio::co_spawn(io_, CheckLease(), asio::detached);
  }
  const Settings& settings() const { return settings_; }
  std::string address() const { return server_.address(); }
  std::size_t running() const { return running_.size(); }
  bool runs(const std::string& task) const { return running_.count(task) > 0; }

  // All that runs ends with the life; the next one starts under the same id after `down`.
  void Restart(Ms down) {
    up_ = false;
    ++life_;
    for (const auto& [task, run] : running_) {
      if (hooks_.ended) hooks_.ended(*this, task, run.number, "crash");
    }
    running_.clear();
    Wake();
    asio::co_spawn(
        io_,
        [this, down]() -> Task<void> {
          co_await Sleep(down);
          Begin();
        },
        asio::detached);
  }
  // While cut off, no call arrives or is answered.
  void SetCut(bool cut) { cut_ = cut; Wake(); }

 private:
  struct Run {
    std::int64_t number = 0;
    Steady::time_point since;
    Work work;
  };
  struct End {
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };

  void Begin() {
    up_ = true;
    ++life_;
    born_ = UnixMs();
    began_ = Steady::now();
    token_ = 0;
    lease_ = 0;
    next_end_ = 1;
    ends_.clear();
    ended_run_.clear();
    PutEntry();
  }
  std::int64_t Clock() const {
    return std::chrono::duration_cast<Ms>(Steady::now() - began_).count();
  }
  void PutEntry() {
    const json::object entry{
        {"service", settings_.service}, {"addr", server_.address()}, {"zone", "z1"},
        {"version", "1"}, {"slots", 8}, {"state", "ready"}, {"cold_left_ms", 0},
        {"seq", ++seq_}, {"born", born_}, {"machine", settings_.machine},
        {"labels", json::array{"a", settings_.rack}},
        {"capacity",
         json::object{{"cpu", settings_.cpu}, {"mem_mb", settings_.mem_mb}, {"gpu", 0}}}};
    store_.Put("servers", settings_.id, json::serialize(entry));
  }
  Task<void> Beat() {
    for (;;) {
      co_await Sleep(Ms(1500));
      if (up_ && !cut_) PutEntry();
    }
  }
  Task<void> CheckLease() {
    for (;;) {
      co_await Sleep(Ms(20));
      if (!up_ || running_.empty() || Clock() <= lease_) continue;
      while (!running_.empty()) {
        const std::string task = running_.begin()->first;
        EndRun(task, running_.begin()->second.number, "lapsed");
      }
    }
  }
  Response Answer(int status, json::object body) const {
    body["clock_ms"] = Clock();
    body["born"] = born_;
    return Reply(status, body);
  }
  void Wake() {
    for (auto* it : waiting_) it->cancel();
  }
  void EndRun(const std::string& task, std::int64_t run, const std::string& how) {
    const auto it = running_.find(task);
    if (it == running_.end() || it->second.number != run) return;
    running_.erase(it);
    ended_run_[task] = std::max(ended_run_[task], run);
    ends_[next_end_++] = End{task, run, how};
    if (hooks_.ended) hooks_.ended(*this, task, run, how);
    Wake();
  }
  Task<std::optional<Response>> Handle(Request request) {
    const int life = life_;
    if (!up_ || cut_) co_return std::nullopt;
    const std::string path(request.target());
    const json::object call = json::parse(request.body()).as_object();
    if (request["X-Expect-Instance"] != settings_.id) co_return Answer(421, {});
    if (hooks_.late) {
      if (const auto late = hooks_.late(*this, path, call)) {
        if (late->count() > 0) {
          asio::co_spawn(
              io_,
              [this, path, call, time = *late, life]() -> Task<void> {
                co_await Sleep(time);
                if (up_ && life == life_) (void)Obey(path, call);
              },
              asio::detached);
        }
        // The caller gets no answer; its connection stays open until it gives up.
        co_await Sleep(Ms(4000));
        co_return std::nullopt;
      }
    }
    if (path == "/api/hold") {
      std::optional<Response> refused = Obey(path, call);
      if (refused) co_return refused;
      const auto until = Steady::now() + Ms(std::min<std::int64_t>(2000, Int(call, "wait_ms")));
      while (ends_.empty() && Steady::now() < until && life == life_ && !cut_) {
        asio::steady_timer timer(co_await asio::this_coro::executor, until);
        waiting_.insert(&timer);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        waiting_.erase(&timer);
      }
      if (life != life_ || cut_ || !up_) co_return std::nullopt;
      co_return Answer(200, Lists());
    }
    co_return Obey(path, call);
  }
  json::object Lists() const {
    json::array running;
    for (const auto& [task, run] : running_) {
      const auto ran = std::chrono::duration_cast<Ms>(Steady::now() - run.since).count();
      const std::int64_t percent =
          std::min<std::int64_t>(run.work.lasts ? 100 : 99,
                                 ran * 100 / std::max<std::int64_t>(1, run.work.time.count()));
      running.push_back(json::array{task, run.number, "", percent, 100});
    }
    json::array ended;
    for (const auto& [number, end] : ends_) {
      if (ended.size() == 500) break;
      ended.push_back(json::array{number, end.task, end.run, end.how, ""});
    }
    return {{"running", std::move(running)}, {"ended", std::move(ended)}};
  }
  // Carries a call out. For /api/hold, absent unless it is refused.
  std::optional<Response> Obey(const std::string& path, const json::object& call) {
    const std::int64_t token = Int(call, "fencing_token");
    if (token < token_) return Answer(409, {{"reason", "fence"}});
    token_ = token;
    const std::int64_t deadline = Int(call, "deadline_ms");
    lease_ = std::max(lease_, std::min(deadline, Clock() + settings_.max_hold_ms));
    const std::string task = Text(call, "task");
    const std::int64_t run = Int(call, "run");
    if (path == "/api/hold") {
      const std::int64_t seen = Int(call, "seen_upto");
      while (!ends_.empty() && ends_.begin()->first <= seen) {
        const End& end = ends_.begin()->second;
        if (hooks_.noted) hooks_.noted(*this, end.task, end.run, end.how);
        ends_.erase(ends_.begin());
      }
      return std::nullopt;
    }
    if (path == "/api/run-start") {
      if (deadline <= Clock()) return Answer(409, {{"reason", "late"}});
      const auto there = running_.find(task);
      if (there != running_.end() && there->second.number == run) return Answer(200, {});
      if (there != running_.end()) return Answer(409, {{"reason", "old"}});
      if (const auto it = ended_run_.find(task); it != ended_run_.end() && run <= it->second) {
        return Answer(409, {{"reason", "old"}});
      }
      Run& now = running_[task];
      now = Run{run, Steady::now(), hooks_.work(task, run, Text(call, "spec"))};
      if (hooks_.started) hooks_.started(*this, task, run);
      if (!now.work.lasts) {
        asio::co_spawn(
            io_,
            [this, task, run, life = life_, work = now.work]() -> Task<void> {
              co_await Sleep(work.time);
              if (life == life_) EndRun(task, run, work.how);
            },
            asio::detached);
      }
      return Answer(200, {});
    }
    if (path == "/api/run-stop") {
      ended_run_[task] = std::max(ended_run_[task], run);
      asio::co_spawn(
          io_,
          [this, task, run, life = life_]() -> Task<void> {
            co_await Sleep(Ms(settings_.stop_ms / 2));
            if (life == life_) EndRun(task, run, "stopped");
          },
          asio::detached);
      return Answer(200, {});
    }
    return Answer(200, {});
  }

  asio::io_context& io_;
  const Settings settings_;
  Hooks& hooks_;
  Store& store_;
  bool up_ = false;
  bool cut_ = false;
  int life_ = 0;
  std::int64_t born_ = 0;
  Steady::time_point began_;
  std::int64_t token_ = 0;
  std::int64_t lease_ = 0;
  std::int64_t seq_ = 0;
  std::int64_t next_end_ = 1;
  std::map<std::string, Run> running_;
  std::map<std::int64_t, End> ends_;
  std::map<std::string, std::int64_t> ended_run_;
  std::set<asio::steady_timer*> waiting_;
  Server server_;
};

// The machine service. No machine of these scripts leaves its pool.
class Cloud {
 public:
  Cloud(asio::io_context& io, const std::string& ip, std::vector<std::unique_ptr<Executor>>& all)
      : all_(all), server_(io, ip, [this](Request request) { return Handle(std::move(request)); }) {}
  std::string address() const { return server_.address(); }

 private:
  Task<std::optional<Response>> Handle(Request request) {
    if (request.method() == http::verb::post) co_return Reply(200, {});
    json::array machines;
    for (const auto& it : all_) {
      const auto& s = it->settings();
      machines.push_back(json::object{
          {"machine", s.machine}, {"pool", s.service}, {"state", "up"}, {"zone", "z1"},
          {"labels", json::array{"a", s.rack}},
          {"capacity", json::object{{"cpu", s.cpu}, {"mem_mb", s.mem_mb}, {"gpu", 0}}},
          {"id", s.id}});
    }
    co_return Reply(200, {{"machines", std::move(machines)}, {"next_token", ""}});
  }

  std::vector<std::unique_ptr<Executor>>& all_;
  Server server_;
};

// A daemon, started as the deploy file says.
class Daemon {
 public:
  std::string front, ready;
  int starts = 0;

  Daemon(std::filesystem::path folder, std::string name, std::string ip, std::string settings)
      : folder_(std::move(folder)), name_(std::move(name)), ip_(std::move(ip)),
        settings_(std::move(settings)) {
    // The listeners stay bound together, so that all ports differ.
    asio::io_context io;
    const Tcp::endpoint any(asio::ip::make_address(ip_), 0);
    Tcp::acceptor a(io, any), b(io, any), c(io, any);
    front = ip_ + ":" + std::to_string(a.local_endpoint().port());
    ready = ip_ + ":" + std::to_string(b.local_endpoint().port());
    metrics_ = c.local_endpoint().port();
  }
  ~Daemon() { Kill(); }
  const std::string& name() const { return name_; }

  void Start() {
    const auto file = folder_ / (name_ + ".toml");
    std::ofstream(file) << "node = \"" << name_ << "\"\nrole = \"entry\"\nclass = \"front\"\n"
                        << "serves = [\"front\"]\nip = \"" << ip_
                        << "\"\nzone = \"z1\"\nregion = \"r\"\n"
                        << settings_ << "[listen]\nfront = \"" << front << "\"\nready = \""
                        << ready << "\"\n";
    const std::string log = (folder_ / (name_ + "." + std::to_string(++starts) + ".log")).string();
    const std::string port = std::to_string(metrics_);
    pid_ = fork();
    if (pid_ == 0) {
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 1024; ++fd) close(fd);
      execl("target/apps/daemon/sapphirewheeld", "target/apps/daemon/sapphirewheeld",
            "--deployment-file", file.c_str(), "--metrics-port", port.c_str(), nullptr);
      _exit(127);
    }
  }
  void Signal(int number) {
    if (pid_ > 0) kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // How the process ended by itself, or empty.
  std::string Ended() {
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return "";
    pid_ = -1;
    return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit " + std::to_string(WEXITSTATUS(status));
  }
  bool up() const { return pid_ > 0; }
  // Resident memory in MiB.
  double MemoryMib() const {
    if (pid_ <= 0) return 0;
    std::ifstream statm("/proc/" + std::to_string(pid_) + "/statm");
    std::int64_t size = 0, resident = 0;
    statm >> size >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576.0;
  }

 private:
  std::filesystem::path folder_;
  std::string name_, ip_, settings_;
  int metrics_ = 0;
  pid_t pid_ = -1;
};

struct CallResult {
  int status = 0;  // 0: no answer
  std::string body;
};

inline Task<CallResult> CallOnce(std::string address, Request request) {
  const auto colon = address.find(':');
  Tcp::socket socket(co_await asio::this_coro::executor);
  co_await socket.async_connect(
      Tcp::endpoint(asio::ip::make_address(address.substr(0, colon)),
                    static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))),
      asio::use_awaitable);
  request.prepare_payload();
  co_await http::async_write(socket, request, asio::use_awaitable);
  beast::flat_buffer buffer;
  Response response;
  co_await http::async_read(socket, buffer, response, asio::use_awaitable);
  co_return CallResult{static_cast<int>(response.result_int()), response.body()};
}

inline Task<CallResult> Call(std::string address, Request request, Ms timeout) {
  using namespace asio::experimental::awaitable_operators;
  asio::steady_timer timer(co_await asio::this_coro::executor, timeout);
  try {
    auto result = co_await (CallOnce(std::move(address), std::move(request)) ||
                            timer.async_wait(asio::use_awaitable));
    if (result.index() == 0) co_return std::get<0>(result);
  } catch (const std::exception&) {
  }
  co_return CallResult{};
}

// A small deployment: entry VMs, the store, the machine service and executors of one service.
class Deployment {
 public:
  static constexpr int kMemoryMb = 260;

  // The last `of_second` executors belong to a second service with a queue of its own.
  Deployment(std::string case_folder, int daemons, int executors, Executor::Settings like = {},
             int of_second = 0)
      : second(of_second > 0), record((std::filesystem::path(case_folder) / "record.txt").string()) {
    signal(SIGPIPE, SIG_IGN);
    std::string pattern = (std::filesystem::temp_directory_path() / "review3-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
    folder = pattern;
    const int pid = getpid();
    ip = "127." + std::to_string(60 + pid / 62500 % 40) + "." + std::to_string(1 + pid / 250 % 250) +
         "." + std::to_string(1 + pid % 250);
    store = std::make_unique<Store>(io, ip, record, daemons);
    cloud = std::make_unique<Cloud>(io, ip, all);
    for (int n = 1; n <= executors; ++n) {
      Executor::Settings one = like;
      one.id = "i-" + std::to_string(n);
      one.machine = "m-" + std::to_string(n);
      one.rack = "r" + std::to_string(1 + n % 2);
      if (n > executors - of_second) one.service = "second";
      all.push_back(std::make_unique<Executor>(io, ip, one, hooks, *store));
    }
    // Figures of a small deployment, as in DEPLOY.md.
    const auto settings = [&](int n) {
      return std::string(
        "port_range = [7000,7015]\nbootstrap = true\nin_tolerance = false\n"
        "discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1500\norders = \"call\"\n"
        "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\","
        "\"quota\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n"
        "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n"
        "link_mbps = 1000.0\ndisk_mb = 0\n"
        "[bounds]\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\n"
        "grace_s = 6\nloss_slack_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250\n"
        "outer_bound_ms = 5000\nstrict_revoke = true\nrevoke_ms = 5000\nrecovery_s = 12\n"
        "max_hold_ms = 10000\nstop_ms = 200\ngang_wait_ms = 3000\ncancel_ms = 3000\n"
        "visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfar_x = 2\n"
        "checkpoint_s = 0.5\nrestore_ms = 100\nnotice_ms = 4500\nmove_s = 1.5\n"
        "maintenance_s = 2\nenforce_fencing = true\nlease_ms = 3000\nthaw_slack_ms = 300\n"
        "pace_ms = 100\nharm_ms = 4000\n"
        "[platform]\naddr = \"") + store->address(n) +
        "\"\nform = \"table\"\nwrites_per_s = 600\nreads_per_s = 2000\ntx_ms = 8.0\n"
        "partition_writes_s = 150\nrow_bytes = 65536\nacross = false\nhistory_s = 20\n"
        "[cloud]\naddr = \"" + cloud->address() +
        "\"\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n";
    };
    for (int n = 1; n <= daemons; ++n) {
      daemon.push_back(std::make_unique<Daemon>(folder, "front-" + std::to_string(n), ip,
                                                settings(n - 1)));
    }
  }
  ~Deployment() {
    daemon.clear();
    std::error_code ec;
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(folder, ec);
    } else {
      std::cout << "kept " << folder << std::endl;
    }
  }

  // A version of the configuration. Without `with_route` it has no queue.
  void PutConfig(int version, bool with_route = true, int attempts = 2) {
    json::array routes;
    if (with_route) {
      routes.push_back(json::object{{"name", "queue"}, {"host", "jobs.example"},
                                    {"prefix", "/queue/"}, {"service", "work"},
                                    {"public", false}, {"priority", 0}, {"attempts", attempts},
                                    {"stretch", 2.0}, {"target_latency_ms", 600}});
    }
    json::array services{json::object{{"name", "work"}, {"enforces_capacity", false}}};
    if (second) {
      json::object route = routes.at(0).as_object();
      route["name"] = route["service"] = "second";
      route["prefix"] = "/second/";
      routes.push_back(std::move(route));
      services.push_back(json::object{{"name", "second"}, {"enforces_capacity", false}});
    }
    const json::object config{
        {"version", version},
        {"routes", std::move(routes)},
        {"services", std::move(services)},
        {"tenants", json::array{json::object{{"name", "tenant"}, {"weight", 50},
                                             {"api_keys", json::array{"key-1"}}}}},
        {"limits", json::object{{"max_body_bytes", 262144}}}};
    store->Put("op", "config", json::serialize(config));
  }
  Request Make(http::verb method, const std::string& id, const std::string& body = "",
               const std::string& prefix = "/queue/") const {
    Request request{method, prefix + id, 11};
    request.set(http::field::host, "jobs.example");
    request.set(http::field::authorization, "Token key-1");
    request.set("X-Deadline-Ms", "3000");
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    return request;
  }
  // The daemon that owns the fleet by the owner row, or -1.
  int Owner() {
    const std::string row = store->Value("fleet", "fleet", "owner");
    for (std::size_t n = 0; n < daemon.size(); ++n) {
      if (row.find("\"" + daemon[n]->name() + "#") != std::string::npos) return static_cast<int>(n);
    }
    return -1;
  }
  // Sends a call until it has a final answer, to one daemon after the other.
  Task<CallResult> Ask(http::verb method, std::string id, std::string body, int tries) {
    CallResult result;
    for (int n = 0; n < tries; ++n) {
      Daemon& to = *daemon[next_++ % daemon.size()];
      if (!to.up()) {
        co_await Sleep(Ms(50));
        continue;
      }
      result = co_await Call(to.front, Make(method, id, body), Ms(3000));
      if (result.status != 0 && result.status < 500 && result.status != 429) break;
      co_await Sleep(Ms(200));
    }
    co_return result;
  }
  Task<std::string> StateOf(std::string id, int tries = 5) {
    const CallResult result = co_await Ask(http::verb::get, std::move(id), "", tries);
    if (result.status == 410) co_return "gone";
    if (result.status != 200) co_return "no answer (" + std::to_string(result.status) + ")";
    co_return Text(json::parse(result.body).as_object(), "state");
  }
  Task<bool> AwaitReady(Ms timeout) {
    const auto until = Steady::now() + timeout;
    for (const auto& it : daemon) {
      for (;;) {
        Request request{http::verb::get, "/api/ready", 11};
        request.set(http::field::host, "ready");
        const CallResult result = co_await Call(it->ready, request, Ms(500));
        if (result.status == 200) break;
        if (Steady::now() > until) co_return false;
        co_await Sleep(Ms(50));
      }
    }
    co_return true;
  }
  // Runs the scenario to its end and returns its result, 2 if it could not run.
  int Run(std::function<Task<int>()> scenario) {
    int result = 2;
    asio::co_spawn(
        io,
        [&]() -> Task<void> {
          try {
            result = co_await scenario();
          } catch (const std::exception& ex) {
            record.Say(std::string("the case could not run: ") + ex.what());
          }
          io.stop();
        },
        asio::detached);
    asio::steady_timer limit(io, std::chrono::seconds(118));
    limit.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) io.stop();
    });
    io.run();
    for (auto& it : daemon) it->Kill();
    return result;
  }

  const bool second;
  asio::io_context io;
  Record record;
  std::filesystem::path folder;
  std::string ip;
  Executor::Hooks hooks;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Executor>> all;
  std::unique_ptr<Cloud> cloud;
  std::vector<std::unique_ptr<Daemon>> daemon;

 private:
  std::size_t next_ = 0;
};

inline bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace review
