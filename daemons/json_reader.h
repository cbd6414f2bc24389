#ifndef TARRAGON_DAEMONS_JSON_READER_H_
#define TARRAGON_DAEMONS_JSON_READER_H_

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace tarragon::daemons {

/// Reads the members of one JSON object and records the first error. The
/// object must outlive the reader.
class ObjectReader {
 public:
  /// `error_prefix` precedes the member's name in error texts.
  ObjectReader(const boost::json::object& object, std::string error_prefix);

  /// Reads a string. It is an error if it is missing, longer than `max_bytes`,
  /// or empty unless `may_be_empty`.
  std::string ReadText(const char* key, std::size_t max_bytes,
                       bool may_be_empty);

  /// Reads an integer from `min` to `max`; `fallback` if it is missing.
  std::int64_t ReadInteger(const char* key, std::int64_t min, std::int64_t max,
                           std::int64_t fallback);

  /// Reads a boolean; `fallback` if it is missing.
  bool ReadBool(const char* key, bool fallback);

  /// Reads an array. Records an error and returns null if it is missing or of
  /// another type.
  const boost::json::array* ReadArray(const char* key);

  /// Records an error if the object has members that have not been read.
  void RefuseUnknownMembers();

  /// Records an error of the member `key`, unless there is one already. `what`
  /// is the rest of the sentence, such as "must be a string".
  void RecordError(const char* key, const std::string& what);

  /// The first error as a sentence; empty if there is none.
  const std::string& error() const { return error_; }

 private:
  const boost::json::value* Find(const char* key);

  const boost::json::object& object_;
  std::string error_prefix_;
  std::string error_;
  /// Number of the object's members that have been read.
  std::size_t found_members_ = 0;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_JSON_READER_H_
