#include "recorder.hpp"

#include <algorithm>
#include <map>

namespace tarragon::review {

Recorder::Recorder(const std::string& path)
    : file_(path), origin_(Steady::now()) {}

std::int64_t Recorder::MillisAt(Moment moment) const {
  return std::chrono::duration_cast<milliseconds>(moment - origin_).count();
}

void Recorder::Note(const std::string& text) {
  file_ << MillisAt(Steady::now()) << " ms  " << text << std::endl;
}

std::size_t Recorder::BeginRun(const std::string& task, std::int64_t run,
                               const std::string& runner) {
  runs_.push_back({task, run, runner, Steady::now(), Moment::max(), "running"});
  Note("runner " + runner + ": started " + task + " run " +
       std::to_string(run));
  return runs_.size() - 1;
}

void Recorder::EndRun(std::size_t index, Moment at, const std::string& how) {
  RunRecord& run = runs_[index];
  run.ended_at = at;
  run.how = how;
  Note("runner " + run.runner + ": ended " + run.task + " run " +
       std::to_string(run.run) + " as " + how + ", at " +
       std::to_string(MillisAt(at)) + " ms");
}

std::vector<Overlap> Recorder::FindOverlaps(milliseconds least) const {
  std::map<std::string, std::vector<const RunRecord*>> by_task;
  for (const RunRecord& run : runs_) by_task[run.task].push_back(&run);
  std::vector<Overlap> overlaps;
  const Moment now = Steady::now();
  for (const auto& [task, runs] : by_task) {
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t j = i + 1; j < runs.size(); ++j) {
        const Moment begin = std::max(runs[i]->started_at, runs[j]->started_at);
        const Moment end =
            std::min({runs[i]->ended_at, runs[j]->ended_at, now});
        const auto length =
            std::chrono::duration_cast<milliseconds>(end - begin);
        if (length >= least) overlaps.push_back({*runs[i], *runs[j], length});
      }
    }
  }
  return overlaps;
}

}  // namespace tarragon::review
