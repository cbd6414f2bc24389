#include "tarragon/daemons/checked_settings.h"

#include <iostream>

#include "tarragon/core/exit_code.h"
#include "tarragon/dispatch/note.h"

namespace tarragon::daemons {
namespace {

constexpr char kPolicy[] = "policy";
/// A note is in force everywhere after two looks at the table.
constexpr int kPollsWithinFreshness = 2;

/// All addresses of the machine, which nobody can be told to connect to.
bool IsOpen(const core::Address& address) {
  return address.value().rfind("0.0.0.0:", 0) == 0 ||
         address.value().rfind("[::]:", 0) == 0;
}

class Checker {
 public:
  explicit Checker(const core::Settings& settings) : settings_(settings) {}

  void Address(const std::string& section) {
    if (!settings_.Has(section, "advertise")) {
      if (!IsOpen(settings_.Address(section, "listen"))) return;
      Add(section, "advertise",
          "must be given when listen is on all addresses; the others cannot "
          "reach that one.");
      return;
    }
    if (!IsOpen(settings_.Address(section, "advertise"))) return;
    Add(section, "advertise", "must be an address that the others can reach.");
  }

  void Domain(const std::string& section) {
    if (dispatch::IsValidName(settings_.Text(section, "domain"))) return;
    Add(section, "domain", "must have 1 to 64 characters of A-Z a-z 0-9 _ . -");
  }

  /// Demands that the duration `key` is longer than `times` times `other`.
  void Longer(const char* key, const char* other, int times) {
    const core::Duration least = times * settings_.Duration(kPolicy, other);
    if (settings_.Duration(kPolicy, key) > least) return;
    const std::string factor = times == 1 ? "" : std::to_string(times) + " * ";
    Add(kPolicy, key,
        "must be longer than " + factor + other + ", which is " +
            settings_.Text(kPolicy, other) + ".");
  }

  std::vector<core::SettingError> errors() const { return errors_; }

 private:
  void Add(const std::string& section, const std::string& key,
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

std::vector<core::SettingError> CheckTogether(const core::Settings& settings,
                                              const std::string& section) {
  Checker checker(settings);
  checker.Address(section);
  checker.Domain(section);
  checker.Longer("gone_after", "seal_after", 1);
  checker.Longer("member_timeout", "heartbeat_interval", 1);
  checker.Longer("freshness", "poll_interval", kPollsWithinFreshness);
  return checker.errors();
}

std::optional<core::Settings> LoadChecked(
    const core::CommandLine& command,
    const std::vector<core::SettingSpec>& specs, const std::string& section,
    int* exit_code) {
  core::CommandLine load = command;
  load.check = false;
  std::optional<core::Settings> settings =
      core::LoadSettings(load, specs, exit_code);
  if (!settings.has_value()) return std::nullopt;
  std::vector<core::SettingError> errors = CheckTogether(*settings, section);
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
