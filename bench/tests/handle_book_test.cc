#include "tarragon/bench/handle_book.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::bench {
namespace {

const core::ServiceId kLook("look");
const core::ServiceId kCarve("carve");

core::Time At(int seconds) { return {std::chrono::seconds(seconds)}; }

class HandleBookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandleBookTest);
  CPPUNIT_TEST(KeepsOneHandlePerService);
  CPPUNIT_TEST(UsesTheFirstHalfOfTheValidity);
  CPPUNIT_TEST(RefreshesFromAnswers);
  CPPUNIT_TEST(DropsASpentHandle);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KeepsOneHandlePerService() {
    HandleBook book;
    CPPUNIT_ASSERT(!book.Find(kLook, At(0)));
    book.Keep(kLook, "H1", std::chrono::seconds(20), At(0));
    CPPUNIT_ASSERT_EQUAL(std::string("H1"), book.Find(kLook, At(0)).value());
    CPPUNIT_ASSERT(!book.Find(kCarve, At(0)));
  }

  void UsesTheFirstHalfOfTheValidity() {
    HandleBook book;
    book.Keep(kLook, "H1", std::chrono::seconds(20), At(0));
    CPPUNIT_ASSERT(book.Find(kLook, At(9)).has_value());
    CPPUNIT_ASSERT(!book.Find(kLook, At(10)));
  }

  void RefreshesFromAnswers() {
    HandleBook book;
    book.Refresh(kLook, "H0", At(0));
    CPPUNIT_ASSERT(!book.Find(kLook, At(0)));
    book.Keep(kLook, "H1", std::chrono::seconds(20), At(0));
    book.Refresh(kLook, "H2", At(8));
    CPPUNIT_ASSERT_EQUAL(std::string("H2"), book.Find(kLook, At(17)).value());
  }

  void DropsASpentHandle() {
    HandleBook book;
    book.Keep(kLook, "H1", std::chrono::seconds(20), At(0));
    book.Drop(kLook, "H0");
    CPPUNIT_ASSERT(book.Find(kLook, At(0)).has_value());
    book.Drop(kLook, "H1");
    CPPUNIT_ASSERT(!book.Find(kLook, At(0)));
    book.Refresh(kLook, "H2", At(1));
    CPPUNIT_ASSERT_EQUAL(std::string("H2"), book.Find(kLook, At(1)).value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HandleBookTest);

}  // namespace
}  // namespace tarragon::bench
