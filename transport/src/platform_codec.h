#pragma once

#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/state/fleet_view.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

[[nodiscard]] std::string EncodeTransaction(const Transaction& transaction);
[[nodiscard]] std::string EncodeRead(const std::vector<RowKey>& keys);
[[nodiscard]] std::string EncodeScan(const ScanRequest& request);

// The revision of a committed transaction; empty when the text does not contain one.
[[nodiscard]] std::optional<Revision> DecodeCommitted(const std::string& text);

// The rows of the array `name`; empty when the text is malformed.
[[nodiscard]] std::optional<std::vector<Row>> DecodeRows(const std::string& text, const char* name);

// Whether the rows are those that were requested; a response may belong to another request.
[[nodiscard]] bool MatchesRead(const std::vector<RowKey>& keys, const std::vector<Row>& rows);
[[nodiscard]] bool MatchesScan(const ScanRequest& request, const std::vector<Row>& rows);

// Determines the outcome of a transaction from the current rows of a failed check. `retried`: an
// earlier try may have taken effect.
[[nodiscard]] TransactResult ClassifyConflict(const Transaction& transaction,
                                              std::vector<Row> current, bool retried);

[[nodiscard]] std::optional<VmList> DecodeVms(const std::string& text);

}  // namespace sapphirewheel
