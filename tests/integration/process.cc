#include "tests/integration/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace sapphirewheel::testing {
namespace {

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr std::chrono::seconds kStartTimeout{30};

// Runs in the child between fork and exec, so it may only make async-signal-safe calls.
[[noreturn]] void Execute(const char* program, char* const* argv, const char* out,
                          const char* err) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int flags = O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC;
  dup2(open(out, flags, 0600), STDOUT_FILENO);
  dup2(open(err, flags, 0600), STDERR_FILENO);
  execv(program, argv);
  _exit(127);
}

}  // namespace

bool WaitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

Process::Process(const std::string& program, std::vector<std::string> args,
                 std::filesystem::path log)
    : log_(std::move(log)) {
  std::vector<char*> argv{const_cast<char*>(program.c_str())};
  for (auto& arg : args) argv.push_back(arg.data());
  argv.push_back(nullptr);
  const std::string out = log_.string() + ".out";
  const std::string err = log_.string() + ".err";
  // Not posix_spawn: it cannot set the parent-death signal, which ends the child when a test
  // crashes.
  pid_ = fork();
  if (pid_ == 0) Execute(program.c_str(), argv.data(), out.c_str(), err.c_str());
  if (pid_ < 0) throw std::runtime_error("cannot fork a process for " + program);
}

Process::~Process() { Kill(); }

std::string Process::Output(const char* stream) const {
  std::ifstream file(log_.string() + "." + stream);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::map<std::string, std::string> Process::AwaitListening(std::size_t n) {
  std::map<std::string, std::string> found;
  const auto complete = [&]() {
    std::istringstream lines(Output("out"));
    for (std::string line; std::getline(lines, line) && !lines.eof();) {
      std::istringstream words(line);
      std::string word, name, address;
      if (words >> word >> name >> address && word == "listening") found[name] = address;
    }
    return found.size() >= n || AwaitExit(std::chrono::milliseconds(0)).has_value();
  };
  if (WaitUntil(complete, kStartTimeout) && found.size() >= n) return found;
  const std::string errors = Output("err");
  throw std::runtime_error(
      log_.filename().string() + " did not start listening: " +
      errors.substr(errors.size() - std::min<std::size_t>(errors.size(), 2000)));
}

void Process::Signal(int signal) const {
  if (!status_) kill(pid_, signal);
}

void Process::Kill() {
  Signal(SIGKILL);
  (void)AwaitExit(kStartTimeout);
}

std::optional<int> Process::AwaitExit(std::chrono::milliseconds timeout) {
  const auto ended = [this]() {
    int status = 0;
    if (status_ || waitpid(pid_, &status, WNOHANG) != pid_) return status_.has_value();
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return true;
  };
  (void)WaitUntil(ended, timeout);
  return status_;
}

}  // namespace sapphirewheel::testing
