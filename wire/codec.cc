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

std::optional<dispatch::Message> ReadEnvelope(Envelope* in, WireError* reason) {
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
      return Read<coordinator::TargetReport>(in->mutable_target_report(),
                                             reason);
    case Envelope::kStartRun:
      return Read<coordinator::StartRun>(in->mutable_start_run(), reason);
    case Envelope::kAskRun:
      return Read<coordinator::AskRun>(in->mutable_ask_run(), reason);
    case Envelope::kRunEnded:
      return Read<coordinator::RunEnded>(in->mutable_run_ended(), reason);
    case Envelope::kRoomWanted:
      return Read<coordinator::RoomWanted>(in->mutable_room_wanted(), reason);
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
std::string EncodeBehind(std::size_t header, const dispatch::Message& message) {
  Envelope envelope;
  std::visit([&envelope](const auto& held) { ToProto(held, &envelope); },
             message);
  const std::size_t size = envelope.ByteSizeLong();
  if (size > static_cast<std::size_t>(INT_MAX)) return {};
  std::string bytes(header + size, '\0');
  envelope.SerializeWithCachedSizesToArray(
      reinterpret_cast<std::uint8_t*>(bytes.data() + header));
  return bytes;
}

}  // namespace

std::string Encode(const dispatch::Message& message) {
  return EncodeBehind(0, message);
}

std::string EncodeFrame(const dispatch::Message& message) {
  std::string frame = EncodeBehind(kFrameHeaderBytes, message);
  if (frame.empty()) return frame;
  std::size_t length = frame.size() - kFrameHeaderBytes;
  for (std::size_t i = kFrameHeaderBytes; i > 0; --i) {
    frame[i - 1] = static_cast<char>(length & 0xff);
    length >>= 8;
  }
  return frame;
}

std::optional<dispatch::Message> Decode(std::string_view bytes,
                                        WireError* reason) {
  Envelope envelope;
  if (bytes.size() > static_cast<std::size_t>(INT_MAX) ||
      !envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    Fail(WireErrorCode::kMalformed, "The bytes are no message.", reason);
    return std::nullopt;
  }
  return ReadEnvelope(&envelope, reason);
}

}  // namespace tarragon::wire
