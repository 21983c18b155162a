// A small stand-in of the users' platform for the cases review/6 to review/10: the metadata store,
// executors, the service that moves machines, clients, and the processes of the system. It follows
// PROTOCOL.md and DEPLOY.md. Everything listens on loopback addresses. One thread per connection;
// one mutex guards the state of the store, another one that of executors and machines.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace sim {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point kBegin = Clock::now();
inline std::int64_t Now() {
  return std::chrono::duration_cast<Ms>(Clock::now() - kBegin).count();
}
inline std::int64_t UnixNow() {
  return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline void Sleep(std::int64_t ms) { std::this_thread::sleep_for(Ms(ms)); }

// record.txt: what was sent, answered and run.
class Record {
 public:
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.3f ", static_cast<double>(Now()) / 1000);
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
inline Record record;

inline std::string Base64(const std::string& in) {
  static const char* k = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    const std::size_t left = in.size() - i;
    std::uint32_t v = static_cast<unsigned char>(in[i]) << 16;
    if (left > 1) v |= static_cast<unsigned char>(in[i + 1]) << 8;
    if (left > 2) v |= static_cast<unsigned char>(in[i + 2]);
    out += k[v >> 18 & 63];
    out += k[v >> 12 & 63];
    out += left > 1 ? k[v >> 6 & 63] : '=';
    out += left > 2 ? k[v & 63] : '=';
  }
  return out;
}

inline std::string FromBase64(const std::string& in) {
  std::string out;
  std::uint32_t v = 0;
  int bits = 0;
  for (const char c : in) {
    int d = -1;
    if (c >= 'A' && c <= 'Z') d = c - 'A';
    else if (c >= 'a' && c <= 'z') d = c - 'a' + 26;
    else if (c >= '0' && c <= '9') d = c - '0' + 52;
    else if (c == '+') d = 62;
    else if (c == '/') d = 63;
    if (d < 0) continue;
    v = v << 6 | static_cast<std::uint32_t>(d);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(v >> bits & 255);
    }
  }
  return out;
}

inline std::string Unescape(const std::string& in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); ++i) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out += static_cast<char>(std::stoi(in.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += in[i] == '+' ? ' ' : in[i];
    }
  }
  return out;
}

struct Request {
  std::string method, path, body;
  std::map<std::string, std::string> query, headers;  // header names in lower case
  [[nodiscard]] std::string Q(const std::string& name) const {
    const auto it = query.find(name);
    return it == query.end() ? "" : it->second;
  }
  [[nodiscard]] std::string H(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};
struct Response {
  int status = 200;
  std::string body = "{}";
  bool drop = false;  // close the connection without an answer
};
inline Response Json(int status, const json::object& body) {
  return {status, json::serialize(body), false};
}
inline json::object Parse(const std::string& text) {
  json::error_code ec;
  json::value v = json::parse(text, ec);
  return !ec && v.is_object() ? v.get_object() : json::object{};
}
inline std::int64_t Int(const json::object& o, const char* name, std::int64_t fallback = 0) {
  const auto* v = o.if_contains(name);
  if (v == nullptr || !v->is_number()) return fallback;
  json::error_code ec;
  const auto n = v->to_number<std::int64_t>(ec);
  return ec ? fallback : n;
}
inline std::string Text(const json::object& o, const char* name) {
  const auto* v = o.if_contains(name);
  return v != nullptr && v->is_string() ? std::string(v->get_string()) : std::string();
}

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}

// Reads one message; false at the end of the connection.
inline bool ReadMessage(int fd, std::string& buffer, std::string& head, std::string& body,
                        std::int64_t until = 0) {
  const auto more = [&] {
    if (until > 0) {
      pollfd p{fd, POLLIN, 0};
      const std::int64_t left = until - Now();
      if (left <= 0 || ::poll(&p, 1, static_cast<int>(left)) <= 0) return false;
    }
    char chunk[65536];
    const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    buffer.append(chunk, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return false;
  }
  head = buffer.substr(0, end + 2);
  std::size_t length = 0;
  std::string lower = head;
  std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
  const auto at = lower.find("\r\ncontent-length:");
  if (at != std::string::npos) length = std::stoul(lower.substr(at + 17));
  while (buffer.size() < end + 4 + length) {
    if (!more()) return false;
  }
  body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Connections that were opened before this time are silent for good: what arrives on them is neither
// carried out nor answered, and they are not reset. New ones work.
inline std::atomic<std::int64_t> silent_before{-1};

class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  // Returns the port. The object must live until the process ends.
  int Listen(const std::string& ip, Handler handler) {
    handler_ = std::move(handler);
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a = Address(ip, 0);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || ::listen(fd_, 512) != 0) {
      std::fprintf(stderr, "cannot listen on %s\n", ip.c_str());
      std::_Exit(2);
    }
    socklen_t size = sizeof a;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size);
    std::thread([this] { Accept(); }).detach();
    return ntohs(a.sin_port);
  }
  // Connections above `cap` are reset; 0: no cap.
  std::atomic<int> cap{0}, open{0}, most{0}, reset{0};

 private:
  void Accept() {
    while (true) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        Sleep(5);
        continue;
      }
      if (cap > 0 && open >= cap) {
        const linger at_once{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        ::close(fd);
        ++reset;
        continue;
      }
      most = std::max(most.load(), ++open);
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] {
        Serve(fd);
        --open;
      }).detach();
    }
  }
  void Serve(int fd) {
    std::string buffer, head;
    Request request;
    const std::int64_t opened = Now();
    while (ReadMessage(fd, buffer, head, request.body)) {
      if (opened < silent_before) return HoldOpen(fd);
      request.query.clear();
      request.headers.clear();
      const auto first = head.find("\r\n");
      const std::string line = head.substr(0, first);
      const auto a = line.find(' ');
      const auto b = line.rfind(' ');
      request.method = line.substr(0, a);
      std::string target = line.substr(a + 1, b - a - 1);
      const auto mark = target.find('?');
      request.path = target.substr(0, mark);
      if (mark != std::string::npos) {
        std::string rest = target.substr(mark + 1) + "&";
        for (std::size_t at = 0, next; (next = rest.find('&', at)) != std::string::npos;
             at = next + 1) {
          const std::string pair = rest.substr(at, next - at);
          const auto eq = pair.find('=');
          if (eq != std::string::npos) {
            request.query[pair.substr(0, eq)] = Unescape(pair.substr(eq + 1));
          }
        }
      }
      for (std::size_t at = first + 2, next; at < head.size(); at = next + 2) {
        next = head.find("\r\n", at);
        if (next == std::string::npos) break;
        const std::string header = head.substr(at, next - at);
        const auto colon = header.find(':');
        if (colon == std::string::npos) continue;
        std::string name = header.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        auto value = header.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        request.headers[name] = value;
      }
      const Response r = handler_(request);
      if (r.drop) break;
      if (opened < silent_before) return HoldOpen(fd);
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(r.status) +
                           " X\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(r.body.size()) + "\r\n\r\n" + r.body)) {
        break;
      }
    }
    ::close(fd);
  }
  // Until the peer has closed.
  static void HoldOpen(int fd) {
    char chunk[4096];
    while (::recv(fd, chunk, sizeof chunk, 0) > 0) {
    }
    ::close(fd);
  }
  Handler handler_;
  int fd_ = -1;
};

