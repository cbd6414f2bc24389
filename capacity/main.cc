#include <getopt.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "tarragon/capacity/print.h"
#include "tarragon/capacity/slopes.h"
#include "tarragon/core/exit_code.h"

namespace {

namespace capacity = tarragon::capacity;
namespace core = tarragon::core;

constexpr char kHelp[] = R"(Usage: tarragon-capacity [OPTION]...
Measures how processor time, bytes and memory of each role grow, and fits lines.

  --markdown       print a Markdown table
  --points FILE    measure nothing; fit the points of FILE, whose lines are
                   ROLE|COST|X_UNIT|Y_UNIT|PLANNED|X|Y
  -h, --help       print this and end
)";

struct Options {
  bool markdown = false;
  std::string points;
};

enum OptionCode { kMarkdown = 1, kPoints };

constexpr option kOptions[] = {{"markdown", no_argument, nullptr, kMarkdown},
                               {"points", required_argument, nullptr, kPoints},
                               {"help", no_argument, nullptr, 'h'},
                               {nullptr, 0, nullptr, 0}};

/// Reads the options. False, with the exit code, when the program is to end.
bool ReadOptions(int argc, char* argv[], Options* options, int* exit_code) {
  int code = 0;
  while ((code = getopt_long(argc, argv, "h", kOptions, nullptr)) != -1) {
    if (code == kMarkdown) {
      options->markdown = true;
    } else if (code == kPoints) {
      options->points = optarg;
    } else {
      if (code == 'h') std::cout << kHelp;
      *exit_code = code == 'h' ? core::kExitOk : core::kExitUsage;
      return false;
    }
  }
  return true;
}

std::vector<capacity::Slope> Measure() {
  std::vector<capacity::Slope> all;
  for (std::vector<capacity::Slope> (*measure)() :
       {capacity::EntrySlopes, capacity::MemberSlopes, capacity::TaskSlopes,
        capacity::MemorySlopes, capacity::WorldSlopes}) {
    std::vector<capacity::Slope> slopes = measure();
    all.insert(all.end(), std::make_move_iterator(slopes.begin()),
               std::make_move_iterator(slopes.end()));
  }
  return all;
}

}  // namespace

int main(int argc, char* argv[]) {
  Options options;
  int exit_code = core::kExitOk;
  if (!ReadOptions(argc, argv, &options, &exit_code)) return exit_code;
  std::vector<capacity::Slope> slopes;
  if (options.points.empty()) {
    slopes = Measure();
  } else {
    std::ifstream file(options.points);
    if (!file) {
      std::cerr << "Cannot read " << options.points << ".\n";
      return core::kExitFailure;
    }
    slopes = capacity::ReadPoints(&file);
  }
  if (options.markdown) {
    capacity::PrintMarkdown(slopes, &std::cout);
  } else {
    capacity::PrintText(slopes, &std::cout);
  }
  return core::kExitOk;
}
