#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "home.h"

namespace tarragon::dispatch {
namespace {

constexpr char kLineEnd = '\n';
/// Bytes that the heap adds to each allocated block.
constexpr std::uint64_t kHeapBlockOverheadBytes = 16;
/// Bytes of a map node besides its value.
constexpr std::uint64_t kMapNodeBytes = 32 + kHeapBlockOverheadBytes;
/// Copies of the key: in the map of jobs, in the index of kept answers, in the
/// job and in its answer.
constexpr std::uint64_t kKeyCopies = 4;
constexpr std::uint64_t kFixedRecordBytes =
    kMapNodeBytes + sizeof(std::pair<core::JobKey, HomeJob>) +
    sizeof(std::pair<core::Time, core::JobKey>);

/// Heap bytes of `text`; zero if it fits into the string object.
std::uint64_t HeapBytes(const std::string& text) {
  if (text.capacity() <= std::string().capacity()) return 0;
  return text.capacity() + 1 + kHeapBlockOverheadBytes;
}

std::uint64_t RecordBytes(const HomeJob& job) {
  const std::vector<std::string>& results = job.answer.results;
  std::uint64_t bytes =
      kFixedRecordBytes + kKeyCopies * HeapBytes(job.spec.key.value()) +
      HeapBytes(job.spec.service.value()) + HeapBytes(job.spec.tenant.value()) +
      HeapBytes(job.answer.detail) + HeapBytes(job.ended_history);
  if (results.empty()) return bytes;
  bytes += results.capacity() * sizeof(std::string) + kHeapBlockOverheadBytes;
  for (const std::string& result : results) bytes += HeapBytes(result);
  return bytes;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::size_t size = 0;
  for (const std::string& line : lines) size += line.size() + 1;
  std::string text;
  text.reserve(size);
  for (const std::string& line : lines) {
    text += line;
    text += kLineEnd;
  }
  return text;
}

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = text.find(kLineEnd, begin);
    lines.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return lines;
}

}  // namespace

void CompactEndedJob(AgentBoard* board, HomeJob* job) {
  job->tasks = std::vector<HomeTask>();
  job->waiters = std::vector<Waiter>();
  job->ended_history = JoinLines(job->history);
  job->history = std::vector<std::string>();
  for (std::string& result : job->answer.results) {
    board->bytes_held -=
        std::min<std::uint64_t>(board->bytes_held, result.size());
    result.shrink_to_fit();
  }
  job->answer.results.shrink_to_fit();
  job->record_bytes = RecordBytes(*job);
  board->bytes_held += job->record_bytes;
  board->ended_job_bytes += job->record_bytes;
}

void ReleaseRecordBytes(AgentBoard* board, const HomeJob& job) {
  board->bytes_held -= std::min(board->bytes_held, job.record_bytes);
  board->ended_job_bytes -= std::min(board->ended_job_bytes, job.record_bytes);
}

std::vector<std::string> HistoryLines(const HomeJob& job) {
  return job.ended_history.empty() ? job.history
                                   : SplitLines(job.ended_history);
}

}  // namespace tarragon::dispatch
