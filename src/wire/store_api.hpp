// The messages between controllers and the key-value store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranklock::wire {

/// A key's value as it was written at a revision; among the changes that a watch brings, also a
/// removal.
struct StoredValue {
  std::string key;
  std::string data;  ///< JSON; empty: the key was removed
  std::uint64_t revision = 0;

  bool is_removed() const { return data.empty(); }
};

/// Condition of a compare-and-swap: the key is at this revision; 0: it does not exist.
struct Compare {
  std::string key;
  std::uint64_t revision = 0;
};
struct Mutation {
  std::string key;
  std::string data;         ///< JSON; empty: the key is removed
  std::uint64_t lease = 0;  ///< with which the key ends; 0: none

  bool is_removal() const { return data.empty(); }
};
std::string compare_and_swap_request(const std::vector<Compare>& compares,
                                     const std::vector<Mutation>& mutations);
struct CompareAndSwapResponse {
  std::uint64_t revision = 0;
  std::vector<std::string> failed_keys;  ///< whose compared revisions do not hold
};
/// None if the body is malformed.
std::optional<CompareAndSwapResponse> parse_compare_and_swap_response(std::string_view body);

/// None if the body is malformed.
std::optional<StoredValue> parse_stored_value(std::string_view body);
/// The store's revision, which also the answer about an absent key names; none if it does not.
std::optional<std::uint64_t> parse_revision(std::string_view body);

/// Values in the order of their keys, or changes in the order of their revisions.
struct RangePage {
  std::vector<StoredValue> items;
  bool more = false;           ///< there are others after these
  std::uint64_t revision = 0;  ///< of the store when it was read
};
/// None if the body is malformed.
std::optional<RangePage> parse_range_response(std::string_view body);
/// None if the body is malformed.
std::optional<RangePage> parse_watch_response(std::string_view body);
/// Query for up to `max_items` keys with the prefix; `after`: the last key of the page before.
std::string range_query(std::string_view prefix, std::string_view after, int max_items);
/// Query for the changes after the revision `since`; the store waits for one up to `wait_ms`.
std::string watch_query(std::string_view prefix, std::uint64_t since, int wait_ms);

std::string lease_request(int life_ms);
/// The id of a granted lease; none if the body is malformed.
std::optional<std::uint64_t> parse_lease_id(std::string_view body);

}  // namespace cranklock::wire
