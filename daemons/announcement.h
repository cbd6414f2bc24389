#ifndef TARRAGON_DAEMONS_ANNOUNCEMENT_H_
#define TARRAGON_DAEMONS_ANNOUNCEMENT_H_

#include <optional>
#include <string>

#include "job_json.h"
#include "tarragon/dispatch/agent_board.h"

namespace tarragon::daemons {

/// Reads the body by which a target announces itself. `foreign_running` holds
/// all tasks that the target says it runs.
std::optional<dispatch::Target> ParseAnnouncement(const std::string& body,
                                                  RequestError* reason);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_ANNOUNCEMENT_H_
