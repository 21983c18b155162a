#pragma once

namespace sapphirewheel {

// Flushes the standard streams, for at most 0.2 s if nobody reads them, and ends the process
// without the destructors of static objects. Some libraries wait there for threads of their own,
// for longer than the platform lets a stopped process live.
[[noreturn]] void ExitProcess(int status);

}  // namespace sapphirewheel
