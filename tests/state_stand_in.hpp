// A state service in memory, as PROTOCOL describes it. Whoever serves it decides when it is down,
// slow or cut off.
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

  /// What it takes, where it isn't without limit.
  struct Limits {
    std::size_t value_bytes = 0, txn_changes = 0;  ///< 400 above
    double write_rps = 0;  ///< for limits_writes, instead of usual_write_rps
  };
  Limits limits;
  bool limits_writes = false;  ///< 429 above so many changes a second
  double usual_write_rps = 0;
  int refused_writes = 0;
  int refused_as_too_large = 0;
  std::uint64_t requests = 0, writes = 0;  ///< that were answered, and changes carried out

  /// Answers at once; a watch without changes is answered as if its time were over.
  net::Response handle(const net::Request& request);
  /// Whether a watch with this query would be answered with changes.
  bool has_changes(const net::Request& watch) const;
  /// After an outage every lease has its full time again.
  void extend_leases();

 private:
  struct Event {
    std::string key, data;
    std::uint64_t revision;
  };
  net::Response read(const std::string& key) const;
  net::Response range(const net::Request& request) const;
  net::Response changes(const net::Request& watch) const;
  net::Response grant_lease(const net::Request& request);
  net::Response use_lease(const net::Request& request);
  net::Response transact(const net::Request& request);
  bool too_large(const wire::Json& changes) const;
  bool take_writes(double count);
  void carry_out(const wire::Json& changes);
  void put(const std::string& key, const std::string& data, std::uint64_t lease);
  void erase(const std::string& key);
  void note(Event event);
  void expire();
  std::deque<Event>::const_iterator first_after(std::uint64_t since) const;

  const net::Reactor& reactor_;
  std::deque<Event> events_;     ///< the last ones, in the order of their revisions
  std::uint64_t forgotten_ = 0;  ///< revision of the newest one that was dropped
  std::map<std::uint64_t, std::pair<double, double>> leases_;  ///< life and end
  std::uint64_t next_lease_ = 0;
  double write_level_ = 0, write_level_at_ = 0;
};

}  // namespace cranklock::testing