// A call on a new connection; status 0 when there was no answer.
inline Response Call(const std::string& ip, int port, const std::string& method,
                     const std::string& target, const std::string& body,
                     const std::vector<std::string>& headers, std::int64_t timeout) {
  Response none{0, "", true};
  const std::int64_t until = Now() + timeout;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in a = Address(ip, port);
  ::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a);
  pollfd p{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (::poll(&p, 1, static_cast<int>(timeout)) <= 0 ||
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    ::close(fd);
    return none;
  }
  ::fcntl(fd, F_SETFL, 0);
  std::string text = method + " " + target + " HTTP/1.1\r\nConnection: close\r\n";
  for (const auto& it : headers) text += it + "\r\n";
  if (method == "POST") {
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n";
  }
  text += "\r\n" + body;
  std::string buffer, head, answer;
  const bool ok = SendAll(fd, text) && ReadMessage(fd, buffer, head, answer, until);
  ::close(fd);
  if (!ok || head.size() < 12) return none;
  return {std::atoi(head.substr(9, 3).c_str()), answer, false};
}

// The platform's metadata store, with the limits that PROTOCOL.md gives.
class Store {
 public:
  static constexpr std::size_t kMaxEntries = 100;
  static constexpr std::size_t kMaxCall = 1'000'000;
  static constexpr std::size_t kRowBytes = 65536;
  static constexpr std::size_t kPage = 500;

  int Listen(const std::string& ip) {
    return server_.Listen(ip, [this](const Request& it) {
      write_calls += it.path == "/api/rows-tx";
      return Handle(it);
    });
  }
  // A second address, whose writing calls can be lost.
  int ListenTroubled(const std::string& ip) {
    return troubled_.Listen(ip, [this](const Request& it) {
      write_calls += it.path == "/api/rows-tx";
      if (it.path != "/api/rows-tx" || it.body.find("\"table\":\"jobs\"") == std::string::npos ||
          !losing_) {
        return Handle(it);
      }
      // The first one is never carried out, a later one `late_ms_` later if its condition still holds.
      const int n = ++lost_;
      record.Line("disruption: the store does not answer a write of a job (number %d)", n);
      if (n == 1) {
        Sleep(10'000);
        return Response{0, "", true};
      }
      Sleep(late_ms_);
      const Response r = Transact(it.body);
      record.Line("disruption: the store carries out write %d now: %d", n, r.status);
      Sleep(1000);
      return Response{0, "", true};
    });
  }
  void Lose(bool on, std::int64_t late_ms = 6000) {
    late_ms_ = late_ms;
    losing_ = on;
  }
  // Write calls of all machines so far, those that were not answered too.
  std::atomic<int> write_calls{0};
  int lost() const { return lost_; }
  void Put(const std::string& table, const std::string& part, const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(mutex_);
    ++ver_;
    Write({table, part, key}, Base64(value), false);
    changed_.notify_all();
  }
  void Remove(const std::string& table, const std::string& part, const std::string& key) {
    const std::lock_guard lock(mutex_);
    ++ver_;
    Write({table, part, key}, "", true);
    changed_.notify_all();
  }
  std::string Value(const std::string& table, const std::string& part, const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto it = rows_.find({table, part, key});
    return it == rows_.end() || it->second.gone ? "" : FromBase64(it->second.value);
  }
  // Rejected calls by reason, for the report.
  std::map<std::string, int> Rejected() {
    const std::lock_guard lock(mutex_);
    return rejected_;
  }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    std::int64_t ver = 0;
    bool gone = false;
  };

