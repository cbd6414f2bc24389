#include <cstdio>
#include "tarragon/prove/run.h"
int main(int argc, char** argv) {
  tarragon::prove::RunOptions o;
  std::uint64_t base = argc > 1 ? atoll(argv[1]) : 1,
                n = argc > 2 ? atoll(argv[2]) : 1;
  o.harsh = argc > 3 && argv[3][0] == 'h';
  if (argc > 4) o.steps = atoll(argv[4]);
  tarragon::prove::CoverageCounts all;
  for (std::uint64_t s = base; s < base + n; ++s) {
    o.seed = s;
    auto r = tarragon::prove::RunSeed(o);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::printf("seed %lu steps %lu t %ld s %s\n", s, r.steps,
                r.simulated.count() / 1000000,
                r.failure.empty() ? "ok" : "FAIL");
    for (auto& [k, v] : r.counts) all[k] += v;
    if (!r.failure.empty()) {
      std::printf("%s\n", r.failure.c_str());
      break;
    }
  }
  for (auto& [k, v] : all) std::printf("%s=%lu\n", k.c_str(), v);
}
