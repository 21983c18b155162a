#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/coordination/dispatcher.h"
#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// The interfaces through which an entry VM reaches the platform and the backend servers. All
// callbacks come on the thread that owns the caller's state, exactly once.

// Steady clock of the table service, in milliseconds.
using StoreClock = StrongNumber<struct StoreClockTag, std::int64_t>;

struct RowAddress {
  std::string table;
  // Transactions stay within one part.
  std::string part;
  std::string key;
  auto operator<=>(const RowAddress&) const = default;
};

struct StoredRow {
  RowAddress at;
  std::string value;
  Revision revision;
  // The row was removed; only in answers of Follow.
  bool removed = false;
};

enum class StoreOutcome {
  kDone,
  // A row has another revision than expected; nothing was written.
  kConflict,
  // Nothing was done: overloaded, unavailable or not reached.
  kNotDone,
  // May have been done, or will be as long as its conditions hold.
  kUnknown,
  // The changes since the asked revision are no longer kept.
  kHistoryGone,
};

struct RowTransaction {
  // Rows with the revision that they must have; 0: absent.
  std::vector<std::pair<RowAddress, Revision>> expected;
  std::vector<std::pair<RowAddress, std::string>> writes;
  std::vector<RowAddress> removes;
};

struct RowsReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  // After a conflict: the expected rows that exist.
  std::vector<StoredRow> rows;
  // The newest revision of the whole store.
  Revision newest;
  StoreClock now;
  bool more = false;
};

struct PartsReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<std::string> parts;
};

class RowStore {
 public:
  using RowsCallback = std::function<void(const RowsReply&)>;
  using PartsCallback = std::function<void(const PartsReply&)>;
  virtual ~RowStore() = default;

  // All or nothing. At most 100 entries.
  virtual void Commit(const RowTransaction& transaction, Millis timeout, RowsCallback done) = 0;
  // Rows of one part with keys from `from` (inclusive) to `to` (exclusive; empty: no bound).
  virtual void Read(const std::string& table, const std::string& part, const std::string& from,
                    const std::string& to, Millis timeout, RowsCallback done) = 0;
  // The parts of a table, from the one after `after`.
  virtual void ListParts(const std::string& table, const std::string& after, Millis timeout,
                         PartsCallback done) = 0;
  // Rows of a table that changed after a revision; waits for the first one up to `wait`.
  virtual void Follow(const std::string& table, Revision after, Millis wait, Millis timeout,
                      RowsCallback done) = 0;
};

class BackendServers {
 public:
  virtual ~BackendServers() = default;
  virtual void Start(const StartOrder& order, std::function<void(const OrderReply&)> done) = 0;
  virtual void Stop(const StopOrder& order, std::function<void(const OrderReply&)> done) = 0;
  virtual void Poll(const PollOrder& order, std::function<void(const PollReply&)> done) = 0;
  virtual void Pace(const PaceOrder& order, std::function<void(const OrderReply&)> done) = 0;
};

enum class VmOrderOutcome {
  kDone,
  kFenced,
  // Not up, or leaving.
  kBusy,
  // The VM is unknown, not of the wave, or the pool is not one of its kind.
  kInvalid,
  kNotDone,
  kUnknown,
};

// An order without an answer may be carried out this much later.
inline constexpr Millis kMaxVmOrderDelay{13'000};

struct VmListReply {
  bool complete = false;
  std::vector<VmReport> vms;
};

// The platform's service that moves VMs between pools and maintains them.
class VmService {
 public:
  virtual ~VmService() = default;
  virtual void List(std::function<void(const VmListReply&)> done) = 0;
  virtual void Move(const VmId& vm, const PoolId& pool, Epoch token,
                    std::function<void(VmOrderOutcome)> done) = 0;
  virtual void Maintain(const VmId& vm, std::int64_t wave, Epoch token,
                        std::function<void(VmOrderOutcome)> done) = 0;
};

// The service of the queues' policies that tells where a step may run.
class AdviceService {
 public:
  virtual ~AdviceService() = default;
  virtual void Advise(const AdviceOrder& order, std::function<void(const AdviceReply&)> done) = 0;
};

// Translates what operators, backend servers and callers write. The platform's adapter implements
// it.
class PlatformCodec {
 public:
  virtual ~PlatformCodec() = default;
  // Where these rows lie.
  [[nodiscard]] virtual std::string OperatorTable() const = 0;
  [[nodiscard]] virtual std::string RegistryTable() const = 0;
  // Absent when the row is of another kind or unreadable.
  [[nodiscard]] virtual std::optional<DispatchConfig> Config(const StoredRow& row) const = 0;
  [[nodiscard]] virtual std::optional<WaveOrder> Wave(const StoredRow& row) const = 0;
  [[nodiscard]] virtual std::optional<BackendReport> Backend(const StoredRow& row) const = 0;
  // What a caller submits. Errors: kInvalidArgument.
  [[nodiscard]] virtual Result<WorkSpec> Submission(const std::string& body) const = 0;
  // The row that tells operators how far a wave is.
  [[nodiscard]] virtual std::pair<RowAddress, std::string> WaveStatus(std::int64_t wave,
                                                                      bool completed) const = 0;
};

}  // namespace sapphirewheel
