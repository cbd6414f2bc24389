#include "room_jobs.h"

#include <algorithm>
#include <cmath>

namespace tarragon::simulate {
namespace {

/// Spread of run times, task counts and declared run times between jobs.
constexpr double kSpread = 0.4;
/// Spread of the run times within one job.
constexpr double kSpreadWithinJob = 0.15;
/// The worth of a job, relative to its kind's, is 0.3 plus a share proportional
/// to its work, limited to 4.
constexpr double kFixedWorth = 0.3;
constexpr double kMaxWorth = 4.0;
constexpr double kMinRunSeconds = 0.002;
/// Run time of a long task relative to the others of its job.
constexpr double kLongFactor = 7;

}  // namespace

ClientJob MakeClientJob(const CoordinatorPlan& plan, const JobKind* kind,
                        std::mt19937_64* random) {
  std::lognormal_distribution<double> spread(-kSpread * kSpread / 2, kSpread);
  std::normal_distribution<double> within_job(1, kSpreadWithinJob);
  std::uniform_real_distribution<double> declared(1 - kSpread, 1 + kSpread);
  ClientJob job;
  job.kind = kind;
  const long width = std::clamp(std::lround(kind->mean_tasks * spread(*random)),
                                1L, static_cast<long>(kind->max_tasks));
  const double base = ToSeconds(kind->mean_run) * spread(*random);
  core::Duration longest{0};
  double work = 0;
  for (long i = 0; i < width; ++i) {
    double run = std::clamp(base * std::max(within_job(*random), 0.5),
                            kMinRunSeconds, ToSeconds(kind->max_run));
    if (plan.tail_share > 0 &&
        std::bernoulli_distribution(plan.tail_share)(*random)) {
      run *= plan.tail_factor;
    }
    if (kind->long_share > 0) {
      std::bernoulli_distribution is_long(kind->long_share);
      if (is_long(*random)) run *= kLongFactor;
    }
    job.task_run_times.push_back(FromSeconds(run));
    longest = std::max(longest, job.task_run_times.back());
    work += run;
  }
  const double mean = ToSeconds(kind->mean_run) * kind->mean_tasks;
  job.worth =
      kind->worth *
      std::min(kFixedWorth + (1 - kFixedWorth) * work / mean, kMaxWorth);
  job.objective =
      FromSeconds(ToSeconds(longest) * plan.stretch) + plan.latency_target;
  job.declared_run_time = FromSeconds(base * declared(*random));
  job.millicores = kind->millicores;
  if (kind->max_millicores > kind->millicores) {
    std::uniform_int_distribution<std::int64_t> size(kind->millicores,
                                                     kind->max_millicores);
    job.millicores = size(*random);
  }
  if (kind->deadly_share > 0) {
    std::bernoulli_distribution deadly(kind->deadly_share);
    job.deadly = deadly(*random);
  }
  return job;
}

CoordinatorPlan MakeDefaultPlan() {
  CoordinatorPlan plan;
  for (int i = 0; i < 11; ++i)
    plan.target_millicores.push_back(i % 3 == 2 ? 24000 : 16000);
  plan.kinds = {
      {"check", 34.4, 8, 32, std::chrono::milliseconds(60),
       std::chrono::milliseconds(240), 1600, 0, 0.0291},
      {"carve", 6.25, 4, 16, std::chrono::milliseconds(900),
       std::chrono::milliseconds(3600), 1600, 2, 0.16},
      {"lookup", 100.0, 2, 8, std::chrono::milliseconds(200),
       std::chrono::milliseconds(800), 1600, 1, 0.01},
  };
  return plan;
}

CoordinatorPlan MakeUnequalEntriesPlan() {
  CoordinatorPlan plan = MakeDefaultPlan();
  plan.entry_shares = {1, 1, 1, 1, 2, 2, 3, 4};
  plan.entries = static_cast<std::uint32_t>(plan.entry_shares.size());
  plan.same_domain_delay = std::chrono::microseconds(600);
  plan.cross_domain_delay = std::chrono::microseconds(1800);
  return plan;
}

}  // namespace tarragon::simulate
