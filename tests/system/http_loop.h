#ifndef TARRAGON_TESTS_SYSTEM_HTTP_LOOP_H_
#define TARRAGON_TESTS_SYSTEM_HTTP_LOOP_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "child_process.h"
#include "tarragon/core/clock.h"
#include "tarragon/http/client.h"

namespace tarragon::system_test {

/// What became of one call.
struct Reply {
  /// Zero when there was no answer.
  int status = 0;
  std::string body;
  /// The error when there was no answer.
  std::string error;
  /// CLOCK_BOOTTIME when the answer was there.
  core::Time at;
};

/// The value of a future; fails the test if it does not come.
template <typename T>
T Await(std::future<T> future, const std::string& what) {
  if (future.wait_for(kSafetyStop) != std::future_status::ready) {
    FailTest("Waited in vain for " + what);
  }
  return future.get();
}

/// Makes HTTP calls on a thread of its own.
class HttpLoop {
 public:
  using Done = std::function<void(Reply)>;

  HttpLoop();
  ~HttpLoop();
  HttpLoop(const HttpLoop&) = delete;
  HttpLoop& operator=(const HttpLoop&) = delete;

  /// Calls `done` on the loop's thread.
  void Send(const std::string& address, const http::Request& request,
            Done done);
  std::future<Reply> Start(const std::string& address,
                           const http::Request& request);
  /// Waits for the answer.
  Reply Call(const std::string& address, const http::Request& request);
  Reply Get(const std::string& address, const std::string& path);
  Reply Post(const std::string& address, const std::string& path,
             const std::string& body);

  /// Runs `step` on the loop's thread and waits for it.
  void Run(const std::function<void()>& step);
  /// Ends the thread. No call is answered any more.
  void Stop();

  boost::asio::io_context& io() { return io_; }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::unique_ptr<http::Client> client_;
  std::thread thread_;
};

}  // namespace tarragon::system_test

#endif  // TARRAGON_TESTS_SYSTEM_HTTP_LOOP_H_
