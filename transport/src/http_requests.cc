#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/status.hpp>
#include <chrono>
#include <exception>

#include "http_server_impl.h"
#include "request_parsing.h"

namespace sapphirewheel {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Size of a read at the beginning of a request and later in a large body.
constexpr std::size_t kFirstRead = 4UL * 1024;
constexpr std::size_t kLargeRead = 16UL * 1024;

std::string EncodeHead(const HttpReply& reply, bool keep_alive) {
  const auto reason = http::obsolete_reason(http::int_to_status(reply.status));
  std::string head = "HTTP/1.1 " + std::to_string(reply.status) + " " + std::string(reason);
  constexpr int kNoContent = 204;
  if (reply.status != kNoContent) {
    head += "\r\nContent-Type: " + reply.content_type;
    head += "\r\nContent-Length: " + std::to_string(reply.body.size());
  }
  for (const auto& [name, value] : reply.headers) {
    if ((name + value).find_first_of("\r\n") == std::string::npos) {
      head.append("\r\n").append(name).append(": ").append(value);
    }
  }
  head += keep_alive ? "\r\nConnection: keep-alive" : "\r\nConnection: close";
  return head + "\r\n\r\n";
}

// Counts as an open request from its creation to its end.
class RequestTicket {
 public:
  RequestTicket(std::shared_ptr<RequestBudget> budget, HttpConnection& connection)
      : budget_(std::move(budget)), connection_(connection) {
    connection_.request = budget_->Open(connection_.since);
  }
  ~RequestTicket() { Close(); }
  RequestTicket(const RequestTicket&) = delete;
  RequestTicket& operator=(const RequestTicket&) = delete;
  void Close() { budget_->Close(connection_.request); }

 private:
  std::shared_ptr<RequestBudget> budget_;
  HttpConnection& connection_;
};

// What a request holds besides its buffers and its body: the coroutine, timers and replies.
constexpr std::size_t kRequestOverhead = 4096;
// What a header field, a trailer or a query parameter holds besides its text.
constexpr std::size_t kFieldOverhead = 128;

std::size_t FieldBytes(const http::fields& fields) {
  std::size_t bytes = 0;
  for (const auto& it : fields) {
    bytes += kFieldOverhead + it.name_string().size() + it.value().size();
  }
  return bytes;
}

// Estimate of what a request holds that was read completely.
std::size_t HeldBytes(const HttpRequest& request) {
  std::size_t bytes = kRequestOverhead + request.target.capacity() + request.path.capacity() +
                      request.body.capacity();
  for (const auto& [name, value] : request.headers) {
    bytes += kFieldOverhead + name.size() + value.size();
  }
  for (const auto& [name, value] : request.query) {
    bytes += kFieldOverhead + name.size() + value.size();
  }
  return bytes;
}

HttpReply MemoryFullReply() {
  constexpr Millis kRetryAfter{1000};
  return ProblemReply(Error{ErrorKind::kOverloaded, "too much is being received at the moment",
                            "retry later or send the request to another node", RunState::kNotRun,
                            kRetryAfter});
}

// The refusal that an error of the parser or of the time limit stands for, if any.
std::optional<Refusal> RefusalOf(const SystemError& ec, bool header_done) {
  if (ec == asio::error::timed_out) {
    return header_done ? Refusal::kBodyTooSlow : Refusal::kHeaderTooSlow;
  }
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    return Refusal::kHeaderTooLarge;
  }
  if (ec == http::error::body_limit) return Refusal::kBodyTooLarge;
  return std::nullopt;
}

// Empty when the connection is closed without a reply.
std::optional<HttpReply> RefusalReply(Refusal refusal) {
  switch (refusal) {
    case Refusal::kHeaderTooLarge:
      return ProblemReplyWithStatus(431, "the request header is too large",
                                    "send fewer or shorter headers");
    case Refusal::kBodyTooLarge:
      return ProblemReplyWithStatus(413, "the request body is too large", "send a smaller body");
    case Refusal::kMemoryFull:
      return MemoryFullReply();
    case Refusal::kConnectionsFull:
    case Refusal::kEndedForConnection:
      return std::nullopt;
    case Refusal::kHeaderTooSlow:
    case Refusal::kBodyTooSlow:
    case Refusal::kEndedForMemory:
      break;
  }
  return ProblemReplyWithStatus(408,
                                "the request was not received completely within the time limit",
                                "send the whole request without pauses");
}

