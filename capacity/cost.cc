#include "cost.h"

#include <malloc.h>

#include <ctime>

namespace tarragon::capacity {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kNanosPerMicro = 1e3;

}  // namespace

double CpuMicros() {
  timespec spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) * kMicrosPerSecond +
         static_cast<double>(spent.tv_nsec) / kNanosPerMicro;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace tarragon::capacity
