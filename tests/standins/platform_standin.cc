#include <getopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include "platform_standin_table.h"
#include "tarragon/core/ids.h"
#include "tarragon/http/server.h"

namespace tarragon::standins {
namespace {

constexpr int kExitUsage = 2;
constexpr int kListenOption = 'l';
constexpr std::size_t kMaxBodyBytes = std::size_t{8} * 1024 * 1024;

/// The address of the command line; empty when the command line is bad.
std::optional<std::string> ReadListenAddress(int argc, char** argv) {
  const option options[] = {
      {"listen", required_argument, nullptr, kListenOption},
      {nullptr, 0, nullptr, 0}};
  std::string address = "127.0.0.1:0";
  int found = 0;
  while ((found = getopt_long(argc, argv, "", options, nullptr)) != -1) {
    if (found != kListenOption) return std::nullopt;
    address = optarg;
  }
  if (optind < argc) return std::nullopt;
  return address;
}

int Run(const std::string& address) {
  boost::asio::io_context io;
  PlatformStandin standin(io);
  http::ServerLimits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  http::Server server(
      io, limits,
      [&standin](const http::Request& request, const http::Responder& respond) {
        standin.Handle(request, respond);
      });
  http::HttpError reason;
  const std::optional<core::Address> bound =
      server.Listen(core::Address(address), &reason);
  if (!bound) {
    std::cerr << reason.text << std::endl;
    return 1;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(
      [&io](boost::system::error_code, int /*signal*/) { io.stop(); });
  std::cout << "listening " << bound->value() << std::endl;
  io.run();
  return 0;
}

}  // namespace
}  // namespace tarragon::standins

/// Stands in for the platform's table; see platform_standin_table.h.
int main(int argc, char** argv) {
  const std::optional<std::string> address =
      tarragon::standins::ReadListenAddress(argc, argv);
  if (!address) {
    std::cerr << "usage: platform_standin [--listen IP:PORT]" << std::endl;
    return tarragon::standins::kExitUsage;
  }
  return tarragon::standins::Run(*address);
}
