#ifndef TARRAGON_COORDINATOR_ROOM_H_
#define TARRAGON_COORDINATOR_ROOM_H_

#include <cstdint>

namespace tarragon::coordinator {

/// Resources that a task needs or a target has.
struct Room {
  /// Thousandths of a core.
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Room&) const = default;
};

inline Room operator+(const Room& a, const Room& b) {
  return {a.millicores + b.millicores, a.memory_mb + b.memory_mb,
          a.accelerators + b.accelerators};
}

inline Room operator-(const Room& a, const Room& b) {
  return {a.millicores - b.millicores, a.memory_mb - b.memory_mb,
          a.accelerators - b.accelerators};
}

/// True if `free` holds all of `need`.
inline bool Fits(const Room& need, const Room& free) {
  return need.millicores <= free.millicores &&
         need.memory_mb <= free.memory_mb &&
         need.accelerators <= free.accelerators;
}

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_ROOM_H_
