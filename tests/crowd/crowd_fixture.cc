#include "crowd_fixture.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "process_usage.h"

namespace tarragon::crowd {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

/// The machine of each process. Smaller than the smallest one of the users, so
/// that a small crowd is enough.
constexpr int kMemoryMb = 64;
constexpr std::size_t kMemoryBytes = std::size_t{kMemoryMb} << 20;
constexpr int kMaxDescriptors = 700;
/// The platform reserves these for files.
constexpr int kFileDescriptors = 200;
constexpr std::size_t kMaxSockets = kMaxDescriptors - kFileDescriptors;

constexpr milliseconds kSampleInterval{50};
constexpr milliseconds kRetryPause{200};
constexpr std::chrono::seconds kClientTimeout{5};
/// Tries of an ordinary caller before it counts as not served.
constexpr int kMaxAttempts = 40;
/// Only so that a hung process ends the test.
constexpr std::chrono::minutes kHangTime{3};

core::Address ToText(const tcp::endpoint& endpoint) {
  return core::Address(endpoint.address().to_string() + ":" +
                       std::to_string(endpoint.port()));
}

}  // namespace

void CrowdFixture::setUp() {
  run_folder_ = std::filesystem::temp_directory_path() /
                ("tarragon-crowd-" + std::to_string(getpid()));
  invariants_ = std::make_unique<soak::InvariantChecker>();
  cluster_ = std::make_unique<soak::Cluster>(io_);
  client_ = std::make_unique<http::Client>(io_, http::ClientLimits{});
  soak::Cluster::Config config;
  config.entries = 1;
  config.gates = 1;
  config.run_folder = run_folder_;
  config.invariants = invariants_.get();
  config.targets_list_progress = true;
  config.memory_mb = kMemoryMb;
  config.max_descriptors = kMaxDescriptors;
  config.metrics_pages = true;
  config.is_drained = [](const std::string&) { return false; };
  config.draw_seed = [] { return std::uint64_t{1}; };
  cluster_->Start(config);
  SampleUsage();
  CompleteOrdinaryJob();
}

void CrowdFixture::tearDown() {
  crowd_.reset();
  client_.reset();
  cluster_.reset();
  std::filesystem::remove_all(run_folder_);
}

tcp::endpoint CrowdFixture::At(const std::string& ip, int offset) const {
  return {boost::asio::ip::make_address(ip),
          static_cast<std::uint16_t>(cluster_->base_port + offset)};
}

tcp::endpoint CrowdFixture::ClientAddress() const { return At("127.1.0.1", 1); }

tcp::endpoint CrowdFixture::ReadinessAddress() const {
  return At("127.1.0.1", 2);
}

tcp::endpoint CrowdFixture::AnnouncementAddress() const {
  return At("127.2.0.1", 1);
}

tcp::endpoint CrowdFixture::PeerAddress(Role role) const {
  return At(role == kEntry ? "127.3.0.1" : "127.4.0.1", 0);
}

tcp::endpoint CrowdFixture::MetricsAddress(Role role) const {
  return At(role == kEntry ? "127.1.0.1" : "127.2.0.1",
            soak::kMetricsPortOffset);
}

core::Address CrowdFixture::ClientAddressText() const {
  return ToText(ClientAddress());
}

std::string CrowdFixture::ReadMetrics(Role role) {
  http::Request request;
  request.path = "/metrics";
  return SendUntilAnswered(ToText(MetricsAddress(role)), request).body;
}

std::vector<std::string> CrowdFixture::IpsOf(Role role) const {
  if (role == kEntry) return {"127.1.0.1", "127.3.0.1"};
  return {"127.2.0.1", "127.4.0.1"};
}

void CrowdFixture::SampleUsage() {
  for (const Role role : {kEntry, kGate}) {
    most_unread_[role] = std::max(most_unread_[role], UnreadBytes(IpsOf(role)));
    most_sockets_[role] =
        std::max(most_sockets_[role],
                 CountSocketsAndPipes(cluster_->processes[role]->pid()));
  }
  soak::RunAfter(io_, kSampleInterval, [this] {
    if (cluster_ != nullptr) SampleUsage();
  });
}

void CrowdFixture::RunUntil(const std::function<bool()>& done) {
  const auto hung = std::chrono::steady_clock::now() + kHangTime;
  while (!done()) {
    CPPUNIT_ASSERT_MESSAGE("The test hangs.",
                           std::chrono::steady_clock::now() < hung);
    io_.run_one();
  }
}

