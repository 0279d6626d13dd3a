// Amounts of a team's guarantee and limit, in integer thousandths so that sums over regions are
// exact.
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
  static constexpr std::int64_t kThousandthsPerUnit = 1000;  ///< one whole CPU or GPU

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
  /// Element-wise minimum and maximum.
  static QuotaAmounts min_of(const QuotaAmounts& a, const QuotaAmounts& b) {
    return combine(a, b, [](auto x, auto y) { return std::min(x, y); });
  }
  static QuotaAmounts max_of(const QuotaAmounts& a, const QuotaAmounts& b) {
    return combine(a, b, [](auto x, auto y) { return std::max(x, y); });
  }
  /// Replaces negative values by 0.
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
  return std::llround(amount * static_cast<double>(QuotaAmounts::kThousandthsPerUnit));
}

/// Rounds up to a whole CPU or GPU, in thousandths.
inline std::int64_t round_up_to_unit(std::int64_t thousandths) {
  return (thousandths + QuotaAmounts::kThousandthsPerUnit - 1) / QuotaAmounts::kThousandthsPerUnit *
         QuotaAmounts::kThousandthsPerUnit;
}

/// A team's full guarantee and limit. 0: the resource is not limited.
inline QuotaAmounts full_quota(const base::Team& team) {
  return QuotaAmounts({to_thousandths(team.cpus), to_thousandths(team.cpus_max),
                       to_thousandths(team.gpus), to_thousandths(team.gpus_max)});
}

/// Quota that tasks use: the same amount of the guarantee and of the limit. Rounded up, so that
/// usage is never underestimated.
inline QuotaAmounts quota_used_by(const wire::Resources& resources) {
  // In thousandths; absorbs the floating-point error in sums of decimal amounts.
  constexpr double kRoundingTolerance = 1e-3;
  const auto round_up = [](double amount) {
    return static_cast<std::int64_t>(std::ceil(
        amount * static_cast<double>(QuotaAmounts::kThousandthsPerUnit) - kRoundingTolerance));
  };
  return QuotaAmounts({round_up(resources.cpus), round_up(resources.cpus), round_up(resources.gpus),
                       round_up(resources.gpus)});
}

}  // namespace cranklock::regions
