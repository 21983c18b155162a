#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "http_connection.h"
#include "pending_reply.h"
#include "socket_io.h"

namespace sapphirewheel {

// Time limit from the first byte of a request to its last once the server is stopping.
inline constexpr Millis kDrainReadTimeout{1000};

// Accepting and stopping are in http_server.cc, the handling of requests in http_requests.cc.
struct HttpServer::Impl {
  using Connection = HttpConnection;
  using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  // How the reading of a request ended, and what is replied when it is not complete.
  struct ReadEnd {
    bool complete = false;
    std::optional<HttpReply> reply;
  };

  Impl(Settings given, Handler given_handler);

  Result<Endpoint> Start();
  void StopAccepting();
  void CloseAcceptor(int tries);
  Task<void> CloseAcceptorLater(int tries);
  void CloseIdle();
  void Abandon(const HttpReply& reply);
  void Stop();
  Task<void> AcceptLoop(Unfinished unfinished);
  [[nodiscard]] bool HasRoom() const;
  // Ends a connection in favour of a new one; false when none can be ended.
  bool MakeRoom();
  void Admit(Tcp::socket socket);
  Task<void> Refuse(Tcp::socket socket, Unfinished unfinished);
  Task<void> Serve(Tcp::socket socket, Unfinished unfinished);
  Task<bool> ServeOne(Connection& connection, const std::string& remote);
  Task<bool> Answer(Connection& connection, const std::string& remote);
  // Waits for the first byte of a request; false when the connection is to be closed instead.
  Task<bool> AwaitRequest(Connection& connection);
  Task<ReadEnd> ReadRequest(Connection& connection, RequestParser& parser);
  // Reads into the parser until its header or the whole message is complete.
  Task<SystemError> ReadUntil(Connection& connection, RequestParser& parser, ReadGoal goal);
  void ArmHeaderDeadline(Connection& connection);
  void ArmBodyDeadline(Connection& connection);
  // Parses buffered bytes; `ec` is need_more when more have to be read.
  void Parse(Connection& connection, RequestParser& parser, ReadGoal goal, SystemError& ec);
  // Counts what a request that is being read holds. Returns false when the request has to end; then
  // its connection has the refusal.
  [[nodiscard]] bool Account(Connection& connection, RequestParser& parser);
  [[nodiscard]] bool Hold(Connection& connection, std::size_t bytes);
  // Ends the request of another connection.
  void EndStalled(RequestId request);
  // Reports why a request is not complete, and returns the reply to it, if it gets one.
  std::optional<HttpReply> ExplainEnd(const Connection& connection, const SystemError& ec,
                                      bool header_done);
  void Report(Refusal refusal) const {
    if (settings.on_refusal) settings.on_refusal(refusal);
  }
  Task<HttpReply> Handle(HttpRequest request);
  Task<bool> Write(Connection& connection, const HttpReply& reply, bool keep_alive, bool head_only);

  const Settings settings;
  const Handler handler;
  std::shared_ptr<boost::asio::io_context> context = std::make_shared<boost::asio::io_context>(1);
  std::unique_ptr<Tcp::acceptor> acceptor;
  std::atomic<bool> draining = false;
  std::atomic<bool> accepting = true;
  std::atomic<bool> idle_closed = false;
  std::atomic<std::size_t> active = 0;
  std::atomic<std::size_t> open = 0;
  const ConnectionListRef connections = std::make_shared<ConnectionList>();
  std::size_t refusing = 0;
  // Open connections that are being ended in favour of new ones.
  std::size_t ending = 0;
  std::atomic<std::size_t> max_body_bytes;
  // Shared, as connections may be destroyed after the server.
  const std::shared_ptr<RequestBudget> budget;
  // Requests that wait for the handler's reply, and the reply that they and further ones get when
  // they are abandoned. Used on the server's thread only.
  std::set<PendingReply*> waiting;
  std::optional<HttpReply> abandon_reply;
  std::thread thread;
};

}  // namespace sapphirewheel
