#ifndef TARRAGON_DAEMONS_JSON_READER_H_
#define TARRAGON_DAEMONS_JSON_READER_H_

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace tarragon::daemons {

/// Reads the members of one object and remembers the first fault. The object
/// must outlive the reader.
class ObjectReader {
 public:
  /// `where` comes before the name of a member in the fault.
  ObjectReader(const boost::json::object& object, std::string where);

  /// A text; refused when missing, empty or longer than `most`.
  std::string ReadText(const char* key, std::size_t most, bool may_be_empty);

  /// A whole number from `least` to `most`; `fallback` when it is missing.
  std::int64_t ReadInteger(const char* key, std::int64_t least,
                           std::int64_t most, std::int64_t fallback);

  /// True or false; `fallback` when it is missing.
  bool ReadBool(const char* key, bool fallback);

  /// A list; null when it is missing or none.
  const boost::json::array* ReadArray(const char* key);

  /// Refuses members that were not asked for.
  void RefuseUnknownMembers();

  /// Remembers a fault of the member `key`: "must be a text".
  void RecordError(const char* key, const std::string& what);

  /// The first fault as a sentence; empty when there is none.
  const std::string& error() const { return error_; }

 private:
  const boost::json::value* Find(const char* key);

  const boost::json::object& object_;
  std::string error_prefix_;
  std::string error_;
  std::size_t found_members_ = 0;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_JSON_READER_H_
