// The cloud: machine types, scale-out requests and deletions, inside its call rate.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "net/client.hpp"
#include "net/token_bucket.hpp"
#include "wire/messages.hpp"

namespace cranklock::cloud {

/// Names in one deletion request, at most (PROTOCOL).
inline constexpr std::size_t kMaxDeletions = 100;
/// Machines that one scale-out request request may ask for, at most (PROTOCOL).
inline constexpr int kMaxMachinesPerRequest = 50;
/// Machines on a page of the list, at most (PROTOCOL).
inline constexpr int kMaxListed = 500;

enum class DeletionResult {
  done,         ///< proof that the machines are gone
  refused,      ///< the cloud does not take this request; the same again would fare no better
  unavailable,  ///< nothing is known; it may be asked again
};

struct ScaleOutResult {
  enum class Kind { rented, no_capacity, refused, unknown };
  Kind kind = Kind::unknown;
  std::vector<std::string> machines;
};

class Client {
 public:
  Client(net::Reactor& reactor, net::Transport& transport, const base::Settings& settings);

  net::Task<std::optional<std::vector<wire::MachineType>>> types();
  /// `unknown` must be asked again under the same name: it may have been, or yet be, carried out.
  net::Task<ScaleOutResult> scale_out(wire::ScaleOutRequest scale_out_request);
  net::Task<DeletionResult> remove(std::vector<std::string> machines);
  net::Task<std::optional<std::vector<wire::ListedMachine>>> list();
  /// How long to wait between two lists of so many machines: reading their pages takes no more than
  /// half of the calls that are left for other things than scale-out requests.
  static double list_interval(const base::Settings& settings, std::size_t machines);

 private:
  net::Task<net::Reply> send(net::Request request, net::TokenBucket& budget);

  net::Reactor& reactor_;
  net::Transport& transport_;
  const base::Settings& settings_;
  net::TokenBucket
      scale_out_budget_;  ///< DESIGN: scale-out requests start at half the cloud's call rate
  net::TokenBucket other_budget_;
};

}  // namespace cranklock::cloud
