#include "frame.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace tarragon::wire {
namespace {

/// The number in the first kFrameHeaderBytes of `bytes`.
std::size_t ReadLength(std::string_view bytes) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length = (length << 8) | static_cast<std::uint8_t>(bytes[i]);
  }
  return length;
}

bool RefuseLarge(WireError* reason) {
  return Fail(WireErrorCode::kTooLarge, "The frame is too large.", reason);
}

}  // namespace

bool FrameReader::Read(std::string_view bytes, const Sink& sink,
                       WireError* reason) {
  while (!bytes.empty()) {
    if (partial_.empty() && bytes.size() >= kFrameHeaderBytes) {
      const std::size_t length = ReadLength(bytes);
      if (length > max_frame_bytes_) return RefuseLarge(reason);
      if (bytes.size() - kFrameHeaderBytes >= length) {
        if (!sink(bytes.substr(kFrameHeaderBytes, length))) return false;
        bytes.remove_prefix(kFrameHeaderBytes + length);
        continue;
      }
    }
    std::size_t wanted = kFrameHeaderBytes;
    if (partial_.size() >= kFrameHeaderBytes) wanted += ReadLength(partial_);
    const std::size_t taken = std::min(wanted - partial_.size(), bytes.size());
    partial_.append(bytes.substr(0, taken));
    bytes.remove_prefix(taken);
    if (partial_.size() < kFrameHeaderBytes) return true;
    const std::size_t length = ReadLength(partial_);
    if (length > max_frame_bytes_) return RefuseLarge(reason);
    if (partial_.size() < kFrameHeaderBytes + length) continue;
    // The memory of a large frame is not kept for the next one.
    const std::string whole = std::exchange(partial_, {});
    const std::string_view content = whole;
    if (!sink(content.substr(kFrameHeaderBytes))) return false;
  }
  return true;
}

void FrameQueue::Add(std::string frame) {
  bytes_ += frame.size();
  frames_.push_back(std::move(frame));
}

std::size_t FrameQueue::Take(char* out, std::size_t length) {
  std::size_t taken = 0;
  while (taken < length && !frames_.empty()) {
    const std::string& first = frames_.front();
    const std::size_t part = std::min(first.size() - offset_, length - taken);
    std::copy_n(first.data() + offset_, part, out + taken);
    taken += part;
    offset_ += part;
    if (offset_ < first.size()) break;
    frames_.pop_front();
    offset_ = 0;
  }
  bytes_ -= taken;
  return taken;
}

}  // namespace tarragon::wire
