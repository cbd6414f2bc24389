#ifndef TARRAGON_BENCH_REQUESTS_H_
#define TARRAGON_BENCH_REQUESTS_H_

#include <cstddef>
#include <optional>
#include <string>

#include "tarragon/bench/arrivals.h"
#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/http/message.h"

/// What a client sends, and what it reads besides answers about jobs.

namespace tarragon::bench {

/// Asks for a handle of a service.
http::Request HandleRequest(const core::ServiceId& service);

/// A handle as the entry mints it.
struct FreshHandle {
  std::string handle;
  core::Duration valid{0};
};

/// Reads the answer to HandleRequest; nothing if it holds no handle.
std::optional<FreshHandle> ReadHandle(const http::Response& response);

/// Submits a job and waits for its answer until the deadline.
http::Request SubmissionRequest(const PlannedJob& job, const std::string& key,
                                core::Duration deadline);

/// Asks for the answer by key and waits for it.
http::Request QueryRequest(const std::string& key, core::Duration wait);

/// The result that task `task` of the job `key` must have.
std::string TaskResult(const std::string& key, std::size_t task);

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_REQUESTS_H_
