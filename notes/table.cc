#include "tarragon/notes/table.h"

namespace tarragon::notes {

const char* Name(TableStatus status) {
  switch (status) {
    case TableStatus::kOk:
      return "ok";
    case TableStatus::kUnchanged:
      return "unchanged";
    case TableStatus::kMissing:
      return "missing";
    case TableStatus::kConflict:
      return "conflict";
    case TableStatus::kUnavailable:
      return "unavailable";
    case TableStatus::kUnknown:
      return "unknown";
  }
  return "invalid";
}

}  // namespace tarragon::notes
