#pragma once

#include <functional>

namespace sapphirewheel {

// Posts a task to the thread that owns the caller's state. The task may be destroyed without being
// run, for example when the thread has stopped or its queue is full.
using PostFunction = std::function<void(std::function<void()>)>;

}  // namespace sapphirewheel
