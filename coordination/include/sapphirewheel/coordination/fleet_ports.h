#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/coordination/dispatcher.h"
#include "sapphirewheel/coordination/evacuations.h"
#include "sapphirewheel/coordination/order_permit.h"
#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// The interfaces through which an entry VM reaches the platform and the backend servers. Each
// callback is called exactly once, on the thread that owns the caller's state.

// A reading of the table service's monotonic clock, in milliseconds.
using StoreClock = StrongNumber<struct StoreClockTag, std::int64_t>;

struct RowAddress {
  std::string table;
  // Partition key; a transaction cannot span parts.
  std::string part;
  std::string key;
  auto operator<=>(const RowAddress&) const = default;
};

struct StoredRow {
  RowAddress at;
  std::string value;
  Revision revision;
  // The row was removed; set only in replies to Follow.
  bool removed = false;
};

// Rows of one part of a table with keys from `from` (inclusive) to `to` (exclusive; empty for no
// bound).
struct RowRange {
  std::string table;
  std::string part;
  std::string from;
  std::string to;
  // Maximum number of rows in the reply; 0 for the table service's own limit.
  int limit = 0;
};

enum class StoreOutcome {
  kDone,
  // A row has a different revision than expected; nothing was written.
  kConflict,
  // Nothing was done: the service was overloaded, unavailable or unreachable.
  kNotDone,
  // Nothing was done, and the service will refuse the same request again.
  kRejected,
  // The request may have been carried out, or may still be as long as its conditions hold.
  kUnknown,
  // The changes since the requested revision are no longer available.
  kHistoryGone,
};

struct RowTransaction {
  // Rows with the revision that each must have; 0 if the row must be absent.
  std::vector<std::pair<RowAddress, Revision>> expected;
  std::vector<std::pair<RowAddress, std::string>> writes;
  std::vector<RowAddress> removes;
};

struct RowsReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  // The rows read. After a conflict, those of the expected rows that exist.
  std::vector<StoredRow> rows;
  // The newest revision of the whole table service.
  Revision newest;
  StoreClock now;
  // Further rows follow on the next page.
  bool more = false;
};

struct PartsReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<std::string> parts;
};

// Time limits of a read from the table service.
struct ReplyLimits {
  // Until the reply begins.
  Millis begin{0};
  // Between two parts of a reply that has begun.
  Millis silence{0};
  // Of the whole call.
  Millis total{0};
};

class RowStore {
 public:
  using RowsCallback = std::function<void(const RowsReply&)>;
  using PartsCallback = std::function<void(const PartsReply&)>;
  virtual ~RowStore() = default;

  // Commits a transaction atomically. At most 100 entries.
  virtual void Commit(const RowTransaction& transaction, Millis timeout, RowsCallback done) = 0;
  // Reads the rows of a range in the order of their keys.
  virtual void Read(const RowRange& range, const ReplyLimits& limits, RowsCallback done) = 0;
  // Lists the parts of a table after `after`.
  virtual void ListParts(const std::string& table, const std::string& after,
                         const ReplyLimits& limits, PartsCallback done) = 0;
  // Reads the rows of a table that changed after a revision; waits up to `wait` for the first one.
  // The wait is part of the time until the reply begins.
  virtual void Follow(const std::string& table, Revision after, Millis wait,
                      const ReplyLimits& limits, RowsCallback done) = 0;
};

// Maximum number of connections of one node to a backend server, which accepts a limited number
// from all nodes: those of former owners, which may be frozen, must leave some for their
// successors.
inline constexpr std::size_t kMaxBackendConnections = 4;

// Sends orders to backend servers, over kMaxBackendConnections to each at most. An order is not
// written after its permit has ended. One that has no reply by then is aborted, so that nothing of
// it can arrive later from the sender's VM, and ends as unknown. A start, and a poll that extends a
// lease or acknowledges ends, is written only to a connection on which the backend server has
// replied before: an aborted order that waits in the queue of a listening socket is still carried
// out by the next incarnation.
class BackendServers {
 public:
  virtual ~BackendServers() = default;
  virtual void Start(const StartOrder& order, const OrderPermit& permit,
                     std::function<void(const OrderReply&)> done) = 0;
  virtual void Stop(const StopOrder& order, const OrderPermit& permit,
                    std::function<void(const OrderReply&)> done) = 0;
  virtual void Poll(const PollOrder& order, const OrderPermit& permit,
                    std::function<void(const PollReply&)> done) = 0;
  virtual void Pace(const PaceOrder& order, const OrderPermit& permit,
                    std::function<void(const OrderReply&)> done) = 0;
};

enum class VmOrderOutcome {
  kDone,
  kFenced,
  // The VM is not up, or is leaving.
  kBusy,
  // The VM is unknown or not part of the wave, or the pool does not take VMs of its kind.
  kInvalid,
  kNotDone,
  kUnknown,
};

// An order without a reply may be carried out up to this much later.
inline constexpr Millis kMaxVmOrderDelay{13'000};

// Maximum age of the state that a list of VMs shows; the platform names none.
inline constexpr Millis kMaxVmListAge{1000};

struct VmListReply {
  bool complete = false;
  std::vector<VmReport> vms;
};

// The platform's service that moves VMs between pools and maintains them. Permits are observed as
// by BackendServers.
class VmService {
 public:
  virtual ~VmService() = default;
  virtual void List(std::function<void(const VmListReply&)> done) = 0;
  virtual void Move(const VmId& vm, const PoolId& pool, const OrderPermit& permit,
                    std::function<void(VmOrderOutcome)> done) = 0;
  virtual void Maintain(const VmId& vm, std::int64_t wave, const OrderPermit& permit,
                        std::function<void(VmOrderOutcome)> done) = 0;
};

// The policy service of the queues, which decides where a step may run.
class AdviceService {
 public:
  virtual ~AdviceService() = default;
  virtual void Advise(const AdviceOrder& order, std::function<void(const AdviceReply&)> done) = 0;
};

// Decodes the rows and requests of operators, backend servers and callers. Implemented by the
// adapter to the platform.
class PlatformCodec {
 public:
  virtual ~PlatformCodec() = default;
  // Tables that hold the rows of operators and of the registry.
  [[nodiscard]] virtual std::string OperatorTable() const = 0;
  [[nodiscard]] virtual std::string RegistryTable() const = 0;
  // Each is absent if the row is of another kind or cannot be decoded.
  [[nodiscard]] virtual std::optional<DispatchConfig> Config(const StoredRow& row) const = 0;
  [[nodiscard]] virtual std::optional<WaveOrder> Wave(const StoredRow& row) const = 0;
  [[nodiscard]] virtual std::optional<BackendReport> Backend(const StoredRow& row) const = 0;
  // The request to evacuate a data centre, whatever the value of the row; also if it was removed.
  [[nodiscard]] virtual std::optional<EvacuationRow> Evacuation(const StoredRow& row) const = 0;
  // Decodes the body of a submission. Errors: kInvalidArgument.
  [[nodiscard]] virtual Result<WorkSpec> Submission(const std::string& body) const = 0;
  // The row that shows operators the progress of a wave.
  [[nodiscard]] virtual std::pair<RowAddress, std::string> WaveStatus(std::int64_t wave,
                                                                      bool completed) const = 0;
};

}  // namespace sapphirewheel
