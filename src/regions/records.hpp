// Records of quotas and transfers in a region's key-value store.
//   regions/founder            the bootstrap region of the quotas; the same in every region
//   regions/shares/<team>      this region's quota of the team: guarantee and limit
//   regions/sent/<region>      sequence of the last transfer to that region
//   regions/out/<region>/<n>   a transfer to that region, until it is acknowledged
//   regions/received/<region>  sequence of the last transfer received from that region
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "regions/frames.hpp"
#include "regions/quota_amounts.hpp"

namespace cranklock::regions {

inline constexpr const char* kRegionsPrefix = "regions/";
inline constexpr const char* kBootstrapRegionKey = "regions/founder";
inline constexpr const char* kQuotaPrefix = "regions/shares/";
inline constexpr const char* kSentPrefix = "regions/sent/";
inline constexpr const char* kOutPrefix = "regions/out/";
inline constexpr const char* kReceivedPrefix = "regions/received/";

std::string quota_key(const std::string& team);
std::string sent_key(const std::string& region);
std::string received_key(const std::string& region);
/// The sequence has a fixed width, so that the order of keys is the order of transfers.
std::string out_key(const std::string& region, std::uint64_t sequence);

std::string write_quota(const QuotaAmounts& quota);
std::optional<QuotaAmounts> read_quota(std::string_view text);

std::string write_counter(std::uint64_t value);
std::optional<std::uint64_t> read_counter(std::string_view text);

std::string write_transfer(const QuotaTransfer& transfer);
std::optional<QuotaTransfer> read_transfer(std::string_view text);

std::string write_bootstrap_region(const std::string& region);
std::optional<std::string> read_bootstrap_region(std::string_view text);

}  // namespace cranklock::regions
