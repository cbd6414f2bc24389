#include "tarragon/wire/codec.h"

#include <climits>
#include <cstdint>
#include <utility>
#include <variant>

#include "frame.h"
#include "message.pb.h"
#include "proto_messages.h"

namespace tarragon::wire {
namespace {

/// Moves one generated message into its struct.
template <typename Struct, typename Proto>
std::optional<dispatch::Message> Read(Proto* in, WireError* reason) {
  std::optional<dispatch::Message> message(std::in_place,
                                           std::in_place_type<Struct>);
  if (!FromProto(in, &std::get<Struct>(*message), reason)) return std::nullopt;
  return message;
}

/// Reads a report, which is completed from `previous` if it leaves out its
/// target.
std::optional<dispatch::Message> ReadReport(
    TargetReport* in, WireError* reason,
    const coordinator::TargetReport* previous) {
  const bool same_target = in->same_target();
  std::optional<dispatch::Message> message =
      Read<coordinator::TargetReport>(in, reason);
  if (!same_target || !message.has_value()) return message;
  if (previous == nullptr) {
    Fail(WireErrorCode::kMalformed,
         "A report leaves out its target, and there is no earlier one.",
         reason);
    return std::nullopt;
  }
  CopyTarget(*previous, &std::get<coordinator::TargetReport>(*message));
  return message;
}

std::optional<dispatch::Message> ReadEnvelope(
    Envelope* in, WireError* reason,
    const coordinator::TargetReport* previous) {
  switch (in->message_case()) {
    case Envelope::kHeartbeat:
      return Read<dispatch::Heartbeat>(in->mutable_heartbeat(), reason);
    case Envelope::kPermit:
      return Read<dispatch::Permit>(in->mutable_permit(), reason);
    case Envelope::kSubmit:
      return Read<dispatch::Submit>(in->mutable_submit(), reason);
    case Envelope::kQuery:
      return Read<dispatch::Query>(in->mutable_query(), reason);
    case Envelope::kCancel:
      return Read<dispatch::Cancel>(in->mutable_cancel(), reason);
    case Envelope::kAnswer:
      return Read<dispatch::Answer>(in->mutable_answer(), reason);
    case Envelope::kExplain:
      return Read<dispatch::Explain>(in->mutable_explain(), reason);
    case Envelope::kExplanation:
      return Read<dispatch::Explanation>(in->mutable_explanation(), reason);
    case Envelope::kAssign:
      return Read<dispatch::Assign>(in->mutable_assign(), reason);
    case Envelope::kRefused:
      return Read<dispatch::Refused>(in->mutable_refused(), reason);
    case Envelope::kStarted:
      return Read<dispatch::Started>(in->mutable_started(), reason);
    case Envelope::kFinished:
      return Read<dispatch::Finished>(in->mutable_finished(), reason);
    case Envelope::kFinishedAck:
      return Read<dispatch::FinishedAck>(in->mutable_finished_ack(), reason);
    case Envelope::kSeal:
      return Read<dispatch::Seal>(in->mutable_seal(), reason);
    case Envelope::kWant:
      return Read<dispatch::Want>(in->mutable_want(), reason);
    case Envelope::kPull:
      return Read<dispatch::Pull>(in->mutable_pull(), reason);
    case Envelope::kPullEmpty:
      return Read<dispatch::PullEmpty>(in->mutable_pull_empty(), reason);
    case Envelope::kPullTask:
      return Read<dispatch::PullTask>(in->mutable_pull_task(), reason);
    case Envelope::kLoadHint:
      return Read<dispatch::LoadHint>(in->mutable_load_hint(), reason);
    case Envelope::kEntryPing:
      return Read<dispatch::EntryPing>(in->mutable_entry_ping(), reason);
    case Envelope::kEntryPong:
      return Read<dispatch::EntryPong>(in->mutable_entry_pong(), reason);
    case Envelope::kLeaving:
      return Read<dispatch::Leaving>(in->mutable_leaving(), reason);
    case Envelope::kHandover:
      return Read<dispatch::Handover>(in->mutable_handover(), reason);
    case Envelope::kHandoverAck:
      return Read<dispatch::HandoverAck>(in->mutable_handover_ack(), reason);
    case Envelope::kInherited:
      return Read<dispatch::Inherited>(in->mutable_inherited(), reason);
    case Envelope::kEntryNotice:
      return Read<coordinator::EntryNotice>(in->mutable_entry_notice(), reason);
    case Envelope::kOperatorUpdate:
      return Read<coordinator::OperatorUpdate>(in->mutable_operator_update(),
                                               reason);
    case Envelope::kTargetReport:
      return ReadReport(in->mutable_target_report(), reason, previous);
    case Envelope::kStartRun:
      return Read<coordinator::StartRun>(in->mutable_start_run(), reason);
    case Envelope::kAskRun:
      return Read<coordinator::AskRun>(in->mutable_ask_run(), reason);
    case Envelope::kRunEnded:
      return Read<coordinator::RunEnded>(in->mutable_run_ended(), reason);
    case Envelope::kRoomWanted:
      return Read<coordinator::RoomWanted>(in->mutable_room_wanted(), reason);
    case Envelope::kRunProgress:
      return Read<coordinator::RunProgress>(in->mutable_run_progress(), reason);
    case Envelope::kTargetHint:
      return Read<coordinator::TargetHint>(in->mutable_target_hint(), reason);
    case Envelope::MESSAGE_NOT_SET:
      break;
  }
  Fail(WireErrorCode::kMalformed, "The envelope is empty.", reason);
  return std::nullopt;
}

/// The encoding behind `header` bytes that the caller fills. Empty if it is too
/// large for protobuf.
std::string EncodeBehind(std::size_t header, const Envelope& envelope) {
  const std::size_t size = envelope.ByteSizeLong();
  if (size > static_cast<std::size_t>(INT_MAX)) return {};
  std::string bytes(header + size, '\0');
  envelope.SerializeWithCachedSizesToArray(
      reinterpret_cast<std::uint8_t*>(bytes.data() + header));
  return bytes;
}

Envelope MakeEnvelope(const dispatch::Message& message) {
  Envelope envelope;
  std::visit([&envelope](const auto& held) { ToProto(held, &envelope); },
             message);
  return envelope;
}

std::string MakeFrame(const Envelope& envelope) {
  std::string frame = EncodeBehind(kFrameHeaderBytes, envelope);
  if (frame.empty()) return frame;
  std::size_t length = frame.size() - kFrameHeaderBytes;
  for (std::size_t i = kFrameHeaderBytes; i > 0; --i) {
    frame[i - 1] = static_cast<char>(length & 0xff);
    length >>= 8;
  }
  return frame;
}

}  // namespace

std::string Encode(const dispatch::Message& message) {
  return EncodeBehind(0, MakeEnvelope(message));
}

std::string EncodeRepeatedTarget(const coordinator::TargetReport& report) {
  Envelope envelope;
  WriteRepeatedTarget(report, &envelope);
  return EncodeBehind(0, envelope);
}

std::string EncodeFrame(const dispatch::Message& message) {
  return MakeFrame(MakeEnvelope(message));
}

std::string EncodeRepeatedTargetFrame(const coordinator::TargetReport& report) {
  Envelope envelope;
  WriteRepeatedTarget(report, &envelope);
  return MakeFrame(envelope);
}

std::optional<dispatch::Message> Decode(
    std::string_view bytes, WireError* reason,
    const coordinator::TargetReport* previous) {
  Envelope envelope;
  if (bytes.size() > static_cast<std::size_t>(INT_MAX) ||
      !envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    Fail(WireErrorCode::kMalformed, "The bytes are no message.", reason);
    return std::nullopt;
  }
  return ReadEnvelope(&envelope, reason, previous);
}

}  // namespace tarragon::wire
