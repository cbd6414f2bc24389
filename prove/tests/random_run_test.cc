#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

#include "tarragon/prove/run.h"

namespace tarragon::prove {
namespace {

constexpr std::uint64_t kSteps = 60'000;

/// What must have been exercised over the fixed seeds: a run that checks
/// nothing proves nothing.
constexpr const char* kMustOccur[] = {
    "a_no_second_start",
    "assert.answer_never_partial",
    "assert.answer_once",
    "assert.complete_means_whole",
    "assert.not_run_means_not_started",
    "assert.note_never_reverts",
    "assert.place_only_unplaced",
    "assert.start_in_service",
    "assert.start_in_slot",
    "assert.start_once",
    "assert.start_under_permit",
    "assert.start_while_staying",
    "assert.take_in_while_staying",
    "b_no_partial_results",
    "b_whole_own_results",
    "branch.heir_complete",
    "branch.heir_not_run",
    "branch.heir_repeats_complete",
    "branch.seal_finished",
    "branch.seal_refused",
    "branch.seal_started",
    "c_complete_stays",
    "c_heir_answers_alike",
    "client.cancel_first",
    "client.double_at_once",
    "client.key_reused",
    "client.plain_key",
    "d_cancelled_starts_nothing",
    "d_handed_over_starts_nothing",
    "d_heir_knows_all_starts",
    "d_not_run_answers",
    "d_start_is_justified",
    "e_no_start_in_withdrawn_domain",
    "e_no_start_under_old_view",
    "entries.settled",
    "f_in_force_in_time",
    "f_version_never_falls",
    "fault.agent_killed",
    "fault.entry_killed",
    "fault.frozen",
    "fault.partition",
    "fault.table_lossy",
    "fault.table_out",
    "g_one_note_per_base",
    "h_stop_cuts_no_task",
    "handover.done",
    "handover.in_parts",
    "i_answered_in_time",
    "j_work_completes_again",
    "note.races",
    "outcome.complete",
    "outcome.failed",
    "outcome.not_run",
    "outcome.unknown",
    "permit.by_quorum",
    "permit.by_table",
    "permit.lapsed",
    "table.lost_write_reply",
};

class RandomRunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RandomRunTest);
  CPPUNIT_TEST(HoldsUnderFaults);
  CPPUNIT_TEST(HoldsUnderHarshFaults);
  CPPUNIT_TEST(EqualSeedsGiveEqualRuns);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HoldsUnderFaults() {
    const CoverageCounts counts = RunSeeds(1, 24, false);
    for (const char* name : kMustOccur) {
      const auto found = counts.find(name);
      CPPUNIT_ASSERT_MESSAGE(name, found != counts.end() && found->second > 0);
    }
  }

  void HoldsUnderHarshFaults() { RunSeeds(500, 12, true); }

  void EqualSeedsGiveEqualRuns() {
    RunOptions options;
    options.steps = kSteps / 4;
    options.seed = 7;
    const RunResult first = RunSeed(options);
    const RunResult second = RunSeed(options);
    CPPUNIT_ASSERT_EQUAL(first.steps, second.steps);
    CPPUNIT_ASSERT(first.counts == second.counts);
  }

 private:
  static CoverageCounts RunSeeds(std::uint64_t first, std::uint64_t count,
                                 bool harsh) {
    CoverageCounts counts;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
      RunOptions options;
      options.seed = seed;
      options.steps = kSteps;
      options.harsh = harsh;
      const RunResult result = RunSeed(options);
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(seed) + ": " + result.failure,
          result.failure.empty());
      for (const auto& [name, value] : result.counts) counts[name] += value;
    }
    return counts;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomRunTest);

}  // namespace
}  // namespace tarragon::prove
