#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirewheel {

// Log events of the daemon. An event's number is stable and never reused for another event.
enum class Event : std::uint16_t {
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kSettingsInvalid = 103,
  kIncarnationChanged = 104,
  kReady = 105,
  kNodeLate = 106,
  kTelemetryDropped = 110,
  kConfigApplied = 200,
  kConfigConfirmed = 201,
  kConfigStale = 202,
  kSnapshotLoaded = 203,
  kSnapshotWritten = 204,
  kPlanOutdated = 205,
  kConfigDelayed = 206,
  kKeyGranted = 210,
  kKeyWithdrawn = 211,
  kNotFresh = 212,
  kFreshAgain = 213,
  kPlatformUnavailable = 300,
  kPlatformAvailable = 301,
  kTransactionUncertain = 302,
  kPeerLost = 310,
  kPeerSeen = 311,
  kNodeFenced = 312,
  kTokensReclaimed = 313,
  kWorkerOwned = 400,
  kWorkerLost = 401,
  kWorkerQuarantined = 402,
  kWorkerRebooted = 403,
  kRequestRefused = 500,
  kRequestUnknown = 501,
  kJobTakenOver = 510,
  kJobFailed = 511,
  kJobCannotRun = 512,
  kRangeTakenOver = 513,
  kVmMoved = 600,
  kWaveStarted = 610,
  kWavePaused = 611,
  kWaveFinished = 612,
  kVmVerifyFailed = 613,
  kConnectionsExhausted = 700,
  kRequestTooLarge = 701,
  kRequestTooSlow = 702,
  kRequestMemoryFull = 703,
  kConnectionEnded = 704,
  kOwnershipTaken = 800,
  kOwnershipLost = 801,
  kOwnershipEnded = 802,
  kOwnerLoaded = 803,
  kOwnerFenced = 804,
  kFleetLoad = 805,
  kOwnershipRequested = 806,
  kContacting = 807,
  kContacted = 808,
  kCallAccepted = 810,
  kCallCancelled = 811,
  kCallRefused = 812,
  kCallUnanswered = 813,
  kCallGone = 814,
  kJobTaken = 820,
  kJobEnded = 821,
  kJobUnreadable = 822,
  kRowTooLarge = 823,
  kWriteRejected = 824,
  kStartRefused = 825,
  kOccurrencesWait = 826,
  kWriteUnanswered = 827,
  kTaskStarted = 830,
  kTaskEnded = 831,
  kTaskLost = 832,
  kTaskStopped = 833,
  kTaskWaiting = 834,
  kOverloadBegan = 835,
  kOverloadEnded = 836,
  kCopyStarted = 837,
  kCopyDone = 838,
  kInterferenceLearned = 839,
  kBackendSeen = 840,
  kBackendSuspect = 841,
  kBackendGone = 842,
  kBackendDraining = 843,
  kEvacuationBegun = 844,
  kEvacuationEnded = 845,
  kMaintenance = 850,
  kSettingsReloaded = 860,
  kInternalFault = 900,
};

enum class EventLevel { kInfo, kWarning, kError };

// One entry of the event catalogue.
struct EventInfo {
  Event event;
  EventLevel level;
  // Stable; lower case with hyphens.
  const char* name;
  const char* meaning;
  const char* action;
};

[[nodiscard]] const std::vector<EventInfo>& EventCatalogue();

// The catalogue entry of an event.
[[nodiscard]] const EventInfo& Describe(Event event) noexcept;

// The catalogue as Markdown, the contents of docs/events.md.
[[nodiscard]] std::string RenderEventCatalogue();

using EventField = std::pair<std::string_view, std::string>;
using EventFields = std::initializer_list<EventField>;

// Formats an event as one line, such as "event=100 name=started level=info node=dc1-e1#ab". Values
// with spaces, quotes or control characters are quoted, and long values truncated. The values of
// fields whose name marks a credential or a body are redacted, as is every value that starts with
// "Bearer".
[[nodiscard]] std::string FormatEvent(Event event, EventFields fields);

// Queues an event for the telemetry thread. The event is dropped and counted when the queue is
// full, and dropped when no telemetry runs. Thread-safe.
void Log(Event event, EventFields fields = {});

}  // namespace sapphirewheel
