#include "dropping_buffer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <array>
#include <ostream>
#include <string>

namespace tarragon::core {
namespace {

/// A log whose reader is slow or gone never holds the program up.
class DroppingBufferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DroppingBufferTest);
  CPPUNIT_TEST(WritesWholeLines);
  CPPUNIT_TEST(DropsLinesWithoutAReaderAndTells);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { CPPUNIT_ASSERT_EQUAL(0, pipe(ends_.data())); }

  void tearDown() override {
    close(ends_[0]);
    close(ends_[1]);
  }

  /// What is in the pipe now.
  std::string Drain() {
    std::string text;
    std::array<char, 65536> chunk{};
    const ssize_t size = read(ends_[0], chunk.data(), chunk.size());
    if (size > 0) text.assign(chunk.data(), static_cast<std::size_t>(size));
    return text;
  }

  void WritesWholeLines() {
    DroppingBuffer buffer(ends_[1]);
    std::ostream out(&buffer);
    out << "one " << 1 << "\ntwo";
    buffer.Send();
    CPPUNIT_ASSERT_EQUAL(std::string("one 1\n"), Drain());
    out << "\n";
    buffer.Send();
    CPPUNIT_ASSERT_EQUAL(std::string("two\n"), Drain());
  }

  void DropsLinesWithoutAReaderAndTells() {
    DroppingBuffer buffer(ends_[1]);
    std::ostream out(&buffer);
    const std::string line(999, 'x');
    for (int i = 0; i < 400; ++i) out << line << "\n";
    buffer.Send();
    CPPUNIT_ASSERT(buffer.dropped() > 0);
    std::string text;
    for (int i = 0; i < 8; ++i) {
      text += Drain();
      out << "after\n";
      buffer.Send();
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, buffer.dropped());
    CPPUNIT_ASSERT(text.find("Dropped log lines. count=") != std::string::npos);
  }

 private:
  std::array<int, 2> ends_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DroppingBufferTest);

}  // namespace
}  // namespace tarragon::core
