#pragma once

#include "sapphirewheel/coordination/entry_node.h"
#include "sapphirewheel/platform/deployment_settings.h"

namespace sapphirewheel {

// How a node behaves on a VM of a deployment. `started` is the time of day at which it starts.
[[nodiscard]] EntryNode::Settings EntryNodeSettings(const platform::DeploymentSettings& deployment,
                                                    const NodeId& self, UnixMillis started);

}  // namespace sapphirewheel
