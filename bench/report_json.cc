#include "tarragon/bench/report_json.h"

#include <boost/json.hpp>
#include <map>
#include <utility>

namespace tarragon::bench {
namespace {

namespace json = boost::json;

using Counts = std::map<std::string, std::uint64_t>;

json::object ToJson(const Quantiles& quantiles) {
  return {{"count", quantiles.count},
          {"mean_us", quantiles.mean.count()},
          {"p50_us", quantiles.p50.count()},
          {"p99_us", quantiles.p99.count()},
          {"p999_us", quantiles.p999.count()},
          {"longest_us", quantiles.longest.count()}};
}

json::object ToJson(const GroupReport& group) {
  return {{"kind", group.kind},
          {"name", group.name},
          {"jobs", group.jobs},
          {"response", ToJson(group.response)},
          {"ideal", ToJson(group.ideal)},
          {"response_less_ideal", ToJson(group.excess)}};
}

json::object ToJson(const OutcomeCount& outcome) {
  return {{"outcome", Name(outcome.end)},
          {"reason", outcome.reason},
          {"jobs", outcome.jobs}};
}

json::object ToJson(const SecondReport& second) {
  return {{"completed", second.completed},
          {"completed_work_us", second.completed_work.count()},
          {"not_run", second.not_run},
          {"others", second.others}};
}

json::value ToJson(const std::optional<Counts>& counts) {
  if (!counts) return nullptr;
  json::object object;
  for (const auto& [name, count] : *counts) object[name] = count;
  return object;
}

json::object ToJson(const ProcessReport& process) {
  json::object object = {{"address", process.address.value()},
                         {"measured", process.spent.has_value()}};
  if (!process.spent) return object;
  object["sent"] = ToJson(process.spent->sent);
  object["wasted"] = ToJson(process.spent->wasted);
  object["cpu_us"] = process.spent->cpu.count();
  object["resident_bytes"] = process.spent->resident_bytes;
  object["bytes_out"] = process.spent->bytes_out;
  return object;
}

template <typename Item>
json::array ToArray(const std::vector<Item>& items) {
  json::array array;
  for (const Item& item : items) array.push_back(ToJson(item));
  return array;
}

// Each of the readers throws if a member is missing or has another type.

template <typename Number>
Number NumberAt(const json::object& object, const char* name) {
  return object.at(name).to_number<Number>();
}

std::string TextAt(const json::object& object, const char* name) {
  return std::string(object.at(name).as_string());
}

core::Duration TimeAt(const json::object& object, const char* name) {
  return core::Duration(NumberAt<std::int64_t>(object, name));
}

Quantiles QuantilesAt(const json::object& object, const char* name) {
  const json::object& from = object.at(name).as_object();
  return {NumberAt<std::uint64_t>(from, "count"),
          TimeAt(from, "mean_us"),
          TimeAt(from, "p50_us"),
          TimeAt(from, "p99_us"),
          TimeAt(from, "p999_us"),
          TimeAt(from, "longest_us")};
}

std::optional<Counts> CountsAt(const json::object& object, const char* name) {
  if (object.at(name).is_null()) return std::nullopt;
  Counts counts;
  for (const json::key_value_pair& item : object.at(name).as_object()) {
    counts[std::string(item.key())] = item.value().to_number<std::uint64_t>();
  }
  return counts;
}

void FromJson(const json::object& from, GroupReport* group) {
  group->kind = TextAt(from, "kind");
  group->name = TextAt(from, "name");
  group->jobs = NumberAt<std::uint64_t>(from, "jobs");
  group->response = QuantilesAt(from, "response");
  group->ideal = QuantilesAt(from, "ideal");
  group->excess = QuantilesAt(from, "response_less_ideal");
}

void FromJson(const json::object& from, OutcomeCount* outcome) {
  outcome->end =
      ParseJobEnd(TextAt(from, "outcome")).value_or(JobEnd::kBadAnswer);
  outcome->reason = TextAt(from, "reason");
  outcome->jobs = NumberAt<std::uint64_t>(from, "jobs");
}

void FromJson(const json::object& from, SecondReport* second) {
  second->completed = NumberAt<std::uint64_t>(from, "completed");
  second->completed_work = TimeAt(from, "completed_work_us");
  second->not_run = NumberAt<std::uint64_t>(from, "not_run");
  second->others = NumberAt<std::uint64_t>(from, "others");
}

void FromJson(const json::object& from, ProcessReport* process) {
  process->address = core::Address(TextAt(from, "address"));
  if (!from.at("measured").as_bool()) return;
  ProcessCounters& spent = process->spent.emplace();
  spent.sent = CountsAt(from, "sent");
  spent.wasted = CountsAt(from, "wasted");
  spent.cpu = TimeAt(from, "cpu_us");
  spent.resident_bytes = NumberAt<std::uint64_t>(from, "resident_bytes");
  spent.bytes_out = NumberAt<std::uint64_t>(from, "bytes_out");
}

template <typename Item>
void ReadArray(const json::object& object, const char* name,
               std::vector<Item>* items) {
  for (const json::value& value : object.at(name).as_array()) {
    FromJson(value.as_object(), &items->emplace_back());
  }
}

Report ReadReport(const json::object& from) {
  Report report;
  report.preset = TextAt(from, "preset");
  report.load_permille = NumberAt<std::uint32_t>(from, "load_permille");
  report.length = TimeAt(from, "length_us");
  report.seed = NumberAt<std::uint64_t>(from, "seed");
  report.slots = NumberAt<std::uint32_t>(from, "slots");
  report.jobs = NumberAt<std::uint64_t>(from, "jobs");
  report.tasks = NumberAt<std::uint64_t>(from, "tasks");
  report.completed_tasks = NumberAt<std::uint64_t>(from, "completed_tasks");
  report.offered_work = TimeAt(from, "offered_work_us");
  report.completed_work = TimeAt(from, "completed_work_us");
  report.crossed = NumberAt<std::uint64_t>(from, "crossed");
  report.partial = NumberAt<std::uint64_t>(from, "partial");
  report.resubmissions = NumberAt<std::uint64_t>(from, "resubmissions");
  report.lost_answers = NumberAt<std::uint64_t>(from, "lost_answers");
  report.refusals = NumberAt<std::uint64_t>(from, "refusals");
  report.refusal_time = QuantilesAt(from, "refusal_time");
  report.sent_late = QuantilesAt(from, "sent_late");
  ReadArray(from, "outcomes", &report.outcomes);
  ReadArray(from, "groups", &report.groups);
  ReadArray(from, "seconds", &report.seconds);
  ReadArray(from, "processes", &report.processes);
  return report;
}

}  // namespace

std::string EncodeReport(const Report& report) {
  const json::object object = {
      {"preset", report.preset},
      {"load_permille", report.load_permille},
      {"length_us", report.length.count()},
      {"seed", report.seed},
      {"slots", report.slots},
      {"jobs", report.jobs},
      {"tasks", report.tasks},
      {"completed_tasks", report.completed_tasks},
      {"offered_work_us", report.offered_work.count()},
      {"completed_work_us", report.completed_work.count()},
      {"offered", Offered(report)},
      {"completed", Completed(report)},
      {"goodput", Goodput(report)},
      {"crossed", report.crossed},
      {"partial", report.partial},
      {"resubmissions", report.resubmissions},
      {"lost_answers", report.lost_answers},
      {"refusals", report.refusals},
      {"refusal_time", ToJson(report.refusal_time)},
      {"sent_late", ToJson(report.sent_late)},
      {"outcomes", ToArray(report.outcomes)},
      {"groups", ToArray(report.groups)},
      {"messages_sent", ToJson(MessagesSent(report))},
      {"messages_wasted", ToJson(MessagesWasted(report))},
      {"seconds", ToArray(report.seconds)},
      {"processes", ToArray(report.processes)}};
  return json::serialize(object) + "\n";
}

std::optional<Report> DecodeReport(const std::string& text,
                                   BenchError* reason) {
  try {
    return ReadReport(json::parse(text).as_object());
  } catch (const std::exception& error) {
    reason->text = std::string("This is no report: ") + error.what() + ".";
    return std::nullopt;
  }
}

}  // namespace tarragon::bench
