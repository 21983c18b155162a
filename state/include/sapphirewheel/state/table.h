#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Address of a row in the platform's table service.
struct RowKey {
  std::string table;
  std::string key;
  auto operator<=>(const RowKey&) const = default;
};

// A row as it was read. For an absent row `revision` is 0 and `value` is empty.
struct Row {
  RowKey key;
  Revision revision;
  // JSON text.
  std::string value;
  // The transaction that last wrote the row.
  AttemptId attempt;
};

// A condition of a transaction: the row must have the expected revision (0: be absent).
struct RowCheck {
  RowKey key;
  Revision expected;
};

// Replaces a row, or deletes it when `value` is empty.
struct RowWrite {
  RowKey key;
  std::optional<std::string> value;
};

// Writes that take effect atomically, or not at all when a check fails.
struct Transaction {
  AttemptId attempt;
  std::vector<RowCheck> checks;
  std::vector<RowWrite> writes;
};

enum class TransactOutcome {
  kCommitted,
  // A check failed; no effect.
  kConflict,
  // Certainly no effect: it was never sent, or the service refused it.
  kUnavailable,
  // It may have taken effect; the client's retries did not determine the outcome in time.
  kUncertain,
};

struct TransactResult {
  TransactOutcome outcome = TransactOutcome::kUncertain;
  // Revision of the written rows when committed.
  Revision revision;
  // On conflict, the current content of the checked and written rows.
  std::vector<Row> current;
};

// A range of one table in key order: from `first` (inclusive) to `last` (exclusive, empty: no end).
struct ScanRequest {
  std::string table;
  std::string first;
  std::string last;
  int limit = 1000;
};

using TransactCallback = std::function<void(TransactResult)>;
// One row for each requested key, in order; absent rows have revision 0.
using ReadCallback = std::function<void(Result<std::vector<Row>>)>;
using ScanCallback = std::function<void(Result<std::vector<Row>>)>;
using ObjectCallback = std::function<void(Result<std::string>)>;
using DoneCallback = std::function<void(Result<void>)>;

// Access to the platform's table service and object store. Each callback is called exactly once,
// after the call has returned, on the thread that drives the component; callbacks may be called in
// any order.
struct TableHooks {
  std::function<void(Transaction, TransactCallback)> transact;
  std::function<void(std::vector<RowKey>, ReadCallback)> read;
  std::function<void(ScanRequest, ScanCallback)> scan;
  std::function<void(std::string name, std::string bytes, DoneCallback)> put_object;
  // Errors: kNotFound when the object does not exist.
  std::function<void(std::string name, ObjectCallback)> get_object;
};

}  // namespace sapphirewheel
