#ifndef TARRAGON_DAEMONS_METRICS_PAGE_SERVER_H_
#define TARRAGON_DAEMONS_METRICS_PAGE_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <optional>

#include "tarragon/core/ids.h"
#include "tarragon/http/server.h"
#include "tarragon/metrics/registry.h"

namespace tarragon::daemons {

/// Serves GET /metrics. `refresh` brings the registry up to date before.
class MetricsPageServer {
 public:
  MetricsPageServer(boost::asio::io_context& io, metrics::Registry* registry,
                    std::function<void()> refresh);

  /// Listens on `port` of the address of `peers`; port 0 does nothing. A port
  /// that is in use is logged: the process runs on without its page.
  void Listen(const core::Address& peers, std::uint16_t port);
  void Close();

 private:
  void Handle(const http::Request& request, const http::Responder& answer);

  metrics::Registry* registry_;
  std::function<void()> refresh_registry_;
  http::Server server_;
};

/// Sets a counter of the registry to a value that was counted elsewhere.
void SetCounterTotal(metrics::Registry* registry, const char* name,
                     const metrics::Labels& labels, std::uint64_t value);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_METRICS_PAGE_SERVER_H_
