#ifndef TARRAGON_WIRE_FRAME_H_
#define TARRAGON_WIRE_FRAME_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "tarragon/dispatch/message.h"
#include "tarragon/wire/error.h"

namespace tarragon::wire {

/// Bytes of the big-endian length before each message.
inline constexpr std::size_t kFrameHeaderBytes = 4;

/// A message behind its length. Empty if it does not fit a protobuf message.
std::string EncodeFrame(const dispatch::Message& message);

/// The same for a report without the fields that describe its target.
std::string EncodeRepeatedTargetFrame(const coordinator::TargetReport& report);

/// Splits the bytes of one stream into frames.
class FrameReader {
 public:
  /// Takes the content of one frame. False refuses it and ends the reading.
  using Sink = std::function<bool(std::string_view)>;

  /// A frame may hold at most `max_frame_bytes`, its length not counted.
  explicit FrameReader(std::size_t max_frame_bytes)
      : max_frame_bytes_(max_frame_bytes) {}

  /// Hands each frame that `bytes` completes to `sink`. False, with a reason,
  /// if a frame is too large, or as soon as the sink refuses one.
  bool Read(std::string_view bytes, const Sink& sink, WireError* reason);

  /// True between two frames.
  bool empty() const { return partial_.empty(); }

  /// Memory of a frame that has arrived in part.
  std::size_t held_bytes() const {
    return partial_.empty() ? 0 : partial_.capacity();
  }

 private:
  std::size_t max_frame_bytes_;
  /// The start of a frame, its length included.
  std::string partial_;
};

/// Frames that wait to be sent on one stream, in order.
class FrameQueue {
 public:
  /// Adds a frame at the end.
  void Add(std::string frame);

  /// Moves up to `length` bytes to `out`. Returns how many.
  std::size_t Take(char* out, std::size_t length);

  bool empty() const { return frames_.empty(); }
  /// Bytes that wait.
  std::size_t bytes() const { return bytes_; }
  /// Frames that wait, among them one that is taken in part.
  std::size_t size() const { return frames_.size(); }

 private:
  std::deque<std::string> frames_;
  /// Bytes of the first frame that are taken already.
  std::size_t offset_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_FRAME_H_
