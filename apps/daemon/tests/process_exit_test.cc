#include "process_exit.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <thread>

#include "CppUTest/TestHarness.h"

namespace {

constexpr int kStatus = 7;

// Stands for a static object of a library whose destructor waits for a thread.
void WaitForever() {
  while (true) ::pause();
}

[[noreturn]] void RunChild(int output) {
  ::dup2(output, STDOUT_FILENO);
  std::atexit(WaitForever);
  std::cout << "last line";
  sapphirewheel::ExitProcess(kStatus);
}

// The status of the child process; empty if it has not ended in time.
std::optional<int> AwaitExit(pid_t child) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (std::chrono::steady_clock::now() < deadline) {
    int status = 0;
    if (::waitpid(child, &status, WNOHANG) == child) return status;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  ::kill(child, SIGKILL);
  ::waitpid(child, nullptr, 0);
  return std::nullopt;
}

}  // namespace

TEST_GROUP(ProcessExit){};

// Guards against a stopped daemon that does not end and is killed at the end of the grace time,
// because a static object waits in its destructor.
TEST(ProcessExit, EndsWithoutWaitingForStaticObjects) {
  int pipe_ends[2];
  LONGS_EQUAL(0, ::pipe(pipe_ends));
  const pid_t child = ::fork();
  if (child == 0) RunChild(pipe_ends[1]);
  ::close(pipe_ends[1]);
  const auto status = AwaitExit(child);
  CHECK_TRUE(status.has_value());
  CHECK_TRUE(WIFEXITED(*status));
  LONGS_EQUAL(kStatus, WEXITSTATUS(*status));
  char buf[32];
  const auto n = ::read(pipe_ends[0], buf, sizeof buf);
  ::close(pipe_ends[0]);
  STRCMP_EQUAL("last line", std::string(buf, n > 0 ? n : 0).c_str());
}
