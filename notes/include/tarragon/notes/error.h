#ifndef TARRAGON_NOTES_ERROR_H_
#define TARRAGON_NOTES_ERROR_H_

#include <string>

namespace tarragon::notes {

/// Why a value of the platform's table cannot be used.
struct TableError {
  enum class Code {
    /// Larger than any value that this system writes.
    kTooLarge,
    /// Not JSON, or not of the expected shape.
    kMalformed,
    /// Written in a format that this release does not know.
    kUnknownFormat,
    /// Well formed, but a name or a limit is out of its range.
    kOutOfRange,
  };
  Code code = Code::kMalformed;
  /// One sentence for logs.
  std::string detail;
};

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_ERROR_H_
