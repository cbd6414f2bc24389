#include "http2_session.h"

#include <algorithm>
#include <memory>
#include <new>
#include <utility>

#include "http2_header.h"

namespace tarragon::wire {
namespace {

/// Bytes that the peer may send on one stream before it hears that they were
/// read. The connection's window holds as much for each stream, so that a full
/// work stream leaves room for control.
constexpr std::int32_t kStreamWindowBytes = 1 << 20;
constexpr std::int32_t kConnectionWindowBytes =
    kStreamWindowBytes * static_cast<std::int32_t>(kChannels);

struct CallbacksDeleter {
  void operator()(nghttp2_session_callbacks* callbacks) const {
    nghttp2_session_callbacks_del(callbacks);
  }
};

std::string_view View(const std::uint8_t* bytes, std::size_t length) {
  return {reinterpret_cast<const char*>(bytes), length};
}

Http2Session* Self(void* user_data) {
  return static_cast<Http2Session*>(user_data);
}

/// What a callback returns: nghttp2 stops unless `fine`.
int Continue(bool fine) { return fine ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE; }

/// nghttp2 fails in these calls for want of memory only.
void Check(int result) {
  if (result < 0) throw std::bad_alloc();
}

}  // namespace

Http2Session::Http2Session(Role role, core::NodeId self,
                           core::Incarnation expects,
                           std::size_t max_frame_bytes)
    : role_(role),
      self_(std::move(self)),
      streams_{Stream(max_frame_bytes), Stream(max_frame_bytes)} {
  Open();
  SendSettings();
  if (role_ == Role::kDialler) SendRequests(expects);
}

Http2Session::~Http2Session() { nghttp2_session_del(session_); }

nghttp2_session_callbacks* Http2Session::MakeCallbacks() {
  nghttp2_session_callbacks* table = nullptr;
  Check(nghttp2_session_callbacks_new(&table));
  nghttp2_session_callbacks_set_on_header_callback(table, OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(table, OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(table, OnStreamClose);
  nghttp2_session_callbacks_set_before_frame_send_callback(table, OnBeforeSend);
  return table;
}

void Http2Session::Open() {
  static const std::unique_ptr<nghttp2_session_callbacks, CallbacksDeleter>
      table(MakeCallbacks());
  if (role_ == Role::kDialler) {
    Check(nghttp2_session_client_new(&session_, table.get(), this));
  } else {
    Check(nghttp2_session_server_new(&session_, table.get(), this));
  }
}

void Http2Session::SendSettings() {
  const nghttp2_settings_entry window{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                                      kStreamWindowBytes};
  // A dialler accepts no pushed streams, a listener the two of a dialler.
  const nghttp2_settings_entry streams =
      role_ == Role::kDialler
          ? nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0}
          : nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                                   kChannels};
  const std::array<nghttp2_settings_entry, 2> settings = {window, streams};
  Check(nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                                settings.size()));
  Check(nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                              kConnectionWindowBytes));
}

void Http2Session::SendRequests(core::Incarnation expects) {
  const std::string node = core::ToString(self_);
  const std::string expected = FormatExpects(expects);
  for (const Channel channel : {Channel::kControl, Channel::kWork}) {
    std::array<nghttp2_nv, 7> headers = {
        MakeHeader(":method", "POST"), MakeHeader(":scheme", "http"),
        // nghttp2 refuses a request that names no authority.
        MakeHeader(":authority", "tarragon"),
        MakeHeader(":path", PathOf(channel)), MakeHeader(kNodeHeader, node),
        MakeHeader(kFeaturesHeader, kRepeatedTargetFeature),
        MakeHeader(kExpectsHeader, expected)};
    const bool any = expects == core::Incarnation();
    const std::size_t count = headers.size() - (any ? 1 : 0);
    // Work depends on control: it is sent while control has nothing to send.
    nghttp2_priority_spec priority;
    nghttp2_priority_spec_init(&priority, At(Channel::kControl).id,
                               NGHTTP2_DEFAULT_WEIGHT, 0);
    nghttp2_data_provider provider{};
    provider.read_callback = OnReadData;
    const std::int32_t id = nghttp2_submit_request(
        session_, &priority, headers.data(), count, &provider, nullptr);
    Check(id);
    At(channel).id = id;
  }
}

bool Http2Session::Receive(std::string_view bytes,
                           std::vector<Inbound>* messages, WireError* reason) {
  inbox_ = messages;
  const ssize_t read = nghttp2_session_mem_recv(
      session_, reinterpret_cast<const std::uint8_t*>(bytes.data()),
      bytes.size());
  inbox_ = nullptr;
  if (read < 0) Violate(nghttp2_strerror(static_cast<int>(read)));
  if (reason_.code == WireErrorCode::kNone) return true;
  return Fail(reason_.code, reason_.detail, reason);
}

