#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <getopt.h>

#include <iostream>
#include <string>

#include "matrix_report.h"

/// Runs every registered suite, or the one named. `--matrix FILE` writes the
/// table of the fault matrix, `--cell "FAULT x STEP"` runs only such cells of
/// it. Exits 0 only when all passed.
int main(int argc, char** argv) {
  constexpr int kMatrix = 'm';
  constexpr int kCell = 'c';
  constexpr int kExitUsage = 2;
  const option options[] = {{"matrix", required_argument, nullptr, kMatrix},
                            {"cell", required_argument, nullptr, kCell},
                            {nullptr, 0, nullptr, 0}};
  std::string matrix_file;
  for (int code = 0;
       (code = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
    if (code != kMatrix && code != kCell) return kExitUsage;
    if (code == kMatrix) matrix_file = optarg;
    if (code == kCell) tarragon::system_test::ChooseCells(optarg);
  }
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.setOutputter(
      new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  const std::string path = optind < argc ? argv[optind] : "";
  const bool passed = runner.run(path, false, true, true);
  if (!matrix_file.empty() &&
      !tarragon::system_test::WriteMatrix(matrix_file)) {
    std::cerr << "Cannot write " << matrix_file << "\n";
    return 1;
  }
  return passed ? 0 : 1;
}
