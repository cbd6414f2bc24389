#ifndef TARRAGON_BENCH_CLIENT_ANSWER_H_
#define TARRAGON_BENCH_CLIENT_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/http/message.h"

namespace tarragon::bench {

/// How a job ended for the client.
enum class JobEnd : std::uint8_t {
  kComplete = 0,
  kFailed,
  kNotRun,
  kUnknown,
  /// No final answer until the client's deadline.
  kNoAnswer,
  /// The bench did not submit it: a limit of its own, or no handle.
  kNotSubmitted,
  /// An answer that is none of the known forms.
  kBadAnswer,
};

/// The name in reports, such as "not_run".
const char* Name(JobEnd end);

/// Reads what Name wrote.
std::optional<JobEnd> ParseJobEnd(const std::string& name);

/// The answer to one call about a job.
struct ClientAnswer {
  enum class Kind : std::uint8_t { kFinal, kRunning, kMalformed };
  Kind kind = Kind::kMalformed;
  /// Set if the kind is not kRunning.
  JobEnd end = JobEnd::kBadAnswer;
  std::string reason;
  std::string key;
  /// A fresh handle; empty if there is none.
  std::string handle;
  /// Zero if there is none.
  core::Duration retry_after{0};
  std::vector<std::string> results;
};

/// Reads the answer to a submission, a query or a call for a handle.
ClientAnswer ReadClientAnswer(const http::Response& response);

/// What the client does next.
enum class NextStep : std::uint8_t {
  kEnd,
  /// Query by key.
  kAskAgain,
  /// Send the same submission again, to another address.
  kResubmit,
  /// Submit again after the answer's retry_after.
  kComeBack,
};

/// Decides after one call. `answer` is empty if it was lost for the reason
/// `error`. `time_left` counts to the client's deadline.
NextStep Decide(const std::optional<ClientAnswer>& answer,
                http::HttpErrorKind error, core::Duration time_left,
                bool retry_refused);

/// Whether a refused job needs another key to be submitted again.
bool NeedsNewKey(const std::string& reason);

/// Whether the home behind the key's handle takes no more jobs.
bool HandleIsSpent(const std::string& reason);

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_CLIENT_ANSWER_H_
