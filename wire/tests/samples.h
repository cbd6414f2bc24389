#ifndef TARRAGON_WIRE_TESTS_SAMPLES_H_
#define TARRAGON_WIRE_TESTS_SAMPLES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "tarragon/dispatch/message.h"

namespace tarragon::wire {

/// One message of each type, in the order of dispatch::Message, with a value
/// other than the default in every field.
std::vector<dispatch::Message> SampleMessages();

/// An assignment with a payload of `bytes` bytes whose content depends on
/// `task`.
dispatch::Assign SampleAssign(std::uint32_t task, std::size_t bytes);

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_TESTS_SAMPLES_H_
