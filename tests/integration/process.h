#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirewheel::testing {

// Polls `condition` until it holds. Returns false when it does not hold within `timeout`.
[[nodiscard]] bool WaitUntil(const std::function<bool()>& condition,
                             std::chrono::milliseconds timeout);

// A child process whose output goes to files. The destructor kills it, and so does the kernel when
// the thread that created it ends; create it on the main thread.
class Process {
 public:
  // Standard output and standard error go to `log` with ".out" and ".err" appended.
  Process(const std::string& program, std::vector<std::string> args, std::filesystem::path log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Waits until the process has printed "listening NAME ip:port" for `n` names, and returns the
  // addresses by name. Throws std::runtime_error with the end of the error output when they do not
  // appear within 30 s or the process exits first.
  std::map<std::string, std::string> AwaitListening(std::size_t n);

  void Signal(int signal) const;
  // Sends SIGKILL and waits until the process has ended.
  void Kill();
  // Returns the exit status, the negated signal number when a signal ended the process, or nothing
  // when it still runs after `timeout`.
  [[nodiscard]] std::optional<int> AwaitExit(std::chrono::milliseconds timeout);
  [[nodiscard]] pid_t pid() const { return pid_; }
  // The output so far; `stream` is "out" or "err".
  [[nodiscard]] std::string Output(const char* stream) const;

 private:
  std::filesystem::path log_;
  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace sapphirewheel::testing
