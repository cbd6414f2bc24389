#include "target_standin_announcer.h"

#include <boost/json.hpp>
#include <chrono>
#include <utility>

namespace tarragon::standin {
namespace {

constexpr std::chrono::seconds kPeriod{1};
constexpr std::chrono::seconds kTimeout{1};

}  // namespace

Announcer::Announcer(boost::asio::io_context& io, TargetOptions options,
                     std::function<std::size_t()> running)
    : options_(std::move(options)),
      running_(std::move(running)),
      client_(io, http::ClientLimits()),
      timer_(io) {}

void Announcer::Start(const core::Address& address) {
  address_ = address;
  if (!options_.agent.value().empty()) Announce();
}

void Announcer::Leave(std::function<void()> on_sent) {
  timer_.cancel();
  if (options_.agent.value().empty()) return on_sent();
  Send(true,
       [on_sent = std::move(on_sent)](const std::optional<http::Response>&,
                                      const http::HttpError&) { on_sent(); });
}

void Announcer::Announce() {
  Send(false,
       [](const std::optional<http::Response>&, const http::HttpError&) {});
  timer_.expires_after(kPeriod);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Announce();
  });
}

void Announcer::Send(bool leaving, http::Client::Done done) {
  boost::json::array services;
  for (const std::string& service : options_.services) {
    services.emplace_back(service);
  }
  http::Request request;
  request.method = "POST";
  request.path = "/v1/announce";
  request.headers["content-type"] = "application/json";
  request.body = boost::json::serialize(
      boost::json::object{{"address", address_.value()},
                          {"services", std::move(services)},
                          {"slots", options_.slots},
                          {"cores", options_.cores},
                          {"memory_mb", options_.memory_mb},
                          {"running", running_()},
                          {"leaving", leaving}});
  client_.Send(options_.agent, request, kTimeout, std::move(done));
}

}  // namespace tarragon::standin
