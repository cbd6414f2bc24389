#include "machine_limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace tarragon::daemons {
namespace {

constexpr std::size_t kBytesPerMb = std::size_t{1000} * 1000;
constexpr std::size_t kFileDescriptors = 200;

core::Settings Parse(const std::vector<std::string>& overrides) {
  std::vector<core::SettingError> errors;
  const std::optional<core::Settings> settings =
      core::Settings::Parse(MachineLimitSpecs(), "", "", overrides, &errors);
  CPPUNIT_ASSERT(settings.has_value());
  return *settings;
}

platform::NodeSettings MakeNode(std::int64_t memory_mb,
                                std::int64_t descriptors) {
  platform::NodeSettings node;
  node.memory_mb = memory_mb;
  node.max_descriptors = descriptors;
  return node;
}

struct Machine {
  std::int64_t memory_mb;
  std::int64_t descriptors;
};

constexpr Machine kMachines[] = {{64, 700},    {120, 3075}, {128, 4096},
                                 {160, 4100},  {260, 4100}, {512, 8192},
                                 {4096, 65536}};

class MachineLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MachineLimitsTest);
  CPPUNIT_TEST(StaysWithinTheMemory);
  CPPUNIT_TEST(StaysWithinTheDescriptors);
  CPPUNIT_TEST(OrdinaryRequestsOfAllClientsFit);
  CPPUNIT_TEST(SettingsChangeTheShares);
  CPPUNIT_TEST(ServesOnTheSmallestMachine);
  CPPUNIT_TEST(RefusesSharesThatLeaveTooLittle);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StaysWithinTheMemory() {
    for (const Machine& each : kMachines) {
      const MachineLimits limits = Compute(each);
      const std::size_t memory =
          static_cast<std::size_t>(each.memory_mb) * kBytesPerMb;
      const std::size_t unread =
          limits.client_connections * limits.receive_buffer_bytes;
      CPPUNIT_ASSERT(limits.connection_bytes + limits.job_bytes + unread <=
                     memory / 4 * 3);
    }
  }

  void StaysWithinTheDescriptors() {
    for (const Machine& each : kMachines) {
      const MachineLimits limits = Compute(each);
      const std::size_t sockets =
          static_cast<std::size_t>(each.descriptors) - kFileDescriptors;
      const std::size_t clients =
          limits.client_connections +
          MakeServerLimits(limits, limits.client_connections, 1)
              .max_refused_connections;
      const std::size_t targets =
          limits.target_connections + limits.open_orders;
      CPPUNIT_ASSERT(limits.peer_connections + 2 * limits.other_connections +
                         std::max(clients, targets) <
                     sockets);
    }
  }

  void OrdinaryRequestsOfAllClientsFit() {
    constexpr std::size_t kOrdinaryBytes = std::size_t{8} * 1024;
    for (const Machine& each : kMachines) {
      const MachineLimits limits = Compute(each);
      CPPUNIT_ASSERT(limits.client_connections * kOrdinaryBytes <=
                     limits.connection_bytes);
    }
  }

  void SettingsChangeTheShares() {
    const MachineLimits limits = ComputeMachineLimits(
        MakeNode(100, 4096),
        Parse({"limits.connection_memory=300", "limits.job_memory=100",
               "limits.client_connections=7"}));
    CPPUNIT_ASSERT_EQUAL(30 * kBytesPerMb, limits.connection_bytes);
    CPPUNIT_ASSERT_EQUAL(10 * kBytesPerMb, limits.job_bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, limits.client_connections);
  }

  void ServesOnTheSmallestMachine() {
    const MachineLimits limits = Compute({1, 1});
    CPPUNIT_ASSERT(limits.client_connections > 0);
    CPPUNIT_ASSERT(limits.target_connections > 0);
    CPPUNIT_ASSERT(limits.peer_connections > 0);
    CPPUNIT_ASSERT(limits.other_connections > 0);
    CPPUNIT_ASSERT(limits.open_orders > 0);
  }

  void RefusesSharesThatLeaveTooLittle() {
    for (const char* text :
         {"limits.connection_memory=401", "limits.connection_memory=0",
          "limits.job_memory=1000", "limits.client_connections=0"}) {
      std::vector<core::SettingError> errors;
      CPPUNIT_ASSERT_MESSAGE(
          text,
          !core::Settings::Parse(MachineLimitSpecs(), "", "", {text}, &errors));
    }
  }

 private:
  static MachineLimits Compute(const Machine& machine) {
    return ComputeMachineLimits(
        MakeNode(machine.memory_mb, machine.descriptors), Parse({}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MachineLimitsTest);

}  // namespace
}  // namespace tarragon::daemons
