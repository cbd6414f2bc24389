#ifndef TARRAGON_DAEMONS_JOB_JSON_H_
#define TARRAGON_DAEMONS_JOB_JSON_H_

#include <optional>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/dispatch/job.h"
#include "tarragon/http/message.h"

/// The JSON of the clients' HTTP interface; see docs/INTERFACES.md.

namespace tarragon::daemons {

/// Why the body of a request is invalid.
struct RequestError {
  /// One sentence for the sender.
  std::string detail;
};

/// A submitted job without its key, which is in a header.
struct Submission {
  dispatch::JobSpec spec;
  /// How long the request waits for the job's end before it is answered.
  core::Duration wait{0};
};

/// Parses the body of a submission. Returns nothing and sets `reason` if it is
/// invalid.
std::optional<Submission> ParseSubmission(const std::string& body,
                                          RequestError* reason);

/// True for a key that a client may use: 1 to 200 visible ASCII characters.
bool IsValidKey(const std::string& text);

/// Makes the response with the status, headers and body for `answer`. An empty
/// `handle` is left out.
http::Response MakeAnswerResponse(const dispatch::JobAnswer& answer,
                                  const std::string& handle);

/// Makes the response to a request that was rejected before it became a job.
http::Response MakeErrorResponse(int status, const std::string& reason,
                                 const std::string& detail);

/// Makes a 405 response. `allowed` lists the methods of the path, such as
/// "GET, DELETE".
http::Response MakeMethodNotAllowedResponse(const std::string& allowed);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_JOB_JSON_H_
