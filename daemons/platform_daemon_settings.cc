#include "platform_daemon_settings.h"

#include <string>

#include "machine_limits.h"
#include "tarragon/core/log.h"

namespace tarragon::daemons {
namespace {

using coordinator::Policy;

constexpr char kPolicySection[] = "policy";
constexpr char kLogSection[] = "log";
constexpr char kMetricsSection[] = "metrics";
constexpr char kPeersSection[] = "peers";

struct DurationSetting {
  const char* key;
  core::Duration Policy::*member;
  const char* minimum;
  const char* maximum;
  const char* help;
};

constexpr DurationSetting kDurations[] = {
    {"notice_interval", &Policy::notice_interval, "10ms", "5s",
     "Pause between two heartbeats of an entry or gate."},
    {"home_silence", &Policy::home_silence, "100ms", "10s",
     "Silence of an entry after which a gate ends its runs."},
    {"gate_silence", &Policy::gate_silence, "100ms", "10s",
     "Silence of a gate after which no task is placed there."},
    {"uncounted_limit", &Policy::uncounted_limit, "10ms", "10s",
     "Time in which a gate must acknowledge a start, or it gets no more "
     "tasks."},
    {"offer_time", &Policy::offer_time, "1ms", "1s",
     "How long a gate reserves freed room for an entry that waits for it."},
    {"redial_after", &Policy::redial_after, "100ms", "30s",
     "Silence after which a connection to a gate is opened again."},
    {"reconnect_interval", &Policy::reconnect_interval, "20ms", "30s",
     "Pause between two attempts to reach a peer."},
    {"runs_surely_over", &Policy::runs_surely_over, "100ms", "1min",
     "Silence of a gate after which its runs are certain to have ended."},
    {"start_window", &Policy::start_window, "10ms", "10s",
     "A start that reaches its gate later than this is refused."},
    {"hold_wait", &Policy::hold_wait, "10ms", "2s",
     "How long a poll of a target waits for a run to end."},
    {"order_timeout", &Policy::order_timeout, "5ms", "5s",
     "Time without an answer after which an order to a target times out."},
    {"trial_interval", &Policy::trial_interval, "10ms", "1min",
     "Pause between two trials of a suspect target."},
    {"stop_accepting_after", &Policy::stop_accepting_after, "0s", "1min",
     "How long new jobs are accepted after a stop signal."},
    {"retry_floor", &Policy::retry_floor, "100ms", "1min",
     "Shortest time after which a refused client is asked to retry."},
    {"demand_lifetime", &Policy::demand_lifetime, "100ms", "10s",
     "Age at which the demand that another entry has told no longer counts."},
    {"shortage_begins", &Policy::shortage_begins, "1ms", "10s",
     "Waiting work, as time of all usable targets, from which priorities order "
     "the tasks."},
    {"shortage_ends", &Policy::shortage_ends, "0s", "10s",
     "Waiting work below which priorities no longer order the tasks."},
    {"shortage_hold", &Policy::shortage_hold, "0s", "1min",
     "How long the waiting work must be below shortage_ends."},
    {"floor_window", &Policy::floor_window, "100ms", "1min",
     "Time over which the share of tasks started in time is measured."},
    {"rejoin_time", &Policy::rejoin_time, "0s", "1min",
     "Time from a target's announced departure until another one has joined."},
    {"recovery_time", &Policy::recovery_time, "0s", "1min",
     "Time after its start in which an entry refuses jobs that it accepted "
     "before it knew the gates, if they cannot be served."},
    {"reservation_reach", &Policy::reservation_reach, "0s", "5s",
     "How long before its release a gate reserves room for an entry that waits "
     "for it; 0 for no reservations."},
    {"reservation_margin", &Policy::reservation_margin, "0s", "5s",
     "How long a reservation lasts beyond the expected release."},
};

core::SettingSpec MakeLogLevelSpec() {
  core::SettingSpec spec;
  spec.section = kLogSection;
  spec.key = "level";
  spec.default_value = "info";
  spec.reloadable = true;
  spec.help = "Lowest level that is logged: debug, info, warn or error.";
  return spec;
}

core::SettingSpec MakeIntegerSpec(const char* section, const char* key,
                                  const char* value, const char* minimum,
                                  const char* maximum, const char* help) {
  core::SettingSpec spec;
  spec.section = section;
  spec.key = key;
  spec.type = core::SettingType::kInteger;
  spec.default_value = value;
  spec.minimum = minimum;
  spec.maximum = maximum;
  spec.help = help;
  return spec;
}

}  // namespace

std::vector<core::SettingSpec> PlatformSettingSpecs() {
  std::vector<core::SettingSpec> specs;
  specs.push_back(MakeLogLevelSpec());
  specs.push_back(
      MakeIntegerSpec(kLogSection, "lines_per_second", "2000", "1", "100000",
                      "Most log lines with the same message per second."));
  specs.back().reloadable = true;
  specs.push_back(MakeIntegerSpec(kMetricsSection, "port", "9464", "0", "65535",
                                  "Port of the metrics page; 0 for none."));
  core::SettingSpec bind;
  bind.section = kPeersSection;
  bind.key = "bind_ip";
  bind.help =
      "IP address to listen on for peers, if a forwarder passes on connections "
      "to the VM's address; empty to listen on the VM's address.";
  specs.push_back(bind);
  for (core::SettingSpec& each : MachineLimitSpecs()) specs.push_back(each);
  const Policy defaults;
  for (const DurationSetting& each : kDurations) {
    core::SettingSpec spec;
    spec.section = kPolicySection;
    spec.key = each.key;
    spec.type = core::SettingType::kDuration;
    spec.default_value =
        std::to_string(core::Millis(defaults.*each.member)) + "ms";
    spec.minimum = each.minimum;
    spec.maximum = each.maximum;
    spec.reloadable = true;
    spec.help = each.help;
    specs.push_back(spec);
  }
  return specs;
}

coordinator::Policy ReadCoordinationPolicy(const core::Settings& settings) {
  Policy policy;
  for (const DurationSetting& each : kDurations) {
    policy.*each.member = settings.Duration(kPolicySection, each.key);
  }
  return policy;
}

std::uint16_t ReadMetricsPort(const core::Settings& settings) {
  return static_cast<std::uint16_t>(settings.Integer(kMetricsSection, "port"));
}

core::Address ReadPeerListenAddress(const core::Settings& settings,
                                    const core::Address& announced) {
  const std::string& ip = settings.Text(kPeersSection, "bind_ip");
  if (ip.empty()) return announced;
  const std::string& text = announced.value();
  return core::Address(ip + text.substr(text.rfind(':')));
}

void ApplyLogSettings(const core::Settings& settings) {
  core::SetLogLimit(
      static_cast<int>(settings.Integer(kLogSection, "lines_per_second")));
  std::vector<core::LogLevelRule> rules;
  if (!core::ParseLogLevels(settings.Text(kLogSection, "level"), &rules)) {
    core::Log("settings").Warn("The log level is invalid; it was not changed.");
    return;
  }
  for (const core::LogLevelRule& rule : rules) {
    core::SetLogLevel(rule.part, rule.level);
  }
}

}  // namespace tarragon::daemons
