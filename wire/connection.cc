#include "connection.h"

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <string_view>
#include <utility>
#include <variant>

#include "tarragon/wire/codec.h"

namespace tarragon::wire {
namespace {

using boost::asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

/// Bytes collected from a session for one write.
constexpr std::size_t kWriteBytes = std::size_t{128} << 10;
/// Reads before the other connections have their turn.
constexpr int kMaxReadsPerTurn = 4;
/// Bytes that the kernel takes beyond those under way. A small number keeps
/// control messages from waiting there behind payloads.
constexpr int kMaxUnsentBytes = 128 << 10;
/// What a connection holds besides unfinished messages, most of it for HTTP/2.
constexpr std::size_t kConnectionBytes = std::size_t{20} << 10;

using UnsentLimit =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
using UnacknowledgedLimit =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

Connection::Connection(boost::asio::io_context& io, Role role,
                       core::NodeId expects, ConnectionShared* shared,
                       ConnectionOwner* owner)
    : shared_(shared),
      owner_(owner),
      role_(role),
      expects_(std::move(expects)),
      socket_(io),
      timer_(io),
      session_(role, shared->self, expects_.incarnation,
               shared->limits.max_frame_bytes),
      account_(shared->quota, [this] { EndForMemory(); }),
      last_sent_(SteadyClock::now()),
      last_used_(last_sent_) {}

const core::NodeId& Connection::peer() const {
  return open_ ? session_.peer() : expects_;
}

bool Connection::QuietFor(SteadyClock::duration time) const {
  return queued_bytes() == 0 && SteadyClock::now() - last_sent_ >= time;
}

std::size_t Connection::queued_bytes() const {
  return session_.queued_bytes() + unsent_.size();
}

void Connection::Dial(const tcp::endpoint& endpoint) {
  const std::shared_ptr<Connection> self = shared_from_this();
  boost::system::error_code error;
  socket_.open(endpoint.protocol(), error);
  if (error) {
    boost::asio::post(socket_.get_executor(),
                      [self, error] { self->OnSocketError(error); });
    return;
  }
  Configure();
  ArmTimer(shared_->limits.connect_timeout);
  socket_.async_connect(endpoint,
                        [self](const boost::system::error_code& connect_error) {
                          self->OnConnected(connect_error);
                        });
}

void Connection::Accept(tcp::socket socket) {
  socket_ = std::move(socket);
  Configure();
  Start();
}

void Connection::Configure() {
  // A socket that refuses an option still works, only less well.
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.set_option(UnsentLimit(kMaxUnsentBytes), ignored);
  const core::Duration limit = shared_->limits.unacknowledged_timeout;
  socket_.set_option(UnacknowledgedLimit(static_cast<int>(core::Millis(limit))),
                     ignored);
}

void Connection::OnConnected(const boost::system::error_code& error) {
  if (closed_) return;
  if (error) return OnSocketError(error);
  // Without a listener a port of the system's own range may reach itself.
  boost::system::error_code ignored;
  if (socket_.local_endpoint(ignored) == socket_.remote_endpoint(ignored)) {
    return OnSocketError(boost::asio::error::connection_refused);
  }
  Start();
}

void Connection::Start() {
  connected_ = true;
  UpdateAccount();
  if (!draining_) ArmTimer(shared_->limits.handshake_timeout);
  AwaitReadable();
  ScheduleFlush();
}

std::string Connection::Encode(const dispatch::Message& message) {
  const auto* report = std::get_if<coordinator::TargetReport>(&message);
  if (report == nullptr) return EncodeFrame(message);
  const bool repeats = session_.reads_repeated_targets() &&
                       last_report_.has_value() &&
                       DescribesSameTarget(*last_report_, *report);
  last_report_ = *report;
  return repeats ? EncodeRepeatedTargetFrame(*report) : EncodeFrame(message);
}

void Connection::Send(Channel channel, std::string frame) {
  session_.Queue(channel, std::move(frame));
  last_sent_ = SteadyClock::now();
  last_used_ = last_sent_;
  ScheduleFlush();
}

void Connection::Drain() {
  if (closed_ || draining_) return;
  draining_ = true;
  session_.EndSending();
  ArmTimer(shared_->limits.drain_timeout);
  ScheduleFlush();
}

void Connection::Close() {
  if (closed_) return;
  closed_ = true;
  account_.Set(0);
  boost::system::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void Connection::UpdateAccount() {
  if (!closed_) account_.Set(kConnectionBytes + session_.unfinished_bytes());
}

void Connection::EndForMemory() {
  ++shared_->counters.closed_for_memory;
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->End(ConnectionEnd::kLost,
              {WireErrorCode::kNone, "All connections hold too much."});
  });
}

void Connection::ArmTimer(core::Duration after) {
  timer_.expires_after(after);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->closed_) self->OnTimer();
      });
}

void Connection::OnTimer() {
  // A handler may be on its way when the timer is set again.
  if (timer_.expiry() > SteadyClock::now()) return;
  if (draining_) {
    const bool lost = queued_bytes() != 0;
    return End(lost ? ConnectionEnd::kLost : ConnectionEnd::kClosed, {});
  }
  if (!connected_) return OnSocketError(boost::asio::error::timed_out);
  if (open_) return CheckIdle();
  if (session_.greeting() == Greeting::kMisdirected) {
    return End(ConnectionEnd::kClosed, {});
  }
  End(ConnectionEnd::kHandshakeTimeout,
      {WireErrorCode::kProtocol, "The peer did not say who it is."});
}

