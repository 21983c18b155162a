#pragma once

// Forward declarations of the types of this package.

namespace sapphirewheel {

struct BudgetRecord;
struct CachedResponse;
struct ClaimKey;
class ClaimLog;
enum class ClaimOutcome;
struct ClaimReply;
enum class ClaimVerdict;
struct ConfigDelta;
class ConfigLog;
struct DataCentreDigest;
class FairScheduler;
struct FenceReply;
struct FleetInventory;
struct FleetSnapshot;
struct Freshness;
struct GeneratedKey;
class IntentPlanner;
class JobManager;
struct JobRecord;
struct JobSpec;
enum class JobState;
class LeaderLease;
struct MemberRecord;
class Membership;
enum class MoveReason;
class NodeFencer;
class OrderPermit;
struct OwnershipCall;
enum class OwnershipOutcome;
struct OwnershipReply;
struct PeerReport;
struct Plan;
struct PlanCost;
enum class PlanState;
struct PolicyProfile;
class PoolController;
struct PoolMember;
struct PoolOutage;
class PoolPlanner;
struct ServiceDemand;
struct ServiceLoad;
enum class TaskKind;
struct TaskReport;
struct TaskStart;
enum class TaskStartOutcome;
struct TaskStartReply;
enum class TaskState;
class ShareMeter;
struct TeamTokens;
class TokenEscrow;
class UsageEstimator;
struct VmMove;
class VmMover;
class WaveController;
struct WavePart;
enum class WavePhase;
struct WaveProgress;
struct WaveRecord;
struct WaveVm;
struct WorkItem;
struct WorkerHealth;
struct WorkerHooks;
class WorkerRegistry;
struct WorkerReport;
struct WorkerView;

}  // namespace sapphirewheel
