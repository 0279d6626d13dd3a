// The state service: budgets, transactions, leases and watches.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "net/client.hpp"
#include "net/token_bucket.hpp"
#include "wire/store_api.hpp"

namespace cranklock::store {

/// How a request to the key-value store ended.
enum class Status {
  ok,                   ///< done, or found
  precondition_failed,  ///< compare-and-swap: a compared revision does not hold; nothing was
                        ///< changed
  not_found,            ///< read: there is no such key; renewal: the lease has ended
  compacted,      ///< watch: changes since that revision are not kept any more; read all again
  rejected,       ///< certainly not executed, and may be tried again later
  indeterminate,  ///< may have been executed, or may yet be
};

struct CompareAndSwapResult {
  Status status = Status::indeterminate;
  std::uint64_t revision = 0;
  std::vector<std::string> failed_keys;  ///< whose compared revisions do not hold
};

struct ReadResult {
  Status status = Status::indeterminate;
  wire::StoredValue value;
};

struct RangeResult {
  Status status = Status::indeterminate;
  wire::RangePage page;
};

class Client {
 public:
  Client(net::Reactor& reactor, net::Transport& transport, const base::Settings& settings);

  /// The leader takes two shares of the requests of nodes + 1, the others one each; of the changes
  /// it takes half, the others share the rest. Together they stay within the service's limits.
  void set_leading(bool leading);

  /// Users wait for the answer to a transaction of theirs, and may go before those in the
  /// background that are written by the dozen.
  enum class Priority { background, user };
  net::Task<CompareAndSwapResult> compare_and_swap(std::vector<wire::Compare> compares,
                                                   std::vector<wire::Mutation> mutations,
                                                   double timeout_s,
                                                   Priority priority = Priority::background);
  net::Task<ReadResult> read(std::string key, double timeout_s);
  /// Everything under a prefix, page by page; `revision` is that of the first page, so that a watch
  /// from there misses nothing.
  net::Task<RangeResult> read_all(std::string prefix, double timeout_s);
  /// Up to `max_items` values after a key; `more` where there are others.
  net::Task<RangeResult> read_page(std::string prefix, std::string after, int max_items,
                                   double timeout_s);
  /// Every change after the revision, at once. Does not wait for the budget, since many share the
  /// answer: whoever asks keeps the pace. `compacted` when the revision is too old.
  net::Task<RangeResult> changes_since(std::string prefix, std::uint64_t since, double timeout_s);
  /// Requests a second that this node may make.
  double request_rate() const { return requests_.rate(); }
  /// `compacted` when the revision is too old.
  net::Task<RangeResult> watch(std::string prefix, std::uint64_t since, double wait_s);
  net::Task<std::optional<std::uint64_t>> grant_lease(double life_s, double timeout_s);
  net::Task<Status> renew_lease(std::uint64_t lease, double timeout_s);
  net::Task<void> revoke_lease(std::uint64_t lease, double timeout_s);

  /// Limits of a value and of a transaction: those of the settings, or less once the service has
  /// refused a transaction as malformed.
  std::size_t max_value_bytes() const { return max_value_bytes_; }
  std::size_t max_mutations() const { return max_mutations_; }

 private:
  /// What a request takes of the budgets.
  struct Charge {
    double writes = 0;
    double overdraft = 0;  ///< allowed for the writes
    double request_overdraft = 0;
    bool urgent = false;  ///< does not wait for the budgets
  };
  net::Task<net::Reply> send(net::Request request, double timeout_s, Charge charge);
  static RangeResult changes_in(const net::Reply& reply);

  net::Reactor& reactor_;
  net::Transport& transport_;
  const base::Settings& settings_;
  void lower_limits();

  net::TokenBucket requests_, writes_;
  double user_overdraft_ = 0;
  std::size_t max_value_bytes_, max_mutations_;
};

}  // namespace cranklock::store
