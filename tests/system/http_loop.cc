#include "http_loop.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace tarragon::system_test {
namespace {

constexpr std::size_t kMaxResponseBytes = std::size_t{64} << 20;

Reply ReplyOf(const std::optional<http::Response>& response,
              const http::HttpError& error) {
  Reply reply;
  reply.at = core::SystemClock().Now();
  reply.error = error.text;
  if (!response.has_value()) return reply;
  reply.status = response->status;
  reply.body = response->body;
  return reply;
}

}  // namespace

HttpLoop::HttpLoop() : work_(boost::asio::make_work_guard(io_)) {
  http::ClientLimits limits;
  limits.max_response_bytes = kMaxResponseBytes;
  client_ = std::make_unique<http::Client>(io_, limits);
  thread_ = std::thread([this] { io_.run(); });
}

HttpLoop::~HttpLoop() {
  Stop();
  client_.reset();
}

void HttpLoop::Stop() {
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

void HttpLoop::Run(const std::function<void()>& step) {
  std::promise<void> done;
  boost::asio::post(io_, [&step, &done] {
    step();
    done.set_value();
  });
  done.get_future().wait();
}

void HttpLoop::Send(const std::string& address, const http::Request& request,
                    Done done) {
  boost::asio::post(io_, [this, address, request, done = std::move(done)] {
    client_->Send(core::Address(address), request,
                  std::chrono::duration_cast<core::Duration>(kSafetyStop),
                  [done](const std::optional<http::Response>& response,
                         const http::HttpError& error) {
                    done(ReplyOf(response, error));
                  });
  });
}

std::future<Reply> HttpLoop::Start(const std::string& address,
                                   const http::Request& request) {
  const std::shared_ptr<std::promise<Reply>> promise =
      std::make_shared<std::promise<Reply>>();
  Send(address, request,
       [promise](Reply reply) { promise->set_value(std::move(reply)); });
  return promise->get_future();
}

Reply HttpLoop::Call(const std::string& address, const http::Request& request) {
  return Await(Start(address, request), request.method + " " + request.path);
}

Reply HttpLoop::Get(const std::string& address, const std::string& path) {
  http::Request request;
  request.path = path;
  return Call(address, request);
}

Reply HttpLoop::Post(const std::string& address, const std::string& path,
                     const std::string& body) {
  http::Request request;
  request.method = "POST";
  request.path = path;
  request.headers["content-type"] = "application/json";
  request.body = body;
  return Call(address, request);
}

}  // namespace tarragon::system_test
