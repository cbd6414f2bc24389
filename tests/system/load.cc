#include "load.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace tarragon::system_test {
namespace {

constexpr std::chrono::milliseconds kRefusedPause{20};

}  // namespace

Load::Load(Cluster* cluster, std::vector<std::size_t> entries, std::size_t open,
           std::uint32_t work_ms)
    : cluster_(cluster), entries_(std::move(entries)), work_ms_(work_ms) {
  handle_ = cluster_->Handle(entries_.front());
  open_ = open;
  for (std::size_t lane = 0; lane < open; ++lane) SendNext(lane, handle_);
}

Load::~Load() { Stop(); }

void Load::SendNext(std::size_t lane, const std::string& handle) {
  const std::string key = cluster_->NewKey(handle);
  const std::vector<TaskText> tasks = {{work_ms_, "result of " + key}};
  cluster_->Expect(key, tasks);
  cluster_->Send(
      entries_[lane % entries_.size()], key, Cluster::Body(tasks),
      [this, lane](const JobResult& result) { Answered(lane, result); });
}

void Load::Answered(std::size_t lane, const JobResult& result) {
  std::string handle;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    results_.push_back(result);
    if (result.outcome == "complete") ++completed_;
    if (!result.handle.empty()) handle_ = result.handle;
    handle = handle_;
    if (stopping_) --open_;
    changed_.notify_all();
    if (stopping_) return;
  }
  if (result.outcome == "complete") return SendNext(lane, handle);
  const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(cluster_->loop().io(),
                                                  kRefusedPause);
  timer->async_wait([this, timer, lane, handle](boost::system::error_code) {
    SendNext(lane, handle);
  });
}

void Load::Stop() {
  std::unique_lock<std::mutex> lock(mutex_);
  stopping_ = true;
  changed_.wait_for(lock, kSafetyStop, [this] { return open_ == 0; });
}

void Load::AwaitCompleted(std::size_t more) {
  std::unique_lock<std::mutex> lock(mutex_);
  const std::size_t wanted = completed_ + more;
  if (!changed_.wait_for(lock, kSafetyStop,
                         [this, wanted] { return completed_ >= wanted; })) {
    const std::string last = results_.empty() ? "none" : results_.back().body;
    FailTest("The load came to a stop. Last answer: " + last +
             cluster_->Logs());
  }
}

std::vector<JobResult> Load::Results() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return results_;
}

}  // namespace tarragon::system_test
