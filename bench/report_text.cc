#include "tarragon/bench/report_text.h"

#include "figures.h"
#include "tarragon/ctl/table.h"

namespace tarragon::bench {
namespace {

constexpr char kNotMeasured[] = "not measured";
constexpr int kRatioDecimals = 3;
constexpr double kPermille = 1000;
constexpr double kPercent = 100;
constexpr double kBytesPerMiB = 1024.0 * 1024.0;

std::string Count(std::uint64_t count) { return std::to_string(count); }

std::string FormatHead(const Report& report) {
  return "preset " + report.preset + "  load " +
         NumberText(report.load_permille / kPermille, kRatioDecimals) +
         "  seconds " +
         Count(static_cast<std::uint64_t>(core::Millis(report.length)) / 1000) +
         "  seed " + Count(report.seed) + "  slots " + Count(report.slots) +
         "\njobs " + Count(report.jobs) + "  tasks " + Count(report.tasks) +
         "  completed tasks " + Count(report.completed_tasks) + "\noffered " +
         NumberText(Offered(report), kRatioDecimals) + "  completed " +
         NumberText(Completed(report), kRatioDecimals) + "  goodput " +
         NumberText(Goodput(report), kRatioDecimals) +
         "  (shares of the slots' capacity; goodput: while jobs arrived)\n";
}

std::string FormatOutcomes(const Report& report) {
  ctl::Table table{{"outcome", "reason", "jobs"}, {}};
  for (const OutcomeCount& outcome : report.outcomes) {
    table.rows.push_back(
        {Name(outcome.end), outcome.reason, Count(outcome.jobs)});
  }
  return ctl::FormatTable(table);
}

std::string FormatFaults(const Report& report) {
  std::string text = "crossed " + Count(report.crossed) + "  partial " +
                     Count(report.partial) + "  lost answers " +
                     Count(report.lost_answers) + "  resubmissions " +
                     Count(report.resubmissions) + "  refusals " +
                     Count(report.refusals) + "\n";
  if (report.refusal_time.count > 0) {
    text += "refusal answer time ms: p50 " + MsText(report.refusal_time.p50) +
            "  p99 " + MsText(report.refusal_time.p99) + "\n";
  }
  return text + "bench sent late ms: p50 " + MsText(report.sent_late.p50) +
         "  p99 " + MsText(report.sent_late.p99) + "  longest " +
         MsText(report.sent_late.longest) + "\n";
}

std::string FormatGroups(const Report& report) {
  ctl::Table table{
      {"group", "name", "jobs", "complete", "resp p50", "p99", "p99.9",
       "ideal p50", "p99", "p99.9", "over mean", "p50", "p99", "p99.9"},
      {}};
  for (const GroupReport& group : report.groups) {
    table.rows.push_back(
        {group.kind, group.name, Count(group.jobs), Count(group.response.count),
         MsText(group.response.p50), MsText(group.response.p99),
         MsText(group.response.p999), MsText(group.ideal.p50),
         MsText(group.ideal.p99), MsText(group.ideal.p999),
         MsText(group.excess.mean), MsText(group.excess.p50),
         MsText(group.excess.p99), MsText(group.excess.p999)});
  }
  return "Response, ideal, and response over ideal for each job, in ms:\n" +
         ctl::FormatTable(table);
}

std::string FormatCounts(
    const std::string& title, const std::string& column,
    const std::optional<std::map<std::string, std::uint64_t>>& counts,
    const Report& report) {
  const std::optional<std::uint64_t> sum = Sum(counts);
  if (!sum) return title + ": " + kNotMeasured + "\n";
  ctl::Table table{{column, "count", "for each completed task"}, {}};
  const auto add = [&](const std::string& name, std::uint64_t count) {
    const std::optional<double> share = PerTask(count, report);
    table.rows.push_back(
        {name, Count(count), share ? NumberText(*share, kRatioDecimals) : ""});
  };
  for (const auto& [name, count] : *counts) {
    if (count > 0) add(name, count);
  }
  add("all", *sum);
  return title + ":\n" + ctl::FormatTable(table);
}

std::string FormatProcesses(const Report& report) {
  if (report.processes.empty()) return "";
  const MeanProcess mean = MeanOfProcesses(report);
  std::string text =
      "processes that answered before and after: " + Count(mean.answered) +
      " of " + Count(report.processes.size()) + "\n";
  if (mean.answered == 0) return text;
  return text +
         "mean of a process: " + NumberText(mean.cpu_share * kPercent, 2) +
         "% of a core, " + NumberText(mean.bytes_out_per_second, 0) +
         " bytes/s to other processes; most memory " +
         NumberText(
             static_cast<double>(mean.most_resident_bytes) / kBytesPerMiB, 1) +
         " MiB\n";
}

/// The rows of a comparison.
class Comparison {
 public:
  void Add(const std::string& name, std::optional<double> a,
           std::optional<double> b, int decimals) {
    std::vector<std::string> row{name, Text(a, decimals), Text(b, decimals)};
    if (a && b && *a != 0) {
      row.push_back(NumberText((*b - *a) / *a * kPercent, 1));
    }
    table_.rows.push_back(std::move(row));
  }

