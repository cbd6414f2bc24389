#include "http2_session.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "frame.h"
#include "http2_header.h"
#include "tarragon/wire/codec.h"
#include "tests/samples.h"

namespace tarragon::wire {
namespace {

constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 20;
constexpr std::size_t kCollectBytes = std::size_t{1} << 24;
constexpr int kMutations = 20000;
constexpr std::uint32_t kSeed = 20261204;

const core::NodeId kDiallerNode{core::Address("127.0.0.1:7001"),
                                core::Incarnation(0xa)};
const core::NodeId kListenerNode{core::Address("127.0.0.1:7002"),
                                 core::Incarnation(0xb)};

/// What a client that is not ours sends: one request after the preface.
std::string ForeignRequest(
    std::vector<std::pair<std::string, std::string>> headers) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session* session = nullptr;
  CPPUNIT_ASSERT_EQUAL(0, nghttp2_session_callbacks_new(&callbacks));
  CPPUNIT_ASSERT_EQUAL(
      0, nghttp2_session_client_new(&session, callbacks, nullptr));
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, nullptr, 0);
  std::vector<nghttp2_nv> values = {MakeHeader(":scheme", "http"),
                                    MakeHeader(":authority", "a")};
  for (const auto& [name, value] : headers) {
    values.push_back(MakeHeader(name, value));
  }
  nghttp2_submit_request(session, nullptr, values.data(), values.size(),
                         nullptr, nullptr);
  std::string bytes;
  const std::uint8_t* part = nullptr;
  while (true) {
    const ssize_t length = nghttp2_session_mem_send(session, &part);
    if (length <= 0) break;
    bytes.append(reinterpret_cast<const char*>(part),
                 static_cast<std::size_t>(length));
  }
  nghttp2_session_del(session);
  return bytes;
}

