#include "tarragon/capacity/fit.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "tarragon/capacity/print.h"

namespace tarragon::capacity {
namespace {

constexpr double kTolerance = 1e-9;

class FitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FitTest);
  CPPUNIT_TEST(FindsAnExactLine);
  CPPUNIT_TEST(TellsTheResidual);
  CPPUNIT_TEST(RefusesOneX);
  CPPUNIT_TEST(ReadsPointsOfOneSlope);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindsAnExactLine() {
    const std::optional<Fit> fit =
        FitLine({{1, 5}, {2, 7}, {4, 11}, {8, 19}}, nullptr);
    CPPUNIT_ASSERT(fit.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, fit->slope, kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, fit->intercept, kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, fit->residual, kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(43, ValueAt(*fit, 20), kTolerance);
  }

  void TellsTheResidual() {
    const std::optional<Fit> fit =
        FitLine({{0, 1}, {0, -1}, {1, 1}, {1, -1}}, nullptr);
    CPPUNIT_ASSERT(fit.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, fit->slope, kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, fit->residual, kTolerance);
  }

  void RefusesOneX() {
    std::string reason;
    CPPUNIT_ASSERT(!FitLine({{1, 5}, {1, 7}}, &reason).has_value());
    CPPUNIT_ASSERT(!reason.empty());
    CPPUNIT_ASSERT(!FitLine({}, nullptr).has_value());
  }

  void ReadsPointsOfOneSlope() {
    std::istringstream text(
        "entry|cpu|agents|s|19000|10|1\nnoise\nentry|cpu|agents|s|19000|20|2\n"
        "agent|cpu|agents|s|19000|10|3\n");
    const std::vector<Slope> slopes = ReadPoints(&text);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, slopes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, slopes[0].points.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(19000, slopes[0].planned, kTolerance);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FitTest);

}  // namespace
}  // namespace tarragon::capacity
