#include <algorithm>

#include "sapphirewheel/transport/events.h"

namespace sapphirewheel {
namespace {

constexpr EventLevel kInfo = EventLevel::kInfo;
constexpr EventLevel kWarning = EventLevel::kWarning;
constexpr EventLevel kError = EventLevel::kError;
constexpr const char* kNone = "None.";

std::vector<EventInfo> Catalogue() {
  return {
      {Event::kStarted, kInfo, "started", "The daemon is listening.", kNone},
      {Event::kStopping, kInfo, "stopping", "The daemon is draining and refuses new work.", kNone},
      {Event::kStopped, kInfo, "stopped", "The daemon has finished or handed over its work.",
       kNone},
      {Event::kSettingsInvalid, kError, "settings-invalid", "A setting is invalid.",
       "Correct the named flag or environment variable and start the daemon again."},
      {Event::kIncarnationChanged, kWarning, "incarnation-changed",
       "The node was paused or fenced and registered as a new incarnation.",
       "If this repeats, check the VM for overload or suspension."},
      {Event::kReady, kInfo, "ready",
       "The node is registered and has read the configuration; callers may be sent to it.", kNone},
      {Event::kNodeLate, kWarning, "node-late",
       "The node's thread did not run for the given time; its decisions and replies were delayed.",
       "If this repeats, give the VM more processor time."},
      {Event::kTelemetryDropped, kWarning, "telemetry-dropped",
       "Log lines or spans were dropped because the telemetry queue was full.",
       "Check whether the log destination is slow."},
      {Event::kConfigApplied, kInfo, "config-applied",
       "A configuration version has taken effect on this node.", kNone},
      {Event::kConfigConfirmed, kInfo, "config-confirmed", "An operator's plan was recorded.",
       kNone},
      {Event::kConfigStale, kWarning, "config-stale",
       "A newer configuration version is known but has not been obtained yet.",
       "Check the connections to the platform and to the other daemons."},
      {Event::kSnapshotLoaded, kInfo, "snapshot-loaded",
       "The configuration was loaded from a snapshot.", kNone},
      {Event::kSnapshotWritten, kInfo, "snapshot-written", "A configuration snapshot was stored.",
       kNone},
      {Event::kPlanOutdated, kInfo, "plan-outdated",
       "A plan was rejected because its basis has changed.", "Review and confirm the new plan."},
      {Event::kConfigDelayed, kWarning, "config-delayed",
       "A configuration took long to arrive on this VM's link. Meanwhile the node served calls "
       "only as long as the previous one allowed.",
       "If this repeats, make the configuration smaller or give the VM a faster link."},
      {Event::kKeyGranted, kInfo, "key-granted",
       "A key has been granted and is accepted from now on.", kNone},
      {Event::kKeyWithdrawn, kInfo, "key-withdrawn",
       "A key has been withdrawn and is refused from now on.", kNone},
      {Event::kNotFresh, kWarning, "not-fresh",
       "The node cannot prove that it knows the latest key withdrawals and refuses calls with "
       "keys.",
       "Restore the connection to the platform or to all other daemons."},
      {Event::kFreshAgain, kInfo, "fresh-again", "The node accepts calls with keys again.", kNone},
      {Event::kPlatformUnavailable, kWarning, "platform-unavailable",
       "The platform refuses calls or does not respond to them.",
       "Check the platform; accepted work continues meanwhile."},
      {Event::kPlatformAvailable, kInfo, "platform-available",
       "The platform responds to calls again.", kNone},
      {Event::kTransactionUncertain, kWarning, "transaction-uncertain",
       "The outcome of a transaction could not be determined in time.",
       "If this repeats, check the platform."},
      {Event::kPeerLost, kWarning, "peer-lost", "Heartbeats of another daemon are missing.",
       "Check its VM and the network between the two."},
      {Event::kPeerSeen, kInfo, "peer-seen", "Heartbeats of another daemon are arriving.", kNone},
      {Event::kNodeFenced, kWarning, "node-fenced",
       "A node that stopped sending heartbeats has been fenced; workers refuse its calls.",
       "Check the VM of that node."},
      {Event::kTokensReclaimed, kInfo, "tokens-reclaimed",
       "The tokens of a fenced node have been reclaimed.", kNone},
      {Event::kWorkerOwned, kInfo, "worker-owned",
       "This node owns a worker and starts tasks on it.", kNone},
      {Event::kWorkerLost, kWarning, "worker-lost", "A worker does not respond.",
       "Check the VM, its rack and its switch."},
      {Event::kWorkerQuarantined, kWarning, "worker-quarantined",
       "Tasks of several jobs failed on a worker in a row; it gets no further work.",
       "Inspect the worker and reboot or replace it."},
      {Event::kWorkerRebooted, kInfo, "worker-rebooted",
       "A worker has rebooted: it reports a new boot id.", kNone},
      {Event::kRequestRefused, kInfo, "request-refused", "A request was refused and did not run.",
       "If this repeats, raise the limit or add capacity."},
      {Event::kRequestUnknown, kWarning, "request-unknown",
       "A request was sent to a worker, and its outcome is unknown.",
       "The caller must check whether the request took effect before repeating it."},
      {Event::kJobTakenOver, kInfo, "job-taken-over", "A job of a failed node continues here.",
       kNone},
      {Event::kJobFailed, kWarning, "job-failed", "A job failed because it used up its attempts.",
       "Tell the team the reason given in the event."},
      {Event::kJobCannotRun, kWarning, "job-cannot-run", "A job does not fit on any worker.",
       "Lower the job's size or add a pool that fits it."},
      {Event::kRangeTakenOver, kInfo, "range-taken-over",
       "This node has taken ownership of a range of request identifiers.", kNone},
      {Event::kVmMoved, kInfo, "vm-moved", "A VM was moved to another pool.", kNone},
      {Event::kWaveStarted, kInfo, "wave-started", "A maintenance wave has started.", kNone},
      {Event::kWavePaused, kError, "wave-paused",
       "A maintenance wave was paused because VMs failed verification.",
       "Inspect the named VMs, then submit an intent to resume or cancel the wave."},
      {Event::kWaveFinished, kInfo, "wave-finished",
       "All VMs of a maintenance wave are back in service.", kNone},
      {Event::kVmVerifyFailed, kWarning, "vm-verify-failed",
       "A VM did not come back healthy from its reboot.", "Inspect or replace the VM."},
      {Event::kConnectionsExhausted, kWarning, "connections-exhausted",
       "Callers were refused because too many connections are open.",
       "Raise the limit, or find callers that do not reuse connections."},
      {Event::kRequestTooLarge, kWarning, "request-too-large",
       "Requests were refused because their header or their body is over the limit.",
       "Find the clients; if they are right, raise the limit."},
      {Event::kRequestTooSlow, kWarning, "request-too-slow",
       "Requests were ended because they did not arrive within the time limit.",
       "If the clients are known, check the network between them and this VM."},
      {Event::kRequestMemoryFull, kWarning, "request-memory-full",
       "Requests were refused or ended because open requests hold all of the memory for them.",
       "If the clients are known, add nodes or memory; see docs/OPERATIONS.md."},
      {Event::kConnectionEnded, kWarning, "connection-ended",
       "Unfinished requests or idle connections were ended because new connections needed their "
       "places.",
       "If the clients are known, let them reuse connections or add nodes."},
      {Event::kOwnershipTaken, kInfo, "ownership-taken",
       "This node has become the owner: it places work and runs maintenance.", kNone},
      {Event::kOwnershipLost, kWarning, "ownership-lost",
       "Another node has become the owner; this node no longer places work or runs maintenance.",
       "If this repeats, check the network between this VM and the platform."},
      {Event::kOwnershipEnded, kInfo, "ownership-ended", "This node is no longer the owner.",
       kNone},
      {Event::kOwnerLoaded, kInfo, "owner-loaded", "The owner has loaded the stored state.", kNone},
      {Event::kOwnerFenced, kWarning, "owner-fenced",
       "A backend server saw a higher fencing token than this owner's.", kNone},
      {Event::kFleetLoad, kInfo, "fleet-load",
       "What the owner's pools need and have, and what placement cost in the last second.", kNone},
      {Event::kOwnershipRequested, kInfo, "ownership-requested",
       "A node asks the owner, which is on a much weaker VM, for the ownership, or the owner "
       "follows "
       "such a request.",
       kNone},
      {Event::kContacting, kInfo, "contacting",
       "The owner has not polled all backend servers for the first time yet; it places work on "
       "those that have replied.",
       "If this lasts for many seconds, the VM of the owner is weak for the fleet: give the entry "
       "VMs more processor time."},
      {Event::kContacted, kInfo, "contacted",
       "The owner has polled all backend servers for the first time.", kNone},
      {Event::kCallAccepted, kInfo, "call-accepted", "A job was stored and acknowledged.", kNone},
      {Event::kCallCancelled, kInfo, "call-cancelled", "The cancellation of a job was stored.",
       kNone},
      {Event::kCallRefused, kInfo, "call-refused", "A call was refused; nothing was done.", kNone},
      {Event::kCallUnanswered, kWarning, "call-unanswered",
       "The platform's table service did not respond to a call in time.",
       "Check the table service and the network to it."},
      {Event::kCallGone, kInfo, "call-gone",
       "A call named a job of which neither a row nor progress is stored; it was answered as gone.",
       "If callers report that the job was accepted, compare with the call-accepted and job-ended "
       "events of all nodes."},
      {Event::kJobTaken, kInfo, "job-taken", "The owner schedules a job from now on.", kNone},
      {Event::kJobEnded, kInfo, "job-ended", "A job was completed, failed or was cancelled.",
       kNone},
      {Event::kJobUnreadable, kError, "job-unreadable", "A stored job cannot be decoded.",
       "Restore the row or cancel the job."},
      {Event::kRowTooLarge, kError, "row-too-large",
       "A row is larger than the table service takes and was not written. If it is the progress of "
       "a job, the job failed; other rows keep their last content.",
       "Split the job, or spread the queues or VMs that the row lists over more deployments."},
      {Event::kWriteRejected, kError, "write-rejected",
       "The table service rejected a write of the owner for good; for a second only the ownership "
       "and the start horizon are written.",
       "Compare the rows that are named with the limits of the table service."},
      {Event::kStartRefused, kInfo, "start-refused", "A backend server refused to start a run.",
       kNone},
      {Event::kOccurrencesWait, kWarning, "occurrences-wait",
       "As many occurrences of a job are open as its progress has room for; further ones that are "
       "due wait until one of them has ended.",
       "If it lasts, add backend servers to the pool, or submit the job with a longer interval."},
      {Event::kWriteUnanswered, kWarning, "write-unanswered",
       "A write of the owner had no reply. It is repeated, and so are polls that wait for a "
       "change.",
       "If this repeats, check the table service and the network to it."},
      {Event::kTaskStarted, kInfo, "task-started", "A run of a task was ordered.", kNone},
      {Event::kTaskEnded, kInfo, "task-ended", "A backend server reported the end of a run.",
       kNone},
      {Event::kTaskLost, kWarning, "task-lost",
       "A run was lost: no backend server reported its end.", kNone},
      {Event::kTaskStopped, kInfo, "task-stopped", "A run is being stopped.", kNone},
      {Event::kTaskWaiting, kInfo, "task-waiting",
       "A long-running task has no place; the detail counts the pool's backend servers by reason.",
       "If it lasts, add backend servers to the pool or raise the team's upper limit."},
      {Event::kOverloadBegan, kWarning, "overload-began",
       "A pool has more work than it can finish in time; jobs are deferred so that few are late.",
       "If it lasts or recurs, add backend servers to the pool."},
      {Event::kOverloadEnded, kInfo, "overload-ended",
       "No job of the pool is deferred any more, and none waits that is late.", kNone},
      {Event::kCopyStarted, kInfo, "copy-started",
       "A second run of a task that lasts unusually long was ordered.", kNone},
      {Event::kCopyDone, kInfo, "copy-done",
       "The second run of a task was done before the first one, which is being stopped.", kNone},
      {Event::kInterferenceLearned, kInfo, "interference-learned",
       "Best-effort tasks of an image were learned to slow serving tasks of another one on the "
       "same backend server, or to be harmless to them.",
       "None."},
      {Event::kBackendSeen, kInfo, "backend-seen",
       "A backend server was registered or responds again.", kNone},
      {Event::kBackendSuspect, kWarning, "backend-suspect",
       "A backend server does not respond and gets no new work.",
       "If it stays unreachable, check the backend server and the network to it."},
      {Event::kBackendGone, kInfo, "backend-gone",
       "A backend server has left, was restarted, or did not reply to a new owner until its runs "
       "had ended.",
       kNone},
      {Event::kBackendDraining, kInfo, "backend-draining",
       "A backend server is about to leave and gets no new work.", kNone},
      {Event::kEvacuationBegun, kInfo, "evacuation-begun",
       "The owner starts nothing more in a data centre, on request; the tasks listed still run "
       "there.",
       "If no backend server is there, check the name in the request."},
      {Event::kEvacuationEnded, kInfo, "evacuation-ended",
       "The request to evacuate a data centre was withdrawn; work starts there again.", kNone},
      {Event::kMaintenance, kInfo, "maintenance", "A VM of a maintenance wave changed its state.",
       kNone},
      {Event::kSettingsReloaded, kInfo, "settings-reloaded",
       "The deployment's settings were reloaded.", kNone},
      {Event::kInternalFault, kError, "internal-fault", "An internal invariant was violated.",
       "Report it with the surrounding log lines."},
  };
}

const char* LevelName(EventLevel level) noexcept {
  switch (level) {
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "error";
}

bool IsConfidential(std::string_view name, std::string_view value) {
  constexpr std::string_view kNames[] = {"authorization", "secret", "password", "bearer",    "body",
                                         "api_key",       "key",    "token",    "credential"};
  constexpr std::string_view kScheme = "Bearer";
  return std::find(std::begin(kNames), std::end(kNames), name) != std::end(kNames) ||
         name.find("secret") != std::string_view::npos ||
         value.substr(0, kScheme.size()) == kScheme;
}

// Quotes and truncates a value. Keeps the event on one line, so that a value cannot forge another
// event.
std::string Quote(std::string_view value) {
  constexpr std::size_t kMaxValue = 512;
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const bool plain = !value.empty() && value.find_first_of(" \"=\\") == std::string_view::npos;
  std::string out;
  bool changed = !plain;
  for (const char c : value.substr(0, kMaxValue)) {
    const auto byte = static_cast<unsigned char>(c);
    const bool control = byte < kFirstPrintable || byte == kDelete;
    if (c == '"' || c == '\\') out += '\\';
    out += control ? '?' : c;
    changed = changed || control;
  }
  if (value.size() > kMaxValue) out += "...";
  return changed ? "\"" + out + "\"" : out;
}

}  // namespace

const std::vector<EventInfo>& EventCatalogue() {
  static const std::vector<EventInfo> catalogue = Catalogue();
  return catalogue;
}

const EventInfo& Describe(Event event) noexcept {
  const auto& catalogue = EventCatalogue();
  const auto it = std::find_if(catalogue.begin(), catalogue.end(),
                               [&](const EventInfo& info) { return info.event == event; });
  return it == catalogue.end() ? catalogue.back() : *it;
}

std::string RenderEventCatalogue() {
  std::string text =
      "# Log events\n\nEach log line is one event: `event=<number> name=<name> level=<level>` and "
      "further fields. Numbers\nand names are stable.\n\n| number | level | name | meaning | "
      "operator action |\n|---|---|---|---|---|\n";
  for (const auto& info : EventCatalogue()) {
    text += "| " + std::to_string(static_cast<int>(info.event)) + " | " + LevelName(info.level) +
            " | `" + info.name + "` | " + info.meaning + " | " + info.action + " |\n";
  }
  return text;
}

std::string FormatEvent(Event event, EventFields fields) {
  const EventInfo& info = Describe(event);
  std::string line = "event=" + std::to_string(static_cast<int>(event)) + " name=" + info.name +
                     " level=" + LevelName(info.level);
  for (const auto& [name, value] : fields) {
    line += " " + std::string(name) + "=";
    line += IsConfidential(name, value) ? std::string("[redacted]") : Quote(value);
  }
  return line;
}

}  // namespace sapphirewheel
