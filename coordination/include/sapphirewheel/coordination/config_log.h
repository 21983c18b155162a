#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/fleet_config.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

// Log entries, after a snapshot when the receiver is behind the oldest entry that is kept.
struct ConfigDelta {
  std::optional<FleetConfig> snapshot;
  std::vector<ConfigEntry> entries;
};

// The replicated configuration log: appends at the platform, applies entries in order, and never
// goes back to an older version. It must outlive the calls of its hooks that are under way.
class ConfigLog {
 public:
  struct Settings {
    Millis pull_interval{1000};
    // A snapshot is written every so many versions; older log rows are then deleted, so that the
    // log keeps at most twice as many rows.
    std::uint64_t snapshot_every = 1000;
    // Entries kept in memory to answer peers.
    std::size_t kept_entries = 1000;
    // Encoded size of the entries in one delta; the receiver asks again for the rest.
    std::size_t max_delta_bytes = 196'608;
    // Appends that wait for their turn on this node; more are refused as kOverloaded.
    std::size_t max_waiting_appends = 100;
    // Log rows deleted after each pull, so that trimming does not use up the platform's writes.
    int trim_batch = 100;
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    Clock clock;
    // Called after each applied entry, or once after a snapshot was loaded.
    std::function<void(const FleetConfig&)> changed;
  };
  // Decides on the newest configuration whether an entry may still be appended.
  using Precondition = std::function<Result<void>(const FleetConfig&)>;
  using AppendCallback = std::function<void(Result<ConfigVersion>)>;
  // Further rows of the transaction; called for each attempt with the version that it would write.
  using WriteSource = std::function<std::vector<RowWrite>(ConfigVersion)>;

  ConfigLog(Settings settings, Hooks hooks);

  [[nodiscard]] const FleetConfig& config() const noexcept { return config_; }
  [[nodiscard]] ConfigVersion version() const noexcept { return config_.version; }

  // Starts a pull when one is due.
  void Tick(MonotonicTime now);
  // Starts a pull now unless one is under way.
  void PullNow(MonotonicTime now);

  // Applies what a peer sent, as far as it follows the applied version; returns the version.
  ConfigVersion OnDelta(const ConfigDelta& delta);
  // What a peer at `after` needs; empty when it has everything.
  [[nodiscard]] ConfigDelta DeltaAfter(ConfigVersion after) const;

  // Appends a change: checks the precondition on the head, then commits the entry together with
  // `checks` and `writes`. A lost race for the head is retried; a conflict of `checks` is
  // kPlanOutdated; a result that cannot be settled is kOutcomeUnknown with run `unknown`.
  void Append(PlanId plan, ConfigChange change, Precondition precondition,
              std::vector<RowCheck> checks, std::vector<RowWrite> writes, AppendCallback done);
  // The same with writes that depend on the version of the entry.
  void AppendWith(PlanId plan, ConfigChange change, Precondition precondition,
                  std::vector<RowCheck> checks, WriteSource writes, AppendCallback done);

  // Time at which the platform is known to have had nothing newer than the applied version: when
  // the read that showed this was sent.
  [[nodiscard]] std::optional<MonotonicTime> platform_as_of() const noexcept {
    return platform_as_of_;
  }

 private:
  // The head of the log and the newest snapshot, as one read showed them.
  struct Head {
    ConfigVersion version;
    Revision revision;
    ConfigVersion snapshot;
    // Log rows up to this version may be deleted: the snapshot before the newest.
    ConfigVersion obsolete;
    Revision snapshot_revision;
  };
  struct PendingAppend {
    PlanId plan;
    ConfigChange change;
    Precondition precondition;
    std::vector<RowCheck> checks;
    WriteSource writes;
    AppendCallback done;
    // Lost races for the head so far.
    int races = 0;
  };
  // One transaction of an append; it is repeated as it is until its outcome is known.
  struct AppendAttempt {
    Transaction transaction;
    ConfigEntry entry;
    Revision head_revision;
    MonotonicTime sent{};
    int sends = 0;
  };
  using HeadCallback = std::function<void(Result<Head>)>;

  void Apply(const ConfigEntry& entry);
  void LoadSnapshot(FleetConfig snapshot);
  void NoteCurrentAsOf(MonotonicTime time);

  // Reads the head and applies everything up to it.
  void CatchUp(HeadCallback done);
  void FollowTo(Head head, MonotonicTime sent, int tries, HeadCallback done);
  Result<void> ApplyRows(const std::vector<Row>& rows);
  void FetchSnapshot(std::function<void(Result<void>)> done);

  void StartNextAppend();
  void PrepareAppend();
  void SendAppend(const std::shared_ptr<AppendAttempt>& attempt);
  void OnAppendResult(const std::shared_ptr<AppendAttempt>& attempt, const TransactResult& result);
  void OnAppendConflict(const AppendAttempt& attempt, const TransactResult& result);
  void FinishAppend(Result<ConfigVersion> result);

  void MaintainLog(const Head& head);
  void WriteSnapshot(const Head& head);
  void TrimBatch(ConfigVersion last);

  Settings settings_;
  Hooks hooks_;
  FleetConfig config_;
  std::deque<ConfigEntry> recent_;
  std::optional<MonotonicTime> platform_as_of_;
  MonotonicTime next_pull_{};
  bool pulling_ = false;
  // The front one is under way when `appending_` is set.
  std::deque<PendingAppend> appends_;
  bool appending_ = false;
  bool snapshotting_ = false;
  bool trimming_ = false;
  ConfigVersion trimmed_;
};

}  // namespace sapphirewheel
