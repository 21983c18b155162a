#pragma once

// All public headers of this package.

#include "sapphirewheel/transport/bounded_ring.h"
#include "sapphirewheel/transport/digest.h"
#include "sapphirewheel/transport/endpoint.h"
#include "sapphirewheel/transport/events.h"
#include "sapphirewheel/transport/fwd.h"
#include "sapphirewheel/transport/http_client.h"
#include "sapphirewheel/transport/http_headers.h"
#include "sapphirewheel/transport/http_server.h"
#include "sapphirewheel/transport/metrics.h"
#include "sapphirewheel/transport/peer_client.h"
#include "sapphirewheel/transport/peer_server.h"
#include "sapphirewheel/transport/platform_client.h"
#include "sapphirewheel/transport/post_function.h"
#include "sapphirewheel/transport/telemetry.h"
#include "sapphirewheel/transport/tracing.h"
#include "sapphirewheel/transport/worker_client.h"
