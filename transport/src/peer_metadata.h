#pragma once

namespace sapphirewheel {

// Trailing metadata of a call that the server refused before a handler saw it. The status code
// alone does not tell that: gRPC's own failures use the same codes.
inline constexpr const char* kNotDeliveredKey = "sapphirewheel-not-delivered";

}  // namespace sapphirewheel