bool IsDisconnect(const SystemError& ec) {
  return ec.category() == asio::error::get_system_category() && ec != asio::error::timed_out;
}

}  // namespace

Task<void> HttpServer::Impl::Refuse(Tcp::socket socket, Unfinished unfinished) {
  constexpr Millis kRetryAfter{1000};
  Connection connection(std::move(socket), std::move(unfinished), connections);
  const HttpReply reply = ProblemReply(Error{
      ErrorKind::kOverloaded, "too many connections are open",
      "reuse connections and retry later, or use another node", RunState::kNotRun, kRetryAfter});
  const bool written = co_await Write(connection, reply, false, false);
  if (written) {
    co_await LingeringClose(connection.socket, connection.deadline);
  }
  --refusing;
}

Task<void> HttpServer::Impl::Serve(Tcp::socket socket, Unfinished unfinished) {
  SystemError ec;
  const auto peer = socket.remote_endpoint(ec);
  const std::string remote = ec ? std::string() : peer.address().to_string();
  Connection connection(std::move(socket), std::move(unfinished), connections);
  bool reusable = true;
  while (reusable) {
    reusable = co_await ServeOne(connection, remote);
  }
  connection.socket.close(ec);
  if (connection.refusal == Refusal::kEndedForConnection) --ending;
  --open;
}

Task<bool> HttpServer::Impl::AwaitRequest(Connection& connection) {
  connection.since = Clock::now();
  if (connection.buffer.size() > 0) co_return true;
  connection.ReleaseBuffer();
  SystemError ec = asio::error::timed_out;
  if (!idle_closed) {
    connection.deadline.Arm(settings.idle_timeout);
    connection.idle = true;
    ec = co_await ReadSome(connection.socket, connection.buffer, connection.deadline, kFirstRead);
    connection.idle = false;
  }
  if (connection.refusal) co_return false;
  // A request may have arrived as the wait was ended.
  if (ec && connection.HasInput()) {
    connection.deadline.Arm(settings.read_timeout);
    ec = co_await ReadSome(connection.socket, connection.buffer, connection.deadline, kFirstRead);
  }
  connection.since = Clock::now();
  co_return !ec;
}

// Handles one request; returns whether the connection can carry another one.
Task<bool> HttpServer::Impl::ServeOne(Connection& connection, const std::string& remote) {
  const bool begun = co_await AwaitRequest(connection);
  if (!begun) co_return false;
  ++active;
  const bool reusable = co_await Answer(connection, remote);
  --active;
  if (!reusable && connection.refusal != Refusal::kEndedForConnection) {
    // Closing with unread input could destroy the reply.
    if (!connection.HasInput()) connection.unfinished.Finish();
    co_await LingeringClose(connection.socket, connection.deadline);
  }
  co_return reusable;
}

// Reads and answers the request that has begun to arrive; returns whether the connection can carry
// another one.
Task<bool> HttpServer::Impl::Answer(Connection& connection, const std::string& remote) {
  RequestTicket ticket(budget, connection);
  std::optional<RequestParser> parser(std::in_place);
  connection.reading = true;
  const ReadEnd end = co_await ReadRequest(connection, *parser);
  connection.reading = false;
  if (!end.complete) {
    // The reply may have to wait for the caller, who must not hold the memory meanwhile.
    parser.reset();
    connection.buffer.consume(connection.buffer.size());
    connection.ReleaseBuffer();
    ticket.Close();
    if (end.reply) {
      co_await Write(connection, *end.reply, false, false);
    }
    co_return false;
  }
  connection.served = true;
  const bool keep_alive = parser->keep_alive();
  auto request = ToRequest(parser->release(), remote);
  parser.reset();
  connection.ReleaseBuffer();
  if (!request) {
    const HttpReply reply =
        ProblemReplyWithStatus(400, "the request target is malformed",
                               "send an absolute path with valid percent-encoding");
    co_await Write(connection, reply, false, false);
    co_return false;
  }
  if (!Hold(connection, HeldBytes(*request) + connection.buffer.capacity())) {
    request.reset();
    Report(Refusal::kMemoryFull);
    const HttpReply reply = MemoryFullReply();
    co_await Write(connection, reply, false, false);
    co_return false;
  }
  budget->Complete(connection.request);
  const bool head_only = request->method == "HEAD";
  const HttpReply reply = co_await Handle(std::move(*request));
  // Requests that were sent together are all answered.
  const bool keep = keep_alive && (!draining || connection.HasInput());
  const bool written = co_await Write(connection, reply, keep, head_only);
  co_return written&& keep;
}

