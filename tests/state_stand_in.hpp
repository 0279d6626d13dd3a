// An in-memory state service as specified in PROTOCOL. Outages, delays and partitions are simulated
// by the caller.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "net/http.hpp"
#include "net/reactor.hpp"
#include "wire/json.hpp"

namespace cranklock::testing {

class StateStandIn {
 public:
  explicit StateStandIn(const net::Reactor& reactor) : reactor_(reactor) {}

  struct Stored {
    std::string data;
    std::uint64_t revision, lease;
  };
  std::map<std::string, Stored> values;
  std::uint64_t revision = 0;

  /// Limits of requests; 0: unlimited.
  struct Limits {
    std::size_t value_bytes = 0, txn_changes = 0;  ///< 400 if exceeded
    double write_rps = 0;                          ///< replaces default_write_rps if above 0
  };
  Limits limits;
  bool enforces_write_rate = false;  ///< transactions above the write rate get 429
  double default_write_rps = 0;      ///< changes per second
  int refused_writes = 0;
  int refused_as_too_large = 0;
  std::uint64_t requests = 0, writes = 0;  ///< requests handled, changes applied

  /// Responds at once. A watch without changes gets an empty list of changes, as it does on its
  /// timeout.
  net::Response handle(const net::Request& request);
  /// Whether the response to this watch would contain changes.
  bool has_changes(const net::Request& watch) const;
  /// Renews every lease, as the state service does after an outage.
  void extend_leases();

 private:
  struct Event {
    std::string key, data;
    std::uint64_t revision;
  };
  net::Response read_value(const std::string& key) const;
  net::Response read_range(const net::Request& request) const;
  net::Response read_changes(const net::Request& watch) const;
  net::Response create_lease(const net::Request& request);
  net::Response renew_or_revoke_lease(const net::Request& request);
  net::Response execute_transaction(const net::Request& request);
  bool exceeds_limits(const wire::Json& changes) const;
  /// Takes tokens from a bucket for one second's changes; false if it holds too few.
  bool take_write_tokens(double count);
  void apply_changes(const wire::Json& changes);
  void put(const std::string& key, const std::string& data, std::uint64_t lease);
  void erase(const std::string& key);
  void record_event(Event event);
  void expire_leases();
  std::deque<Event>::const_iterator first_event_after(std::uint64_t since) const;

  const net::Reactor& reactor_;
  std::deque<Event> events_;              ///< the most recent, ordered by revision
  std::uint64_t compacted_revision_ = 0;  ///< revision of the newest dropped event
  std::map<std::uint64_t, std::pair<double, double>> leases_;  ///< time to live, expiry time
  std::uint64_t next_lease_ = 0;
  double write_tokens_ = 0, write_tokens_at_ = 0;
};

}  // namespace cranklock::testing
