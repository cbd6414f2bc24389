#ifndef TARRAGON_TESTS_CROWD_CROWD_FIXTURE_H_
#define TARRAGON_TESTS_CROWD_CROWD_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster.h"
#include "crowd.h"
#include "tarragon/http/client.h"

namespace tarragon::crowd {

/// One entry and one gate with a target, as real processes on small machines,
/// and a crowd at one of their addresses.
class CrowdFixture : public CppUnit::TestFixture {
 public:
  void setUp() override;
  void tearDown() override;

 protected:
  enum Role { kEntry = 0, kGate = 1 };

  // Addresses of the processes.
  boost::asio::ip::tcp::endpoint ClientAddress() const;
  boost::asio::ip::tcp::endpoint ReadinessAddress() const;
  boost::asio::ip::tcp::endpoint AnnouncementAddress() const;
  boost::asio::ip::tcp::endpoint PeerAddress(Role role) const;
  boost::asio::ip::tcp::endpoint MetricsAddress(Role role) const;

  /// Sends the crowd to `server`. Checks that an ordinary job completes while
  /// the crowd arrives, while it stays and after it has left, that the
  /// processes live, and that each stays within its machine's memory and
  /// descriptors.
  void Withstand(const boost::asio::ip::tcp::endpoint& server,
                 const CrowdPlan& plan);
  /// The same, with a request besides the job that must be answered with 200
  /// while the crowd stays.
  void Withstand(const boost::asio::ip::tcp::endpoint& server,
                 const CrowdPlan& plan, const http::Request& also);

  /// Runs until the entry has given back all but a quarter of its machine's
  /// memory.
  void AwaitFreedMemory();
  /// Submits a job of one small task until it has completed, as callers do.
  void CompleteOrdinaryJob();
  /// Sends the request to `server`, anew if it is refused or its connection is
  /// closed, until the answer is 200.
  http::Response SendUntilAnswered(const core::Address& server,
                                   const http::Request& request);
  /// The answer of the first try; nothing if there was none.
  std::optional<http::Response> SendOnce(const core::Address& server,
                                         const http::Request& request);
  http::Request MakeJob(const std::string& body);
  /// The body of a job with these steps, as JSON text.
  static std::string MakeJobBody(const std::string& spec,
                                 const std::string& steps);
  core::Address ClientAddressText() const;
  /// The text of the process's metrics page.
  std::string ReadMetrics(Role role);
  /// Fails the test if a process has ended or holds too much.
  void CheckProcesses();
  /// Runs until `done`.
  void RunUntil(const std::function<bool()>& done);

  boost::asio::io_context io_;

 private:
  void SampleUsage();
  boost::asio::ip::tcp::endpoint At(const std::string& ip, int offset) const;
  std::vector<std::string> IpsOf(Role role) const;

  std::unique_ptr<soak::InvariantChecker> invariants_;
  std::unique_ptr<soak::Cluster> cluster_;
  std::unique_ptr<http::Client> client_;
  std::unique_ptr<Crowd> crowd_;
  std::filesystem::path run_folder_;
  std::uint64_t last_job_ = 0;
  /// The most that was seen, by role.
  std::size_t most_unread_[2] = {0, 0};
  std::size_t most_sockets_[2] = {0, 0};
};

}  // namespace tarragon::crowd

#endif  // TARRAGON_TESTS_CROWD_CROWD_FIXTURE_H_
