#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirewheel {

// A string identifier that cannot be mixed up with identifiers of another kind.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : text_(std::move(text)) {}

  [[nodiscard]] const std::string& str() const noexcept { return text_; }
  [[nodiscard]] bool empty() const noexcept { return text_.empty(); }

  auto operator<=>(const StrongId&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.text_; }

 private:
  std::string text_;
};

// A number with a distinct meaning and unit. Arithmetic is defined only between numbers of the same
// kind.
template <typename Tag, typename Rep = std::int64_t>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep number) noexcept : number_(number) {}

  [[nodiscard]] constexpr Rep count() const noexcept { return number_; }

  constexpr auto operator<=>(const StrongNumber&) const = default;

  constexpr StrongNumber& operator+=(StrongNumber other) noexcept {
    number_ += other.number_;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber other) noexcept {
    number_ -= other.number_;
    return *this;
  }
  friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) noexcept {
    return a += b;
  }
  friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) noexcept {
    return a -= b;
  }
  friend std::ostream& operator<<(std::ostream& out, StrongNumber n) { return out << n.number_; }

 private:
  Rep number_{};
};

}  // namespace sapphirewheel

template <typename Tag>
struct std::hash<sapphirewheel::StrongId<Tag>> {
  std::size_t operator()(const sapphirewheel::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};

template <typename Tag, typename Rep>
struct std::hash<sapphirewheel::StrongNumber<Tag, Rep>> {
  std::size_t operator()(sapphirewheel::StrongNumber<Tag, Rep> n) const noexcept {
    return std::hash<Rep>{}(n.count());
  }
};
