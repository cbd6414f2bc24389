#ifndef TARRAGON_PROVE_HISTORY_H_
#define TARRAGON_PROVE_HISTORY_H_

#include <cstdint>
#include <deque>
#include <string>

#include "tarragon/core/clock.h"

namespace tarragon::prove {

/// Events that concern no job, such as faults and release notes.
inline constexpr int kNoJob = -1;

/// One event of a run, in short form; texts are made only when printed.
struct HistoryEvent {
  std::uint64_t step = 0;
  core::Time at;
  int job = kNoJob;
  /// A literal.
  const char* what = "";
  int process = -1;
  int other = -1;
  std::int64_t number = 0;
  std::int64_t extra = 0;
  std::string detail;
};

/// The latest events of a run.
struct History {
  std::deque<HistoryEvent> events;
};

void Add(History* history, HistoryEvent event);

/// The latest `limit` events of `job`, oldest first, one line each; those that
/// concern no job are mixed in when `with_common` is set.
std::string Print(const History& history, int job, std::size_t limit,
                  bool with_common);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_HISTORY_H_
