#include "log_story.h"

#include <algorithm>
#include <array>
#include <optional>
#include <regex>
#include <set>
#include <utility>

namespace tarragon::ctl {
namespace {

struct Line {
  /// As written, so that the order of texts is the order of times.
  std::string time;
  std::string text;
  /// Value of the field "id"; empty for none.
  std::string subject;
};

/// A sentence with which an entry ends a job, and what the client was told.
struct Ending {
  const char* sentence;
  const char* meaning;
};

constexpr std::array<Ending, 5> kEndings = {{
    {"Refused a job that asks for what is not offered.",
     "Refused at once (503): it asks for what is not offered"},
    {"Refused a job.", "Refused at once (503)"},
    {"Gave up a job that has not run.", "Given up before any task ran (503)"},
    {"Gave up a job that has run in part.",
     "Given up after some tasks had run (504)"},
    {"A job ended.", "Answered (200)"},
}};

/// Sentences about entries that tell nothing of what happened to them.
constexpr std::array<const char*, 2> kCommon = {"Reserved room.",
                                                "A reservation ended."};

/// Sentences that say that other lines are not there.
constexpr std::array<const char*, 2> kGaps = {
    "Dropped log lines.", "Left out lines of the same sentence."};

/// Fields that name a target, gate or entry of a run.
constexpr std::array<const char*, 5> kPeers = {"target", "gate", "entry",
                                               "other_entry", "past_entry"};

/// Fields that tell why, in the order in which they are printed.
constexpr std::array<const char*, 5> kReasons = {"state", "reason", "why",
                                                 "waited", "took"};

std::string FieldOf(const std::string& text, const std::string& name) {
  std::size_t at = text.find(" " + name + "=");
  if (at == std::string::npos) return "";
  at += name.size() + 2;
  if (at < text.size() && text[at] == '"') {
    return text.substr(at + 1, text.find('"', at + 1) - at - 1);
  }
  return text.substr(at, text.find(' ', at) - at);
}

std::optional<Line> ReadLine(const std::string& text) {
  static const std::regex kTime(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z)");
  std::smatch time;
  if (!std::regex_search(text, time, kTime)) return std::nullopt;
  return Line{time.str(), text, FieldOf(text, "id")};
}

bool IsOfJob(const std::string& subject, const std::string& job) {
  return subject == job || subject.rfind(job + "/", 0) == 0;
}

template <std::size_t size>
bool HasOneOf(const std::string& text,
              const std::array<const char*, size>& sentences) {
  return std::any_of(sentences.begin(), sentences.end(),
                     [&text](const char* sentence) {
                       return text.find(sentence) != std::string::npos;
                     });
}

std::string Conclude(const std::vector<Line>& story) {
  std::string conclusion =
      "No line tells how the job ended: its entry was lost, or its logs are "
      "not here.";
  for (const Line& line : story) {
    for (const Ending& ending : kEndings) {
      if (line.text.find(ending.sentence) == std::string::npos) continue;
      conclusion = ending.meaning;
      for (const char* reason : kReasons) {
        const std::string value = FieldOf(line.text, reason);
        if (!value.empty())
          conclusion += std::string(", ") + reason + " " + value;
      }
      conclusion += ".";
      break;
    }
  }
  return conclusion;
}

}  // namespace

LogStory ReadLogStory(std::istream& logs, const std::string& job) {
  std::vector<Line> all;
  std::string text;
  while (std::getline(logs, text)) {
    std::optional<Line> line = ReadLine(text);
    if (line.has_value()) all.push_back(std::move(*line));
  }
  std::stable_sort(all.begin(), all.end(), [](const Line& a, const Line& b) {
    return a.time < b.time;
  });
  std::set<std::string> peers;
  std::string begin;
  std::string end;
  for (const Line& line : all) {
    if (!IsOfJob(line.subject, job)) continue;
    for (const char* field : kPeers) {
      const std::string peer = FieldOf(line.text, field);
      if (!peer.empty()) peers.insert(peer);
    }
    if (begin.empty()) begin = line.time;
    end = line.time;
  }
  LogStory story;
  std::vector<Line> own;
  bool has_gaps = false;
  for (const Line& line : all) {
    const bool of_job = IsOfJob(line.subject, job);
    const bool meanwhile = line.time >= begin && line.time <= end;
    const bool of_peer = peers.contains(line.subject) && meanwhile &&
                         !HasOneOf(line.text, kCommon);
    if (of_job) own.push_back(line);
    if (of_job || of_peer) story.lines.push_back(line.text);
    has_gaps = has_gaps || HasOneOf(line.text, kGaps);
  }
  story.conclusion =
      own.empty() ? "The logs do not name this job." : Conclude(own);
  if (has_gaps) {
    story.conclusion +=
        " Some lines were left out or dropped, so lines may be missing unless "
        "the job is in the sample.";
  }
  return story;
}

}  // namespace tarragon::ctl
