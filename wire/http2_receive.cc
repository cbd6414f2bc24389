#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <variant>

#include "http2_header.h"
#include "http2_session.h"
#include "tarragon/wire/codec.h"

// What a session does with the headers and the data that arrive.

namespace tarragon::wire {

bool Http2Session::HandleHeaders(const nghttp2_frame& frame) {
  switch (frame.headers.cat) {
    case NGHTTP2_HCAT_REQUEST:
      return HandleRequest(frame.hd.stream_id);
    case NGHTTP2_HCAT_RESPONSE:
      return HandleResponse(frame.hd.stream_id);
    default:
      return Violate("The peer sent trailers.");
  }
}

bool Http2Session::HandleRequest(std::int32_t stream_id) {
  const HelloHeaders headers = std::exchange(headers_, HelloHeaders());
  const std::optional<Hello> hello = ReadHello(headers, &reason_);
  if (!hello) return false;
  reads_repeated_targets_ = headers.features == kRepeatedTargetFeature;
  Stream& stream = At(hello->channel);
  if (stream.id != 0) return Violate("The peer opened a stream twice.");
  stream.id = stream_id;
  const bool wanted = hello->expects == core::Incarnation() ||
                      hello->expects == self_.incarnation;
  if (!wanted) {
    peer_ = hello->node;
    greeting_ = Greeting::kMisdirected;
    return SendMisdirected(stream_id);
  }
  return Greet(&stream, hello->node) && SendOk(stream_id);
}

bool Http2Session::HandleResponse(std::int32_t stream_id) {
  const HelloHeaders headers = std::exchange(headers_, HelloHeaders());
  Stream* stream = Find(stream_id);
  if (stream == nullptr) return Violate("The peer answers no request.");
  const std::optional<core::NodeId> node = ReadNode(headers, &reason_);
  if (!node) return false;
  reads_repeated_targets_ = headers.features == kRepeatedTargetFeature;
  if (headers.status == kStatusOk) return Greet(stream, *node);
  if (headers.status != kStatusMisdirected) {
    return Violate("The peer's status is not known.");
  }
  peer_ = *node;
  greeting_ = Greeting::kMisdirected;
  return true;
}

bool Http2Session::Greet(Stream* stream, const core::NodeId& node) {
  if (greeting_ == Greeting::kMisdirected) return true;
  const bool first =
      std::none_of(streams_.begin(), streams_.end(),
                   [](const Stream& other) { return other.greeted; });
  if (!first && peer_ != node) {
    return Violate("The two streams name two peers.");
  }
  peer_ = node;
  stream->greeted = true;
  const bool all =
      std::all_of(streams_.begin(), streams_.end(),
                  [](const Stream& other) { return other.greeted; });
  if (all) greeting_ = Greeting::kDone;
  return true;
}

bool Http2Session::SendOk(std::int32_t stream_id) {
  const std::string node = core::ToString(self_);
  const std::array<nghttp2_nv, 3> headers = {
      MakeHeader(":status", kStatusOk), MakeHeader(kNodeHeader, node),
      MakeHeader(kFeaturesHeader, kRepeatedTargetFeature)};
  nghttp2_data_provider provider{};
  provider.read_callback = OnReadData;
  const int result = nghttp2_submit_response(
      session_, stream_id, headers.data(), headers.size(), &provider);
  return result == 0 || Violate(nghttp2_strerror(result));
}

bool Http2Session::SendMisdirected(std::int32_t stream_id) {
  const std::string node = core::ToString(self_);
  const std::array<nghttp2_nv, 2> headers = {
      MakeHeader(":status", kStatusMisdirected), MakeHeader(kNodeHeader, node)};
  const int result = nghttp2_submit_response(
      session_, stream_id, headers.data(), headers.size(), nullptr);
  return result == 0 || Violate(nghttp2_strerror(result));
}

bool Http2Session::HandleEnd(std::int32_t stream_id) {
  if (greeting_ == Greeting::kMisdirected) return true;
  Stream* stream = Find(stream_id);
  if (stream == nullptr) return Violate("The peer ended an unknown stream.");
  if (!stream->reader.empty()) return Violate("The peer cut off a frame.");
  stream->remote_ended = true;
  return true;
}

bool Http2Session::HandleData(std::int32_t stream_id, std::string_view data) {
  if (greeting_ == Greeting::kMisdirected) return true;
  Stream* stream = Find(stream_id);
  if (stream == nullptr || greeting_ == Greeting::kPending) {
    return Violate("The peer sent data before its greeting.");
  }
  const FrameReader::Sink take = [this](std::string_view content) {
    std::optional<dispatch::Message> message = Decode(
        content, &reason_, last_report_.has_value() ? &*last_report_ : nullptr);
    if (!message) return false;
    const auto* report = std::get_if<coordinator::TargetReport>(&*message);
    if (report != nullptr) last_report_ = *report;
    inbox_->push_back(
        {std::move(*message), content.size() + kFrameHeaderBytes});
    return true;
  };
  return stream->reader.Read(data, take, &reason_);
}

}  // namespace tarragon::wire
