#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

#include "frame.h"
#include "hello.h"
#include "http2_session.h"

namespace tarragon::wire {
namespace {

const core::NodeId kEntryNode{core::Address("127.0.0.1:7001"),
                              core::Incarnation(0xa)};
const core::NodeId kGateNode{core::Address("127.0.0.1:7002"),
                             core::Incarnation(0xb)};

/// The order in which an entry's messages reach a gate.
class StopOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopOrderTest);
  CPPUNIT_TEST(NoticeDoesNotOvertakeStop);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a gate that goes on with a run for an entry that is alive,
  // while the order to stop the run waits behind a large message.
  void NoticeDoesNotOvertakeStop() {
    Http2Session entry(Role::kDialler, kEntryNode, kGateNode.incarnation,
                       kMaxFrameBytes);
    Http2Session gate(Role::kListener, kGateNode, core::Incarnation(),
                      kMaxFrameBytes);
    Pump(&entry, &gate);
    Pump(&gate, &entry);
    Queue(&entry, MakeLargeUpdate());
    Queue(&entry, coordinator::AskRun{
                      {{coordinator::JobId("job"), 0, 0}, 1}, true, {}});
    Queue(&entry, coordinator::EntryNotice{});
    const std::vector<Inbound> read = Pump(&entry, &gate);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, read.size());
    std::string order;
    for (const Inbound& inbound : read) {
      order += std::string(dispatch::Name(inbound.message)) + " ";
    }
    CPPUNIT_ASSERT_MESSAGE(order,
                           order.find("ask_run") < order.find("entry_notice"));
  }

 private:
  static constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 20;

  static coordinator::OperatorUpdate MakeLargeUpdate() {
    constexpr std::size_t kQueues = 1400;
    coordinator::OperatorUpdate update;
    for (std::size_t i = 0; i < kQueues; ++i) {
      coordinator::Queue queue;
      queue.name = coordinator::QueueId("queue-" + std::to_string(i));
      queue.path_prefix = "/" + queue.name.value() + "/";
      update.state.queues.push_back(std::move(queue));
    }
    return update;
  }

  static void Queue(Http2Session* session, const dispatch::Message& message) {
    session->Queue(ChannelOf(message), EncodeFrame(message));
  }

  static std::vector<Inbound> Pump(Http2Session* from, Http2Session* to) {
    constexpr std::size_t kCollectBytes = std::size_t{1} << 24;
    std::string bytes;
    WireError reason;
    CPPUNIT_ASSERT(from->Collect(kCollectBytes, &bytes, &reason));
    std::vector<Inbound> messages;
    CPPUNIT_ASSERT_MESSAGE(reason.detail,
                           to->Receive(bytes, &messages, &reason));
    return messages;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopOrderTest);

}  // namespace
}  // namespace tarragon::wire
