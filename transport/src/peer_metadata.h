#pragma once

namespace sapphirewheel {

// Key of the trailing metadata that marks a call as refused before a handler saw it. The status
// code is not enough, because failures of gRPC itself use the same codes.
inline constexpr const char* kNotDeliveredKey = "sapphirewheel-not-delivered";

}  // namespace sapphirewheel
