#ifndef TARRAGON_CORE_TRIM_H_
#define TARRAGON_CORE_TRIM_H_

#include <string>

namespace tarragon::core {

/// `text` without the white space at its ends.
std::string Trim(const std::string& text);

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_TRIM_H_
