// The client of the key-value store: reads, watches, compare-and-swap and leases, within this
// node's share of the store's rate limits.
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
  indeterminate,  ///< may have been executed, or may yet be (invariant 1)
};

struct CompareAndSwapResult {
  Status status = Status::indeterminate;
  std::uint64_t revision = 0;            ///< when ok: of the keys written
  std::vector<std::string> failed_keys;  ///< whose compared revisions do not hold
};

struct ReadResult {
  Status status = Status::indeterminate;
  wire::StoredValue value;  ///< when ok
};

struct RangeResult {
  Status status = Status::indeterminate;
  wire::RangePage page;  ///< when ok
};

/// Talks to the key-value store. All nodes' clients together stay within the limits of the
/// settings: requests wait for their share, and those that would wait for longer than their time
/// limit are rejected unsent. Time limits are seconds from the call, the wait included.
class Client {
 public:
  /// `settings` must outlive the client.
  Client(net::Reactor& reactor, net::Transport& transport, const base::Settings& settings);

  /// Takes the leader's share of the limits, or gives it back. The leader takes two shares of the
  /// requests of nodes + 1, the others one each; of the mutations it takes half, the others share
  /// the rest.
  void set_leading(bool leading);

  /// Clients of the job API wait for the answer to a transaction of theirs, and may go before those
  /// in the background that are written by the dozen.
  enum class Priority { background, user };
  /// Applies all mutations if all compared revisions hold, otherwise none.
  net::Task<CompareAndSwapResult> compare_and_swap(std::vector<wire::Compare> compares,
                                                   std::vector<wire::Mutation> mutations,
                                                   double timeout_s,
                                                   Priority priority = Priority::background);
  net::Task<ReadResult> read(std::string key, double timeout_s);
  /// Everything under a prefix, page by page, each page within the time limit; `revision` is that
  /// of the first page, so that a watch from there misses nothing.
  net::Task<RangeResult> read_all(std::string prefix, double timeout_s);
  /// Up to `max_items` values after a key; `more` where there are others.
  net::Task<RangeResult> read_page(std::string prefix, std::string after, int max_items,
                                   double timeout_s);
  /// Every change after the revision `since`, at once; `compacted` when that is too old. Does not
  /// wait for the limits, since many share the answer: whoever asks keeps the pace.
  net::Task<RangeResult> changes_since(std::string prefix, std::uint64_t since, double timeout_s);
  /// The same, but the store waits up to `wait_s` seconds for a change.
  net::Task<RangeResult> watch(std::string prefix, std::uint64_t since, double wait_s);

  /// A new lease's id; none if there was no answer that grants one. A lease that was granted all
  /// the same ends by itself. Requests about leases may overdraw the request limit by one.
  net::Task<std::optional<std::uint64_t>> grant_lease(double life_s, double timeout_s);
  /// `not_found` proves that the lease has ended.
  net::Task<Status> renew_lease(std::uint64_t lease, double timeout_s);
  /// Ends the lease early, so that its keys go. Without an answer it ends by itself.
  net::Task<void> revoke_lease(std::uint64_t lease, double timeout_s);

  /// Requests a second that this node may make.
  double request_rate() const { return requests_.rate(); }
  /// Largest value, and most mutations of a compare-and-swap: those of the settings, or less once
  /// the store has refused one as malformed.
  std::size_t max_value_bytes() const { return max_value_bytes_; }
  std::size_t max_mutations() const { return max_mutations_; }

 private:
  /// What a request takes of the limits.
  struct Charge {
    double mutations = 0;
    double mutation_overdraft = 0;  ///< allowed for the mutations, see TokenBucket::take
    double request_overdraft = 0;
    bool urgent = false;  ///< does not wait for the limits
  };
  /// Of a request that does not wait for the limits.
  static Charge urgent_charge();
  /// Of a request about a lease: it may overdraw the request limit by one request.
  static Charge lease_charge();
  Charge charge_of(std::size_t mutations, Priority priority) const;
  /// Sends once the limits allow it; `not_sent` if that takes longer than the time limit.
  net::Task<net::Reply> send(net::Request request, double timeout_s, Charge charge);
  /// False when the tokens can't be had by the deadline; takes none then.
  net::Task<bool> wait_for_tokens(net::TokenBucket& bucket, double tokens, double overdraft,
                                  double deadline);
  void lower_limits();

  net::Reactor& reactor_;
  net::Transport& transport_;
  const base::Settings& settings_;

  net::TokenBucket requests_;
  net::TokenBucket mutations_;
  double user_overdraft_ = 0;  ///< mutations that clients of the job API may overdraw
  std::size_t max_value_bytes_, max_mutations_;
};

}  // namespace cranklock::store
