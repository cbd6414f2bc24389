#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "cases.hpp"

/// review_case NAME RECORD: plays a case and writes what was sent, answered and
/// run to RECORD. TROUBLE=0 leaves out the disruption. Exits with 1 if the rule
/// was broken, 0 if it held, 2 if the case could not run.

namespace tarragon::review {
namespace {

int PlayCase(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: review_case NAME RECORD\n");
    return kCouldNotRun;
  }
  const std::string name = argv[1];
  const std::string record = argv[2];
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
  if (name == "stale_end") return RunStaleEndCase(record, trouble);
  if (name == "late_copy") return RunLateCopyCase(record, trouble);
  if (name == "moved_client") return RunMovedClientCase(record, trouble);
  if (name == "reborn_drain") return RunRebornDrainCase(record, trouble);
  if (name == "foreign_heartbeat") {
    return RunForeignHeartbeatCase(record, trouble);
  }
  std::fprintf(stderr, "review_case: unknown case %s\n", name.c_str());
  return kCouldNotRun;
}

}  // namespace
}  // namespace tarragon::review

int main(int argc, char** argv) {
  return tarragon::review::PlayCase(argc, argv);
}
