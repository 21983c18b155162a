// Includes each fwd.h together with the definitions: the declarations must agree with them.
#include "sapphirewheel/coordination/coordination.h"
#include "sapphirewheel/coordination/fwd.h"
#include "sapphirewheel/protocol/fwd.h"
#include "sapphirewheel/protocol/protocol.h"
#include "sapphirewheel/state/fwd.h"
#include "sapphirewheel/state/state.h"
#include "sapphirewheel/transport/fwd.h"
#include "sapphirewheel/transport/transport.h"

bool HasPorts(const sapphirewheel::Endpoint& endpoint) { return endpoint.port != 0; }
