#pragma once

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/integration/process.h"
#include "tests/standins/http.h"

namespace sapphirewheel::testing {

struct FleetOptions {
  int data_centres = 2;
  // For each data centre: entry VMs (at most 18) and workers (at most 200).
  int entries = 1;
  int workers = 4;
  int workers_per_rack = 4;
  // When false, tests start the daemons one by one with Start.
  bool start_daemons = true;
  std::vector<std::string> platform_flags;
  std::vector<std::string> backend_flags;
  std::vector<std::string> daemon_flags;
};

// Runs the stand-ins and the daemons of several data centres as processes on loopback addresses.
// Data centre N is named dcN and uses 127.0.N.x, with entry VMs dcN-e1... and workers dcN-w1...;
// the platform uses 127.0.100.1. Every outgoing connection of a daemon or worker passes the fault
// proxy, with the VM (or dcN-workers) as the source name. Member functions throw std::runtime_error
// when a process or a control interface fails. Use it on the main thread; only Call may be used
// from other threads.
class Fleet {
 public:
  explicit Fleet(FleetOptions options = {});
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts the daemon of an entry VM and adds the VM to the platform's list. A restarted daemon
  // listens on its previous ports.
  void Start(const std::string& vm);
  void Kill(const std::string& vm);
  // SIGSTOP and SIGCONT.
  void Freeze(const std::string& vm);
  void Thaw(const std::string& vm);
  // Sends SIGTERM. Returns the exit status, or nothing when the daemon still runs after `timeout`.
  std::optional<int> Stop(const std::string& vm, std::chrono::milliseconds timeout);
  // Kills the daemon of `vm`, removes the VM from the list and starts a new VM in its place.
  void Replace(const std::string& vm, const std::string& new_vm);

  // Sends a caller's or operator's request to a daemon.
  [[nodiscard]] HttpOutcome Call(
      const std::string& vm, HttpRequest request,
      std::chrono::milliseconds timeout = std::chrono::seconds(10)) const;
  // Submits an intent, confirms its plan and returns the outcome of the confirmation, or that of
  // the submission when it fails.
  HttpOutcome Apply(const std::string& vm, const boost::json::object& intent);
  // Waits until every running daemon returns 200 for /readyz; false after `timeout`.
  [[nodiscard]] bool AwaitReady(std::chrono::milliseconds timeout) const;

  // Control interfaces of the stand-ins; `vm` is a worker, or "*" for all workers.
  boost::json::object ControlPlatform(const boost::json::object& body) const;
  boost::json::object ControlProxy(const boost::json::object& body) const;
  void ControlWorker(const std::string& vm, boost::json::object body) const;

  // The event logs of all workers, ordered by time.
  [[nodiscard]] std::vector<boost::json::object> WorkerEvents() const;
  // The committed transactions and the reboot calls, in order.
  [[nodiscard]] std::vector<boost::json::object> Transactions() const;

  // "ip:port" of a worker, or of a daemon's HTTP listener.
  [[nodiscard]] const std::string& Address(const std::string& vm) const;
  [[nodiscard]] const std::string& platform() const { return platform_address_; }
  // "ip:port" of the proxy listener for a source.
  [[nodiscard]] const std::string& ProxyOf(const std::string& source) const;
  [[nodiscard]] const Process& Daemon(const std::string& vm) const;
  [[nodiscard]] std::vector<std::string> entries() const;

 private:
  struct Entry {
    std::string data_centre;
    std::string ip;
    // Source name at the fault proxy; a replacement VM keeps that of the VM it replaced.
    std::string source;
    std::string http;
    std::string peer;
    std::unique_ptr<Process> process;
  };

  std::unique_ptr<Process> Launch(const std::string& name, const char* program,
                                  std::vector<std::string> args,
                                  const std::vector<std::string>& more);
  void StartPlatform();
  void StartProxy();
  void StartWorkers(int data_centre);
  Entry& EntryOf(const std::string& vm);

  FleetOptions options_;
  std::filesystem::path logs_;
  std::unique_ptr<Process> platform_;
  std::string platform_address_;
  std::unique_ptr<Process> proxy_;
  std::map<std::string, std::string> proxies_;
  std::map<std::string, std::unique_ptr<Process>> backends_;
  // Control address by data centre.
  std::map<std::string, std::string> backend_controls_;
  std::map<std::string, std::string> workers_;
  std::map<std::string, Entry> entries_;
};

}  // namespace sapphirewheel::testing
