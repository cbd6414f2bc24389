#include "tarragon/daemons/settings_validation.h"

#include <iostream>

#include "tarragon/core/exit_code.h"
#include "tarragon/dispatch/note.h"

namespace tarragon::daemons {
namespace {

constexpr char kPolicySection[] = "policy";
/// An accepted note is in force everywhere after two polls of the table.
constexpr int kMinPollsWithinFreshness = 2;

/// True for a wildcard address, to which no peer can connect.
bool IsWildcardAddress(const core::Address& address) {
  return address.value().rfind("0.0.0.0:", 0) == 0 ||
         address.value().rfind("[::]:", 0) == 0;
}

/// Checks settings against each other and collects the errors.
class SettingsChecker {
 public:
  explicit SettingsChecker(const core::Settings& settings)
      : settings_(settings) {}

  void CheckAddress(const std::string& section) {
    if (!settings_.Has(section, "advertise")) {
      if (!IsWildcardAddress(settings_.Address(section, "listen"))) return;
      AddError(section, "advertise",
               "must be given if listen is a wildcard address, because other "
               "processes cannot connect to that one.");
      return;
    }
    if (!IsWildcardAddress(settings_.Address(section, "advertise"))) return;
    AddError(section, "advertise",
             "must not be a wildcard address, because other processes cannot "
             "connect to it.");
  }

  void CheckDomain(const std::string& section) {
    if (dispatch::IsValidName(settings_.Text(section, "domain"))) return;
    AddError(section, "domain",
             "must have 1 to 64 characters of A-Z a-z 0-9 _ . -");
  }

  /// Adds an error unless the duration `key` is longer than `times` * `other`.
  void RequireLonger(const char* key, const char* other, int times) {
    const core::Duration limit =
        times * settings_.Duration(kPolicySection, other);
    if (settings_.Duration(kPolicySection, key) > limit) return;
    const std::string factor = times == 1 ? "" : std::to_string(times) + " * ";
    AddError(kPolicySection, key,
             "must be longer than " + factor + other + ", which is " +
                 settings_.Text(kPolicySection, other) + ".");
  }

  std::vector<core::SettingError> errors() const { return errors_; }

 private:
  void AddError(const std::string& section, const std::string& key,
                const std::string& text) {
    core::SettingError error;
    error.section = section;
    error.key = key;
    error.text = text;
    errors_.push_back(error);
  }

  const core::Settings& settings_;
  std::vector<core::SettingError> errors_;
};

}  // namespace

std::vector<core::SettingError> ValidateSettings(const core::Settings& settings,
                                                 const std::string& section) {
  SettingsChecker checker(settings);
  checker.CheckAddress(section);
  checker.CheckDomain(section);
  checker.RequireLonger("gone_after", "seal_after", 1);
  checker.RequireLonger("member_timeout", "heartbeat_interval", 1);
  checker.RequireLonger("freshness", "poll_interval", kMinPollsWithinFreshness);
  return checker.errors();
}

std::optional<core::Settings> LoadValidatedSettings(
    const core::CommandLine& command,
    const std::vector<core::SettingSpec>& specs, const std::string& section,
    int* exit_code) {
  core::CommandLine load_command = command;
  load_command.check = false;
  std::optional<core::Settings> settings =
      core::LoadSettings(load_command, specs, exit_code);
  if (!settings.has_value()) return std::nullopt;
  std::vector<core::SettingError> errors = ValidateSettings(*settings, section);
  for (core::SettingError& error : errors) {
    error.file = command.config_file;
    std::cerr << core::ToString(error) << "\n";
  }
  if (!errors.empty()) {
    *exit_code = core::kExitSettings;
    return std::nullopt;
  }
  if (!command.check) return settings;
  std::cout << "The settings are valid.\n";
  return std::nullopt;
}

}  // namespace tarragon::daemons
