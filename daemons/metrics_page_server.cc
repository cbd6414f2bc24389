#include "metrics_page_server.h"

#include <string>
#include <utility>

#include "tarragon/core/log.h"
#include "tarragon/http/status.h"

namespace tarragon::daemons {
MetricsPageServer::MetricsPageServer(boost::asio::io_context& io,
                                     http::ServerLimits limits,
                                     metrics::Registry* registry,
                                     std::function<void()> refresh,
                                     std::shared_ptr<core::MemoryQuota> quota)
    : registry_(registry),
      refresh_registry_(std::move(refresh)),
      server_(
          io, limits,
          [this](const http::Request& request, const http::Responder& answer) {
            Handle(request, answer);
          },
          {}, std::move(quota)) {}

void MetricsPageServer::Listen(const core::Address& peers, std::uint16_t port) {
  if (port == 0) return;
  const std::string host =
      peers.value().substr(0, peers.value().rfind(':') + 1);
  http::HttpError reason;
  if (!server_.Listen(core::Address(host + std::to_string(port)), &reason)) {
    core::Log("metrics").Warn("Cannot listen on the port of the metrics page.",
                              {{"port", port}, {"why", reason.text}});
  }
}

void MetricsPageServer::Close() { server_.Close(); }

void MetricsPageServer::Handle(const http::Request& request,
                               const http::Responder& answer) {
  http::Response response;
  if (request.method != "GET" || request.path != "/metrics") {
    response.status = http::kStatusNotFound;
    return answer(response);
  }
  refresh_registry_();
  response.content_type = "text/plain; version=0.0.4";
  response.body = registry_->Exposition();
  answer(response);
}

void SetCounterTotal(metrics::Registry* registry, const char* name,
                     const metrics::Labels& labels, std::uint64_t value) {
  const double shown = registry->Value(name, labels);
  const std::uint64_t current = static_cast<std::uint64_t>(shown);
  if (value > current) registry->Count(name, labels, value - current);
}

}  // namespace tarragon::daemons
