#pragma once

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <vector>

#include "node.h"

namespace sapphirewheel {

// The JSON view of a plan for operators. When `node` is given, the view of a confirmed plan also
// shows in which data centres the change is in force.
[[nodiscard]] boost::json::object PlanView(const Plan& plan, const Node* node);

// The view for GET /v1/fleet, /v1/teams, /v1/waves or /v1/explain/{vm|team|request}/{id}. Empty for
// other paths and for ids that this node does not know.
[[nodiscard]] std::optional<boost::json::object> OperatorView(const Node& node,
                                                              const std::vector<std::string>& path);

}  // namespace sapphirewheel