  void Write(const Key& at, std::string value, bool gone) {
    auto& row = rows_[at];
    if (row.ver != 0) by_ver_[std::get<0>(at)].erase(row.ver * 1000 + row_index_[at]);
    row = {std::move(value), ver_, gone};
    const int index = ver_ == last_ver_ ? ++last_index_ : (last_index_ = 0);
    last_ver_ = ver_;
    row_index_[at] = index;
    by_ver_[std::get<0>(at)][ver_ * 1000 + index] = at;
  }
  json::object Show(const Key& at, const Row& row) const {
    json::object shown{{"table", std::get<0>(at)}, {"part", std::get<1>(at)},
                       {"key", std::get<2>(at)},   {"ver", row.ver},
                       {"value", row.value}};
    if (row.gone) shown["tombstone"] = true;
    return shown;
  }
  Response Answer(int status, json::object body) const {
    body["ver"] = ver_;
    body["now_ms"] = Now() + 5'000'000;
    return Json(status, body);
  }
  Response Reject(const std::string& why, std::size_t size) {
    const int n = ++rejected_[why];
    if (n <= 20 || n % 100 == 0) {
      record.Line("store: a call is rejected with 400 (%s, %zu), time %d", why.c_str(), size, n);
    }
    return Answer(400, {});
  }
  Response Handle(const Request& r) {
    if (r.path == "/api/rows-tx") {
      Sleep(6);
      return Transact(r.body);
    }
    if (r.path == "/api/rows-feed") return Feed(r);
    Sleep(2);
    const std::lock_guard lock(mutex_);
    if (r.path == "/api/rows-get") return Read(r);
    if (r.path == "/api/rows-parts") {
      std::set<std::string> parts;
      for (const auto& [at, row] : rows_) {
        if (std::get<0>(at) == r.Q("table") && !row.gone && std::get<1>(at) > r.Q("after")) {
          parts.insert(std::get<1>(at));
        }
      }
      return Answer(200, {{"parts", json::array(parts.begin(), parts.end())}});
    }
    return Answer(400, {});
  }
  static Key At(const json::object& o) { return {Text(o, "table"), Text(o, "part"), Text(o, "key")}; }
  Response Transact(const std::string& body) {
    const json::object tx = Parse(body);
    const std::lock_guard lock(mutex_);
    const auto list = [&](const char* name) {
      const auto* v = tx.if_contains(name);
      return v != nullptr && v->is_array() ? v->get_array() : json::array{};
    };
    const json::array expect = list("expect_rev"), writes = list("writes"), remove = list("remove");
    const std::size_t entries = expect.size() + writes.size() + remove.size();
    if (entries > kMaxEntries) return Reject("entries in a call", entries);
    if (body.size() > kMaxCall) return Reject("bytes in a call", body.size());
    std::set<std::string> parts;
    for (const auto* rows : {&expect, &writes, &remove}) {
      for (const auto& it : *rows) {
        const Key at = At(it.as_object());
        parts.insert(std::get<1>(at));
        const bool foreign = std::get<0>(at) == "op" || std::get<0>(at) == "servers";
        if (foreign && rows != &expect) return Answer(403, {});
      }
    }
    if (parts.size() > 1) return Reject("parts in a call", parts.size());
    for (const auto& it : writes) {
      const std::size_t size = FromBase64(Text(it.as_object(), "value")).size();
      if (size > kRowBytes) return Reject("bytes in a row", size);
    }
    bool holds = true;
    json::array present;
    for (const auto& it : expect) {
      const Key at = At(it.as_object());
      const auto row = rows_.find(at);
      const bool there = row != rows_.end() && !row->second.gone;
      if (there) present.push_back(Show(at, row->second));
      holds = holds && Int(it.as_object(), "ver") == (there ? row->second.ver : 0);
    }
    if (!holds) return Answer(412, {{"rows", std::move(present)}});
    ++ver_;
    for (const auto& it : writes) Write(At(it.as_object()), Text(it.as_object(), "value"), false);
    for (const auto& it : remove) Write(At(it.as_object()), "", true);
    changed_.notify_all();
    return Answer(200, {});
  }
  Response Read(const Request& r) {
    const std::string limit = r.Q("limit");
    const std::size_t page = limit.empty() ? kPage : std::min<std::size_t>(kPage, std::stoul(limit));
    json::array rows;
    bool more = false;
    std::size_t bytes = 0;
    for (auto it = rows_.lower_bound({r.Q("table"), r.Q("part"), r.Q("from")}); it != rows_.end();
         ++it) {
      const auto& [table, part, key] = it->first;
      if (table != r.Q("table") || part != r.Q("part")) break;
      if (!r.Q("to").empty() && key >= r.Q("to")) break;
      if (it->second.gone) continue;
      if (rows.size() >= page || bytes > kMaxCall) {
        more = true;
        break;
      }
      bytes += it->second.value.size();
      rows.push_back(Show(it->first, it->second));
    }
    json::object body{{"rows", std::move(rows)}};
    if (more) body["more_pages"] = true;
    return Answer(200, body);
  }
  Response Feed(const Request& r) {
    const std::int64_t after = std::stoll(r.Q("after"));
    const auto until = Clock::now() + Ms(std::stoll("0" + r.Q("wait_ms")));
    Sleep(2);
    std::unique_lock lock(mutex_);
    while (true) {
      auto& changes = by_ver_[r.Q("table")];
      auto it = changes.lower_bound((after + 1) * 1000);
      if (it != changes.end() || Clock::now() >= until) {
        json::array rows;
        for (; it != changes.end(); ++it) rows.push_back(Show(it->second, rows_[it->second]));
        return Answer(200, {{"rows", std::move(rows)}});
      }
      changed_.wait_until(lock, until);
    }
  }