void HttpServer::Impl::ArmHeaderDeadline(Connection& connection) {
  const Millis limit = std::min(settings.header_timeout, settings.read_timeout);
  connection.deadline.Arm(draining ? std::min(limit, kDrainReadTimeout) : limit);
}

// Grows with the body that has arrived, so that a large body may take longer than a small one on a
// slow link, while bytes that trickle in do not keep the connection.
void HttpServer::Impl::ArmBodyDeadline(Connection& connection) {
  constexpr std::size_t kMillisPerSecond = 1000;
  if (draining) return;
  connection.deadline.ArmWhile([&connection, timeout = settings.read_timeout,
                                rate = std::max<std::size_t>(settings.min_body_rate, 1)] {
    const Millis earned(static_cast<std::int64_t>(connection.body_bytes * kMillisPerSecond / rate));
    const auto ends = connection.since + timeout + earned;
    return std::chrono::ceil<Millis>(ends - Clock::now());
  });
}

Task<HttpServer::Impl::ReadEnd> HttpServer::Impl::ReadRequest(Connection& connection,
                                                              RequestParser& parser) {
  connection.body_bytes = 0;
  connection.wire_bytes = 0;
  connection.field_bytes = 0;
  parser.header_limit(static_cast<std::uint32_t>(settings.max_header_bytes));
  parser.body_limit(max_body_bytes.load());
  ArmHeaderDeadline(connection);
  SystemError ec = co_await ReadUntil(connection, parser, ReadGoal::kHeader);
  if (!ec) {
    const std::string header_error = FindHeaderError(parser.get(), parser.get().version());
    if (!header_error.empty()) {
      co_return ReadEnd{
          false, ProblemReplyWithStatus(400, header_error, "send each header once, per RFC 9112")};
    }
    ArmBodyDeadline(connection);
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      std::size_t written = 0;
      ec = co_await WriteAll(connection.socket, "HTTP/1.1 100 Continue\r\n\r\n", "", written,
                             connection.deadline);
    }
  }
  if (!ec) {
    ec = co_await ReadUntil(connection, parser, ReadGoal::kMessage);
  }
  if (!ec && !connection.refusal) co_return ReadEnd{true, std::nullopt};
  co_return ReadEnd{false, ExplainEnd(connection, ec, parser.is_header_done())};
}

std::optional<HttpReply> HttpServer::Impl::ExplainEnd(const Connection& connection,
                                                      const SystemError& ec, bool header_done) {
  // Reported when it was decided.
  if (connection.refusal == Refusal::kEndedForConnection) return std::nullopt;
  const auto refusal = connection.refusal ? connection.refusal : RefusalOf(ec, header_done);
  if (refusal) {
    Report(*refusal);
    return RefusalReply(*refusal);
  }
  if (IsDisconnect(ec) || ec == asio::error::eof) return std::nullopt;
  return ProblemReplyWithStatus(400, "the request is malformed: " + ec.message(),
                                "send valid HTTP/1.1");
}

void HttpServer::Impl::Parse(Connection& connection, RequestParser& parser, ReadGoal goal,
                             SystemError& ec) {
  // A chunk of one byte takes six bytes. More than this is spent on chunk extensions.
  constexpr std::size_t kWirePerBodyByte = 8;
  const std::size_t n = parser.put(connection.buffer.data(), ec);
  connection.buffer.consume(n);
  if (goal == ReadGoal::kMessage) connection.wire_bytes += n;
  if (connection.wire_bytes > kWirePerBodyByte * max_body_bytes + 2 * settings.max_header_bytes) {
    ec = http::error::body_limit;
  } else if (!ec && n == 0) {
    ec = http::error::need_more;
  }
  // What cannot be parsed yet is part of the header, of a chunk's header or of the trailers.
  if (ec == http::error::need_more && connection.buffer.size() > settings.max_header_bytes) {
    ec = http::error::buffer_overflow;
  }
}

