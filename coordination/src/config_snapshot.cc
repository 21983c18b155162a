#include <boost/json/serialize.hpp>
#include <string>
#include <utility>

#include "attempt_id.h"
#include "sapphirewheel/coordination/config_log.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

// On average, one in this many pulls writes a due snapshot or looks for rows to delete, so that not
// all daemons do it at the same time.
constexpr std::uint64_t kPullsPerSnapshot = 4;
constexpr std::uint64_t kPullsPerTrim = 4;

}  // namespace

void ConfigLog::MaintainLog(const Head& head) {
  const bool due = config_.version.count() >= head.snapshot.count() + settings_.snapshot_every;
  if (due && !writing_snapshot_ && hooks_.random() % kPullsPerSnapshot == 0) WriteSnapshot(head);
  if (head.trim_to > trimmed_to_ && !trimming_ && hooks_.random() % kPullsPerTrim == 0) {
    TrimBatch(head.trim_to);
  }
}

void ConfigLog::WriteSnapshot(const Head& head) {
  writing_snapshot_ = true;
  const ConfigVersion version = config_.version;
  Transaction transaction;
  transaction.attempt = NewAttemptId(hooks_.random);
  transaction.checks.push_back({schema::ConfigSnapshotRow(), head.snapshot_revision});
  transaction.writes.push_back(
      {schema::ConfigSnapshotRow(),
       boost::json::serialize(boost::json::object{{"version", version.count()},
                                                  {"previous", head.snapshot.count()}})});
  hooks_.table.put_object(
      "config-snapshot-" + std::to_string(version.count()), EncodeConfig(config_),
      [this, transaction = std::move(transaction)](const Result<void>& put) {
        if (!put) {
          writing_snapshot_ = false;
          return;
        }
        // The outcome does not matter, because the next pull reads the row again.
        hooks_.table.transact(transaction,
                              [this](const TransactResult&) { writing_snapshot_ = false; });
      });
}

void ConfigLog::TrimBatch(ConfigVersion last) {
  trimming_ = true;
  ScanRequest request;
  request.table = schema::kConfig;
  request.first = schema::PaddedNumber(0);
  request.last = schema::PaddedNumber(last.count() + 1);
  request.limit = settings_.trim_batch;
  hooks_.table.scan(request, [this, last](const Result<std::vector<Row>>& rows) {
    if (!rows || rows.value().empty()) {
      if (rows) trimmed_to_ = last;
      trimming_ = false;
      return;
    }
    Transaction transaction;
    transaction.attempt = NewAttemptId(hooks_.random);
    for (const Row& row : rows.value()) transaction.writes.push_back({row.key, std::nullopt});
    hooks_.table.transact(std::move(transaction),
                          [this](const TransactResult&) { trimming_ = false; });
  });
}

}  // namespace sapphirewheel
