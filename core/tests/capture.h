#ifndef TARRAGON_CORE_TESTS_CAPTURE_H_
#define TARRAGON_CORE_TESTS_CAPTURE_H_

#include <ostream>
#include <sstream>
#include <string>

namespace tarragon::core {

/// Takes what is written to a stream while it lives.
class Capture {
 public:
  explicit Capture(std::ostream* stream)
      : stream_(stream), before_(stream->rdbuf(text_.rdbuf())) {}
  ~Capture() { stream_->rdbuf(before_); }
  Capture(const Capture&) = delete;
  Capture& operator=(const Capture&) = delete;

  std::string text() const { return text_.str(); }

 private:
  std::ostream* stream_;
  std::ostringstream text_;
  std::streambuf* before_;
};

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_TESTS_CAPTURE_H_