void Connection::CheckIdle() {
  const SteadyClock::duration limit = shared_->limits.idle_timeout;
  const SteadyClock::duration idle = SteadyClock::now() - last_used_;
  if (idle < limit || queued_bytes() != 0) {
    const SteadyClock::duration rest = idle < limit ? limit - idle : limit;
    // Rounded up, so that the next check does not come too early.
    return ArmTimer(std::chrono::ceil<core::Duration>(rest));
  }
  ++shared_->counters.idle_closes;
  Drain();
}

void Connection::AwaitReadable() {
  socket_.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (self->closed_) return;
        if (error) return self->OnSocketError(error);
        self->OnReadable();
      });
}

void Connection::OnReadable() {
  for (int reads = 0; reads < kMaxReadsPerTurn; ++reads) {
    boost::system::error_code error;
    const std::size_t size =
        socket_.read_some(boost::asio::buffer(shared_->input), error);
    if (error == boost::asio::error::would_block) break;
    if (error) return OnSocketError(error);
    shared_->counters.bytes_received += size;
    if (!Receive(size)) return;
    if (size < shared_->input.size()) break;
  }
  ScheduleFlush();
  AwaitReadable();
}

bool Connection::Receive(std::size_t size) {
  std::vector<Inbound> inbox;
  WireError reason;
  const bool fine = session_.Receive(
      std::string_view(shared_->input.data(), size), &inbox, &reason);
  if (!Greet()) return false;
  Deliver(&inbox);
  if (closed_) return false;
  if (!fine) {
    End(ConnectionEnd::kViolation, std::move(reason));
    return false;
  }
  UpdateAccount();
  // The peer closes in good order; so do we.
  if (session_.remote_ending()) Drain();
  return true;
}

bool Connection::Greet() {
  if (open_ || session_.greeting() == Greeting::kPending) return true;
  if (session_.greeting() == Greeting::kMisdirected) {
    if (role_ == Role::kListener) return true;
    End(ConnectionEnd::kMisdirected, {});
    return false;
  }
  const bool any = expects_.incarnation == core::Incarnation();
  if (role_ == Role::kDialler && !any && session_.peer() != expects_) {
    End(ConnectionEnd::kViolation,
        {WireErrorCode::kProtocol, "The peer is not the node that was asked."});
    return false;
  }
  open_ = true;
  last_used_ = SteadyClock::now();
  if (!draining_) ArmTimer(shared_->limits.idle_timeout);
  owner_->OnOpen(this);
  return !closed_;
}

void Connection::Deliver(std::vector<Inbound>* inbox) {
  if (!inbox->empty()) last_used_ = SteadyClock::now();
  for (Inbound& inbound : *inbox) {
    // The owner may close this connection at any message.
    if (closed_) return;
    owner_->OnMessage(this, std::move(inbound));
    has_delivered_ = true;
  }
}

void Connection::ScheduleFlush() {
  if (flush_posted_ || closed_ || !connected_) return;
  flush_posted_ = true;
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_posted_ = false;
    // What the socket has not taken goes first, when it is writable.
    if (!self->closed_ && self->unsent_.empty()) self->Flush();
  });
}

void Connection::Flush() {
  std::string& output = shared_->output;
  while (true) {
    output.clear();
    WireError reason;
    if (!session_.Collect(kWriteBytes, &output, &reason)) {
      return End(ConnectionEnd::kViolation, std::move(reason));
    }
    if (output.empty()) break;
    if (!Write(output)) return;
  }
  CheckFinished();
}

bool Connection::Write(std::string_view bytes) {
  boost::system::error_code error;
  const std::size_t size = socket_.write_some(
      boost::asio::buffer(bytes.data(), bytes.size()), error);
  if (error && error != boost::asio::error::would_block) {
    OnSocketError(error);
    return false;
  }
  shared_->counters.bytes_sent += size;
  std::string rest(bytes.substr(size));
  unsent_ = std::move(rest);
  if (unsent_.empty()) return true;
  AwaitWritable();
  return false;
}

void Connection::AwaitWritable() {
  socket_.async_wait(
      tcp::socket::wait_write,
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (self->closed_) return;
        if (error) return self->OnSocketError(error);
        if (self->Write(self->unsent_)) self->Flush();
      });
}

void Connection::CheckFinished() {
  if (!session_.finished() || shut_down_) return;
  shut_down_ = true;
  // The peer reads what was sent up to here and closes; then so do we.
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void Connection::OnSocketError(const boost::system::error_code& error) {
  if (closed_) return;
  const bool refused =
      role_ == Role::kListener && session_.greeting() == Greeting::kMisdirected;
  const bool finished = session_.finished() && unsent_.empty();
  if (finished || refused) return End(ConnectionEnd::kClosed, {});
  End(ConnectionEnd::kLost, {WireErrorCode::kNone, error.message()});
}

void Connection::End(ConnectionEnd end, WireError reason) {
  if (closed_) return;
  Close();
  owner_->OnEnd(this, end, reason);
}

}  // namespace tarragon::wire
