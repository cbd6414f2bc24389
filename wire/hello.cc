#include "hello.h"

#include <array>
#include <charconv>
#include <system_error>
#include <variant>

#include "endpoint.h"

namespace tarragon::wire {
namespace {

constexpr int kHexBase = 16;
constexpr std::array<std::string_view, kChannels> kPaths = {
    "/tarragon/1/control", "/tarragon/1/work"};

std::nullopt_t Refuse(const char* detail, WireError* reason) {
  Fail(WireErrorCode::kProtocol, detail, reason);
  return std::nullopt;
}

/// One overload for each message, so that a new one must choose its stream.
struct ChannelChooser {
  Channel operator()(const dispatch::Heartbeat&) { return Channel::kControl; }
  Channel operator()(const dispatch::Permit&) { return Channel::kControl; }
  Channel operator()(const dispatch::Submit&) { return Channel::kWork; }
  Channel operator()(const dispatch::Query&) { return Channel::kWork; }
  Channel operator()(const dispatch::Cancel&) { return Channel::kControl; }
  Channel operator()(const dispatch::Answer&) { return Channel::kWork; }
  Channel operator()(const dispatch::Explain&) { return Channel::kWork; }
  Channel operator()(const dispatch::Explanation&) { return Channel::kWork; }
  Channel operator()(const dispatch::Assign&) { return Channel::kWork; }
  Channel operator()(const dispatch::Refused&) { return Channel::kControl; }
  Channel operator()(const dispatch::Started&) { return Channel::kControl; }
  Channel operator()(const dispatch::Finished&) { return Channel::kWork; }
  Channel operator()(const dispatch::FinishedAck&) { return Channel::kControl; }
  Channel operator()(const dispatch::Seal&) { return Channel::kControl; }
  Channel operator()(const dispatch::Want&) {
    // Must not overtake the assignments that were sent before it: an executor
    // that still believes its slots free would ask for one more task.
    return Channel::kWork;
  }
  Channel operator()(const dispatch::Pull&) { return Channel::kControl; }
  Channel operator()(const dispatch::PullEmpty&) { return Channel::kControl; }
  Channel operator()(const dispatch::PullTask&) { return Channel::kWork; }
  Channel operator()(const dispatch::LoadHint&) { return Channel::kControl; }
  Channel operator()(const dispatch::EntryPing&) { return Channel::kControl; }
  Channel operator()(const dispatch::EntryPong&) { return Channel::kControl; }
  Channel operator()(const dispatch::Leaving&) { return Channel::kControl; }
  Channel operator()(const dispatch::Handover&) { return Channel::kWork; }
  Channel operator()(const dispatch::HandoverAck&) { return Channel::kControl; }
  Channel operator()(const dispatch::Inherited&) { return Channel::kControl; }
  Channel operator()(const coordinator::EntryNotice&) {
    return Channel::kControl;
  }
  Channel operator()(const coordinator::OperatorUpdate&) {
    return Channel::kWork;
  }
  Channel operator()(const coordinator::TargetReport&) {
    return Channel::kWork;
  }
  Channel operator()(const coordinator::StartRun&) { return Channel::kWork; }
  Channel operator()(const coordinator::AskRun&) {
    // Must not be overtaken by a later notice, which confirms the runs that the
    // entry has not asked to stop.
    return Channel::kControl;
  }
  Channel operator()(const coordinator::TargetHint&) { return Channel::kWork; }
  Channel operator()(const coordinator::RoomWanted&) { return Channel::kWork; }
  Channel operator()(const coordinator::RunProgress&) { return Channel::kWork; }
  Channel operator()(const coordinator::RunEnded&) { return Channel::kWork; }
};

}  // namespace

Channel ChannelOf(const dispatch::Message& message) {
  return std::visit(ChannelChooser(), message);
}

std::string_view PathOf(Channel channel) {
  return kPaths[static_cast<std::size_t>(channel)];
}

void KeepHeader(std::string_view name, std::string_view value,
                HelloHeaders* headers) {
  if (name == ":method") headers->method = value;
  if (name == ":path") headers->path = value;
  if (name == ":status") headers->status = value;
  if (name == kNodeHeader) headers->node = value;
  if (name == kExpectsHeader) headers->expects = value;
  if (name == kFeaturesHeader) headers->features = value;
}

std::optional<core::NodeId> ReadNode(const HelloHeaders& headers,
                                     WireError* reason) {
  core::NodeId node;
  if (!core::ParseNodeId(headers.node, &node)) {
    return Refuse("The peer does not say who it is.", reason);
  }
  const std::optional<boost::asio::ip::tcp::endpoint> endpoint =
      ParseEndpoint(node.address, nullptr);
  if (!endpoint || endpoint->port() == 0 ||
      endpoint->address().is_unspecified()) {
    return Refuse("The peer's address cannot be reached.", reason);
  }
  return node;
}

std::optional<Hello> ReadHello(const HelloHeaders& headers, WireError* reason) {
  Hello hello;
  if (headers.method != "POST") {
    return Refuse("The method is not POST.", reason);
  }
  if (headers.path == PathOf(Channel::kControl)) {
    hello.channel = Channel::kControl;
  } else if (headers.path == PathOf(Channel::kWork)) {
    hello.channel = Channel::kWork;
  } else {
    return Refuse("The path is not known.", reason);
  }
  const std::optional<core::NodeId> node = ReadNode(headers, reason);
  if (!node) return std::nullopt;
  hello.node = *node;
  if (headers.expects.empty()) return hello;

  std::uint64_t expects = 0;
  const char* last = headers.expects.data() + headers.expects.size();
  const std::from_chars_result read =
      std::from_chars(headers.expects.data(), last, expects, kHexBase);
  if (read.ec != std::errc() || read.ptr != last || expects == 0) {
    return Refuse("The expected incarnation is not a number.", reason);
  }
  hello.expects = core::Incarnation(expects);
  return hello;
}

std::string FormatExpects(core::Incarnation incarnation) {
  std::array<char, 17> digits{};
  std::to_chars(digits.data(), digits.data() + digits.size() - 1,
                incarnation.value(), kHexBase);
  return digits.data();
}

}  // namespace tarragon::wire