  Server server_, troubled_;
  std::atomic<bool> losing_{false};
  std::atomic<std::int64_t> late_ms_{6000};
  std::atomic<int> lost_{0};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::map<Key, int> row_index_;
  std::map<std::string, std::map<std::int64_t, Key>> by_ver_;
  std::int64_t ver_ = 0, last_ver_ = 0;
  int last_index_ = 0;
  std::map<std::string, int> rejected_;
};

// Executors, one life of a machine each, and the service that moves and maintains machines. The
// spec of a job is "MS": its tasks end `done` after so many milliseconds; "last" runs until stopped.
class Fleet {
 public:
  struct Settings {
    std::string ip;
    std::vector<std::string> services;
    int machines_per_service = 4;
    std::int64_t cpu = 32000;
    std::int64_t max_hold_ms = 10'000;
    std::int64_t stop_ms = 100;
    std::int64_t maintenance_ms = 2000;
    std::int64_t move_ms = 1500;
    int connections = 0;  // of each executor at most; 0: no limit
  };
  struct Start {
    std::int64_t at;
    std::string task, machine;
    std::int64_t run;
  };

  Fleet(Store& store, Settings settings) : store_(store), settings_(std::move(settings)) {}

  // Returns the port of the machine service.
  int Listen() {
    for (const auto& service : settings_.services) {
      for (int n = 0; n < settings_.machines_per_service; ++n) {
        auto owned = std::make_unique<Machine>();
        Machine& m = *owned;
        m.name = "m-" + service + "-" + std::to_string(n);
        m.pool = service;
        m.rack = "r" + std::to_string(n / 4);
        m.server.cap = settings_.connections;
        m.port = m.server.Listen(settings_.ip, [this, &m](const Request& r) { return Order(m, r); });
        machines_[m.name] = std::move(owned);
      }
    }
    {
      const std::lock_guard lock(mutex_);
      for (auto& [name, m] : machines_) Join(*m);
    }
    std::thread([this] { Run(); }).detach();
    return service_.Listen(settings_.ip, [this](const Request& r) { return Service(r); });
  }
  std::vector<std::string> Machines(const std::string& pool = "") {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (auto& [name, m] : machines_) {
      if (pool.empty() || m->pool == pool) names.push_back(name);
    }
    return names;
  }
  // The operator asks for a wave.
  void Wave(int number, const std::vector<std::string>& machines, double deadline_s, int ceiling) {
    json::array names(machines.begin(), machines.end());
    {
      const std::lock_guard lock(mutex_);
      for (const auto& it : machines) waves_[number].insert(it);
    }
    store_.Put("op", "", "wave/" + std::to_string(number),
               json::serialize(json::object{{"wave", number},
                                            {"machines", std::move(names)},
                                            {"deadline_s", deadline_s},
                                            {"ceiling", ceiling}}));
  }
  std::vector<Start> Starts() {
    const std::lock_guard lock(mutex_);
    return starts_;
  }
  // Number of starts, of ends `done`, and of these that were taken note of, of tasks whose names
  // begin so.
  struct Counts {
    int started = 0, done = 0, noted = 0;
  };
  Counts Count(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    Counts c;
    for (const auto& it : starts_) c.started += it.task.rfind(prefix, 0) == 0;
    for (const auto& it : done_) c.done += it.rfind(prefix, 0) == 0;
    for (const auto& it : noted_) c.noted += it.rfind(prefix, 0) == 0;
    return c;
  }
  // The fewest connections that an executor has.
  int LeastConnections() {
    const std::lock_guard lock(mutex_);
    int least = 1 << 30;
    for (auto& [name, m] : machines_) least = std::min(least, m->server.open.load());
    return least;
  }
  // Writes how many connections the executors have.
  void RecordConnections() {
    const std::lock_guard lock(mutex_);
    for (auto& [name, m] : machines_) {
      record.Line("executors: %s has %d connections, had %d at most, and has reset %d above its limit", name.c_str(),
                  m->server.open.load(), m->server.most.load(), m->server.reset.load());
    }
  }
  // Number of runs of tasks whose names begin so.
  int Running(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    int n = 0;
    for (auto& [name, m] : machines_) {
      for (const auto& [task, run] : m->running) n += task.rfind(prefix, 0) == 0;
    }
    return n;
  }
  // The part of a service's capacity that is in use.
  double Used(const std::string& pool) {
    const std::lock_guard lock(mutex_);
    double runs = 0, all = 0;
    for (auto& [name, m] : machines_) {
      if (m->pool != pool || m->state != "up") continue;
      runs += static_cast<double>(m->running.size());
      all += 1;
    }
    return all == 0 ? 1 : runs / all;
  }
  std::set<int> upkeeps_begun;

 private:
  struct RunState {
    std::int64_t run, began, ends;  // ends 0: lasts
    std::int64_t stop_at = 0;
  };
  struct Machine {
    std::string name, pool, rack, state = "up", id;
    Server server;
    int port = 0;
    std::int64_t born = 0, clock_base = 0, lease = 0, token = 0, order_token = 0, back_at = 0;
    std::map<std::string, RunState> running;
    std::map<std::string, std::int64_t> ended_run;
    std::map<std::int64_t, json::array> ended;
    std::int64_t next_end = 1;
    std::set<int> waves_done;
    int wave = 0;
  };