class Http2SessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(Http2SessionTest);
  CPPUNIT_TEST(GreetsAndExchanges);
  CPPUNIT_TEST(ListenerOfAnotherLifeTakesNothing);
  CPPUNIT_TEST(EndsInGoodOrder);
  CPPUNIT_TEST(RefusesForeignRequests);
  CPPUNIT_TEST(RefusesDataBeforeTheGreeting);
  CPPUNIT_TEST(SurvivesMutationsOfADialler);
  CPPUNIT_TEST(SurvivesMutationsOfAListener);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GreetsAndExchanges() {
    Http2Session dialler = MakeDialler(kListenerNode.incarnation);
    Http2Session listener = MakeListener();
    dialler.Queue(Channel::kControl, EncodeFrame(dispatch::Heartbeat()));
    dialler.Queue(Channel::kWork, EncodeFrame(SampleAssign(1, 100000)));
    const std::vector<Inbound> there = Pump(&dialler, &listener);
    CPPUNIT_ASSERT(listener.greeting() == Greeting::kDone);
    CPPUNIT_ASSERT(listener.peer() == kDiallerNode);
    listener.Queue(Channel::kWork, EncodeFrame(SampleAssign(2, 100000)));
    const std::vector<Inbound> back = Pump(&listener, &dialler);
    CPPUNIT_ASSERT(dialler.greeting() == Greeting::kDone);
    CPPUNIT_ASSERT(dialler.peer() == kListenerNode);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, back.size());
    CPPUNIT_ASSERT(back[0].message ==
                   dispatch::Message(SampleAssign(2, 100000)));
    // The rest of the first payload had to wait for the peer's window.
    std::vector<Inbound> all = there;
    for (Inbound& inbound : Pump(&dialler, &listener)) {
      all.push_back(std::move(inbound));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, all.size());
    CPPUNIT_ASSERT(all[0].message == dispatch::Message(dispatch::Heartbeat()));
    CPPUNIT_ASSERT(all[1].message ==
                   dispatch::Message(SampleAssign(1, 100000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dialler.queued_bytes());
  }

  void ListenerOfAnotherLifeTakesNothing() {
    Http2Session dialler = MakeDialler(core::Incarnation(0xc));
    Http2Session listener = MakeListener();
    dialler.Queue(Channel::kControl, EncodeFrame(dispatch::Heartbeat()));
    CPPUNIT_ASSERT(Pump(&dialler, &listener).empty());
    CPPUNIT_ASSERT(listener.greeting() == Greeting::kMisdirected);
    CPPUNIT_ASSERT(Pump(&listener, &dialler).empty());
    CPPUNIT_ASSERT(dialler.greeting() == Greeting::kMisdirected);
    CPPUNIT_ASSERT(dialler.peer() == kListenerNode);
  }

  void EndsInGoodOrder() {
    Http2Session dialler = MakeDialler(core::Incarnation());
    Http2Session listener = MakeListener();
    Pump(&dialler, &listener);
    Pump(&listener, &dialler);
    dialler.Queue(Channel::kControl, EncodeFrame(dispatch::Heartbeat()));
    dialler.EndSending();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Pump(&dialler, &listener).size());
    CPPUNIT_ASSERT(listener.remote_ending());
    CPPUNIT_ASSERT(!listener.finished());
    listener.Queue(Channel::kWork, EncodeFrame(SampleAssign(1, 10)));
    listener.EndSending();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Pump(&listener, &dialler).size());
    CPPUNIT_ASSERT(listener.finished());
    CPPUNIT_ASSERT(dialler.finished());
  }

  void RefusesForeignRequests() {
    const std::string node = core::ToString(kDiallerNode);
    const std::string path = "/tarragon/1/control";
    AssertTaken(true,
                {{":method", "POST"}, {":path", path}, {kNodeHeader, node}});
    AssertTaken(false,
                {{":method", "GET"}, {":path", path}, {kNodeHeader, node}});
    AssertTaken(false,
                {{":method", "POST"}, {":path", "/"}, {kNodeHeader, node}});
    AssertTaken(false, {{":method", "POST"}, {":path", path}});
    for (const char* bad :
         {"", "127.0.0.1:7001", "host:7001~a", "~a", "127.0.0.1:0~a",
          "0.0.0.0:7001~a", "127.0.0.1:1~0"}) {
      AssertTaken(false,
                  {{":method", "POST"}, {":path", path}, {kNodeHeader, bad}});
    }
    for (const char* bad : {"0", "x", "b ", "11111111111111111"}) {
      AssertTaken(false, {{":method", "POST"},
                          {":path", path},
                          {kNodeHeader, node},
                          {kExpectsHeader, bad}});
    }
  }

  void RefusesDataBeforeTheGreeting() {
    // One stream is open, the other is not, and data comes.
    const std::string node = core::ToString(kDiallerNode);
    std::string bytes = ForeignRequest({{":method", "POST"},
                                        {":path", "/tarragon/1/work"},
                                        {kNodeHeader, node}});
    const std::string data(
        "\x00\x00\x04\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00", 13);
    Http2Session listener = MakeListener();
    std::vector<Inbound> inbox;
    CPPUNIT_ASSERT(listener.Receive(bytes, &inbox, nullptr));
    std::string out;
    const bool fine = listener.Receive(data, &inbox, nullptr) &&
                      listener.Collect(kCollectBytes, &out, nullptr);
    CPPUNIT_ASSERT(!fine);
    CPPUNIT_ASSERT(inbox.empty());
  }

  void SurvivesMutationsOfADialler() {
    Http2Session dialler = MakeDialler(core::Incarnation());
    for (const dispatch::Message& sample : SampleMessages()) {
      dialler.Queue(ChannelOf(sample), EncodeFrame(sample));
    }
    const std::string bytes = Collect(&dialler);
    std::mt19937 random(kSeed);
    int refused = 0;
    for (int i = 0; i < kMutations; ++i) {
      Http2Session listener = MakeListener();
      if (!Feed(&listener, Mutated(&random, bytes))) ++refused;
    }
    CPPUNIT_ASSERT(refused > 0);
    CPPUNIT_ASSERT(refused < kMutations);
  }

  void SurvivesMutationsOfAListener() {
    Http2Session first = MakeDialler(core::Incarnation());
    Http2Session listener = MakeListener();
    Pump(&first, &listener);
    for (const dispatch::Message& sample : SampleMessages()) {
      listener.Queue(ChannelOf(sample), EncodeFrame(sample));
    }
    const std::string bytes = Collect(&listener);
    std::mt19937 random(kSeed);
    int refused = 0;
    for (int i = 0; i < kMutations; ++i) {
      Http2Session dialler = MakeDialler(core::Incarnation());
      Collect(&dialler);
      if (!Feed(&dialler, Mutated(&random, bytes))) ++refused;
    }
    CPPUNIT_ASSERT(refused > 0);
    CPPUNIT_ASSERT(refused < kMutations);
  }

 private:
  static Http2Session MakeDialler(core::Incarnation expects) {
    return Http2Session(Role::kDialler, kDiallerNode, expects, kMaxFrameBytes);
  }

  static Http2Session MakeListener() {
    return Http2Session(Role::kListener, kListenerNode, core::Incarnation(),
                        kMaxFrameBytes);
  }

  static std::string Collect(Http2Session* session) {
    std::string bytes;
    CPPUNIT_ASSERT(session->Collect(kCollectBytes, &bytes, nullptr));
    return bytes;
  }

  /// Moves what `from` has to say to `to`; returns what arrived.
  static std::vector<Inbound> Pump(Http2Session* from, Http2Session* to) {
    std::vector<Inbound> inbox;
    WireError reason;
    CPPUNIT_ASSERT_MESSAGE(reason.detail,
                           to->Receive(Collect(from), &inbox, &reason));
    return inbox;
  }

  /// A listener takes, or refuses, a request with these headers.
  static void AssertTaken(
      bool taken,
      const std::vector<std::pair<std::string, std::string>>& headers) {
    Http2Session listener = MakeListener();
    CPPUNIT_ASSERT_EQUAL(taken, Feed(&listener, ForeignRequest(headers)));
    CPPUNIT_ASSERT(listener.greeting() == Greeting::kPending);
  }

  /// True if the session takes the bytes and goes on.
  static bool Feed(Http2Session* session, const std::string& bytes) {
    std::vector<Inbound> inbox;
    std::string out;
    return session->Receive(bytes, &inbox, nullptr) &&
           session->Collect(kCollectBytes, &out, nullptr);
  }

  static std::string Mutated(std::mt19937* random, std::string bytes) {
    const std::uint32_t changes = 1 + (*random)() % 3;
    for (std::uint32_t i = 0; i < changes; ++i) {
      // Most changes go to the start, where the headers of frames are.
      const std::size_t range = (*random)() % 4 == 0
                                    ? bytes.size()
                                    : std::min<std::size_t>(bytes.size(), 400);
      const std::size_t at = (*random)() % range;
      switch ((*random)() % 4) {
        case 0:
          bytes.erase(at, 1 + (*random)() % 4);
          break;
        case 1:
          bytes.insert(at, 1 + (*random)() % 4, static_cast<char>((*random)()));
          break;
        default:
          bytes[at] = static_cast<char>((*random)());
          break;
      }
    }
    return bytes;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http2SessionTest);

}  // namespace
}  // namespace tarragon::wire
