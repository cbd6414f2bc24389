#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

namespace {

/// The test whose name ends with `name`; null if there is none.
CppUnit::Test* FindTest(CppUnit::Test* test, const std::string& name) {
  const std::string own = test->getName();
  if (own.size() >= name.size() &&
      own.compare(own.size() - name.size(), name.size(), name) == 0) {
    return test;
  }
  for (int i = 0; i < test->getChildTestCount(); ++i) {
    CppUnit::Test* found = FindTest(test->getChildTestAt(i), name);
    if (found != nullptr) return found;
  }
  return nullptr;
}

}  // namespace

/// Runs all tests, or only the one that the first argument names, such as
/// "ClientCrowdTest::WithstandsSilence".
int main(int argc, char* argv[]) {
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::Test* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  CppUnit::Test* chosen = argc > 1 ? FindTest(all, argv[1]) : all;
  if (chosen == nullptr) {
    std::cerr << "No such test: " << argv[1] << "\n";
    return 2;
  }
  chosen->run(&result);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  return collector.wasSuccessful() ? 0 : 1;
}
