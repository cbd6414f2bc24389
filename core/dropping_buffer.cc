#include "dropping_buffer.h"

#include <fcntl.h>
#include <unistd.h>

#include <iostream>

#include "tarragon/core/log.h"

namespace tarragon::core {
namespace {

/// Bytes that wait for a slow reader: some hundred lines.
constexpr std::size_t kMaxWaiting = std::size_t{64} * 1024;

/// Bytes that are written without a call of Send.
constexpr std::size_t kWriteSize = std::size_t{4} * 1024;

}  // namespace

DroppingBuffer::DroppingBuffer(int descriptor) : descriptor_(descriptor) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

DroppingBuffer::int_type DroppingBuffer::overflow(int_type c) {
  if (traits_type::eq_int_type(c, traits_type::eof())) return 0;
  const char one = traits_type::to_char_type(c);
  xsputn(&one, 1);
  return c;
}

std::streamsize DroppingBuffer::xsputn(const char* text,
                                       std::streamsize length) {
  for (std::streamsize i = 0; i < length; ++i) {
    line_ += text[i];
    if (text[i] == '\n') TakeLine();
  }
  return length;
}

void DroppingBuffer::TakeLine() {
  if (waiting_.size() + line_.size() > kMaxWaiting) {
    ++dropped_;
  } else {
    if (dropped_ > 0) {
      waiting_ += "Dropped log lines. count=" + std::to_string(dropped_) + "\n";
      dropped_ = 0;
    }
    waiting_ += line_;
  }
  line_.clear();
  if (waiting_.size() >= kWriteSize) WriteWaiting();
}

void DroppingBuffer::WriteWaiting() {
  std::size_t written = 0;
  while (written < waiting_.size()) {
    const ssize_t count = write(descriptor_, waiting_.data() + written,
                                waiting_.size() - written);
    if (count <= 0) break;
    written += static_cast<std::size_t>(count);
  }
  waiting_.erase(0, written);
}

namespace {

/// Of standard output, once the log goes there. Not freed, so that destructors
/// of static objects can still log.
DroppingBuffer* log_buffer = nullptr;

}  // namespace

void LogToStandardOutput() {
  if (log_buffer == nullptr) log_buffer = new DroppingBuffer(STDOUT_FILENO);
  std::cerr.rdbuf(log_buffer);
}

void SendLog() {
  if (log_buffer != nullptr) log_buffer->Send();
}

}  // namespace tarragon::core
