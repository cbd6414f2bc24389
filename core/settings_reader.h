#ifndef TARRAGON_CORE_SETTINGS_READER_H_
#define TARRAGON_CORE_SETTINGS_READER_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/core/settings.h"

namespace tarragon::core {

/// Builds the settings of one program from its file and overrides and gathers
/// every fault on the way.
class SettingsReader {
 public:
  /// Both must outlive the reader.
  SettingsReader(const std::vector<SettingSpec>& specs,
                 std::vector<SettingError>* errors);

  /// Takes in the text of the file.
  void ReadFile(const std::string& text, const std::string& file);
  /// Takes in one "section.key=value".
  void ReadOverride(const std::string& text);
  /// Checks the values. Nothing if there was any fault.
  std::optional<Settings> Finish();

 private:
  using Name = std::pair<std::string, std::string>;
  struct Given {
    std::string file;
    int line = 0;
    std::string text;
    /// False if the key stands in a faulty line or section.
    bool readable = false;
  };

  const SettingSpec* FindSpec(const Name& name) const;
  bool IsSection(const std::string& section) const;
  void CheckKey(const Name& name, const std::string& file, int line);
  void Unknown(const Name& name, const std::string& file, int line);
  std::string UnknownText(const Name& name) const;
  void CheckValue(const SettingSpec& spec, Settings* settings);
  bool ResolveSecret(const SettingSpec& spec, Given* given);
  void Refuse(const Given& given, const Name& name, const std::string& text);

  const std::vector<SettingSpec>& specs_;
  std::vector<SettingError>* errors_;
  std::size_t errors_before_ = 0;
  std::string file_;
  std::map<Name, Given> given_;
};

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_SETTINGS_READER_H_
