#ifndef TARRAGON_TESTS_SOAK_PROCESS_H_
#define TARRAGON_TESTS_SOAK_PROCESS_H_

#include <sys/types.h>

#include <string>

namespace tarragon::soak {

/// One program under test. Ends with this object; the kernel ends it if the
/// soak itself dies.
class Process {
 public:
  /// `program` is beside the soak's own program. Its log goes to `log_file`. It
  /// listens for peers at `bind_ip`.
  Process(std::string program, std::string node_file, std::string log_file,
          std::string bind_ip);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  /// Sends a signal; without effect when the process has ended.
  void Signal(int signal) const;
  /// Kills it and waits for its end.
  void Kill();
  /// Takes note of an end. True if the process runs.
  bool UpdateIsRunning();
  /// Ends that nobody asked for.
  int unexpected_exits() const { return unexpected_exits_; }
  const std::string& program() const { return program_; }
  const std::string& log_file() const { return log_file_; }

 private:
  std::string program_;
  std::string node_file_;
  std::string log_file_;
  std::string bind_ip_;
  pid_t pid_ = 0;
  mutable bool exit_expected_ = false;
  int unexpected_exits_ = 0;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_PROCESS_H_
