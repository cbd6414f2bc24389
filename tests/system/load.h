#ifndef TARRAGON_TESTS_SYSTEM_LOAD_H_
#define TARRAGON_TESTS_SYSTEM_LOAD_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "cluster.h"

namespace tarragon::system_test {

/// Keeps a number of jobs of one task open, spread over the given entries.
/// Stop before the cluster is destroyed.
class Load {
 public:
  Load(Cluster* cluster, std::vector<std::size_t> entries, std::size_t open,
       std::uint32_t work_ms);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  /// Submits no more and waits for the open answers.
  void Stop();
  /// Waits until `more` jobs have completed from now on.
  void AwaitCompleted(std::size_t more);
  /// All answers so far.
  std::vector<JobResult> Results();

 private:
  void SendNext(std::size_t lane, const std::string& handle);
  void Answered(std::size_t lane, const JobResult& result);

  Cluster* cluster_;
  std::vector<std::size_t> entries_;
  std::uint32_t work_ms_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::size_t open_ = 0;
  std::size_t completed_ = 0;
  std::string handle_;
  std::vector<JobResult> results_;
};

}  // namespace tarragon::system_test

#endif  // TARRAGON_TESTS_SYSTEM_LOAD_H_
