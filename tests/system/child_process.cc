#include "child_process.h"

#include <cppunit/TestAssert.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>

namespace tarragon::system_test {
namespace {

constexpr int kExitNoProgram = 127;
constexpr int kSignalBase = 128;
constexpr off_t kTailBytes = 1500;
constexpr int kSafetyMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(kSafetyStop).count();

std::string ProgramPath(const std::string& program) {
  const std::filesystem::path self =
      std::filesystem::read_symlink("/proc/self/exe");
  return (self.parent_path() / program).string();
}

bool Readable(int fd) {
  pollfd wait{fd, POLLIN, 0};
  return poll(&wait, 1, kSafetyMs) == 1;
}

}  // namespace

void FailTest(const std::string& text) {
  throw CppUnit::Exception(CppUnit::Message(text));
}

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments)
    : name_(program) {
  std::string path = ProgramPath(program);
  std::vector<std::string> texts = arguments;
  std::vector<char*> argv = {path.data()};
  for (std::string& text : texts) argv.push_back(text.data());
  argv.push_back(nullptr);
  std::array<int, 2> pipes{};
  if (pipe2(pipes.data(), O_CLOEXEC) != 0) FailTest("No pipe.");
  output_ = pipes[0];
  log_ = memfd_create("log", MFD_CLOEXEC);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) FailTest("Cannot start " + program);
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(kExitNoProgram);
    dup2(pipes[1], STDOUT_FILENO);
    dup2(log_, STDERR_FILENO);
    // A relay's socket that lived on here would not close when it is cut.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(path.c_str(), argv.data());
    _exit(kExitNoProgram);
  }
  close(pipes[1]);
}

ChildProcess::~ChildProcess() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  close(output_);
  close(log_);
}

std::string ChildProcess::FirstLine() {
  std::string line;
  char byte = 0;
  while (Readable(output_) && read(output_, &byte, 1) == 1) {
    if (byte == '\n') return line;
    line += byte;
  }
  FailTest(name_ + " did not start: " + LogTail());
}

void ChildProcess::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

int ChildProcess::WaitEnd() {
  if (pid_ <= 0) return 0;
  const int watch = static_cast<int>(syscall(SYS_pidfd_open, pid_, 0));
  const bool ended = Readable(watch);
  close(watch);
  if (!ended) FailTest(name_ + " did not end: " + LogTail());
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalBase + WTERMSIG(status);
}

std::string ChildProcess::Log() const { return LogFrom(0); }

std::string ChildProcess::LogTail() const {
  return LogFrom(std::max<off_t>(0, lseek(log_, 0, SEEK_END) - kTailBytes));
}

std::string ChildProcess::LogFrom(off_t from) const {
  const off_t size = lseek(log_, 0, SEEK_END);
  std::string text(static_cast<std::size_t>(size - from), '\0');
  const ssize_t got = pread(log_, text.data(), text.size(), from);
  text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, got)));
  return text;
}

}  // namespace tarragon::system_test
