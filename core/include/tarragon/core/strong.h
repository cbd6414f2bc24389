#ifndef TARRAGON_CORE_STRONG_H_
#define TARRAGON_CORE_STRONG_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace tarragon::core {

/// A value of type `T` that mixes with no other id or unit. `Tag` names it.
template <typename Tag, typename T>
class Strong {
 public:
  Strong() = default;
  explicit Strong(T value) : value_(std::move(value)) {}

  /// The plain value, for printing and encoding.
  const T& value() const { return value_; }

  bool operator==(const Strong&) const = default;
  std::strong_ordering operator<=>(const Strong& other) const {
    if (value_ < other.value_) return std::strong_ordering::less;
    if (other.value_ < value_) return std::strong_ordering::greater;
    return std::strong_ordering::equal;
  }

 private:
  T value_{};
};

}  // namespace tarragon::core

/// Lets strong types be keys of unordered containers.
template <typename Tag, typename T>
struct std::hash<tarragon::core::Strong<Tag, T>> {
  std::size_t operator()(const tarragon::core::Strong<Tag, T>& v) const {
    return std::hash<T>()(v.value());
  }
};

#endif  // TARRAGON_CORE_STRONG_H_
