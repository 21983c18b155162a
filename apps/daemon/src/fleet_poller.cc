#include "fleet_poller.h"

#include <utility>

#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

constexpr int kPageRows = 1000;

}  // namespace

FleetPoller::FleetPoller(Settings settings, Hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)) {}

bool FleetPoller::Due(Poll& poll, MonotonicTime now, Millis interval) {
  if (poll.busy || now < poll.next) return false;
  poll.busy = true;
  poll.next = now + interval;
  return true;
}

void FleetPoller::Tick(MonotonicTime now) {
  if (Due(list_, now, settings_.list_interval)) ReadVms();
  if (Due(members_, now, settings_.list_interval)) ReadMembers();
  if (Due(assignments_, now, settings_.assignment_interval)) ReadAssignments("", {});
}

void FleetPoller::ReadVms() {
  hooks_.list_vms([this](Result<VmList> list) {
    list_.busy = false;
    if (!list) return;
    vms_ = std::move(list.value());
    by_id_.clear();
    for (const VmInfo& vm : vms_.vms) by_id_[vm.vm] = vm;
    hooks_.vms_changed(vms_);
  });
}

void FleetPoller::ReadMembers() {
  ScanRequest scan{schema::kMembers, "", "", kPageRows};
  hooks_.table.scan(std::move(scan), [this](Result<std::vector<Row>> rows) {
    members_.busy = false;
    if (!rows) return;
    std::vector<MemberRecord> members;
    for (const Row& row : rows.value()) {
      MemberRecord member = DecodeMember(NodeId(row.key.key), row.value, row.revision);
      if (!member.vm.empty()) members.push_back(std::move(member));
    }
    hooks_.members_read(members);
  });
}

void FleetPoller::ReadAssignments(const std::string& first, std::map<VmId, VmAssignment> read) {
  ScanRequest scan{schema::kVms, first, "", kPageRows};
  hooks_.table.scan(std::move(scan),
                    [this, read = std::move(read)](Result<std::vector<Row>> rows) mutable {
                      if (!rows) {
                        assignments_.busy = false;
                        return;
                      }
                      for (const Row& row : rows.value()) {
                        const VmId vm(row.key.key);
                        read[vm] = DecodeAssignment(vm, row.value, row.revision);
                      }
                      if (rows.value().size() == kPageRows) {
                        // The smallest key after the last one on this page.
                        return ReadAssignments(rows.value().back().key.key + '\0', std::move(read));
                      }
                      assignments_.busy = false;
                      assigned_ = std::move(read);
                      hooks_.assignments_changed(assigned_);
                    });
}

}  // namespace sapphirewheel
