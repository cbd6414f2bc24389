#include <cstdint>
#include <string>

#include "crowd_fixture.h"

namespace tarragon::crowd {
namespace {

constexpr char kPreface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// Frame types and flags of HTTP/2.
constexpr char kData = 0;
constexpr char kHeaders = 1;
constexpr char kSettings = 4;
constexpr char kContinuation = 9;
constexpr char kEndHeaders = 4;

constexpr std::size_t kMaxFrameBytes = 16384;
/// Bytes of an unfinished message. They fit into the stream's window.
constexpr std::size_t kUnfinishedBytes = 1000000;
constexpr std::uint32_t kStatedBytes = 4000000;

std::string BigEndian(std::uint32_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>(value >> shift);
  }
  return text;
}

std::string MakeFrame(char type, char flags, std::uint32_t stream,
                      const std::string& content) {
  return BigEndian(static_cast<std::uint32_t>(content.size()), 3) + type +
         flags + BigEndian(stream, 4) + content;
}

/// A header field as HPACK writes it without its tables; both texts are shorter
/// than 127 bytes.
std::string MakeField(const std::string& name, const std::string& value) {
  std::string text(1, '\0');
  text += static_cast<char>(name.size());
  text += name;
  text += static_cast<char>(value.size());
  return text + value;
}

std::string MakeRequest(std::uint32_t stream, const std::string& path,
                        const std::string& node) {
  return MakeFrame(kHeaders, kEndHeaders, stream,
                   MakeField(":method", "POST") + MakeField(":scheme", "http") +
                       MakeField(":authority", "tarragon") +
                       MakeField(":path", path) +
                       MakeField("tarragon-node", node));
}

/// The greeting of a peer that nobody knows; each client is another one.
std::string MakeGreeting(int client) {
  const std::string node = "127.9." + std::to_string(client / 250) + "." +
                           std::to_string(client % 250 + 1) + ":7000~" +
                           std::to_string(client + 1);
  return kPreface + MakeFrame(kSettings, 0, 0, "") +
         MakeRequest(1, "/tarragon/1/control", node) +
         MakeRequest(3, "/tarragon/1/work", node);
}

/// Messages that stop just short of their end.
CrowdPlan MakeUnfinishedPlan() {
  CrowdPlan plan;
  plan.head = MakeGreeting;
  std::string message = BigEndian(kStatedBytes, 4);
  message.resize(kUnfinishedBytes, 'x');
  for (std::size_t at = 0; at < message.size(); at += kMaxFrameBytes) {
    plan.rest += MakeFrame(kData, 0, 3, message.substr(at, kMaxFrameBytes));
  }
  return plan;
}

/// Headers that never end.
CrowdPlan MakeEndlessHeaderPlan() {
  CrowdPlan plan;
  plan.head = [](int /*client*/) {
    return kPreface + MakeFrame(kSettings, 0, 0, "") +
           MakeFrame(kHeaders, 0, 1, MakeField(":method", "POST"));
  };
  std::string fields;
  while (fields.size() < kMaxFrameBytes - 200) {
    fields += MakeField("x", std::string(100, 'x'));
  }
  plan.rest = MakeFrame(kContinuation, 0, 1, fields);
  plan.endless = true;
  return plan;
}

CrowdPlan MakeSilentPlan() {
  CrowdPlan plan;
  plan.connections = 20;
  return plan;
}

CrowdPlan MakeGreetingPlan() {
  CrowdPlan plan;
  plan.head = MakeGreeting;
  return plan;
}

/// Crowds at the addresses on which entries and gates speak to each other.
class PeerCrowdTest : public CrowdFixture {
  CPPUNIT_TEST_SUITE(PeerCrowdTest);
  CPPUNIT_TEST(EntryWithstandsSilence);
  CPPUNIT_TEST(EntryWithstandsGreetings);
  CPPUNIT_TEST(EntryWithstandsUnfinishedMessages);
  CPPUNIT_TEST(EntryWithstandsHeadersThatNeverEnd);
  CPPUNIT_TEST(GateWithstandsSilence);
  CPPUNIT_TEST(GateWithstandsGreetings);
  CPPUNIT_TEST(GateWithstandsUnfinishedMessages);
  CPPUNIT_TEST(GateWithstandsHeadersThatNeverEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EntryWithstandsSilence() {
    Withstand(PeerAddress(kEntry), MakeSilentPlan());
  }
  void EntryWithstandsGreetings() {
    Withstand(PeerAddress(kEntry), MakeGreetingPlan());
  }
  void EntryWithstandsUnfinishedMessages() {
    Withstand(PeerAddress(kEntry), MakeUnfinishedPlan());
  }
  void EntryWithstandsHeadersThatNeverEnd() {
    Withstand(PeerAddress(kEntry), MakeEndlessHeaderPlan());
  }
  void GateWithstandsSilence() {
    Withstand(PeerAddress(kGate), MakeSilentPlan());
  }
  void GateWithstandsGreetings() {
    Withstand(PeerAddress(kGate), MakeGreetingPlan());
  }
  void GateWithstandsUnfinishedMessages() {
    Withstand(PeerAddress(kGate), MakeUnfinishedPlan());
  }
  void GateWithstandsHeadersThatNeverEnd() {
    Withstand(PeerAddress(kGate), MakeEndlessHeaderPlan());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCrowdTest);

}  // namespace
}  // namespace tarragon::crowd
