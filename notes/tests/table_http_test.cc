#include "table_http.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tarragon::notes {
namespace {

using http::HttpErrorKind;

http::Response Answer(int status, const std::string& tag = "") {
  http::Response response;
  response.status = status;
  if (!tag.empty()) response.headers["etag"] = tag;
  response.body = "value";
  return response;
}

void AssertStatus(TableStatus expected, const TableReply& reply) {
  CPPUNIT_ASSERT_EQUAL(std::string(Name(expected)),
                       std::string(Name(reply.status)));
  CPPUNIT_ASSERT_EQUAL(expected == TableStatus::kOk, reply.detail.empty());
}

class TableHttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableHttpTest);
  CPPUNIT_TEST(RowPathEncodesNamesAsSingleSegments);
  CPPUNIT_TEST(FormatsAndParsesTags);
  CPPUNIT_TEST(ParsesReadReplies);
  CPPUNIT_TEST(ParsesWriteReplies);
  CPPUNIT_TEST(ParsesDeleteReplies);
  CPPUNIT_TEST(WriteWithoutAnswerIsUnknownUnlessNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RowPathEncodesNamesAsSingleSegments() {
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/tables/keys/rows/a.b-c_d"),
                         FormatRowPath("keys", "a.b-c_d"));
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/tables/keys/rows/~2E.~2F~7E"),
                         FormatRowPath("keys", "../~"));
    CPPUNIT_ASSERT(FormatRowPath("keys", "a/b") !=
                   FormatRowPath("keys", "a~2Fb"));
    CPPUNIT_ASSERT(FormatRowPath("a/rows/b", "c") !=
                   FormatRowPath("a", "b/rows/c"));
  }

  void FormatsAndParsesTags() {
    const std::uint64_t largest = ~std::uint64_t{0};
    CPPUNIT_ASSERT_EQUAL(std::string("\"7\""), FormatTag(7));
    CPPUNIT_ASSERT(ParseTag(FormatTag(largest)) == largest);
    for (const std::string bad :
         {"", "\"", "\"\"", "7", "\"0\"", "\"x\"", "W/\"7\"", "\"-7\"",
          "\"18446744073709551616\"", "\"7", "\"7 \""}) {
      CPPUNIT_ASSERT_MESSAGE(bad, !ParseTag(bad).has_value());
    }
  }

  void ParsesReadReplies() {
    const TableReply read = ParseReadReply(0, Answer(200, "\"7\""), {});
    AssertStatus(TableStatus::kOk, read);
    CPPUNIT_ASSERT_EQUAL(std::string("value"), read.value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read.version);
    const TableReply unchanged = ParseReadReply(7, Answer(304), {});
    AssertStatus(TableStatus::kUnchanged, unchanged);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, unchanged.version);
    AssertStatus(TableStatus::kMissing, ParseReadReply(7, Answer(404), {}));
    for (const http::Response& answer :
         {Answer(200), Answer(200, "\"0\""), Answer(304), Answer(500),
          Answer(503), Answer(403)}) {
      AssertStatus(TableStatus::kUnavailable, ParseReadReply(0, answer, {}));
    }
    AssertStatus(
        TableStatus::kUnavailable,
        ParseReadReply(0, std::nullopt, {HttpErrorKind::kNoAnswer, "x"}));
  }

  void ParsesWriteReplies() {
    const TableReply written = ParseWriteReply(Answer(200, "\"8\""), {});
    AssertStatus(TableStatus::kOk, written);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, written.version);
    CPPUNIT_ASSERT(written.value.empty());
    AssertStatus(TableStatus::kConflict, ParseWriteReply(Answer(412), {}));
    for (const int refused : {400, 401, 404, 413, 429}) {
      AssertStatus(TableStatus::kUnavailable,
                   ParseWriteReply(Answer(refused), {}));
    }
    for (const int undecided : {200, 202, 302, 500, 502, 503, 504}) {
      AssertStatus(TableStatus::kUnknown,
                   ParseWriteReply(Answer(undecided), {}));
    }
  }

  void ParsesDeleteReplies() {
    AssertStatus(TableStatus::kOk, ParseDeleteReply(Answer(200), {}));
    AssertStatus(TableStatus::kMissing, ParseDeleteReply(Answer(404), {}));
    AssertStatus(TableStatus::kConflict, ParseDeleteReply(Answer(412), {}));
    AssertStatus(TableStatus::kUnavailable, ParseDeleteReply(Answer(400), {}));
    AssertStatus(TableStatus::kUnknown, ParseDeleteReply(Answer(503), {}));
  }

  void WriteWithoutAnswerIsUnknownUnlessNotSent() {
    for (const HttpErrorKind kind :
         {HttpErrorKind::kNotSent, HttpErrorKind::kBadAddress,
          HttpErrorKind::kBadRequest}) {
      AssertStatus(TableStatus::kUnavailable,
                   ParseWriteReply(std::nullopt, {kind, "x"}));
      AssertStatus(TableStatus::kUnavailable,
                   ParseDeleteReply(std::nullopt, {kind, "x"}));
    }
    for (const HttpErrorKind kind :
         {HttpErrorKind::kNoAnswer, HttpErrorKind::kTooLarge}) {
      AssertStatus(TableStatus::kUnknown,
                   ParseWriteReply(std::nullopt, {kind, "x"}));
      AssertStatus(TableStatus::kUnknown,
                   ParseDeleteReply(std::nullopt, {kind, "x"}));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableHttpTest);

}  // namespace
}  // namespace tarragon::notes
