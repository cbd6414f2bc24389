#ifndef TARRAGON_REVIEW_STANDINS_3_RECORD_H_
#define TARRAGON_REVIEW_STANDINS_3_RECORD_H_

#include <chrono>
#include <cstdio>
#include <string>

namespace tarragon::review {

using Steady = std::chrono::steady_clock;

/// Writes what was sent, answered and run, one line each, with the seconds
/// since the start of the script.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")), begin_(Steady::now()) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  double Seconds() const {
    return std::chrono::duration<double>(Steady::now() - begin_).count();
  }
  void Line(const std::string& text) {
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f %s\n", Seconds(), text.c_str());
    std::fflush(file_);
  }
  /// Also shown on standard output.
  void Say(const std::string& text) {
    Line(text);
    std::printf("%8.3f %s\n", Seconds(), text.c_str());
    std::fflush(stdout);
  }

 private:
  std::FILE* file_;
  Steady::time_point begin_;
};

}  // namespace tarragon::review

#endif  // TARRAGON_REVIEW_STANDINS_3_RECORD_H_
