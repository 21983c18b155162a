#include "process_exit.h"

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace sapphirewheel {

void ExitProcess(int status) {
  std::cout.flush();
  std::cerr.flush();
  std::fflush(nullptr);
  std::_Exit(status);
}

}  // namespace sapphirewheel
