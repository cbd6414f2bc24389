#include "tarragon/coordinator/target_history.h"

#include <algorithm>
#include <cstddef>

namespace tarragon::coordinator {
namespace {

/// With fewer jobs, all of them may be long by chance.
constexpr std::size_t kMinJobs = 3;
/// Maximum number of samples kept; a target runs some ten jobs at once.
constexpr std::size_t kMaxSamples = 32;

/// Adds `sample`, or merges it with the sample of the same job.
void MergeSample(std::vector<JobSample>* samples, const JobSample& sample) {
  for (JobSample& known : *samples) {
    if (known.job != sample.job) continue;
    known.slowness = std::max(known.slowness, sample.slowness);
    return;
  }
  samples->push_back(sample);
}

/// Computes the median; of an even number of values, the lower middle one.
double ComputeLowerMedian(std::vector<double> values) {
  const std::size_t middle = (values.size() - 1) / 2;
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(middle),
                   values.end());
  return values[middle];
}

}  // namespace

void RecordSample(TargetHistory* history, const JobSample& sample) {
  JobSample merged = sample;
  const auto known = std::find_if(
      history->samples.begin(), history->samples.end(),
      [&sample](const JobSample& each) { return each.job == sample.job; });
  if (known != history->samples.end()) {
    merged.failed = merged.failed || known->failed;
    if (!merged.slowness.has_value()) merged.slowness = known->slowness;
    history->samples.erase(known);
  }
  history->samples.push_back(merged);
  if (history->samples.size() > kMaxSamples) history->samples.pop_front();
}

TargetGrade UpdateGrade(TargetHistory* history, core::Time now,
                        core::Duration memory,
                        const std::vector<JobSample>& overdue) {
  while (!history->samples.empty() &&
         now - history->samples.front().ended_at > memory) {
    history->samples.pop_front();
  }
  std::vector<JobSample> samples(history->samples.begin(),
                                 history->samples.end());
  for (const JobSample& each : overdue) MergeSample(&samples, each);
  if (samples.empty()) return history->grade;
  std::vector<double> slowness;
  double failed = 0;
  for (const JobSample& each : samples) {
    if (each.slowness.has_value()) slowness.push_back(*each.slowness);
    if (each.failed) ++failed;
  }
  failed /= static_cast<double>(samples.size());
  TargetGrade& grade = history->grade;
  if (samples.size() >= kMinJobs) {
    if (!slowness.empty()) grade.slowness = ComputeLowerMedian(slowness);
    grade.failed_share = failed;
    return grade;
  }
  if (!slowness.empty()) {
    grade.slowness = std::min(
        grade.slowness, *std::min_element(slowness.begin(), slowness.end()));
  }
  grade.failed_share = std::min(grade.failed_share, failed);
  return grade;
}

}  // namespace tarragon::coordinator
