#pragma once

// All public headers of this package.

#include "sapphirewheel/protocol/forward.h"
#include "sapphirewheel/protocol/fwd.h"
#include "sapphirewheel/protocol/peer_codec.h"
#include "sapphirewheel/protocol/problem.h"
