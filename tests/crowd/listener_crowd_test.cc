#include <string>

#include "crowd_fixture.h"

namespace tarragon::crowd {
namespace {

/// Just short of what the servers besides that of the clients take.
constexpr std::size_t kBodyBytes = std::size_t{1024} * 1024 - 64;

std::string MakePost(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\n";
}

CrowdPlan MakeBodyPlan(const std::string& path) {
  CrowdPlan plan;
  plan.head = [path](int /*client*/) {
    return MakePost(path) +
           "Content-Length: " + std::to_string(kBodyBytes + 1) + "\r\n\r\n";
  };
  plan.rest = std::string(kBodyBytes, 'x');
  return plan;
}

CrowdPlan MakeSilentPlan() {
  CrowdPlan plan;
  plan.connections = 20;
  return plan;
}

http::Request MakeGet(const std::string& path) {
  http::Request request;
  request.path = path;
  return request;
}

/// Crowds at the other addresses on which the processes speak HTTP/1.1.
class ListenerCrowdTest : public CrowdFixture {
  CPPUNIT_TEST_SUITE(ListenerCrowdTest);
  CPPUNIT_TEST(EntryWithstandsBodiesAtReadinessAddress);
  CPPUNIT_TEST(EntryWithstandsSilenceAtReadinessAddress);
  CPPUNIT_TEST(EntryWithstandsBodiesAtMetricsPage);
  CPPUNIT_TEST(EntryWithstandsUnreadMetricsPages);
  CPPUNIT_TEST(GateWithstandsBodiesAtMetricsPage);
  CPPUNIT_TEST(GateWithstandsBodiesAtAnnouncementAddress);
  CPPUNIT_TEST(GateWithstandsSilenceAtAnnouncementAddress);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EntryWithstandsBodiesAtReadinessAddress() {
    Withstand(ReadinessAddress(), MakeBodyPlan("/v1/ready"),
              MakeGet("/v1/ready"));
  }

  void EntryWithstandsSilenceAtReadinessAddress() {
    Withstand(ReadinessAddress(), MakeSilentPlan(), MakeGet("/v1/ready"));
  }

  void EntryWithstandsBodiesAtMetricsPage() {
    Withstand(MetricsAddress(kEntry), MakeBodyPlan("/metrics"),
              MakeGet("/metrics"));
  }

  void EntryWithstandsUnreadMetricsPages() {
    CrowdPlan plan;
    for (int i = 0; i < 500; ++i) {
      plan.rest += "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    plan.reads = false;
    Withstand(MetricsAddress(kEntry), plan, MakeGet("/metrics"));
  }

  void GateWithstandsBodiesAtMetricsPage() {
    Withstand(MetricsAddress(kGate), MakeBodyPlan("/metrics"),
              MakeGet("/metrics"));
  }

  void GateWithstandsBodiesAtAnnouncementAddress() {
    Withstand(AnnouncementAddress(),
              MakeBodyPlan("/v1/instances/t0/heartbeat"));
  }

  void GateWithstandsSilenceAtAnnouncementAddress() {
    Withstand(AnnouncementAddress(), MakeSilentPlan());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListenerCrowdTest);

}  // namespace
}  // namespace tarragon::crowd