Task<SystemError> HttpServer::Impl::ReadUntil(Connection& connection, RequestParser& parser,
                                              ReadGoal goal) {
  parser.eager(goal == ReadGoal::kMessage);
  while (goal == ReadGoal::kHeader ? !parser.is_header_done() : !parser.is_done()) {
    SystemError ec = http::error::need_more;
    if (connection.buffer.size() > 0) Parse(connection, parser, goal, ec);
    if (ec && ec != http::error::need_more) co_return ec;
    if (!Account(connection, parser)) co_return asio::error::timed_out;
    if (!ec) continue;
    // Most requests are small; larger ones are read in fewer steps.
    const std::size_t max_bytes = connection.body_bytes < kLargeRead ? kFirstRead : kLargeRead;
    ec = co_await ReadSome(connection.socket, connection.buffer, connection.deadline, max_bytes);
    if (ec) co_return ec;
  }
  co_return SystemError();
}

bool HttpServer::Impl::Account(Connection& connection, RequestParser& parser) {
  if (connection.refusal) return false;
  std::size_t body_capacity = 0;
  if (parser.is_header_done()) {
    const auto& message = parser.get();
    if (connection.field_bytes == 0 || parser.is_done()) {
      connection.field_bytes = 1 + FieldBytes(message);
    }
    connection.body_bytes = message.body().size();
    // The parser reserves the announced length when it reads the first byte of the body.
    body_capacity =
        std::max<std::size_t>(message.body().capacity(), parser.content_length().value_or(0));
  }
  budget->Received(connection.request, connection.buffer.size() + connection.body_bytes,
                   Clock::now());
  return Hold(connection, kRequestOverhead + connection.buffer.capacity() + connection.field_bytes +
                              body_capacity);
}

bool HttpServer::Impl::Hold(Connection& connection, std::size_t bytes) {
  while (!budget->Hold(connection.request, bytes)) {
    const auto stalled = budget->FindStalled(connection.request, bytes, Clock::now());
    if (!stalled) {
      connection.refusal = Refusal::kMemoryFull;
      return false;
    }
    EndStalled(*stalled);
  }
  return true;
}

void HttpServer::Impl::EndStalled(RequestId request) {
  budget->Close(request);
  Connection* it = connections->Find(request);
  if (it == nullptr || it->refusal) return;
  it->refusal = Refusal::kEndedForMemory;
  it->deadline.Expire();
}

Task<HttpReply> HttpServer::Impl::Handle(HttpRequest request) {
  if (abandon_reply) co_return *abandon_reply;
  asio::steady_timer wakeup_timer(*context);
  wakeup_timer.expires_at(std::chrono::steady_clock::time_point::max());
  auto pending = std::make_shared<PendingReply>();
  pending->wakeup_timer = &wakeup_timer;
  waiting.insert(pending.get());
  auto responder = std::make_shared<Responder>(context, pending);
  try {
    handler(std::move(request),
            [responder](HttpReply reply) { responder->Send(std::move(reply)); });
  } catch (const std::exception&) {
    // The responder sends status 500 when it is destroyed below.
  }
  responder.reset();
  while (!pending->ready) {
    co_await wakeup_timer.async_wait(kAwait);
  }
  pending->wakeup_timer = nullptr;
  waiting.erase(pending.get());
  co_return std::move(pending->reply);
}

Task<bool> HttpServer::Impl::Write(Connection& connection, const HttpReply& reply, bool keep_alive,
                                   bool head_only) {
  connection.deadline.Arm(settings.idle_timeout);
  std::size_t written = 0;
  const std::string head = EncodeHead(reply, keep_alive);
  std::string_view body = reply.body;
  if (head_only) body = {};
  const SystemError ec =
      co_await WriteAll(connection.socket, head, body, written, connection.deadline);
  co_return !ec;
}

}  // namespace sapphirewheel
