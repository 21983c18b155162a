#pragma once

// All public headers of this package.

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/fleet_config.h"
#include "sapphirewheel/state/fleet_view.h"
#include "sapphirewheel/state/fwd.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"
#include "sapphirewheel/state/strong_type.h"
#include "sapphirewheel/state/table.h"
#include "sapphirewheel/state/units.h"
