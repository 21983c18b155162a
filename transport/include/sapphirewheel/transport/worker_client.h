#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "sapphirewheel/coordination/worker_report.h"
#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/endpoint.h"

namespace sapphirewheel {

// A client of the backend servers' interface (docs/workers.md) with a thread of its own.
class WorkerClient {
 public:
  struct Settings {
    // When set, all connections are tunnelled through this proxy by HTTP CONNECT.
    std::optional<Endpoint> proxy;
    // Time limit of all calls except the start of a task, which has its own.
    Millis control_timeout{1500};
    Millis connect_timeout{500};
    // A worker accepts 64 connections in total, which all nodes share.
    std::size_t connections_per_worker = 24;
    // Maximum number of calls in progress; further ones are refused without being sent.
    std::size_t max_in_flight = 8192;
    std::size_t max_response_bytes = 64UL * 1024 * 1024;
  };
  // Runs a task on the thread that owns the coordination components.
  using Post = std::function<void(std::function<void()>)>;

  WorkerClient(const Settings& settings, Post post);
  // As Stop().
  ~WorkerClient();
  WorkerClient(const WorkerClient&) = delete;
  WorkerClient& operator=(const WorkerClient&) = delete;

  // Valid for the lifetime of the client. The functions are thread-safe, and each callback is
  // posted exactly once.
  [[nodiscard]] WorkerHooks hooks();

  // Ends all calls, still posting their callbacks, and joins the thread.
  void Stop();

  [[nodiscard]] std::size_t InFlight() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
