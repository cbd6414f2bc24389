#ifndef TARRAGON_TESTS_SYSTEM_CHILD_PROCESS_H_
#define TARRAGON_TESTS_SYSTEM_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace tarragon::system_test {

/// A wait that lasts longer fails the test; no verdict depends on it.
inline constexpr std::chrono::seconds kSafetyStop{20};

/// Throws CppUnit's exception, which fails the running test.
[[noreturn]] void FailTest(const std::string& text);

/// One process of the cluster under test. The destructor kills it, and the
/// kernel does so when the test program itself dies.
class ChildProcess {
 public:
  /// Starts `program` of the directory of the test program with `arguments`.
  /// Must be called by the main thread.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// The first line of its output; waits for it.
  std::string FirstLine();
  /// Sends a signal; without effect when the process has ended.
  void Signal(int signal) const;
  /// Waits for the end. The exit code, or 128 and the signal.
  int WaitEnd();
  bool running() const { return pid_ > 0; }
  /// All that it has logged, and the end of that.
  std::string Log() const;
  std::string LogTail() const;

 private:
  std::string LogFrom(off_t from) const;

  std::string name_;
  pid_t pid_ = 0;
  int output_ = -1;
  int log_ = -1;
};

}  // namespace tarragon::system_test

#endif  // TARRAGON_TESTS_SYSTEM_CHILD_PROCESS_H_