  std::int64_t ClockOf(const Machine& m) const { return Now() - m.clock_base; }
  void Join(Machine& m) {
    m.id = "i-" + std::to_string(++next_id_) + "-" + m.name;
    m.born = UnixNow();
    m.clock_base = Now() - 1000;
    m.lease = m.token = 0;
    m.running.clear();
    m.ended_run.clear();
    m.ended.clear();
    m.next_end = 1;
    m.state = "up";
    store_.Put("servers", "", m.id,
               json::serialize(json::object{
                   {"service", m.pool},
                   {"addr", settings_.ip + ":" + std::to_string(m.port)},
                   {"zone", "bern-a"},
                   {"version", "1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"seq", 1},
                   {"machine", m.name},
                   {"born", m.born},
                   {"capacity", {{"cpu", settings_.cpu}, {"mem_mb", 65536}, {"gpu", 0}}},
                   {"labels", {"a", m.rack}}}));
  }
  void Leave(Machine& m, const std::string& state, std::int64_t back_in) {
    store_.Remove("servers", "", m.id);
    m.id.clear();
    m.running.clear();
    m.state = state;
    m.back_at = Now() + back_in;
    changed_.notify_all();
  }
  void End(Machine& m, const std::string& task, std::int64_t run, const std::string& how) {
    m.running.erase(task);
    m.ended_run[task] = std::max(m.ended_run[task], run);
    m.ended[m.next_end] = {m.next_end, task, run, how, ""};
    ++m.next_end;
    if (how == "done") done_.push_back(task);
    if (verbose) record.Line("%s: %s run %ld ended %s", m.name.c_str(), task.c_str(), run, how.c_str());
    changed_.notify_all();
  }
  void Run() {
    while (true) {
      Sleep(3);
      const std::lock_guard lock(mutex_);
      for (auto& [name, it] : machines_) {
        Machine& m = *it;
        if (m.state != "up" && Now() >= m.back_at) {
          Join(m);
          continue;
        }
        const bool lapsed = ClockOf(m) > m.lease;
        std::vector<std::tuple<std::string, std::int64_t, std::string>> ends;
        for (const auto& [task, run] : m.running) {
          if (lapsed) ends.emplace_back(task, run.run, "lapsed");
          else if (run.stop_at > 0 && Now() >= run.stop_at) ends.emplace_back(task, run.run, "stopped");
          else if (run.ends > 0 && Now() >= run.ends) ends.emplace_back(task, run.run, "done");
        }
        for (const auto& [task, run, how] : ends) End(m, task, run, how);
      }
    }
  }
  Response Say(const Machine& m, int status, json::object body) const {
    body["clock_ms"] = ClockOf(m);
    return Json(status, body);
  }
  Response No(const Machine& m, const char* reason) const { return Say(m, 409, {{"reason", reason}}); }
  void Extend(Machine& m, const json::object& order) const {
    const std::int64_t until = Int(order, "deadline_ms");
    m.lease = std::max(m.lease, std::min(until, ClockOf(m) + settings_.max_hold_ms));
  }
  Response Order(Machine& m, const Request& r) {
    const json::object order = Parse(r.body);
    std::unique_lock lock(mutex_);
    if (m.id.empty()) return {0, "", true};
    const std::string expected = r.H("x-expect-instance");
    if (!expected.empty() && expected != m.id) return Say(m, 421, {});
    const std::string id = m.id;
    const std::int64_t token = Int(order, "fencing_token");
    if (token < m.token) return No(m, "fence");
    m.token = token;
    const std::string task = Text(order, "task");
    const std::int64_t run = Int(order, "run");
    if (r.path == "/api/run-start") {
      const bool late = Int(order, "deadline_ms") <= ClockOf(m);
      Extend(m, order);
      const auto it = m.running.find(task);
      if (it != m.running.end() && it->second.run == run) return Say(m, 200, {});
      if (it != m.running.end() && it->second.run > run) return No(m, "old");
      const auto ended = m.ended_run.find(task);
      if (ended != m.ended_run.end() && run <= ended->second) return No(m, "old");
      if (late) return No(m, "late");
      if (it != m.running.end()) End(m, task, it->second.run, "stopped");
      const std::string spec = Text(order, "spec");
      m.running[task] = {run, Now(), spec == "last" ? 0 : Now() + std::atoll(spec.c_str())};
      starts_.push_back({Now(), task, m.name, run});
      if (verbose) record.Line("%s: %s run %ld started, token %ld", m.name.c_str(), task.c_str(), run, token);
      changed_.notify_all();
      return Say(m, 200, {});
    }
    if (r.path == "/api/run-stop") {
      const auto it = m.running.find(task);
      if (it != m.running.end() && it->second.run == run) {
        if (it->second.stop_at == 0) it->second.stop_at = Now() + settings_.stop_ms;
      } else {
        m.ended_run[task] = std::max(m.ended_run[task], run);
      }
      return Say(m, 200, {});
    }
    if (r.path == "/api/pace") return Say(m, 200, {});
    if (r.path != "/api/hold") return Say(m, 400, {});
    if (order.contains("deadline_ms")) Extend(m, order);
    const std::int64_t seen = Int(order, "seen_upto");
    while (!m.ended.empty() && m.ended.begin()->first <= seen) {
      const auto& end = m.ended.begin()->second;
      if (end[3].as_string() == "done") noted_.push_back(std::string(end[1].as_string()));
      m.ended.erase(m.ended.begin());
    }
    const auto until = Clock::now() + Ms(std::min<std::int64_t>(2000, Int(order, "wait_ms")));
    while (m.id == id && m.ended.empty() && Clock::now() < until) changed_.wait_until(lock, until);
    if (m.id != id) return {0, "", true};
    json::array running, ended;
    for (const auto& [name, it] : m.running) {
      const std::int64_t whole = it.ends - it.began;
      const std::int64_t percent =
          it.ends == 0 ? (Now() - it.began > 300 ? 100 : 10)
                       : std::min<std::int64_t>(99, whole <= 0 ? 99 : (Now() - it.began) * 100 / whole);
      running.push_back(json::array{name, it.run, "", percent, 100});
    }
    for (const auto& [n, end] : m.ended) {
      if (ended.size() >= 500) break;
      ended.push_back(end);
    }
    return Say(m, 200, {{"running", std::move(running)}, {"ended", std::move(ended)}, {"born", m.born}});
  }
  Response Service(const Request& r) {
    const std::lock_guard lock(mutex_);
    if (r.path == "/api/machines") {
      json::array rows;
      for (auto& [name, m] : machines_) {
        rows.push_back(json::object{{"machine", name},
                                    {"pool", m->pool},
                                    {"state", m->state},
                                    {"zone", "bern-a"},
                                    {"labels", {"a", m->rack}},
                                    {"capacity", {{"cpu", settings_.cpu}, {"mem_mb", 65536}, {"gpu", 0}}},
                                    {"id", m->id}});
      }
      return Json(200, {{"machines", std::move(rows)}});
    }
    const json::object order = Parse(r.body);
    const auto it = machines_.find(Text(order, "machine"));
    if (it == machines_.end()) return Json(400, {});
    Machine& m = *it->second;
    const std::int64_t token = std::atoll(r.H("x-fencing-token").c_str());
    if (token < m.order_token) return Json(409, {{"reason", "fence"}});
    m.order_token = token;
    record.Line("machines: %s %s, token %ld from %s", r.path.c_str(), r.body.c_str(), token,
                r.H("x-duty-holder").c_str());
    if (r.path == "/api/machine-move") {
      const std::string pool = Text(order, "pool");
      if (pool == m.pool) return Json(200, {});
      if (m.state != "up") return Json(409, {{"reason", "busy"}});
      m.pool = pool;
      Leave(m, "moving", settings_.move_ms);
      return Json(200, {});
    }
    const int wave = static_cast<int>(Int(order, "wave"));
    if (waves_[wave].count(m.name) == 0) return Json(409, {{"reason", "wave"}});
    if (m.waves_done.count(wave) > 0) return Json(200, {});
    if (m.state != "up") return Json(409, {{"reason", "busy"}});
    m.waves_done.insert(wave);
    upkeeps_begun.insert(wave);
    Leave(m, "upkeep", settings_.maintenance_ms);
    return Json(200, {});
  }

 public:
  bool verbose = true;

 private:
  Store& store_;
  const Settings settings_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::map<int, std::set<std::string>> waves_;
  std::vector<Start> starts_;
  std::vector<std::string> done_, noted_;
  Server service_;
  int next_id_ = 0;
};

// The processes of the system, started with the command of deploy/system.toml. The platform starts
// a process again after a short delay, and kills one that exceeds `memory_mb`.
class System {
 public:
  // `first_platform`, if set, is the address of the store for the first machine.
  System(std::string ip_prefix, int nodes, std::string platform, std::string cloud,
         int memory_mb = 260, std::string first_platform = "")
      : prefix_(std::move(ip_prefix)), platform_(std::move(platform)), cloud_(std::move(cloud)),
        first_platform_(std::move(first_platform)), memory_mb_(memory_mb) {
    char pattern[] = "/tmp/review2-XXXXXX";
    if (::mkdtemp(pattern) == nullptr) std::_Exit(2);
    folder_ = pattern;
    nodes_.resize(static_cast<std::size_t>(nodes));
  }
  ~System() { End(); }
  std::string Ip(int n) const { return prefix_ + std::to_string(n + 1); }
  std::string Name(int n) const { return "front-bern-a-" + std::to_string(n + 1); }
  // The first machine starts so much later.
  std::int64_t first_later = 0;
  void StartAll() {
    for (int n = 1; n < static_cast<int>(nodes_.size()); ++n) Start(n);
    Sleep(first_later);
    Start(0);
    watch_ = std::thread([this] { Watch(); });
  }
  void Start(int n) {
    const std::string file = folder_ + "/node-" + std::to_string(n) + ".toml";
    std::ofstream(file) << Settings(n);
    std::vector<std::string> words = Command();
    for (auto& it : words) {
      if (it == "/etc/sapphirewheel/node.toml") it = file;
    }
    const std::string log = folder_ + "/log-" + std::to_string(n) + "." + std::to_string(++starts_);
    Node& node = nodes_[static_cast<std::size_t>(n)];
    std::vector<char*> args;
    for (auto& it : words) args.push_back(it.data());
    args.push_back(nullptr);
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execv(args[0], args.data());
      ::_exit(127);
    }
    node.pid = pid;
    node.logs.push_back(log);
    record.Line("platform: %s started, process %d", Name(n).c_str(), pid);
  }
  // SIGKILL; the process is back after `down` ms.
  void Kill(int n, std::int64_t down) {
    const std::lock_guard lock(mutex_);
    Node& node = nodes_[static_cast<std::size_t>(n)];
    if (node.pid <= 0) return;
    ::kill(node.pid, SIGKILL);
    ::waitpid(node.pid, nullptr, 0);
    node.pid = 0;
    node.start_at = Now() + down;
    record.Line("disruption: %s killed, back after %ld ms", Name(n).c_str(), down);
  }
  void Signal(int n, int signal) {
    const std::lock_guard lock(mutex_);
    const Node& node = nodes_[static_cast<std::size_t>(n)];
    if (node.pid > 0) ::kill(node.pid, signal);
    record.Line("disruption: signal %d to %s", signal, Name(n).c_str());
  }
  bool AwaitReady(std::int64_t timeout) {
    const std::int64_t until = Now() + timeout;
    for (int n = 0; n < static_cast<int>(nodes_.size());) {
      if (Now() > until) return false;
      if (Call(Ip(n), 8343, "GET", "/api/ready", "", {"Host: x"}, 500).status == 200) {
        ++n;
      } else {
        Sleep(50);
      }
    }
    return true;
  }
  // A client's call to a node; retries as clients do are the caller's matter.
  Response Client(int n, const std::string& method, const std::string& path,
                  const std::string& body = "", std::int64_t deadline = 3000) {
    const Response r = Call(Ip(n), 8340, method, path, body,
                            {"Host: jobs.example", "Authorization: Token key-of-one",
                             "X-Deadline-Ms: " + std::to_string(deadline)},
                            deadline);
    if (verbose) {
      record.Line("client: %s %s at %s -> %d %s", method.c_str(), path.c_str(), Name(n).c_str(),
                  r.status, r.body.substr(0, 160).c_str());
    }
    return r;
  }
  // Hands a job in at one node after another until it is accepted.
  bool Submit(const std::string& path, const std::string& body, std::int64_t timeout = 10'000) {
    const std::int64_t until = Now() + timeout;
    for (int n = 0; Now() < until; ++n) {
      const int status = Client(n % nodes(), "POST", path, body).status;
      if (status / 100 == 2) return true;
      Sleep(200);
    }
    return false;
  }
  std::string State(const std::string& path) {
    for (int n = 0; n < nodes(); ++n) {
      const Response r = Client(n, "GET", path);
      if (r.status == 200) return Text(Parse(r.body), "state");
      if (r.status == 410) return "gone";
    }
    return "";
  }
  bool AwaitState(const std::string& path, const std::string& state, std::int64_t timeout) {
    const std::int64_t until = Now() + timeout;
    while (Now() < until) {
      if (State(path) == state) return true;
      Sleep(300);
    }
    return false;
  }
  // Number of open connections of a process, for the record.
  int Sockets(int n) {
    const std::lock_guard lock(mutex_);
    int count = 0;
    std::error_code ec;
    const std::string folder = "/proc/" + std::to_string(nodes_[static_cast<std::size_t>(n)].pid) + "/fd";
    for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
      const std::string target = std::filesystem::read_symlink(it.path(), ec).string();
      count += target.rfind("socket:", 0) == 0;
    }
    return count;
  }
  int nodes() const { return static_cast<int>(nodes_.size()); }
  int NodeOf(const std::string& holder) const {
    for (int n = 0; n < nodes(); ++n) {
      if (holder.rfind(Name(n) + "#", 0) == 0) return n;
    }
    return -1;
  }
  int ends_by_itself = 0, over_memory = 0;
  std::int64_t peak_kb = 0;
  bool verbose = true;

  void End() {
    if (ended_.exchange(true)) return;
    if (watch_.joinable()) watch_.join();
    const std::lock_guard lock(mutex_);
    for (Node& node : nodes_) {
      if (node.pid <= 0) continue;
      ::kill(node.pid, SIGKILL);
      ::waitpid(node.pid, nullptr, 0);
      node.pid = 0;
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::error_code ec;
      std::filesystem::remove_all(folder_, ec);
    } else {
      std::printf("logs in %s\n", folder_.c_str());
    }
  }

 private:
  struct Node {
    pid_t pid = 0;
    std::int64_t start_at = 0;
    std::vector<std::string> logs;
  };
  // The words of `run` in the deploy file.
  static std::vector<std::string> Command() {
    std::ifstream file("deploy/system.toml");
    std::vector<std::string> words;
    for (std::string line; std::getline(file, line);) {
      if (line.rfind("run = \"", 0) != 0) continue;
      line = line.substr(7, line.rfind('"') - 7);
      for (std::size_t at = 0, next; at < line.size(); at = next + 1) {
        next = std::min(line.find(' ', at), line.size());
        words.push_back(line.substr(at, next - at));
      }
    }
    if (words.empty() || ::access(words[0].c_str(), X_OK) != 0) {
      std::fprintf(stderr, "the program of the deploy file is not built\n");
      std::_Exit(2);
    }
    return words;
  }
  std::string Settings(int n) const {
    return "node = \"" + Name(n) + "\"\nrole = \"entry\"\nclass = \"front\"\nserves = [\"front\"]\nip = \"" +
           Ip(n) + "\"\nzone = \"bern-a\"\nregion = \"ch-mittelland\"\nport_range = [7000,7015]\n"
           "seeds = []\nbootstrap = true\nin_tolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
           "heartbeat_ms = 1500\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\","
           "\"tenants\",\"quota\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"call\"\n"
           "[zones]\nbern-a = \"ch-mittelland\"\n[listen]\nfront = \"" + Ip(n) + ":8340\"\nready = \"" +
           Ip(n) + ":8343\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = " +
           std::to_string(memory_mb_) + "\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
           "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\n"
           "reuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\n"
           "grace_s = 6\nloss_slack_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250\n"
           "outer_bound_ms = 5000\nstrict_revoke = true\nrevoke_ms = 5000\nquota_window_s = 5\n"
           "quota_over = 0.1\nquota_slack = 20\nrecovery_s = 12\nmax_hold_ms = 10000\nstop_ms = 200\n"
           "gang_wait_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n"
           "status_s = 120\nfar_x = 2\ncheckpoint_s = 0.5\nrestore_ms = 100\nnotice_ms = 4500\n"
           "move_s = 1.5\nmaintenance_s = 2\nenforce_fencing = true\nlease_ms = 3000\n"
           "thaw_slack_ms = 300\npace_ms = 100\nharm_ms = 4000\n[platform]\naddr = \"" +
           (n == 0 && !first_platform_.empty() ? first_platform_ : platform_) +
           "\"\nform = \"table\"\nwrites_per_s = 600\nreads_per_s = 2000\ntx_ms = 8.0\n"
           "partition_writes_s = 150\nrow_bytes = 65536\nacross = false\nhistory_s = 20\n"
           "blob_bytes = 8388608\nblob_ms = 25.0\nblob_mb_s = 80.0\n[cloud]\naddr = \"" + cloud_ +
           "\"\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n";
  }
  static std::int64_t ResidentKb(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind("VmRSS:", 0) == 0) return std::atoll(line.c_str() + 6);
    }
    return 0;
  }
  // Starts processes again, and kills those that exceed their memory.
  void Watch() {
    while (!ended_) {
      Sleep(20);
      const std::lock_guard lock(mutex_);
      for (int n = 0; n < nodes(); ++n) {
        Node& node = nodes_[static_cast<std::size_t>(n)];
        if (node.pid > 0) {
          int status = 0;
          if (::waitpid(node.pid, &status, WNOHANG) == node.pid) {
            record.Line("platform: %s ended by itself, status %d", Name(n).c_str(), status);
            ++ends_by_itself;
            node.pid = 0;
            node.start_at = Now() + 1000;
            continue;
          }
          const std::int64_t kb = ResidentKb(node.pid);
          peak_kb = std::max(peak_kb, kb);
          if (kb > static_cast<std::int64_t>(memory_mb_) * 1024) {
            record.Line("platform: %s uses %ld kB, more than memory_mb = %d, and is killed",
                        Name(n).c_str(), kb, memory_mb_);
            ::kill(node.pid, SIGKILL);
            ::waitpid(node.pid, nullptr, 0);
            ++over_memory;
            node.pid = 0;
            node.start_at = Now() + 1000;
          }
        } else if (node.start_at > 0 && Now() >= node.start_at) {
          node.start_at = 0;
          Start(n);
        }
      }
    }
  }

  const std::string prefix_, platform_, cloud_, first_platform_;
  const int memory_mb_;
  std::string folder_;
  std::mutex mutex_;
  std::vector<Node> nodes_;
  std::atomic<bool> ended_{false};
  std::thread watch_;
  int starts_ = 0;
};

