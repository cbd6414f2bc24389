#include "tarragon/bench/report.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "tarragon/bench/ideal.h"

namespace tarragon::bench {
namespace {

constexpr double kP50 = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;

using Counts = std::map<std::string, std::uint64_t>;

/// One complete job.
struct Measured {
  std::size_t job = 0;
  core::Duration response{0};
  core::Duration ideal{0};
};

core::Duration AtRank(const std::vector<core::Duration>& sorted, double share) {
  const double rank = std::ceil(share * static_cast<double>(sorted.size()));
  const std::size_t index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

std::vector<Measured> MeasureComplete(const RunPlan& plan,
                                      const RunResult& result) {
  std::vector<Measured> complete;
  std::vector<IdealJob> ideal_jobs;
  for (std::size_t i = 0; i < plan.jobs.size(); ++i) {
    const JobRecord& record = result.records[i];
    if (record.end != JobEnd::kComplete) continue;
    complete.push_back({i, record.ended_at - plan.jobs[i].at, {}});
    ideal_jobs.push_back({plan.jobs[i].at, plan.jobs[i].runs});
  }
  const std::vector<core::Duration> ideal =
      SimulateIdeal(ideal_jobs, Slots(plan.preset));
  for (std::size_t i = 0; i < complete.size(); ++i) {
    complete[i].ideal = ideal[i];
  }
  return complete;
}

/// Names the group of one kind that a job belongs to.
std::string GroupOf(const std::string& kind, const RunPlan& plan,
                    const PlannedJob& job) {
  if (kind == "tenant") return job.tenant.value();
  if (kind == "service") return job.service.value();
  if (kind == "class") return job.idempotent ? "idempotent" : "non-idempotent";
  if (kind == "size") return plan.preset.sizes[job.size_class].name;
  return "all";
}

/// The durations of one group.
struct GroupSamples {
  std::uint64_t jobs = 0;
  std::vector<core::Duration> response;
  std::vector<core::Duration> ideal;
  std::vector<core::Duration> excess;
};

void AddGroups(const std::string& kind, const RunPlan& plan,
               const std::vector<Measured>& complete, Report* report) {
  // In the order of the plan, so that sizes stand from small to large.
  std::vector<std::string> names;
  std::map<std::string, GroupSamples> groups;
  const auto add_name = [&](const std::string& name) {
    if (groups.emplace(name, GroupSamples()).second) names.push_back(name);
  };
  if (kind == "size") {
    for (const SizeClass& size : plan.preset.sizes) add_name(size.name);
  }
  for (const PlannedJob& job : plan.jobs) {
    const std::string name = GroupOf(kind, plan, job);
    add_name(name);
    ++groups[name].jobs;
  }
  for (const Measured& each : complete) {
    GroupSamples& group = groups[GroupOf(kind, plan, plan.jobs[each.job])];
    group.response.push_back(each.response);
    group.ideal.push_back(each.ideal);
    group.excess.push_back(each.response - each.ideal);
  }
  for (const std::string& name : names) {
    GroupSamples& group = groups[name];
    report->groups.push_back({kind, name, group.jobs,
                              QuantilesOf(std::move(group.response)),
                              QuantilesOf(std::move(group.ideal)),
                              QuantilesOf(std::move(group.excess))});
  }
}

void AddSecond(const PlannedJob& job, const JobRecord& record, Report* report) {
  const std::size_t second = static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(record.ended_at)
          .count());
  if (report->seconds.size() <= second) report->seconds.resize(second + 1);
  SecondReport& row = report->seconds[second];
  if (record.end == JobEnd::kComplete) {
    ++row.completed;
    row.completed_work += Work(job);
  } else if (record.end == JobEnd::kNotRun) {
    ++row.not_run;
  } else {
    ++row.others;
  }
}

void AddRecord(const PlannedJob& job, const JobRecord& record, Report* report) {
  report->tasks += job.runs.size();
  report->offered_work += Work(job);
  report->crossed += record.crossed ? 1 : 0;
  report->partial += record.partial ? 1 : 0;
  report->resubmissions += record.resubmissions;
  report->lost_answers += record.lost_answers;
  report->refusals += record.refusals;
  AddSecond(job, record, report);
  if (record.end != JobEnd::kComplete) return;
  report->completed_tasks += job.runs.size();
  report->completed_work += Work(job);
}

std::vector<OutcomeCount> CountOutcomes(const std::vector<JobRecord>& records) {
  std::map<std::pair<JobEnd, std::string>, std::uint64_t> counts;
  for (const JobRecord& record : records) {
    ++counts[{record.end, record.reason}];
  }
  std::vector<OutcomeCount> outcomes;
  outcomes.reserve(counts.size());
  for (const auto& [key, jobs] : counts) {
    outcomes.push_back({key.first, key.second, jobs});
  }
  return outcomes;
}

std::optional<Counts> SumOf(const Report& report,
                            std::optional<Counts> ProcessCounters::*member) {
  std::optional<Counts> sum;
  for (const ProcessReport& process : report.processes) {
    if (!process.spent || !((*process.spent).*member)) continue;
    if (!sum) sum.emplace();
    for (const auto& [name, count] : *((*process.spent).*member)) {
      (*sum)[name] += count;
    }
  }
  return sum;
}

double ShareOfCapacity(const Report& report, core::Duration work) {
  const double capacity =
      report.slots * static_cast<double>(report.length.count());
  return capacity > 0 ? static_cast<double>(work.count()) / capacity : 0;
}

}  // namespace

Quantiles QuantilesOf(std::vector<core::Duration> values) {
  Quantiles quantiles;
  if (values.empty()) return quantiles;
  std::sort(values.begin(), values.end());
  const core::Duration sum =
      std::accumulate(values.begin(), values.end(), core::Duration(0));
  quantiles.count = values.size();
  quantiles.mean = sum / static_cast<std::int64_t>(values.size());
  quantiles.p50 = AtRank(values, kP50);
  quantiles.p99 = AtRank(values, kP99);
  quantiles.p999 = AtRank(values, kP999);
  quantiles.longest = values.back();
  return quantiles;
}

Report BuildReport(const RunPlan& plan, const RunResult& result,
                   std::vector<ProcessReport> processes) {
  Report report;
  report.preset = plan.preset.name;
  report.load_permille = plan.load_permille;
  report.length = plan.length;
  report.seed = plan.seed;
  report.slots = Slots(plan.preset);
  report.jobs = plan.jobs.size();
  std::vector<core::Duration> sent_late;
  for (std::size_t i = 0; i < plan.jobs.size(); ++i) {
    AddRecord(plan.jobs[i], result.records[i], &report);
    if (result.records[i].end == JobEnd::kNotSubmitted) continue;
    sent_late.push_back(result.records[i].sent_late);
  }
  report.refusal_time = QuantilesOf(result.refusal_times);
  report.sent_late = QuantilesOf(std::move(sent_late));
  report.outcomes = CountOutcomes(result.records);
  const std::vector<Measured> complete = MeasureComplete(plan, result);
  for (const char* kind : {"all", "tenant", "service", "class", "size"}) {
    AddGroups(kind, plan, complete, &report);
  }
  report.processes = std::move(processes);
  return report;
}

std::vector<ProcessReport> CompareReadings(
    const std::vector<core::Address>& addresses, const CounterReadings& before,
    const CounterReadings& after) {
  std::vector<ProcessReport> processes;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    ProcessReport& process = processes.emplace_back();
    process.address = addresses[i];
    if (!before[i] || !after[i]) continue;
    process.spent = Difference(*before[i], *after[i]);
  }
  return processes;
}

std::optional<Counts> MessagesSent(const Report& report) {
  return SumOf(report, &ProcessCounters::sent);
}

std::optional<Counts> MessagesWasted(const Report& report) {
  return SumOf(report, &ProcessCounters::wasted);
}

double Goodput(const Report& report) {
  const std::size_t arrivals = static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(report.length).count());
  core::Duration work{0};
  for (std::size_t i = 0; i < std::min(arrivals, report.seconds.size()); ++i) {
    work += report.seconds[i].completed_work;
  }
  return ShareOfCapacity(report, work);
}

double Completed(const Report& report) {
  return ShareOfCapacity(report, report.completed_work);
}

double Offered(const Report& report) {
  return ShareOfCapacity(report, report.offered_work);
}

}  // namespace tarragon::bench
