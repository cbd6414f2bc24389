#include "process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <utility>

#include "tarragon/platform/node_settings.h"

namespace tarragon::soak {

Process::Process(std::string program, std::string node_file,
                 std::string log_file, std::string bind_ip, int metrics_port)
    : program_(std::move(program)),
      node_file_(std::move(node_file)),
      log_file_(std::move(log_file)),
      bind_ip_(std::move(bind_ip)),
      metrics_port_(metrics_port) {}

Process::~Process() { Kill(); }

void Process::Start() {
  const std::string path =
      (std::filesystem::read_symlink("/proc/self/exe").parent_path() / program_)
          .string();
  exit_expected_ = false;
  const pid_t soak = getpid();
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The soak may have died before it was asked for the signal.
  if (getppid() != soak) _exit(127);
  // A connection stays open for its peer while any process has it.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  const int log = open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  setenv(platform::kNodeFileEnvVariable, node_file_.c_str(), 1);
  const std::string bind = "peers.bind_ip=" + bind_ip_;
  const std::string metrics = "metrics.port=" + std::to_string(metrics_port_);
  execl(path.c_str(), program_.c_str(), "--set", metrics.c_str(), "--set",
        bind.c_str(), nullptr);
  _exit(127);
}

void Process::Signal(int signal) const {
  if (pid_ <= 0) return;
  if (signal == SIGKILL || signal == SIGTERM) exit_expected_ = true;
  kill(pid_, signal);
}

void Process::Kill() {
  if (pid_ <= 0) return;
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool Process::UpdateIsRunning() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) != pid_) return true;
  pid_ = 0;
  if (!exit_expected_) ++unexpected_exits_;
  return false;
}

}  // namespace tarragon::soak
