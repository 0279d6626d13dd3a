// Messages between controllers and the key-value store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranklock::wire {

/// A value of a key, and the revision at which it was written. In the changes returned by a watch
/// it may also be the removal of a key.
struct StoredValue {
  std::string key;
  std::string data;  ///< JSON; empty for a removal
  std::uint64_t revision = 0;

  bool is_removed() const { return data.empty(); }
};

/// Condition of a compare-and-swap: the key has this revision; 0: the key does not exist.
struct Compare {
  std::string key;
  std::uint64_t revision = 0;
};
struct Mutation {
  std::string key;
  std::string data;         ///< JSON; empty to remove the key
  std::uint64_t lease = 0;  ///< lease whose end removes the key; 0: none

  bool is_removal() const { return data.empty(); }
};
std::string compare_and_swap_request(const std::vector<Compare>& compares,
                                     const std::vector<Mutation>& mutations);
struct CompareAndSwapResponse {
  std::uint64_t revision = 0;
  std::vector<std::string> failed_keys;  ///< keys whose compared revisions differ
};
/// Returns none if the body is malformed.
std::optional<CompareAndSwapResponse> parse_compare_and_swap_response(std::string_view body);

/// Returns none if the body is malformed.
std::optional<StoredValue> parse_stored_value(std::string_view body);
/// Returns the store's revision, which a response about an absent key contains as well; none if the
/// body has no revision.
std::optional<std::uint64_t> parse_revision(std::string_view body);

/// Values in the order of their keys, or changes in the order of their revisions.
struct RangePage {
  std::vector<StoredValue> items;
  bool more = false;           ///< whether further items follow
  std::uint64_t revision = 0;  ///< of the store at the time of the read
};
/// Returns none if the body is malformed.
std::optional<RangePage> parse_range_response(std::string_view body);
/// Returns none if the body is malformed.
std::optional<RangePage> parse_watch_response(std::string_view body);
/// Query for up to `max_items` keys with the prefix; `after`: last key of the previous page.
std::string range_query(std::string_view prefix, std::string_view after, int max_items);
/// Query for the changes after the revision `since`; the store waits for one up to `wait_ms`.
std::string watch_query(std::string_view prefix, std::uint64_t since, int wait_ms);

std::string lease_request(int ttl_ms);
/// Returns the id of the granted lease; none if the body is malformed.
std::optional<std::uint64_t> parse_lease_id(std::string_view body);

}  // namespace cranklock::wire
