#ifndef TARRAGON_CTL_LOG_STORY_H_
#define TARRAGON_CTL_LOG_STORY_H_

#include <istream>
#include <string>
#include <vector>

/// What the logs of coordinating entries and gates tell of one job.

namespace tarragon::ctl {

/// The lines about one job, and what became of it.
struct LogStory {
  /// In the order of their time: lines with the job's id, and those about the
  /// targets, gates and entries of its runs while it was open.
  std::vector<std::string> lines;
  /// One sentence.
  std::string conclusion;
};

/// Reads the logs of any number of processes, one after the other or mixed.
/// Lines may begin with what a collector has put before them. A line without a
/// time of its own is left out.
LogStory ReadLogStory(std::istream& logs, const std::string& job);

}  // namespace tarragon::ctl

#endif  // TARRAGON_CTL_LOG_STORY_H_
