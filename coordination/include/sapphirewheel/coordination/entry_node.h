#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "sapphirewheel/coordination/admission_controller.h"
#include "sapphirewheel/coordination/caller_call.h"
#include "sapphirewheel/coordination/fleet_owner.h"
#include "sapphirewheel/coordination/fleet_ports.h"

namespace sapphirewheel {

// One entry VM on the users' platform: serves callers, follows the configuration, and takes the
// ownership of the fleet when no other node holds it. All nodes are equal and communicate only
// through the table service. Not thread-safe.
class EntryNode {
 public:
  struct Settings {
    NodeId self;
    AdmissionController::Settings admission;
    FleetLease::Settings lease;
    FleetOwner::Settings owner;
    // Maximum age of the confirmation of evacuations at which an owner places anything; absent if
    // the deployment gives no bound.
    std::optional<Millis> evacuation_max_age;
    // Maximum age of the counts of waiting jobs that callers are given.
    Millis waiting_freshness{2500};
    // What submissions may hold together while they wait for the table service, by estimate; 0 for
    // no limit.
    std::size_t max_submission_bytes = 0;
  };
  using Respond = std::function<void(const CallerReply&)>;

  EntryNode(Settings settings, FleetPorts ports);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  // To be called about every 20 ms.
  void Tick(MonotonicTime now);
  void Handle(const CallerCall& call, Respond respond);
  // Begins a planned stop: releases the ownership, but serves callers until the process ends.
  void BeginStop();

  [[nodiscard]] bool Ready(MonotonicTime now) const;
  [[nodiscard]] bool owner() const noexcept;
  // The limit of bodies by the configuration in force, or its default while none is known.
  [[nodiscard]] std::size_t MaxBodyBytes() const;
  // Number of data centres whose evacuation is requested, as far as this node knows.
  [[nodiscard]] std::size_t EvacuatedDataCentres() const;
  // Number of tasks that run there, as the owner sees it; 0 on the other nodes.
  [[nodiscard]] int EvacuatedTasks() const;
  // Number of jobs, by pool, that the owner defers because there is no room for them to be in time.
  // Empty on other nodes.
  [[nodiscard]] std::map<PoolId, int> DeferredJobs() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
