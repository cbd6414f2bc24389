#ifndef TARRAGON_DAEMONS_JOB_JSON_H_
#define TARRAGON_DAEMONS_JOB_JSON_H_

#include <optional>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/job.h"
#include "tarragon/http/message.h"

/// The JSON that clients send and get; see docs/INTERFACES.md.

namespace tarragon::daemons {

/// Why a client's call is no job at all.
struct RequestError {
  std::string detail;
};

/// A submission as the client sent it, without its key.
struct Submission {
  dispatch::JobSpec spec;
  core::Duration wait{0};
};

/// Reads the body of a submission.
std::optional<Submission> ParseSubmission(const std::string& body,
                                          RequestError* reason);

/// A key that a client may use: 1 to 200 visible ASCII characters.
bool IsValidKey(const std::string& text);

/// The answer with its status and headers. `handle` may be empty.
http::Response MakeAnswerResponse(const dispatch::JobAnswer& answer,
                                  const std::string& handle);

/// A call that never became a job.
http::Response MakeErrorResponse(int status, const std::string& reason,
                                 const std::string& detail);

/// 405: the path is called by `allowed`, "GET" or "GET, DELETE", only.
http::Response MakeMethodNotAllowedResponse(const std::string& allowed);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_JOB_JSON_H_
