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
      {Event::kStarted, kInfo, "started", "The daemon listens.", kNone},
      {Event::kStopping, kInfo, "stopping", "The daemon drains and refuses new work.", kNone},
      {Event::kStopped, kInfo, "stopped", "The daemon has finished or handed over its work.",
       kNone},
      {Event::kSettingsInvalid, kError, "settings-invalid", "A setting cannot be used.",
       "Correct the named flag or environment variable and start the daemon again."},
      {Event::kIncarnationChanged, kWarning, "incarnation-changed",
       "The node was paused or fenced and registered as a new incarnation.",
       "Check the VM for overload or suspension when it repeats."},
      {Event::kReady, kInfo, "ready",
       "The node is registered and has read the configuration; callers may be sent to it.", kNone},
      {Event::kTelemetryDropped, kWarning, "telemetry-dropped",
       "Log lines or spans were dropped because the telemetry ring was full.",
       "Check the log's target for slowness."},
      {Event::kConfigApplied, kInfo, "config-applied", "A configuration version is in effect here.",
       kNone},
      {Event::kConfigConfirmed, kInfo, "config-confirmed", "An operator's plan was recorded.",
       kNone},
      {Event::kConfigStale, kWarning, "config-stale",
       "A higher configuration version is known but was not obtained yet.",
       "Check the connections to the platform and to the other daemons."},
      {Event::kSnapshotLoaded, kInfo, "snapshot-loaded", "The configuration came from a snapshot.",
       kNone},
      {Event::kSnapshotWritten, kInfo, "snapshot-written", "A configuration snapshot was stored.",
       kNone},
      {Event::kPlanOutdated, kInfo, "plan-outdated",
       "A plan was rejected because its basis has changed.", "Review and confirm the new plan."},
      {Event::kKeyGranted, kInfo, "key-granted", "A key is valid from now on.", kNone},
      {Event::kKeyWithdrawn, kInfo, "key-withdrawn", "A key is refused from now on.", kNone},
      {Event::kNotFresh, kWarning, "not-fresh",
       "The node cannot prove that it knows the latest withdrawals and refuses keyed work.",
       "Restore the connection to the platform or to all other daemons."},
      {Event::kFreshAgain, kInfo, "fresh-again", "The node accepts keyed work again.", kNone},
      {Event::kPlatformUnavailable, kWarning, "platform-unavailable",
       "The platform refuses or does not answer calls.",
       "Check the platform; accepted work continues meanwhile."},
      {Event::kPlatformAvailable, kInfo, "platform-available", "The platform answers again.",
       kNone},
      {Event::kTransactionUncertain, kWarning, "transaction-uncertain",
       "The outcome of a transaction could not be settled in time.",
       "Check the platform when it repeats."},
      {Event::kPeerLost, kWarning, "peer-lost", "Heartbeats of another daemon are missing.",
       "Check its VM and the network between the two."},
      {Event::kPeerSeen, kInfo, "peer-seen", "Another daemon sends heartbeats.", kNone},
      {Event::kNodeFenced, kWarning, "node-fenced",
       "Workers refuse a node that stopped sending heartbeats.", "Check the VM of that node."},
      {Event::kTokensReclaimed, kInfo, "tokens-reclaimed",
       "The tokens of a fenced node are free again.", kNone},
      {Event::kWorkerOwned, kInfo, "worker-owned", "This node starts tasks on a worker.", kNone},
      {Event::kWorkerLost, kWarning, "worker-lost", "A worker does not answer.",
       "Check the VM, its rack and its switch."},
      {Event::kWorkerQuarantined, kWarning, "worker-quarantined",
       "Tasks of several jobs failed on a worker in a row; it gets no work.",
       "Inspect the worker and reboot or replace it."},
      {Event::kWorkerRebooted, kInfo, "worker-rebooted", "A worker reports a new boot id.", kNone},
      {Event::kRequestRefused, kInfo, "request-refused", "A request was refused and did not run.",
       "Raise the limit or add capacity when it repeats."},
      {Event::kRequestUnknown, kWarning, "request-unknown",
       "A request was sent to a worker and its outcome is not known.",
       "The caller must check the effect before it repeats the request."},
      {Event::kJobTakenOver, kInfo, "job-taken-over", "A job of a failed node continues here.",
       kNone},
      {Event::kJobFailed, kWarning, "job-failed", "A job used up its attempts.",
       "Tell the team the reason that the event names."},
      {Event::kJobCannotRun, kWarning, "job-cannot-run", "No worker can ever run a job.",
       "Lower the job's size or add a pool that fits it."},
      {Event::kRangeTakenOver, kInfo, "range-taken-over",
       "This node owns a range of request identifiers.", kNone},
      {Event::kVmMoved, kInfo, "vm-moved", "A VM changed its pool.", kNone},
      {Event::kWaveStarted, kInfo, "wave-started", "A maintenance wave runs.", kNone},
      {Event::kWavePaused, kError, "wave-paused",
       "A maintenance wave stopped because VMs failed to verify.",
       "Inspect the named VMs, then resume or cancel the wave by an intent."},
      {Event::kWaveFinished, kInfo, "wave-finished", "All VMs of a wave are back.", kNone},
      {Event::kVmVerifyFailed, kWarning, "vm-verify-failed",
       "A VM did not come back healthy from its reboot.", "Inspect or replace the VM."},
      {Event::kConnectionsExhausted, kWarning, "connections-exhausted",
       "Callers were refused because too many connections are open.",
       "Raise the limit, or find the caller that does not reuse connections."},
      {Event::kOwnershipTaken, kInfo, "ownership-taken",
       "This node places work and orders maintenance from now on.", kNone},
      {Event::kOwnershipLost, kWarning, "ownership-lost",
       "Another node has taken the ownership; this node gives no more orders.",
       "Check this VM's way to the platform when it repeats."},
      {Event::kOwnershipEnded, kInfo, "ownership-ended", "This node is not the owner any more.",
       kNone},
      {Event::kOwnerLoaded, kInfo, "owner-loaded", "The owner has read what is stored.", kNone},
      {Event::kOwnerFenced, kWarning, "owner-fenced",
       "A backend server saw a higher fencing token than this owner's.", kNone},
      {Event::kCallAccepted, kInfo, "call-accepted", "A job was stored and acknowledged.", kNone},
      {Event::kCallCancelled, kInfo, "call-cancelled", "A job's cancelling was stored.", kNone},
      {Event::kCallRefused, kInfo, "call-refused", "A call was refused; nothing was done.", kNone},
      {Event::kCallUnanswered, kWarning, "call-unanswered",
       "The platform's table service did not answer a call in time.",
       "Check the table service and the way to it."},
      {Event::kJobTaken, kInfo, "job-taken", "The owner knows a job.", kNone},
      {Event::kJobEnded, kInfo, "job-ended", "A job is completed, failed or cancelled.", kNone},
      {Event::kJobUnreadable, kError, "job-unreadable", "A stored job cannot be decoded.",
       "Restore the row or cancel the job."},
      {Event::kTaskStarted, kInfo, "task-started", "A run of a task was ordered.", kNone},
      {Event::kTaskEnded, kInfo, "task-ended", "A backend server listed the end of a run.", kNone},
      {Event::kTaskLost, kWarning, "task-lost", "A run ended without a listed end.", kNone},
      {Event::kTaskStopped, kInfo, "task-stopped", "A run is being stopped.", kNone},
      {Event::kBackendSeen, kInfo, "backend-seen",
       "A backend server is registered or answers again.", kNone},
      {Event::kBackendSuspect, kWarning, "backend-suspect",
       "A backend server does not answer and gets no new work.",
       "Check the backend server and the way to it when it stays away."},
      {Event::kBackendGone, kInfo, "backend-gone",
       "A backend server left or started anew; its runs are over.", kNone},
      {Event::kMaintenance, kInfo, "maintenance", "A VM of a wave changed its state.", kNone},
      {Event::kSettingsReloaded, kInfo, "settings-reloaded",
       "The deployment's settings were read again.", kNone},
      {Event::kInternalFault, kError, "internal-fault", "A condition that must not occur was seen.",
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

// Keeps one event on one line, so that a value cannot forge another event.
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
