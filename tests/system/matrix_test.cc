#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>
#include <string>
#include <vector>

#include "cluster.h"
#include "fault_settings.h"
#include "matrix_faults.h"
#include "matrix_report.h"

namespace tarragon::system_test {
namespace {

/// One submission that is held at a step.
struct HeldJob {
  std::string key;
  std::vector<TaskText> tasks;
  std::future<JobResult> answer;
};

/// Brings the job to a step and holds it there.
struct Step {
  const char* name;
  void (*reach)(Cluster* cluster, HeldJob* job);
};

void ReachAccepted(Cluster* cluster, HeldJob* job) {
  const std::size_t home = cluster->HomeOf(job->key);
  const std::string filler =
      cluster->NewKey(job->key.substr(0, job->key.rfind('.')));
  StartHeld(cluster, filler, EightTasks());
  job->answer = cluster->Start(0, job->key, Cluster::Body(job->tasks));
  cluster->AwaitMetric(cluster->agent(home).pages, "active_jobs", 2);
}

void ReachAssigned(Cluster* cluster, HeldJob* job) {
  job->answer = StartAssigned(cluster, job->key, job->tasks);
}

void ReachBeforeStart(Cluster* cluster, HeldJob* job) {
  for (std::size_t i = 0; i < 2; ++i) {
    cluster->target(i).process->Signal(SIGSTOP);
  }
  job->answer = cluster->Start(0, job->key, Cluster::Body(job->tasks));
  for (std::size_t i = 0; i < 2; ++i) {
    cluster->AwaitMetric(cluster->agent(i).pages, "starts_total", 4);
  }
}

void ReachStarted(Cluster* cluster, HeldJob* job) {
  job->answer = StartHeld(cluster, job->key, job->tasks);
}

void ReachFinished(Cluster* cluster, HeldJob* job) {
  ReachStarted(cluster, job);
  cluster->agent(cluster->HomeOf(job->key)).process->Signal(SIGSTOP);
  for (std::size_t i = 0; i < 2; ++i) cluster->Release(i);
  for (std::size_t i = 0; i < 2; ++i) cluster->Witness(i, 4, 4);
}

void ReachAnswerSent(Cluster* cluster, HeldJob* job) {
  ReachStarted(cluster, job);
  cluster->entry(0).process->Signal(SIGSTOP);
  for (std::size_t i = 0; i < 2; ++i) cluster->Release(i);
  cluster->AwaitMetric(cluster->agent(cluster->HomeOf(job->key)).pages,
                       "jobs_total{outcome=\"complete\"}", 1);
}

void ReachAnswerKept(Cluster* cluster, HeldJob* job) {
  job->answer = cluster->Start(0, job->key, Cluster::Body(job->tasks));
  job->answer.wait_for(kSafetyStop);
}

constexpr Step kSteps[] = {
    {"accepted", ReachAccepted},        {"assigned", ReachAssigned},
    {"before start", ReachBeforeStart}, {"started", ReachStarted},
    {"finished", ReachFinished},        {"answer sent", ReachAnswerSent},
    {"answer kept", ReachAnswerKept},
};

/// Lets everything that is held go on.
void LetGo(Cluster* cluster) {
  for (std::size_t i = 0; i < cluster->agents(); ++i) {
    cluster->target(i).process->Signal(SIGCONT);
    cluster->agent(i).process->Signal(SIGCONT);
  }
  for (std::size_t i = 0; i < cluster->entries(); ++i) {
    cluster->entry(i).process->Signal(SIGCONT);
  }
  for (std::size_t i = 0; i < cluster->agents(); ++i) cluster->Release(i);
}

/// What a client sees: its own answer and that of a later resubmission.
std::string Seen(const JobResult& result) {
  return result.outcome.empty() ? "cut" : result.outcome;
}

/// Every fault at every step: each cell runs a cluster of its own.
class MatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MatrixTest);
  CPPUNIT_TEST(EveryFaultAtEveryStep);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryFaultAtEveryStep() {
    std::string failures;
    for (const Fault& fault : Faults()) {
      for (const Step& step : kSteps) {
        if (!IsChosen(fault.name, step.name)) continue;
        const std::string failure = RunCell(fault, step);
        if (failure.empty()) continue;
        RecordCell(fault.name, step.name, "FAILED");
        failures +=
            std::string("\n") + fault.name + " x " + step.name + ": " + failure;
      }
    }
    CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
  }

 private:
  /// Empty when the cell passed.
  static std::string RunCell(const Fault& fault, const Step& step) {
    try {
      RecordCell(fault.name, step.name, Strike(fault, step));
      return "";
    } catch (const CppUnit::Exception& failed) {
      return failed.what();
    } catch (const std::exception& failed) {
      return failed.what();
    }
  }

  static std::string Strike(const Fault& fault, const Step& step) {
    ClusterOptions options = FastOptions();
    options.relays = true;
    options.settings.push_back(std::string("policy.gone_after=") +
                               (fault.loses_process ? "1s" : "1min"));
    Cluster cluster(options);
    try {
      return StrikeCluster(&cluster, fault, step);
    } catch (const CppUnit::Exception& failed) {
      FailTest(failed.what() + cluster.Logs());
    }
  }

  static std::string StrikeCluster(Cluster* held, const Fault& fault,
                                   const Step& step) {
    Cluster& cluster = *held;
    HeldJob job;
    job.tasks = EightTasks();
    job.key = cluster.NewKey(cluster.Handle(0));
    cluster.Expect(job.key, job.tasks);
    step.reach(&cluster, &job);
    const std::size_t home = cluster.HomeOf(job.key);
    fault.strike(&cluster, home);
    std::future<JobResult> again =
        cluster.Start(1, job.key, Cluster::Body(job.tasks));
    LetGo(&cluster);
    const JobResult first = Await(std::move(job.answer), "the answer");
    const JobResult second = Await(std::move(again), "the second answer");
    cluster.PlatformFault(R"({"mode":"none"})");
    const JobResult last = cluster.Submit(1, job.key, Cluster::Body(job.tasks));
    cluster.CheckAnswers();
    CheckOutcome(fault, first);
    CheckOutcome(fault, second);
    if (second.outcome == "unknown" && fault.loses_process) {
      CPPUNIT_ASSERT_EQUAL(second.outcome, last.outcome);
    }
    return Seen(first) + " / " + Seen(last);
  }

  /// A fault that ends no process costs no answer.
  static void CheckOutcome(const Fault& fault, const JobResult& result) {
    const bool fine = result.outcome == "complete" ||
                      (fault.loses_process &&
                       (result.outcome == "unknown" || result.status == 0));
    CPPUNIT_ASSERT_MESSAGE("Answer: " + result.body, fine);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MatrixTest);

}  // namespace
}  // namespace tarragon::system_test
