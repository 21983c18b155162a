#include "platform_codec.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

namespace json = boost::json;

json::object KeyObject(const RowKey& key) {
  return json::object{{"table", key.table}, {"key", key.key}};
}

const json::array* ArrayField(const json::object& object, const char* name) {
  const auto* value = object.if_contains(name);
  return value != nullptr ? value->if_array() : nullptr;
}

std::optional<Row> DecodeRow(const json::value& value) {
  const auto* object = value.if_object();
  if (object == nullptr) return std::nullopt;
  const auto table = RequireText(*object, "table");
  const auto* key = object->if_contains("key");
  const auto* revision = object->if_contains("revision");
  if (!table || key == nullptr || !key->is_string() || revision == nullptr) return std::nullopt;
  json::error_code ec;
  const auto number =
      revision->is_number() ? revision->to_number<std::uint64_t>(ec) : std::uint64_t{0};
  if (ec || !revision->is_number()) return std::nullopt;
  return Row{RowKey{table.value(), TextField(*object, "key")}, Revision(number),
             TextField(*object, "value"), AttemptId(TextField(*object, "attempt"))};
}

const Row* Find(const std::vector<Row>& rows, const RowKey& key) {
  const auto it =
      std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.key == key; });
  return it == rows.end() ? nullptr : &*it;
}

// Whether a row that the transaction writes still has the revision that the transaction expected,
// which shows that the transaction has not committed.
bool IsUnchanged(const Transaction& transaction, const RowWrite& write,
                 const std::vector<Row>& current) {
  const Row* row = Find(current, write.key);
  if (row == nullptr) return false;
  return std::any_of(transaction.checks.begin(), transaction.checks.end(),
                     [&](const RowCheck& check) {
                       return check.key == write.key && check.expected == row->revision &&
                              (write.value || check.expected != Revision(0));
                     });
}

VmInfo DecodeVm(const json::object& object) {
  VmInfo info;
  info.vm = VmId(TextField(object, "vm"));
  info.role = TextField(object, "role") == "entry" ? VmRole::kEntry : VmRole::kWorker;
  info.phase = TextField(object, "phase") == "live" ? VmPhase::kLive : VmPhase::kLeaving;
  info.data_centre = DataCentreId(TextField(object, "data_centre"));
  info.rack = RackId(TextField(object, "rack"));
  info.address = TextField(object, "address");
  info.slots = Slots(IntField(object, "slots"));
  info.cores = IntField(object, "cores");
  info.memory_mb = IntField(object, "memory_mb");
  return info;
}

}  // namespace

std::string EncodeTransaction(const Transaction& transaction) {
  json::array checks;
  for (const auto& check : transaction.checks) {
    json::object item = KeyObject(check.key);
    item["revision"] = check.expected.count();
    checks.push_back(std::move(item));
  }
  json::array writes;
  for (const auto& write : transaction.writes) {
    json::object item = KeyObject(write.key);
    if (write.value) {
      item["value"] = *write.value;
    } else {
      item["value"] = nullptr;
    }
    writes.push_back(std::move(item));
  }
  return json::serialize(json::object{{"attempt", transaction.attempt.str()},
                                      {"checks", std::move(checks)},
                                      {"writes", std::move(writes)}});
}

std::string EncodeRead(const std::vector<RowKey>& keys) {
  json::array items;
  for (const auto& key : keys) items.push_back(KeyObject(key));
  return json::serialize(json::object{{"keys", std::move(items)}});
}

std::string EncodeScan(const ScanRequest& request) {
  return json::serialize(json::object{{"table", request.table},
                                      {"first", request.first},
                                      {"last", request.last},
                                      {"limit", request.limit}});
}

std::optional<Revision> DecodeCommitted(const std::string& text) {
  const auto object = ParseObject(text);
  if (!object) return std::nullopt;
  const auto revision = IntField(object.value(), "revision");
  if (revision <= 0) return std::nullopt;
  return Revision(static_cast<std::uint64_t>(revision));
}

std::optional<std::vector<Row>> DecodeRows(const std::string& text, const char* name) {
  const auto object = ParseObject(text);
  if (!object) return std::nullopt;
  const auto* items = ArrayField(object.value(), name);
  if (items == nullptr) return std::nullopt;
  std::vector<Row> rows;
  rows.reserve(items->size());
  for (const auto& item : *items) {
    auto row = DecodeRow(item);
    if (!row) return std::nullopt;
    rows.push_back(std::move(*row));
  }
  return rows;
}

bool MatchesRead(const std::vector<RowKey>& keys, const std::vector<Row>& rows) {
  return std::equal(keys.begin(), keys.end(), rows.begin(), rows.end(),
                    [](const RowKey& key, const Row& row) { return key == row.key; });
}

bool MatchesScan(const ScanRequest& request, const std::vector<Row>& rows) {
  const std::string* previous = nullptr;
  for (const auto& row : rows) {
    const std::string& key = row.key.key;
    if (row.key.table != request.table || key < request.first) return false;
    if (!request.last.empty() && key >= request.last) return false;
    if (previous != nullptr && key <= *previous) return false;
    previous = &key;
  }
  return request.limit < 0 || rows.size() <= static_cast<std::size_t>(request.limit);
}

TransactResult ClassifyConflict(const Transaction& transaction, std::vector<Row> current,
                                bool retried) {
  TransactResult result;
  for (const auto& write : transaction.writes) {
    const Row* row = Find(current, write.key);
    if (row != nullptr && row->revision != Revision(0) && row->attempt == transaction.attempt) {
      result.outcome = TransactOutcome::kCommitted;
      result.revision = row->revision;
      return result;
    }
  }
  // If an earlier try may have committed, and every row in its write set has changed since, other
  // transactions may have overwritten its attempt id. Only an unchanged row proves that it did not
  // commit.
  const bool proven_uncommitted =
      std::any_of(transaction.writes.begin(), transaction.writes.end(),
                  [&](const RowWrite& write) { return IsUnchanged(transaction, write, current); });
  result.outcome =
      !retried || proven_uncommitted ? TransactOutcome::kConflict : TransactOutcome::kUncertain;
  result.current = std::move(current);
  return result;
}

std::optional<VmList> DecodeVms(const std::string& text) {
  const auto object = ParseObject(text);
  if (!object) return std::nullopt;
  const auto* items = ArrayField(object.value(), "vms");
  if (items == nullptr) return std::nullopt;
  VmList list;
  for (const auto& item : *items) {
    if (!item.is_object()) return std::nullopt;
    VmInfo info = DecodeVm(item.get_object());
    if (info.vm.empty()) return std::nullopt;
    list.vms.push_back(std::move(info));
  }
  return list;
}

}  // namespace sapphirewheel
