#ifndef TARRAGON_CAPACITY_COST_H_
#define TARRAGON_CAPACITY_COST_H_

#include <cstddef>
#include <memory>

namespace tarragon::capacity {

/// Processor time of this process, in microseconds.
double CpuMicros();

/// Bytes that the program holds from the heap.
double HeapBytes();

/// Bytes of heap that a copy of `value` takes.
template <typename T>
double HeapOf(const T& value) {
  const double before = HeapBytes();
  const std::unique_ptr<T> copy = std::make_unique<T>(value);
  return HeapBytes() - before;
}

}  // namespace tarragon::capacity

#endif  // TARRAGON_CAPACITY_COST_H_
