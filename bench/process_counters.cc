#include "tarragon/bench/process_counters.h"

#include <charconv>
#include <cmath>
#include <memory>
#include <sstream>
#include <utility>

namespace tarragon::bench {
namespace {

constexpr std::chrono::seconds kReadTimeout{3};
constexpr double kMicrosPerSecond = 1e6;

/// One line of the page: name{label="value"} number.
struct Sample {
  std::string name;
  /// Value of the first label; empty if there is none.
  std::string label;
  double value = 0;
};

std::optional<Sample> ReadSample(const std::string& line) {
  const std::size_t space = line.rfind(' ');
  if (line.empty() || line[0] == '#' || space == std::string::npos) {
    return std::nullopt;
  }
  Sample sample;
  const char* last = line.data() + line.size();
  const std::from_chars_result read =
      std::from_chars(line.data() + space + 1, last, sample.value);
  if (read.ec != std::errc() || read.ptr != last) return std::nullopt;
  const std::string series = line.substr(0, space);
  const std::size_t brace = series.find('{');
  sample.name = series.substr(0, brace);
  if (brace == std::string::npos) return sample;
  const std::size_t open = series.find('"', brace);
  const std::size_t close = series.find('"', open + 1);
  if (open == std::string::npos || close == std::string::npos) return sample;
  sample.label = series.substr(open + 1, close - open - 1);
  return sample;
}

std::uint64_t Whole(double value) {
  return static_cast<std::uint64_t>(std::llround(std::max(0.0, value)));
}

void AddTo(std::optional<std::map<std::string, std::uint64_t>>* counts,
           const Sample& sample) {
  if (!*counts) counts->emplace();
  (**counts)[sample.label] += Whole(sample.value);
}

void TakeSample(const Sample& sample, ProcessCounters* counters) {
  if (sample.name == "tarragon_messages_out_total") {
    AddTo(&counters->sent, sample);
  } else if (sample.name == "tarragon_wasted_messages_total") {
    AddTo(&counters->wasted, sample);
  } else if (sample.name == "tarragon_process_cpu_seconds") {
    counters->cpu =
        core::Duration(std::llround(sample.value * kMicrosPerSecond));
  } else if (sample.name == "tarragon_process_resident_bytes") {
    counters->resident_bytes = Whole(sample.value);
  } else if (sample.name == "tarragon_socket_bytes_out_total") {
    counters->bytes_out = Whole(sample.value);
  }
}

template <typename Number>
Number Grown(Number before, Number after) {
  return after < before ? after : after - before;
}

std::optional<std::map<std::string, std::uint64_t>> Grown(
    const std::optional<std::map<std::string, std::uint64_t>>& before,
    std::optional<std::map<std::string, std::uint64_t>> after) {
  if (!before || !after) return after;
  for (auto& [name, count] : *after) {
    const auto at = before->find(name);
    if (at != before->end()) count = Grown(at->second, count);
  }
  return after;
}

/// Gathers the answers of all processes.
struct Gathering {
  CounterReadings readings;
  std::size_t missing = 0;
  std::function<void(CounterReadings)> done;
};

void Take(Gathering* gathering, std::size_t index,
          const std::optional<http::Response>& response) {
  if (response && response->status == 200) {
    gathering->readings[index] = ReadCounters(response->body);
  }
  if (--gathering->missing == 0) gathering->done(gathering->readings);
}

}  // namespace

ProcessCounters ReadCounters(const std::string& page) {
  ProcessCounters counters;
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    const std::optional<Sample> sample = ReadSample(line);
    if (sample) TakeSample(*sample, &counters);
  }
  return counters;
}

ProcessCounters Difference(const ProcessCounters& before,
                           const ProcessCounters& after) {
  ProcessCounters difference;
  difference.sent = Grown(before.sent, after.sent);
  difference.wasted = Grown(before.wasted, after.wasted);
  difference.cpu = Grown(before.cpu, after.cpu);
  difference.resident_bytes = after.resident_bytes;
  difference.bytes_out = Grown(before.bytes_out, after.bytes_out);
  return difference;
}

void ReadAllCounters(http::Client* client,
                     const std::vector<core::Address>& addresses,
                     std::function<void(CounterReadings)> done) {
  const std::shared_ptr<Gathering> gathering = std::make_shared<Gathering>();
  gathering->readings.resize(addresses.size());
  gathering->missing = addresses.size();
  gathering->done = std::move(done);
  http::Request request;
  request.path = "/metrics";
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    client->Send(addresses[i], request, kReadTimeout,
                 [gathering, i](std::optional<http::Response> response,
                                http::HttpError) {
                   Take(gathering.get(), i, response);
                 });
  }
}

}  // namespace tarragon::bench