bool Http2Session::Collect(std::size_t limit, std::string* out,
                           WireError* reason) {
  while (out->size() < limit) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t length = nghttp2_session_mem_send(session_, &bytes);
    if (length < 0) Violate(nghttp2_strerror(static_cast<int>(length)));
    if (length <= 0) break;
    out->append(View(bytes, static_cast<std::size_t>(length)));
  }
  if (reason_.code == WireErrorCode::kNone) return true;
  return Fail(reason_.code, reason_.detail, reason);
}

void Http2Session::Queue(Channel channel, std::string frame) {
  Stream& stream = At(channel);
  stream.queue.Add(std::move(frame));
  // Fails, harmlessly, while the stream is not waiting for data.
  if (stream.id != 0) nghttp2_session_resume_data(session_, stream.id);
}

void Http2Session::EndSending() {
  ending_ = true;
  for (const Stream& stream : streams_) {
    if (stream.id != 0) nghttp2_session_resume_data(session_, stream.id);
  }
}

bool Http2Session::remote_ending() const {
  return std::any_of(streams_.begin(), streams_.end(),
                     [](const Stream& stream) { return stream.remote_ended; });
}

bool Http2Session::finished() const {
  return std::all_of(streams_.begin(), streams_.end(),
                     [](const Stream& stream) {
                       return stream.local_ended && stream.remote_ended;
                     });
}

std::size_t Http2Session::queued_bytes() const {
  std::size_t bytes = 0;
  for (const Stream& stream : streams_) bytes += stream.queue.bytes();
  return bytes;
}

std::size_t Http2Session::queued_frames() const {
  std::size_t frames = 0;
  for (const Stream& stream : streams_) frames += stream.queue.size();
  return frames;
}

std::size_t Http2Session::unfinished_bytes() const {
  std::size_t bytes = 0;
  for (const Stream& stream : streams_) bytes += stream.reader.held_bytes();
  return bytes;
}

Http2Session::Stream& Http2Session::At(Channel channel) {
  return streams_[static_cast<std::size_t>(channel)];
}

Http2Session::Stream* Http2Session::Find(std::int32_t stream_id) {
  for (Stream& stream : streams_) {
    if (stream.id == stream_id) return &stream;
  }
  return nullptr;
}

bool Http2Session::Violate(const char* detail) {
  // The first fault is the cause of the others.
  if (reason_.code != WireErrorCode::kNone) return false;
  return Fail(WireErrorCode::kProtocol, detail, &reason_);
}

int Http2Session::OnHeader(nghttp2_session* /*session*/,
                           const nghttp2_frame* /*frame*/,
                           const std::uint8_t* name, std::size_t name_length,
                           const std::uint8_t* value, std::size_t value_length,
                           std::uint8_t /*flags*/, void* user_data) {
  KeepHeader(View(name, name_length), View(value, value_length),
             &Self(user_data)->headers_);
  return 0;
}

int Http2Session::OnFrame(nghttp2_session* /*session*/,
                          const nghttp2_frame* frame, void* user_data) {
  Http2Session* self = Self(user_data);
  if (frame->hd.type == NGHTTP2_GOAWAY) {
    return Continue(self->Violate("The peer ended the session."));
  }
  if (frame->hd.type == NGHTTP2_HEADERS && !self->HandleHeaders(*frame)) {
    return Continue(false);
  }
  const bool content =
      frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
  const bool end = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  if (!content || !end) return 0;
  return Continue(self->HandleEnd(frame->hd.stream_id));
}

int Http2Session::OnData(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
                         std::int32_t stream_id, const std::uint8_t* data,
                         std::size_t length, void* user_data) {
  return Continue(Self(user_data)->HandleData(stream_id, View(data, length)));
}

int Http2Session::OnStreamClose(nghttp2_session* /*session*/,
                                std::int32_t /*stream_id*/,
                                std::uint32_t error_code, void* user_data) {
  if (error_code == NGHTTP2_NO_ERROR) return 0;
  return Continue(Self(user_data)->Violate("A stream was reset."));
}

int Http2Session::OnBeforeSend(nghttp2_session* /*session*/,
                               const nghttp2_frame* frame, void* user_data) {
  // nghttp2 itself makes these frames, when the peer breaks HTTP/2.
  if (frame->hd.type == NGHTTP2_GOAWAY ||
      frame->hd.type == NGHTTP2_RST_STREAM) {
    Self(user_data)->Violate("The peer breaks HTTP/2.");
  }
  return 0;
}

ssize_t Http2Session::OnReadData(nghttp2_session* /*session*/,
                                 std::int32_t stream_id, std::uint8_t* buffer,
                                 std::size_t length, std::uint32_t* data_flags,
                                 nghttp2_data_source* /*source*/,
                                 void* user_data) {
  Http2Session* self = Self(user_data);
  Stream* stream = self->Find(stream_id);
  if (stream == nullptr) return NGHTTP2_ERR_CALLBACK_FAILURE;
  const std::size_t taken =
      stream->queue.Take(reinterpret_cast<char*>(buffer), length);
  if (self->ending_ && stream->queue.empty()) {
    stream->local_ended = true;
    *data_flags |= NGHTTP2_DATA_FLAG_EOF;
  } else if (taken == 0) {
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(taken);
}

}  // namespace tarragon::wire
