/// A target for tests. It runs tasks by sleeping, records what it has started,
/// and misbehaves on demand.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <utility>

#include "target_standin_announcer.h"
#include "target_standin_options.h"
#include "target_standin_tasks.h"
#include "target_standin_witness.h"
#include "tarragon/http/server.h"

namespace tarragon::standin {
namespace {

constexpr int kExitUsage = 2;
/// How often a stopping target looks whether its answers are written.
constexpr std::chrono::milliseconds kDrainCheck{5};
constexpr std::size_t kMaxBodyBytes = std::size_t{1024} * 1024;

http::ServerLimits Limits(const TargetOptions& options) {
  http::ServerLimits limits;
  limits.max_connections = options.max_connections;
  limits.max_body_bytes = kMaxBodyBytes;
  return limits;
}

class Target {
 public:
  Target(boost::asio::io_context& io, const TargetOptions& options)
      : io_(io),
        witness_(options.log_starts),
        tasks_(io, options.slots, &witness_),
        server_(io, Limits(options),
                [this](const http::Request& request,
                       const http::Responder& respond) {
                  Route(request, respond);
                }),
        announcer_(io, options, [this] { return tasks_.running(); }),
        signals_(io, SIGTERM),
        drain_(io) {}

  /// False if the address cannot be listened on.
  bool Start(const core::Address& address);

 private:
  void Route(const http::Request& request, const http::Responder& respond);
  void Leave();
  void OnTasksEnded();
  void Drain();

  boost::asio::io_context& io_;
  Witness witness_;
  TargetTasks tasks_;
  http::Server server_;
  Announcer announcer_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer drain_;
  bool leaving_announced_ = false;
};

bool Target::Start(const core::Address& address) {
  http::HttpError reason;
  const std::optional<core::Address> bound = server_.Listen(address, &reason);
  if (!bound) {
    std::cerr << reason.text << "\n";
    return false;
  }
  signals_.async_wait([this](boost::system::error_code error, int) {
    if (!error) Leave();
  });
  announcer_.Start(*bound);
  std::cout << "listening " << bound->value() << std::endl;
  return true;
}

void Target::Route(const http::Request& request,
                   const http::Responder& respond) {
  const std::string call = request.method + " " + request.path;
  if (call == "POST /v1/tasks") return tasks_.Start(request, respond);
  if (call.rfind("DELETE /v1/tasks/", 0) == 0) {
    return tasks_.Stop(request, respond);
  }
  if (call == "GET /witness") return witness_.Serve(request, respond);
  if (call == "POST /fault") return tasks_.SetFault(request, respond);
  if (call == "POST /hold" || call == "POST /release") {
    return tasks_.SetHold(request, respond);
  }
  http::Response response;
  response.status = 404;
  response.body = "{}";
  respond(std::move(response));
}

void Target::Leave() {
  announcer_.Leave([this] { leaving_announced_ = true; });
  tasks_.Leave([this] { OnTasksEnded(); });
}

void Target::OnTasksEnded() {
  witness_.ReleaseAll();
  tasks_.DropHanging();
  server_.StopAccepting();
  Drain();
}

void Target::Drain() {
  if (leaving_announced_ && server_.open_requests() == 0) return io_.stop();
  drain_.expires_after(kDrainCheck);
  drain_.async_wait([this](boost::system::error_code error) {
    if (!error) Drain();
  });
}

int Main(int argc, char** argv) {
  std::string reason;
  const std::optional<TargetOptions> options =
      ParseTargetOptions(argc, argv, &reason);
  if (!options) {
    std::cerr << reason << "\n";
    return kExitUsage;
  }
  boost::asio::io_context io(1);
  Target target(io, *options);
  if (!target.Start(options->listen)) return 1;
  io.run();
  return 0;
}

}  // namespace
}  // namespace tarragon::standin

int main(int argc, char** argv) { return tarragon::standin::Main(argc, argv); }
