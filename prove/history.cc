#include "history.h"

#include <sstream>
#include <utility>
#include <vector>

namespace tarragon::prove {
namespace {

constexpr std::size_t kMaxEvents = 400'000;

std::string Line(const HistoryEvent& event) {
  std::ostringstream line;
  line << "  step=" << event.step << " t=" << event.at.since_start.count()
       << "us";
  if (event.job != kNoJob) line << " job=" << event.job;
  line << " " << event.what;
  if (event.process >= 0) line << " p" << event.process;
  if (event.other >= 0) line << " -> p" << event.other;
  line << " [" << event.number << "," << event.extra << "] " << event.detail
       << "\n";
  return line.str();
}

}  // namespace

void Add(History* history, HistoryEvent event) {
  history->events.push_back(std::move(event));
  if (history->events.size() > kMaxEvents) history->events.pop_front();
}

std::string Print(const History& history, int job, std::size_t limit,
                  bool with_common) {
  std::vector<std::string> lines;
  for (auto it = history.events.rbegin(); it != history.events.rend(); ++it) {
    if (lines.size() >= limit) break;
    const bool common = it->job == kNoJob && with_common;
    if (it->job == job || common) lines.push_back(Line(*it));
  }
  std::string text;
  for (auto it = lines.rbegin(); it != lines.rend(); ++it) text += *it;
  return text;
}

}  // namespace tarragon::prove