// A prefix of loopback addresses that no other run uses at the same time.
inline std::string LoopbackPrefix() {
  const int pid = ::getpid();
  return "127." + std::to_string(64 + pid / 250 % 120) + "." + std::to_string(1 + pid % 250) + ".";
}

inline json::object Route(const std::string& name, const std::string& service, int limit = 500) {
  return {{"name", name},   {"host", "jobs.example"}, {"prefix", "/" + name + "/"},
          {"service", service}, {"public", false},    {"priority", 0},
          {"attempts", 4},  {"stretch", 1.6},         {"target_latency_ms", limit}};
}
inline void PutConfig(Store& store, int version, const json::array& routes,
                      const std::vector<std::string>& services) {
  json::array rows;
  for (const auto& it : services) rows.push_back(json::object{{"name", it}, {"enforces_capacity", false}});
  store.Put("op", "", "config",
            json::serialize(json::object{
                {"version", version},
                {"routes", routes},
                {"services", std::move(rows)},
                {"limits", {{"max_body_bytes", 262144}}},
                {"tenants",
                 {json::object{{"name", "one"},
                               {"api_keys", json::array{"key-of-one"}},
                               {"weight", 50.0},
                               {"ceiling", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}}}}));
  record.Line("operator: configuration %d is acknowledged", version);
}
inline std::string Id(int n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                0x5c0e7a21d94b0000ULL + static_cast<unsigned long long>(n) +
                    (static_cast<unsigned long long>(n % 16) << 60));
  return text;
}
inline std::string Body(const std::string& spec, int count, int cpu, int estimate,
                        const json::object& more = {}) {
  json::object body{{"spec", spec},
                    {"steps", {json::object{{"count", count}, {"cpu", cpu}, {"mem_mb", 64},
                                            {"estimate_ms", estimate}}}}};
  for (const auto& it : more) body[it.key()] = it.value();
  return json::serialize(body);
}

}  // namespace sim
