#pragma once

// Forward declarations of the types of this package.

namespace sapphirewheel {

enum class AssignmentPhase;
struct ConfigEntry;
struct Error;
enum class ErrorKind;
struct FleetConfig;
struct KeyGrantChange;
struct KeyState;
struct KeyWithdrawChange;
struct MonotonicClock;
struct PoolChange;
struct Row;
struct RowCheck;
struct RowKey;
struct RowWrite;
enum class RunState;
struct ScanRequest;
struct TableHooks;
struct TeamChange;
enum class TransactOutcome;
struct TransactResult;
struct Transaction;
struct VmAssignment;
struct VmInfo;
struct VmList;
enum class VmPhase;
struct VmPoolChange;
enum class VmRole;
enum class WaveAction;
struct WaveChange;
struct WaveState;

template <typename Tag>
class StrongId;
template <typename Tag, typename Rep>
class StrongNumber;

}  // namespace sapphirewheel
