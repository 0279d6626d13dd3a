// How shares and transfers stand in a region's state service.
//   regions/founder          which region made the shares; the same in every region
//   regions/shares/<team>    what this region holds of the team's guarantee and limit
//   regions/sent/<region>    the number of the last transfer to that region
//   regions/out/<region>/<n> a transfer to it, until there is a receipt
//   regions/received/<region> the number of the last transfer that was taken from it
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "regions/amounts.hpp"
#include "regions/frames.hpp"

namespace cranklock::regions {

inline constexpr const char* kRegionsPrefix = "regions/";
inline constexpr const char* kFounderKey = "regions/founder";
inline constexpr const char* kSharesPrefix = "regions/shares/";
inline constexpr const char* kSentPrefix = "regions/sent/";
inline constexpr const char* kOutPrefix = "regions/out/";
inline constexpr const char* kReceivedPrefix = "regions/received/";

std::string share_key(const std::string& team);
std::string sent_key(const std::string& region);
std::string received_key(const std::string& region);
/// Numbers have a fixed width, so that keys come in the order of the transfers.
std::string out_key(const std::string& region, std::uint64_t sequence);

std::string write_share(const Amounts& amounts);
std::optional<Amounts> read_share(std::string_view text);

std::string write_counter(std::uint64_t value);
std::optional<std::uint64_t> read_counter(std::string_view text);

std::string write_transfer(const ShareTransfer& transfer);
std::optional<ShareTransfer> read_transfer(std::string_view text);

std::string write_founder(const std::string& region);
std::optional<std::string> read_founder(std::string_view text);

}  // namespace cranklock::regions
