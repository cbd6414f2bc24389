#ifndef TARRAGON_WIRE_PROTO_MESSAGES_H_
#define TARRAGON_WIRE_PROTO_MESSAGES_H_

#include "message.pb.h"
#include "tarragon/dispatch/message.h"
#include "tarragon/wire/error.h"

/// Conversion of the messages. `ToProto` fills the one that it adds to an empty
/// envelope. `FromProto` moves the text out of a generated message; it returns
/// false with a reason if the message is refused.

namespace tarragon::wire {

// Agents and entries (proto_agents.cc).
void ToProto(const dispatch::Heartbeat& message, Envelope* out);
void ToProto(const dispatch::Permit& message, Envelope* out);
void ToProto(const dispatch::LoadHint& message, Envelope* out);
void ToProto(const dispatch::EntryPing& message, Envelope* out);
void ToProto(const dispatch::EntryPong& message, Envelope* out);
void ToProto(const dispatch::Leaving& message, Envelope* out);

bool FromProto(Heartbeat* in, dispatch::Heartbeat* out, WireError* reason);
bool FromProto(Permit* in, dispatch::Permit* out, WireError* reason);
bool FromProto(LoadHint* in, dispatch::LoadHint* out, WireError* reason);
bool FromProto(EntryPing* in, dispatch::EntryPing* out, WireError* reason);
bool FromProto(EntryPong* in, dispatch::EntryPong* out, WireError* reason);
bool FromProto(Leaving* in, dispatch::Leaving* out, WireError* reason);

// Jobs, between entry and home (proto_jobs.cc).
void ToProto(const dispatch::Submit& message, Envelope* out);
void ToProto(const dispatch::Query& message, Envelope* out);
void ToProto(const dispatch::Cancel& message, Envelope* out);
void ToProto(const dispatch::Answer& message, Envelope* out);
void ToProto(const dispatch::Explain& message, Envelope* out);
void ToProto(const dispatch::Explanation& message, Envelope* out);
void ToProto(const dispatch::TaskSpec& spec, TaskSpec* out);

bool FromProto(Submit* in, dispatch::Submit* out, WireError* reason);
bool FromProto(Query* in, dispatch::Query* out, WireError* reason);
bool FromProto(Cancel* in, dispatch::Cancel* out, WireError* reason);
bool FromProto(Answer* in, dispatch::Answer* out, WireError* reason);
bool FromProto(Explain* in, dispatch::Explain* out, WireError* reason);
bool FromProto(Explanation* in, dispatch::Explanation* out, WireError* reason);
void FromProto(TaskSpec* in, dispatch::TaskSpec* out);
void ToProto(const dispatch::JobAnswer& answer, JobAnswer* out);
bool FromProto(JobAnswer* in, dispatch::JobAnswer* out, WireError* reason);

// Handover, between agents and to entries (proto_handover.cc).
void ToProto(const dispatch::Handover& message, Envelope* out);
void ToProto(const dispatch::HandoverAck& message, Envelope* out);
void ToProto(const dispatch::Inherited& message, Envelope* out);

bool FromProto(Handover* in, dispatch::Handover* out, WireError* reason);
bool FromProto(HandoverAck* in, dispatch::HandoverAck* out, WireError* reason);
bool FromProto(Inherited* in, dispatch::Inherited* out, WireError* reason);

// Tasks, between home and executor (proto_tasks.cc).
void ToProto(const dispatch::Assign& message, Envelope* out);
void ToProto(const dispatch::Refused& message, Envelope* out);
void ToProto(const dispatch::Started& message, Envelope* out);
void ToProto(const dispatch::Finished& message, Envelope* out);
void ToProto(const dispatch::FinishedAck& message, Envelope* out);
void ToProto(const dispatch::Seal& message, Envelope* out);
void ToProto(const dispatch::Want& message, Envelope* out);
void ToProto(const dispatch::Pull& message, Envelope* out);
void ToProto(const dispatch::PullEmpty& message, Envelope* out);
void ToProto(const dispatch::PullTask& message, Envelope* out);

bool FromProto(Assign* in, dispatch::Assign* out, WireError* reason);
bool FromProto(Refused* in, dispatch::Refused* out, WireError* reason);
bool FromProto(Started* in, dispatch::Started* out, WireError* reason);
bool FromProto(Finished* in, dispatch::Finished* out, WireError* reason);
bool FromProto(FinishedAck* in, dispatch::FinishedAck* out, WireError* reason);
bool FromProto(Seal* in, dispatch::Seal* out, WireError* reason);
bool FromProto(Want* in, dispatch::Want* out, WireError* reason);
bool FromProto(Pull* in, dispatch::Pull* out, WireError* reason);
bool FromProto(PullEmpty* in, dispatch::PullEmpty* out, WireError* reason);
bool FromProto(PullTask* in, dispatch::PullTask* out, WireError* reason);

// Runs, between coordinating entries and gates (proto_runs.cc).
void ToProto(const coordinator::EntryNotice& message, Envelope* out);
void ToProto(const coordinator::OperatorUpdate& message, Envelope* out);
void ToProto(const coordinator::TargetReport& message, Envelope* out);
void ToProto(const coordinator::StartRun& message, Envelope* out);
void ToProto(const coordinator::AskRun& message, Envelope* out);
void ToProto(const coordinator::RunEnded& message, Envelope* out);
void ToProto(const coordinator::TargetHint& message, Envelope* out);
void ToProto(const coordinator::RoomWanted& message, Envelope* out);
void ToProto(const coordinator::RunProgress& message, Envelope* out);
/// Writes a report without the fields that describe its target.
void WriteRepeatedTarget(const coordinator::TargetReport& message,
                         Envelope* out);
/// Copies the fields that describe a target.
void CopyTarget(const coordinator::TargetReport& from,
                coordinator::TargetReport* to);

bool FromProto(EntryNotice* in, coordinator::EntryNotice* out,
               WireError* reason);
bool FromProto(OperatorUpdate* in, coordinator::OperatorUpdate* out,
               WireError* reason);
bool FromProto(TargetReport* in, coordinator::TargetReport* out,
               WireError* reason);
bool FromProto(StartRun* in, coordinator::StartRun* out, WireError* reason);
bool FromProto(AskRun* in, coordinator::AskRun* out, WireError* reason);
bool FromProto(RunEnded* in, coordinator::RunEnded* out, WireError* reason);
bool FromProto(TargetHint* in, coordinator::TargetHint* out, WireError* reason);
bool FromProto(RoomWanted* in, coordinator::RoomWanted* out, WireError* reason);
bool FromProto(RunProgress* in, coordinator::RunProgress* out,
               WireError* reason);

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_PROTO_MESSAGES_H_
