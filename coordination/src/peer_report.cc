#include "sapphirewheel/coordination/peer_report.h"

#include <boost/json/serialize.hpp>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {

std::string EncodeMember(const MemberRecord& member) {
  return boost::json::serialize(boost::json::object{
      {"vm", member.vm.str()},
      {"data_centre", member.data_centre.str()},
      {"peer_address", member.peer_address},
      {"http_address", member.http_address},
      {"fenced", member.fenced},
  });
}

MemberRecord DecodeMember(const NodeId& node, const std::string& text, Revision revision) {
  MemberRecord member;
  member.node = node;
  member.revision = revision;
  auto parsed = ParseObject(text);
  if (!parsed) return member;
  const boost::json::object& object = parsed.value();
  member.vm = VmId(TextField(object, "vm"));
  member.data_centre = DataCentreId(TextField(object, "data_centre"));
  member.peer_address = TextField(object, "peer_address");
  member.http_address = TextField(object, "http_address");
  member.fenced = BoolField(object, "fenced");
  return member;
}

}  // namespace sapphirewheel
