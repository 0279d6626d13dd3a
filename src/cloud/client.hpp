// Client of the cloud's API: machine types, scale-out requests, deletions and the list of machines.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "net/client.hpp"
#include "net/token_bucket.hpp"
#include "wire/cloud_api.hpp"

namespace cranklock::cloud {

// Limits of the cloud's protocol.
/// Machines in one deletion request.
inline constexpr std::size_t kMaxDeletions = 100;
/// Machines in one scale-out request.
inline constexpr int kMaxMachinesPerRequest = 50;
/// Machines on a page of the list.
inline constexpr int kMaxMachinesPerPage = 500;

/// Outcome of a deletion request.
enum class DeletionResult {
  deleted,        ///< proves that all the machines are deleted (invariant 4)
  rejected,       ///< refused by the cloud; a retry would be refused as well
  indeterminate,  ///< outcome unknown; may be retried
};

/// Outcome of a scale-out request.
struct ScaleOutResult {
  enum class Kind {
    granted,        ///< `machines` will boot, possibly fewer than requested
    no_capacity,    ///< no capacity for this type (spot or not) in the zone at present
    rejected,       ///< not executed, for another reason than capacity
    indeterminate,  ///< may have been executed, or may still be: retry under the same id
  };
  Kind kind = Kind::indeterminate;
  std::vector<std::string> machines;  ///< ids; only when granted
};

/// Calls the cloud's API within the call rate of the settings. Only the leader requests and deletes
/// machines; every controller reads the machine types.
class Client {
 public:
  Client(net::Reactor& reactor, net::Transport& transport, const base::Settings& settings);

  /// Returns none without a valid response.
  net::Task<std::optional<std::vector<wire::MachineType>>> machine_types();
  /// Idempotent: requests with the same id are executed at most once (invariant 8).
  net::Task<ScaleOutResult> scale_out(wire::ScaleOutRequest request);
  /// Deletes up to kMaxDeletions machines.
  net::Task<DeletionResult> delete_machines(std::vector<std::string> machines);
  /// Reads the list of all machines, page by page; none if a page fails. The list may be stale by
  /// up to `list_lag_s` of the settings.
  net::Task<std::optional<std::vector<wire::ListedMachine>>> list_machines();
  /// Interval in seconds between two reads of a list of this many machines, such that their pages
  /// take at most half of the calls that are not reserved for scale-out requests.
  static double list_interval_s(const base::Settings& settings, std::size_t machines);

 private:
  /// Waits for the rate limit, then sends.
  net::Task<net::Reply> send(net::Request request, net::TokenBucket& limit);

  net::Reactor& reactor_;
  net::Transport& transport_;
  const base::Settings& settings_;
  net::TokenBucket scale_out_limit_;  ///< half of the call rate, as DESIGN requires
  net::TokenBucket other_limit_;      ///< for all other calls
};

}  // namespace cranklock::cloud
