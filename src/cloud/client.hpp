// The cloud's API: machine types, scale-out requests, deletions and the list of machines.
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

// Limits that the cloud's protocol states.
/// Names in one deletion request.
inline constexpr std::size_t kMaxDeletions = 100;
/// Machines that one scale-out request may ask for.
inline constexpr int kMaxMachinesPerRequest = 50;
/// Machines on a page of the list.
inline constexpr int kMaxListed = 500;

/// How a deletion request ended.
enum class DeletionResult {
  deleted,        ///< proof that all the machines are gone (invariant 4)
  rejected,       ///< the cloud does not take this request; the same again would fare no better
  indeterminate,  ///< nothing is known; it may be sent again
};

/// How a scale-out request ended.
struct ScaleOutResult {
  enum class Kind {
    granted,        ///< `machines` come, perhaps fewer than asked for
    no_capacity,    ///< there are none of this type and kind in the zone at present
    rejected,       ///< certainly not executed; for another reason than capacity
    indeterminate,  ///< may have been executed, or may yet be: ask again under the same name
  };
  Kind kind = Kind::indeterminate;
  std::vector<std::string> machines;  ///< ids; only when granted
};

/// Calls the cloud's API within the call rate of the settings. Only the leader scales and deletes;
/// every controller reads the machine types.
class Client {
 public:
  Client(net::Reactor& reactor, net::Transport& transport, const base::Settings& settings);

  /// None if the cloud did not answer, or with anything else than the machine types.
  net::Task<std::optional<std::vector<wire::MachineType>>> types();
  /// The request's name identifies it: sent again under the same name, it is executed once at most
  /// (invariant 8).
  net::Task<ScaleOutResult> scale_out(wire::ScaleOutRequest request);
  /// Deletes up to kMaxDeletions machines.
  net::Task<DeletionResult> remove(std::vector<std::string> machines);
  /// All machines, page by page; none if one of the pages can't be had. The list may lag behind by
  /// `list_lag_s` of the settings.
  net::Task<std::optional<std::vector<wire::ListedMachine>>> list();
  /// Seconds to wait between two lists of so many machines: reading their pages takes no more than
  /// half of the calls that are left for other things than scale-out requests.
  static double list_interval(const base::Settings& settings, std::size_t machines);

 private:
  /// Waits for the rate limit, then sends.
  net::Task<net::Reply> send(net::Request request, net::TokenBucket& limit);

  net::Reactor& reactor_;
  net::Transport& transport_;
  const base::Settings& settings_;
  net::TokenBucket scale_out_limit_;  ///< DESIGN: scale-out requests get half of the call rate
  net::TokenBucket other_limit_;
};

}  // namespace cranklock::cloud
