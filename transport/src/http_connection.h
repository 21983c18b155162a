#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "request_budget.h"
#include "sapphirewheel/transport/http_server.h"
#include "socket_io.h"

namespace sapphirewheel {

struct HttpConnection;

// The open connections of a server, on its thread. Shared, as connections may be destroyed after
// the server.
struct ConnectionList {
  // The connection to end in favour of a new one: the oldest request that is not complete, then the
  // oldest connection that has never carried a request, then the one that has been idle for the
  // longest time. Null when all are too recent or wait for a reply.
  [[nodiscard]] HttpConnection* FindExpendable(RequestBudget::Time now) const;
  [[nodiscard]] HttpConnection* Find(RequestId request) const;

  std::set<HttpConnection*> all;
  // What may still need a reply: connections, and the loop that accepts them.
  std::atomic<std::size_t> unfinished = 0;
};
using ConnectionListRef = std::shared_ptr<ConnectionList>;

// Counts as unfinished until Finish or the end of the object.
class Unfinished {
 public:
  explicit Unfinished(ConnectionListRef list) : list_(std::move(list)) { ++list_->unfinished; }
  ~Unfinished() { Finish(); }
  Unfinished(Unfinished&&) noexcept = default;
  Unfinished& operator=(Unfinished&&) = delete;
  void Finish() {
    if (const auto list = std::exchange(list_, nullptr)) --list->unfinished;
  }

 private:
  ConnectionListRef list_;
};

// An accepted connection, for the life of the coroutine that serves it.
struct HttpConnection {
  HttpConnection(Tcp::socket accepted, Unfinished open, ConnectionListRef list)
      : socket(std::move(accepted)),
        deadline(socket.get_executor()),
        unfinished(std::move(open)),
        connections(std::move(list)) {
    connections->all.insert(this);
    deadline.SetCancel([this] {
      SystemError ignored;
      socket.cancel(ignored);
    });
  }
  ~HttpConnection() { connections->all.erase(this); }
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Whether bytes of a request have arrived that are not yet handled.
  [[nodiscard]] bool HasInput() {
    SystemError ec;
    return buffer.size() > 0 || (socket.available(ec) > 0 && !ec);
  }

  // Frees the memory of the buffer when it is empty.
  void ReleaseBuffer() {
    if (buffer.size() == 0) buffer.shrink_to_fit();
  }

  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  OperationDeadline deadline;
  Unfinished unfinished;
  ConnectionListRef connections;
  // Waits for a request to begin.
  bool idle = false;
  // A request has begun and is not complete.
  bool reading = false;
  // When the wait, or the request that is being read, began.
  RequestBudget::Time since;
  // A request has been read completely.
  bool served = false;
  // The request that has begun, as the budget knows it.
  RequestId request{};
  // Bytes of its body, and what they and their framing took on the wire.
  std::size_t body_bytes = 0;
  std::size_t wire_bytes = 0;
  // Estimate of what the parsed header holds.
  std::size_t field_bytes = 0;
  // Why the server ends the request or the connection.
  std::optional<Refusal> refusal;
};

}  // namespace sapphirewheel
