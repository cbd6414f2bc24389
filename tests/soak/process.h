#ifndef TARRAGON_TESTS_SOAK_PROCESS_H_
#define TARRAGON_TESTS_SOAK_PROCESS_H_

#include <sys/types.h>

#include <string>

namespace tarragon::soak {

/// A program under test, run as a child process. The destructor kills it, and
/// the kernel kills it if the soak itself dies.
class Process {
 public:
  /// `program` is a file in the directory of the soak's own executable. Its
  /// output is appended to `log_file`. It listens for peers at `bind_ip`, and
  /// has a metrics page unless `metrics_port` is 0.
  Process(std::string program, std::string node_file, std::string log_file,
          std::string bind_ip, int metrics_port);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  /// Sends a signal; does nothing if the process has ended.
  void Signal(int signal) const;
  /// Kills the process and waits until it has ended.
  void Kill();
  /// Reaps the process if it has ended. True if it still runs.
  bool UpdateIsRunning();
  /// How often the process ended without SIGKILL or SIGTERM from the soak.
  int unexpected_exits() const { return unexpected_exits_; }
  /// 0 if the process does not run.
  pid_t pid() const { return pid_; }
  const std::string& program() const { return program_; }
  const std::string& log_file() const { return log_file_; }

 private:
  std::string program_;
  std::string node_file_;
  std::string log_file_;
  std::string bind_ip_;
  int metrics_port_;
  pid_t pid_ = 0;
  mutable bool exit_expected_ = false;
  int unexpected_exits_ = 0;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_PROCESS_H_
