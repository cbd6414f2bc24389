#ifndef TARRAGON_DAEMONS_METRICS_PAGE_SERVER_H_
#define TARRAGON_DAEMONS_METRICS_PAGE_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "tarragon/core/ids.h"
#include "tarragon/http/server.h"
#include "tarragon/metrics/registry.h"

namespace tarragon::daemons {

/// HTTP server for GET /metrics. Calls `refresh` before each answer, to update
/// the registry. The connections take memory of `quota`.
class MetricsPageServer {
 public:
  MetricsPageServer(boost::asio::io_context& io, http::ServerLimits limits,
                    metrics::Registry* registry, std::function<void()> refresh,
                    std::shared_ptr<core::MemoryQuota> quota);

  /// Listens on `port` at the IP address of `peers`. Does nothing if `port` is
  /// 0. If the port is in use, logs a warning, and the process runs without a
  /// metrics page.
  void Listen(const core::Address& peers, std::uint16_t port);
  void Close();

  http::ServerCounters counters() const { return server_.counters(); }

 private:
  void Handle(const http::Request& request, const http::Responder& answer);

  metrics::Registry* registry_;
  std::function<void()> refresh_registry_;
  http::Server server_;
};

/// Raises a counter of the registry to `value`, a total that was counted
/// elsewhere.
void SetCounterTotal(metrics::Registry* registry, const char* name,
                     const metrics::Labels& labels, std::uint64_t value);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_METRICS_PAGE_SERVER_H_
