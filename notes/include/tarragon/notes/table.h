#ifndef TARRAGON_NOTES_TABLE_H_
#define TARRAGON_NOTES_TABLE_H_

#include <cstdint>
#include <functional>
#include <string>

namespace tarragon::notes {

/// The outcome of a call to the platform's table.
enum class TableStatus : std::uint8_t {
  kOk,
  /// Read: the row still has the version that the caller knows.
  kUnchanged,
  /// Read or delete: there is no such row.
  kMissing,
  /// The row exists already (insert), or has another version or no longer
  /// exists (replace, delete).
  kConflict,
  /// A write that was certainly not applied, or a read without a reply.
  kUnavailable,
  /// A write that may have been applied or may still be applied later. A read
  /// that does not show it proves nothing until the row has another version.
  kUnknown,
};

/// The name of a status in logs and metrics, such as "conflict".
const char* Name(TableStatus status);

/// The reply to one call.
struct TableReply {
  TableStatus status = TableStatus::kUnavailable;
  /// The row's value, after a read that ended with kOk.
  std::string value;
  /// The row's version, after a read, insert or replace that ended with kOk;
  /// then never zero.
  std::uint64_t version = 0;
  /// One sentence for logs when the status is not kOk.
  std::string detail;
};

/// The platform's transactional table. Every row has a version that changes
/// with each write. The callback of a call is called once, never from within
/// the call itself, and not at all after the destructor.
class Table {
 public:
  using Callback = std::function<void(TableReply)>;

  virtual ~Table() = default;

  /// Reads a row; kUnchanged if it still has `known_version`. Zero means that
  /// the caller knows no version.
  virtual void Read(const std::string& table, const std::string& key,
                    std::uint64_t known_version, Callback done) = 0;
  /// Writes a row that must not exist yet.
  virtual void Insert(const std::string& table, const std::string& key,
                      std::string value, Callback done) = 0;
  /// Writes a row that must have `expected_version`.
  virtual void Replace(const std::string& table, const std::string& key,
                       std::string value, std::uint64_t expected_version,
                       Callback done) = 0;
  /// Removes a row that must have `expected_version`.
  virtual void Delete(const std::string& table, const std::string& key,
                      std::uint64_t expected_version, Callback done) = 0;
};

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_TABLE_H_