  void Add(const std::string& name, std::uint64_t a, std::uint64_t b) {
    Add(name, static_cast<double>(a), static_cast<double>(b), 0);
  }

  void AddMs(const std::string& name, core::Duration a, core::Duration b) {
    Add(name, Ms(a), Ms(b), 1);
  }

  std::string Text() const { return ctl::FormatTable(table_); }

 private:
  static std::string Text(std::optional<double> value, int decimals) {
    return value ? NumberText(*value, decimals) : std::string();
  }
  static double Ms(core::Duration time) {
    return static_cast<double>(time.count()) / kPermille;
  }

  ctl::Table table_{{"figure", "a", "b", "change %"}, {}};
};

std::uint64_t JobsThatEnded(const Report& report, JobEnd end) {
  std::uint64_t jobs = 0;
  for (const OutcomeCount& outcome : report.outcomes) {
    if (outcome.end == end) jobs += outcome.jobs;
  }
  return jobs;
}

const GroupReport* FindGroup(const Report& report, const GroupReport& like) {
  for (const GroupReport& group : report.groups) {
    if (group.kind == like.kind && group.name == like.name) return &group;
  }
  return nullptr;
}

void AddTotals(const Report& a, const Report& b, Comparison* rows) {
  rows->Add("jobs", a.jobs, b.jobs);
  for (const JobEnd end :
       {JobEnd::kComplete, JobEnd::kFailed, JobEnd::kNotRun, JobEnd::kUnknown,
        JobEnd::kNoAnswer, JobEnd::kNotSubmitted, JobEnd::kBadAnswer}) {
    rows->Add(std::string("jobs ") + Name(end), JobsThatEnded(a, end),
              JobsThatEnded(b, end));
  }
  rows->Add("crossed", a.crossed, b.crossed);
  rows->Add("partial", a.partial, b.partial);
  rows->Add("resubmissions", a.resubmissions, b.resubmissions);
  rows->Add("offered", Offered(a), Offered(b), kRatioDecimals);
  rows->Add("completed", Completed(a), Completed(b), kRatioDecimals);
  rows->Add("goodput", Goodput(a), Goodput(b), kRatioDecimals);
  rows->AddMs("refusal answer p50 ms", a.refusal_time.p50, b.refusal_time.p50);
  rows->AddMs("refusal answer p99 ms", a.refusal_time.p99, b.refusal_time.p99);
}

std::optional<double> SumPerTask(
    const std::optional<std::map<std::string, std::uint64_t>>& counts,
    const Report& report) {
  const std::optional<std::uint64_t> sum = Sum(counts);
  return sum ? PerTask(*sum, report) : std::nullopt;
}

void AddMessages(const Report& a, const Report& b, Comparison* rows) {
  rows->Add("messages for each task", SumPerTask(MessagesSent(a), a),
            SumPerTask(MessagesSent(b), b), kRatioDecimals);
  rows->Add("wasted messages for each task", SumPerTask(MessagesWasted(a), a),
            SumPerTask(MessagesWasted(b), b), kRatioDecimals);
}

void AddGroup(const GroupReport& a, const GroupReport& b, Comparison* rows) {
  const std::string name = a.kind == "all" ? "all" : a.kind + " " + a.name;
  rows->AddMs(name + ": response p50 ms", a.response.p50, b.response.p50);
  rows->AddMs(name + ": response p99 ms", a.response.p99, b.response.p99);
  rows->AddMs(name + ": response p99.9 ms", a.response.p999, b.response.p999);
  rows->AddMs(name + ": over ideal mean ms", a.excess.mean, b.excess.mean);
  rows->AddMs(name + ": over ideal p50 ms", a.excess.p50, b.excess.p50);
  rows->AddMs(name + ": over ideal p99 ms", a.excess.p99, b.excess.p99);
  rows->AddMs(name + ": over ideal p99.9 ms", a.excess.p999, b.excess.p999);
}

}  // namespace

std::string FormatReport(const Report& report) {
  return FormatHead(report) + "\n" + FormatOutcomes(report) + "\n" +
         FormatFaults(report) + "\n" + FormatGroups(report) + "\n" +
         FormatCounts("Messages between processes", "name",
                      MessagesSent(report), report) +
         "\n" +
         FormatCounts("Wasted messages", "kind", MessagesWasted(report),
                      report) +
         "\n" + FormatProcesses(report);
}

std::string FormatComparison(const Report& a, const Report& b) {
  Comparison rows;
  AddTotals(a, b, &rows);
  AddMessages(a, b, &rows);
  for (const GroupReport& group : a.groups) {
    const GroupReport* other = FindGroup(b, group);
    if (other != nullptr) AddGroup(group, *other, &rows);
  }
  return "a: " + FormatHead(a) + "\nb: " + FormatHead(b) + "\n" + rows.Text() +
         "\"-\" stands for what was not measured.\n";
}

}  // namespace tarragon::bench
