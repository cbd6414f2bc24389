#ifndef TARRAGON_CORE_SETTINGS_H_
#define TARRAGON_CORE_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

namespace tarragon::core {

/// What the value of a setting looks like in the file.
enum class SettingType {
  kText,
  /// A whole number, "-12".
  kInteger,
  /// A whole number with its unit us, ms, s, min or h: "250ms".
  kDuration,
  /// A whole number with its unit B, KiB, MiB or GiB: "64KiB".
  kBytes,
  /// "true" or "false".
  kBool,
  /// "IP:port" or "[IPv6]:port"; port 0 asks the system for a free port.
  kAddress,
  /// Addresses with commas between them; may be empty.
  kAddressList,
  /// A share in thousandths: a whole number, 0 to 1000 unless stated otherwise.
  kPermille,
};

/// Describes one setting that a program reads.
struct SettingSpec {
  std::string section{};
  std::string key{};
  SettingType type = SettingType::kText;
  /// Used if the key is absent. An empty default lets the value be empty.
  std::string default_value{};
  /// Least and greatest value in the form of the type; empty for none. Applies
  /// to integers, durations, bytes and permille.
  std::string minimum{};
  std::string maximum{};
  /// The file or an override must give a value.
  bool required = false;
  /// A change takes effect without a restart.
  bool reloadable = false;
  /// Never printed; "env:NAME" reads the environment variable NAME.
  bool secret = false;
  /// One sentence for the reference file.
  std::string help{};
};

/// One fault in the settings.
struct SettingError {
  /// File name, "--set" for an override, empty for a default.
  std::string file;
  /// Line in the file from one; 0 if there is none.
  int line = 0;
  std::string section;
  std::string key;
  /// What is wrong and what is allowed.
  std::string text;
};

/// "entry.ini:12: [clients] listen: ...".
std::string ToString(const SettingError& error);

/// The checked settings of one program. Immutable. The accessors throw
/// std::logic_error when the program asks for a setting that it does not
/// describe or that has another type.
class Settings {
 public:
  /// Reads `file` (none if empty), then applies `overrides`, each
  /// "section.key=value"; a later override of a key wins. On any fault returns
  /// nothing and puts every fault into `errors`.
  static std::optional<Settings> Load(const std::vector<SettingSpec>& specs,
                                      const std::string& file,
                                      const std::vector<std::string>& overrides,
                                      std::vector<SettingError>* errors);

  /// The same from `text`; `file_name` only appears in the errors.
  static std::optional<Settings> Parse(
      const std::vector<SettingSpec>& specs, const std::string& text,
      const std::string& file_name, const std::vector<std::string>& overrides,
      std::vector<SettingError>* errors);

  /// The value as written, of a setting of any type. A secret is resolved.
  const std::string& Text(const std::string& section,
                          const std::string& key) const;
  /// True if the value is not empty.
  bool Has(const std::string& section, const std::string& key) const;
  /// Value of a kInteger or kPermille; 0 if empty.
  std::int64_t Integer(const std::string& section,
                       const std::string& key) const;
  /// Value of a kDuration; 0 if empty.
  core::Duration Duration(const std::string& section,
                          const std::string& key) const;
  /// Value of a kBytes; 0 if empty.
  std::uint64_t Bytes(const std::string& section, const std::string& key) const;
  /// Value of a kBool; false if empty.
  bool Bool(const std::string& section, const std::string& key) const;
  /// Value of a kAddress; an empty address if empty.
  core::Address Address(const std::string& section,
                        const std::string& key) const;
  /// Value of a kAddressList.
  std::vector<core::Address> Addresses(const std::string& section,
                                       const std::string& key) const;

  /// "section.key" of each setting that differs in `next` and needs a restart.
  std::vector<std::string> ChangedFixed(const Settings& next) const;

 private:
  struct Value {
    SettingType type = SettingType::kText;
    bool reloadable = false;
    std::string text;
    /// Integer, microseconds, bytes, permille or 0 and 1 for a bool.
    std::int64_t number = 0;
    std::vector<core::Address> addresses;
  };
  using Name = std::pair<std::string, std::string>;
  friend class SettingsReader;

  const Value& Find(const std::string& section, const std::string& key) const;
  const Value& Find(const std::string& section, const std::string& key,
                    SettingType type) const;

  std::map<Name, Value> values_;
};

/// A commented INI file with every section and key, its unit, default and
/// range. Keys with a default are commented out.
std::string ReferenceFile(const std::vector<SettingSpec>& specs);

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_SETTINGS_H_
