// What a region holds of a team's guarantee and limit, in whole thousandths so that sums over
// regions are exact.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "base/settings.hpp"
#include "wire/types.hpp"

namespace cranklock::regions {

enum class Resource : std::size_t { guaranteed_cpus, cpus, guaranteed_gpus, gpus };
inline constexpr std::size_t kResources = 4;

/// Thousandths of a CPU or GPU, one number for each Resource.
class QuotaAmounts {
 public:
  using Values = std::array<std::int64_t, kResources>;
  static constexpr std::int64_t kUnit = 1000;  ///< one whole CPU or GPU

  QuotaAmounts() = default;
  explicit QuotaAmounts(const Values& values) : values_(values) {}

  std::int64_t& operator[](Resource resource) {
    return values_[static_cast<std::size_t>(resource)];
  }
  std::int64_t operator[](Resource resource) const {
    return values_[static_cast<std::size_t>(resource)];
  }
  const Values& values() const { return values_; }

  QuotaAmounts& operator+=(const QuotaAmounts& other) {
    return *this = combine(*this, other, [](auto a, auto b) { return a + b; });
  }
  QuotaAmounts& operator-=(const QuotaAmounts& other) {
    return *this = combine(*this, other, [](auto a, auto b) { return a - b; });
  }
  friend QuotaAmounts operator+(QuotaAmounts a, const QuotaAmounts& b) { return a += b; }
  friend QuotaAmounts operator-(QuotaAmounts a, const QuotaAmounts& b) { return a -= b; }
  bool operator==(const QuotaAmounts&) const = default;

  bool is_zero() const {
    return std::all_of(values_.begin(), values_.end(), [](auto value) { return value == 0; });
  }
  bool any_negative() const {
    return std::any_of(values_.begin(), values_.end(), [](auto value) { return value < 0; });
  }
  /// The smaller, or the larger, of both in each resource.
  static QuotaAmounts min_of(const QuotaAmounts& a, const QuotaAmounts& b) {
    return combine(a, b, [](auto x, auto y) { return std::min(x, y); });
  }
  static QuotaAmounts max_of(const QuotaAmounts& a, const QuotaAmounts& b) {
    return combine(a, b, [](auto x, auto y) { return std::max(x, y); });
  }
  /// Nothing where it is below zero.
  QuotaAmounts at_least_zero() const { return max_of(*this, QuotaAmounts{}); }

  /// Applies `function` to both values of each resource.
  template <typename Function>
  static QuotaAmounts combine(const QuotaAmounts& a, const QuotaAmounts& b, Function function) {
    QuotaAmounts out;
    for (std::size_t i = 0; i < kResources; ++i) {
      out.values_[i] = function(a.values_[i], b.values_[i]);
    }
    return out;
  }

 private:
  Values values_{};
};

/// Rounds to the nearest thousandth.
inline std::int64_t to_thousandths(double amount) {
  return std::llround(amount * static_cast<double>(QuotaAmounts::kUnit));
}

/// The next whole CPU or GPU, in thousandths.
inline std::int64_t round_up_to_unit(std::int64_t thousandths) {
  return (thousandths + QuotaAmounts::kUnit - 1) / QuotaAmounts::kUnit * QuotaAmounts::kUnit;
}

/// A team's whole guarantee and limit. 0 stands for a resource that is not looked at.
inline QuotaAmounts full_quota(const base::Team& team) {
  return QuotaAmounts({to_thousandths(team.cpus), to_thousandths(team.cpus_max),
                       to_thousandths(team.gpus), to_thousandths(team.gpus_max)});
}

/// What tasks take: the same of the guarantee and of the limit. Rounded up, so that no use is
/// counted as less than it is.
inline QuotaAmounts quota_used_by(const wire::Resources& resources) {
  constexpr double kSlack = 1e-3;  // sums of decimal amounts, in thousandths
  const auto up = [](double amount) {
    return static_cast<std::int64_t>(
        std::ceil(amount * static_cast<double>(QuotaAmounts::kUnit) - kSlack));
  };
  return QuotaAmounts(
      {up(resources.cpus), up(resources.cpus), up(resources.gpus), up(resources.gpus)});
}

}  // namespace cranklock::regions
