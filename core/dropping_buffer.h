#ifndef TARRAGON_CORE_DROPPING_BUFFER_H_
#define TARRAGON_CORE_DROPPING_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <streambuf>
#include <string>

namespace tarragon::core {

/// Writes whole lines to a descriptor without blocking, some at a time: each
/// write costs as much as several lines. What the descriptor
/// does not take waits, up to a bound; lines beyond it are dropped, and a later
/// line tells how many.
class DroppingBuffer : public std::streambuf {
 public:
  explicit DroppingBuffer(int descriptor);

  /// Writes what waits.
  void Send() { WriteWaiting(); }

  /// Lines that were dropped and not yet told of.
  std::uint64_t dropped() const { return dropped_; }

 protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char* text, std::streamsize length) override;

 private:
  void TakeLine();
  void WriteWaiting();

  int descriptor_;
  std::string line_;
  std::string waiting_;
  std::uint64_t dropped_ = 0;
};

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_DROPPING_BUFFER_H_
