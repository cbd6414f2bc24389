#include "frame.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace tarragon::wire {
namespace {

constexpr std::size_t kMaxFrameBytes = 1000;

std::string Framed(const std::string& content) {
  std::string frame(2, '\0');
  frame += static_cast<char>(content.size() >> 8);
  frame += static_cast<char>(content.size() & 0xff);
  return frame + content;
}

class FrameTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameTest);
  CPPUNIT_TEST(SplitsWhateverTheChunks);
  CPPUNIT_TEST(RefusesLargeFrames);
  CPPUNIT_TEST(StopsWhenTheSinkRefuses);
  CPPUNIT_TEST(QueueKeepsOrderAndCount);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SplitsWhateverTheChunks() {
    const std::vector<std::string> contents = {
        "one", "", std::string(kMaxFrameBytes, 'x'), "four"};
    std::string stream;
    for (const std::string& content : contents) stream += Framed(content);
    for (std::size_t chunk = 1; chunk <= stream.size(); ++chunk) {
      FrameReader reader(kMaxFrameBytes);
      std::vector<std::string> read;
      const FrameReader::Sink sink = [&read](std::string_view content) {
        read.emplace_back(content);
        return true;
      };
      for (std::size_t at = 0; at < stream.size(); at += chunk) {
        CPPUNIT_ASSERT(reader.Read(stream.substr(at, chunk), sink, nullptr));
      }
      CPPUNIT_ASSERT(read == contents);
      CPPUNIT_ASSERT(reader.empty());
    }
  }

  void RefusesLargeFrames() {
    const std::string frame = Framed(std::string(kMaxFrameBytes + 1, 'x'));
    const FrameReader::Sink sink = [](std::string_view) { return true; };
    for (const std::size_t chunk : {std::size_t{1}, frame.size()}) {
      FrameReader reader(kMaxFrameBytes);
      WireError reason;
      bool fine = true;
      for (std::size_t at = 0; fine && at < frame.size(); at += chunk) {
        fine = reader.Read(frame.substr(at, chunk), sink, &reason);
      }
      CPPUNIT_ASSERT(!fine);
      CPPUNIT_ASSERT(reason.code == WireErrorCode::kTooLarge);
    }
  }

  void StopsWhenTheSinkRefuses() {
    FrameReader reader(kMaxFrameBytes);
    int calls = 0;
    const FrameReader::Sink sink = [&calls](std::string_view) {
      ++calls;
      return false;
    };
    CPPUNIT_ASSERT(!reader.Read(Framed("a") + Framed("b"), sink, nullptr));
    CPPUNIT_ASSERT_EQUAL(1, calls);
  }

  void QueueKeepsOrderAndCount() {
    FrameQueue queue;
    queue.Add("abc");
    queue.Add("defgh");
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, queue.bytes());
    char out[16] = {};
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, queue.Take(out, 4));
    CPPUNIT_ASSERT_EQUAL(std::string("abcd"), std::string(out, 4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, queue.Take(out, sizeof(out)));
    CPPUNIT_ASSERT_EQUAL(std::string("efgh"), std::string(out, 4));
    CPPUNIT_ASSERT(queue.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.bytes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.Take(out, sizeof(out)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameTest);

}  // namespace
}  // namespace tarragon::wire
