#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "sapphirewheel/coordination/dispatcher.h"

namespace sapphirewheel {

// Divides the roster of a large fleet over several rows, because the table service limits the size
// of a row: a transaction with a larger one is refused as a whole, with the renewal of the
// ownership in it. A small fleet has one row, row 0. Once a fleet has been divided it stays so; row
// 0 is empty then, and each server has its row by a hash of its id.
class RosterRows {
 public:
  // Number of servers up to which one row is enough: at 100 bytes for each it is below 64 KiB.
  static constexpr std::size_t kMaxServersOfOneRow = 600;
  // Number of rows of a divided roster; with 20,000 servers each has about 30 KiB.
  static constexpr int kRows = 64;

  // Some of the rows that differ from the wanted roster.
  struct Change {
    std::map<int, Roster> rows;
    // What all rows together hold when the change is written.
    Roster result;
  };

  // The key suffix of a row, and the reverse; absent if the key is not one of a roster's rows.
  [[nodiscard]] static std::string Key(int row);
  [[nodiscard]] static std::optional<int> Row(std::string_view key);

  // Sets what is stored in a row. Together with the others it may hold a server twice if an owner
  // stopped halfway through a division; the row with the higher number is the newer one.
  void SetStored(int row, Roster entries) { stored_[row] = std::move(entries); }
  [[nodiscard]] Roster Stored() const;

  // The next rows to be written, at most `max_rows` and row 0. A server does not leave a row before
  // another one holds it.
  [[nodiscard]] Change Next(const Roster& wanted, std::size_t max_rows) const;
  // A write of the rows was sent. Until it is confirmed it is not known what they hold.
  void OnSent(const Change& change);
  void OnWritten(const Change& change);

 private:
  [[nodiscard]] bool IsDivided(const Roster& wanted) const;

  // What the rows held when they were last known; absent rows are empty.
  std::map<int, Roster> stored_;
  // Rows of a write without a confirmation.
  std::set<int> uncertain_;
};

}  // namespace sapphirewheel
