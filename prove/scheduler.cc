#include "scheduler.h"

#include <algorithm>
#include <utility>

namespace tarragon::prove {

bool Scheduler::Later(const Event& a, const Event& b) {
  if (a.at != b.at) return a.at > b.at;
  return a.sequence > b.sequence;
}

void Scheduler::At(core::Time at, std::function<void()> run) {
  heap_.push_back(Event{std::max(at, now_), next_sequence_++, std::move(run)});
  std::push_heap(heap_.begin(), heap_.end(), Later);
}

bool Scheduler::Step() {
  if (heap_.empty()) return false;
  std::pop_heap(heap_.begin(), heap_.end(), Later);
  Event event = std::move(heap_.back());
  heap_.pop_back();
  now_ = event.at;
  ++steps_;
  event.run();
  return true;
}

}  // namespace tarragon::prove
