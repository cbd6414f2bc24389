#include "tarragon/daemons/policy_settings.h"

#include <string>

namespace tarragon::daemons {
namespace {

using dispatch::Policy;

constexpr char kSection[] = "policy";

/// A setting for a duration of the policy.
struct DurationSetting {
  const char* key;
  core::Duration Policy::*member;
  const char* minimum;
  const char* maximum;
  const char* help;
};

/// A setting for an integer of the policy.
struct CountSetting {
  const char* key;
  std::uint32_t Policy::*member;
  const char* minimum;
  const char* maximum;
  const char* help;
};

/// A setting for a switch of the policy.
struct FlagSetting {
  const char* key;
  bool Policy::*member;
  const char* help;
};

constexpr DurationSetting kDurations[] = {
    {"trial_interval", &Policy::trial_interval, "100ms", "10min",
     "Pause between two trials of an ejected target."},
    {"slow_confirm", &Policy::slow_confirm, "100ms", "10min",
     "How long a target must be slow before it is ejected."},
    {"hint_interval", &Policy::hint_interval, "1ms", "10s",
     "Least time between two load hints to one home."},
    {"max_queue_delay", &Policy::max_queue_delay, "10ms", "10min",
     "Longest estimated wait with which a job is accepted."},
    {"seal_after", &Policy::seal_after, "100ms", "10min",
     "Silence of an executor after which its tasks are sealed."},
    {"gone_after", &Policy::gone_after, "1s", "10min",
     "Time without an answer to seals after which an executor is gone."},
    {"retry_pause", &Policy::retry_pause, "1ms", "10s",
     "Mean pause before a refused task is placed again."},
    {"answer_memory", &Policy::answer_memory, "10s", "24h",
     "How long final answers are kept."},
    {"handle_epoch", &Policy::handle_epoch, "1min", "24h",
     "Length of one epoch of handles."},
    {"heartbeat_interval", &Policy::heartbeat_interval, "100ms", "10s",
     "Pause between two heartbeats of an agent."},
    {"member_timeout", &Policy::member_timeout, "500ms", "10min",
     "Silence after which an agent is removed from the members."},
    {"freshness", &Policy::freshness, "500ms", "10s",
     "Longest time after a domain's withdrawal in which tasks still start "
     "there."},
    {"poll_interval", &Policy::poll_interval, "50ms", "5s",
     "Pause between two reads of the platform's table."},
    {"ping_interval", &Policy::ping_interval, "50ms", "5s",
     "Pause between two pings of an entry to another."},
    {"entry_timeout", &Policy::entry_timeout, "2s", "1h",
     "Silence after which an entry is removed from the list."},
    {"target_timeout", &Policy::target_timeout, "1s", "1min",
     "Silence after which a target's announcement expires."},
    {"home_timeout", &Policy::home_timeout, "500ms", "10min",
     "Time after which an unreachable home is given up."},
    {"drain_limit", &Policy::drain_limit, "1s", "1h",
     "Longest duration of a graceful stop."},
};

constexpr CountSetting kCounts[] = {
    {"executor_queue", &Policy::executor_queue, "0", "100000",
     "Tasks that may wait at an executor without late binding."},
    {"late_factor", &Policy::late_factor, "0", "100",
     "A task is late after this many usual run times; 0 for never."},
    {"want_fanout", &Policy::want_fanout, "1", "1000",
     "Executors to which a home announces waiting tasks."},
    {"min_homes", &Policy::min_homes, "1", "1000",
     "Minimum number of agents that accept new jobs as homes."},
    {"agents_per_home", &Policy::agents_per_home, "1", "100000",
     "Number of agents per additional home."},
    {"max_home_queue", &Policy::max_home_queue, "110", "1000000",
     "Most tasks that may wait at one home."},
    {"max_attempts", &Policy::max_attempts, "1", "100",
     "Most placements of one task, including the first."},
    {"retry_permille", &Policy::retry_permille, "0", "1000",
     "Second placements as a share of first placements, in thousandths."},
    {"retry_burst", &Policy::retry_burst, "1", "10000",
     "Second placements that are allowed at once."},
    {"handle_epochs", &Policy::handle_epochs, "1", "100",
     "Epochs whose handles are accepted for a first submission."},
    {"heartbeat_fanout", &Policy::heartbeat_fanout, "1", "16",
     "Entries to which one agent sends heartbeats."},
    {"member_sample", &Policy::member_sample, "8", "1000",
     "Members that an entry sends to one agent."},
    {"max_entry_requests", &Policy::max_entry_requests, "10", "1000000",
     "Most open client requests at one entry."},
};

constexpr FlagSetting kFlags[] = {
    {"late_binding", &Policy::late_binding,
     "Tasks wait at their home and freed slots ask for them."},
    {"retract_wants", &Policy::retract_wants,
     "Homes tell executors when no task is waiting any longer."},
    {"ejection", &Policy::ejection,
     "Targets that fail most tasks or are slow get only single trial tasks."},
};

/// A unit of the text form of a duration.
struct DurationUnit {
  std::int64_t microseconds;
  const char* name;
};

/// In descending order.
constexpr DurationUnit kDurationUnits[] = {
    {3'600'000'000, "h"}, {60'000'000, "min"}, {1'000'000, "s"}, {1'000, "ms"}};

/// Writes `duration` as a whole number of the largest possible unit.
std::string FormatDuration(core::Duration duration) {
  const std::int64_t count = duration.count();
  for (const DurationUnit& unit : kDurationUnits) {
    if (count != 0 && count % unit.microseconds == 0) {
      return std::to_string(count / unit.microseconds) + unit.name;
    }
  }
  return std::to_string(count) + "us";
}

core::SettingSpec MakeSpec(const char* key, core::SettingType type,
                           const std::string& default_value,
                           const char* minimum, const char* maximum,
                           const char* help) {
  core::SettingSpec spec;
  spec.section = kSection;
  spec.key = key;
  spec.type = type;
  spec.default_value = default_value;
  spec.minimum = minimum;
  spec.maximum = maximum;
  spec.reloadable = true;
  spec.help = help;
  return spec;
}

}  // namespace

std::vector<core::SettingSpec> PolicySpecs() {
  const Policy defaults;
  std::vector<core::SettingSpec> specs;
  for (const DurationSetting& s : kDurations) {
    specs.push_back(MakeSpec(s.key, core::SettingType::kDuration,
                             FormatDuration(defaults.*s.member), s.minimum,
                             s.maximum, s.help));
  }
  for (const CountSetting& s : kCounts) {
    specs.push_back(MakeSpec(s.key, core::SettingType::kInteger,
                             std::to_string(defaults.*s.member), s.minimum,
                             s.maximum, s.help));
  }
  for (const FlagSetting& s : kFlags) {
    specs.push_back(MakeSpec(s.key, core::SettingType::kBool,
                             defaults.*s.member ? "true" : "false", "", "",
                             s.help));
  }
  specs.push_back(MakeSpec("fair_tenants", core::SettingType::kBool, "false",
                           "", "",
                           "Serve the tenant with the least running work for "
                           "its weight first; otherwise in order of arrival."));
  specs.push_back(
      MakeSpec("random_placement", core::SettingType::kBool, "false", "", "",
               "Place tasks on random targets, regardless of load."));
  return specs;
}

dispatch::Policy ReadPolicy(const core::Settings& settings) {
  Policy policy;
  for (const DurationSetting& s : kDurations) {
    policy.*s.member = settings.Duration(kSection, s.key);
  }
  for (const CountSetting& s : kCounts) {
    policy.*s.member =
        static_cast<std::uint32_t>(settings.Integer(kSection, s.key));
  }
  for (const FlagSetting& s : kFlags) {
    policy.*s.member = settings.Bool(kSection, s.key);
  }
  policy.order = settings.Bool(kSection, "fair_tenants")
                     ? dispatch::QueueOrder::kFair
                     : dispatch::QueueOrder::kArrival;
  policy.placement = settings.Bool(kSection, "random_placement")
                         ? dispatch::PlacementStrategy::kRandom
                         : dispatch::PlacementStrategy::kLeastLoaded;
  return policy;
}

}  // namespace tarragon::daemons