http::Request CrowdFixture::MakeJob(const std::string& body) {
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(++last_job_));
  http::Request request;
  request.method = "POST";
  request.path = std::string("/checks/") + id;
  request.headers["host"] = "q.example";
  request.headers["x-deadline-ms"] = "3000";
  request.body = body;
  return request;
}

std::string CrowdFixture::MakeJobBody(const std::string& spec,
                                      const std::string& steps) {
  return R"({"spec":")" + spec + R"(","best_effort":true,"steps":[)" + steps +
         "]}";
}

std::optional<http::Response> CrowdFixture::SendOnce(
    const core::Address& server, const http::Request& request) {
  bool answered = false;
  std::optional<http::Response> answer;
  client_->Send(server, request, kClientTimeout,
                [&](const std::optional<http::Response>& response,
                    const http::HttpError& /*error*/) {
                  answer = response;
                  answered = true;
                });
  RunUntil([&] { return answered; });
  return answer;
}

http::Response CrowdFixture::SendUntilAnswered(const core::Address& server,
                                               const http::Request& request) {
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const std::optional<http::Response> response = SendOnce(server, request);
    if (response.has_value() && response->status == 200) return *response;
    bool paused = false;
    soak::RunAfter(io_, kRetryPause, [&paused] { paused = true; });
    RunUntil([&paused] { return paused; });
  }
  CPPUNIT_FAIL("An ordinary request got no answer: " + request.path);
  return {};
}

void CrowdFixture::CompleteOrdinaryJob() {
  // The target takes the first number for the processor that a task needs and
  // the second one for its run time.
  const http::Request request = MakeJob(
      MakeJobBody("125 20 ordinary", R"({"count":1,"cpu":125,"mem_mb":10,)"
                                     R"("est_runtime_ms":20})"));
  const http::Response response =
      SendUntilAnswered(ClientAddressText(), request);
  CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"completed"})"), response.body);
}

void CrowdFixture::CheckProcesses() {
  for (const Role role : {kEntry, kGate}) {
    soak::Process* process = cluster_->processes[role].get();
    CPPUNIT_ASSERT_MESSAGE(process->program() + " has ended.",
                           process->UpdateIsRunning());
    const std::size_t resident = PeakResidentBytes(process->pid());
    const std::string held = process->program() + ": resident " +
                             std::to_string(resident) + ", unread " +
                             std::to_string(most_unread_[role]) + ", sockets " +
                             std::to_string(most_sockets_[role]);
    std::printf("  %s\n", held.c_str());
    CPPUNIT_ASSERT_MESSAGE(held, resident + most_unread_[role] <= kMemoryBytes);
    CPPUNIT_ASSERT_MESSAGE(held, most_sockets_[role] <= kMaxSockets);
  }
}

void CrowdFixture::AwaitFreedMemory() {
  const pid_t entry = cluster_->processes[kEntry]->pid();
  RunUntil([entry] { return ResidentBytes(entry) <= kMemoryBytes / 4; });
}

void CrowdFixture::Withstand(const tcp::endpoint& server,
                             const CrowdPlan& plan) {
  http::Request pending;
  pending.path = "/checks/";
  pending.headers["host"] = "q.example";
  crowd_ = std::make_unique<Crowd>(io_, server, plan);
  crowd_->Start();
  RunUntil([this] { return crowd_->HasArrived(); });
  CompleteOrdinaryJob();
  RunUntil([this] { return crowd_->IsSettled(); });
  CompleteOrdinaryJob();
  SendUntilAnswered(ClientAddressText(), pending);
  crowd_->Leave();
  CompleteOrdinaryJob();
  CheckProcesses();
}

void CrowdFixture::Withstand(const tcp::endpoint& server, const CrowdPlan& plan,
                             const http::Request& also) {
  crowd_ = std::make_unique<Crowd>(io_, server, plan);
  crowd_->Start();
  RunUntil([this] { return crowd_->HasArrived(); });
  CompleteOrdinaryJob();
  SendUntilAnswered(ToText(server), also);
  RunUntil([this] { return crowd_->IsSettled(); });
  CompleteOrdinaryJob();
  SendUntilAnswered(ToText(server), also);
  crowd_->Leave();
  SendUntilAnswered(ToText(server), also);
  CompleteOrdinaryJob();
  CheckProcesses();
}

}  // namespace tarragon::crowd
