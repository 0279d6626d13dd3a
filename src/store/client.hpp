// Client of the key-value store: reads, watches, compare-and-swap and leases, within this
// controller's share of the store's rate limits.
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

/// Outcome of a request to the key-value store.
enum class Status {
  ok,                   ///< executed, or found
  precondition_failed,  ///< compare-and-swap: a compared revision differs; nothing was changed
  not_found,            ///< read: the key does not exist; renewal: the lease has ended
  compacted,            ///< watch: changes since that revision are no longer kept; read all again
  rejected,             ///< not executed; may be retried later
  indeterminate,        ///< may have been executed, or may still be (invariant 1)
};

struct CompareAndSwapResult {
  Status status = Status::indeterminate;
  std::uint64_t revision = 0;            ///< if ok: revision of the written keys
  std::vector<std::string> failed_keys;  ///< keys whose compared revisions differ
  /// If rejected: as malformed, which for a well-formed transaction means that it exceeds the
  /// limits of the store. It will be rejected again.
  bool too_large = false;
};

struct ReadResult {
  Status status = Status::indeterminate;
  wire::StoredValue value;  ///< if ok
};

struct RangeResult {
  Status status = Status::indeterminate;
  wire::RangePage page;  ///< if ok
};

/// Values in one page of a longer read.
inline constexpr int kPageItems = 200;

/// Sends requests to the key-value store. The clients of all controllers together stay within the
/// rate limits of the settings: a request waits for its controller's share, and is rejected unsent
/// if the wait would exceed its timeout. Timeouts are in seconds from the call and include the
/// wait.
class Client {
 public:
  /// `settings` must outlive the client.
  Client(net::Reactor& reactor, net::Transport& transport, const base::Settings& settings);

  /// Switches between the leader's and a follower's share of the limits. The request rate is split
  /// into nodes + 1 equal shares, of which the leader takes two and each follower one. Of the
  /// mutation rate the leader takes half, and the followers share the rest equally; a single
  /// controller takes all of it.
  void set_leading(bool leading);

  /// `user`: a transaction of the job API, whose client waits for the response. It may precede the
  /// background transactions, of which there are many more.
  enum class Priority { background, user };
  /// Applies all mutations if all compared revisions hold, otherwise none.
  net::Task<CompareAndSwapResult> compare_and_swap(std::vector<wire::Compare> compares,
                                                   std::vector<wire::Mutation> mutations,
                                                   double timeout_s,
                                                   Priority priority = Priority::background);
  net::Task<ReadResult> read(std::string key, double timeout_s);
  /// Reads everything under a prefix, page by page, each page within the timeout. `revision` is
  /// that of the first page, so that a watch from this revision misses no change. Only for prefixes
  /// with few values; see RangeReader.
  net::Task<RangeResult> read_all(std::string prefix, double timeout_s);
  /// Reads up to `max_items` values after a key; `more` is set if others follow.
  net::Task<RangeResult> read_page(std::string prefix, std::string after, int max_items,
                                   double timeout_s);
  /// Reads every change after the revision `since` without waiting for new ones; `compacted` if the
  /// revision is too old. Is charged to the rate limits but does not wait for them, because many
  /// status requests share the response. The caller limits the rate of calls.
  net::Task<RangeResult> changes_since(std::string prefix, std::uint64_t since, double timeout_s);
  /// As changes_since, but the store waits up to `wait_s` seconds for a change, and the request
  /// waits for the rate limits.
  net::Task<RangeResult> watch(std::string prefix, std::uint64_t since, double wait_s);

  /// Returns the id of a new lease; none without a response that grants one. If the lease was
  /// granted nevertheless, it expires. Lease requests may overdraw the request limit by one.
  net::Task<std::optional<std::uint64_t>> grant_lease(double ttl_s, double timeout_s);
  /// `not_found` proves that the lease has ended.
  net::Task<Status> renew_lease(std::uint64_t lease, double timeout_s);
  /// Revokes the lease, which removes its keys. If the request fails, the lease expires.
  net::Task<void> revoke_lease(std::uint64_t lease, double timeout_s);

  /// Requests per second that this controller may send.
  double request_rate() const { return request_bucket_.rate(); }
  /// Maximum size of a value and maximum number of mutations in a compare-and-swap: the limits of
  /// the settings, or less for some time after the store has refused a smaller transaction as
  /// malformed.
  std::size_t max_value_bytes() const { return current_limits().value_bytes; }
  std::size_t max_mutations() const { return current_limits().mutations; }
  /// Maximum size of a value according to the settings, whatever the store has refused.
  std::size_t configured_max_value_bytes() const { return configured_limits_.value_bytes; }

 private:
  /// Cost of a request, charged to the rate limits.
  struct Charge {
    double mutations = 0;
    double mutation_overdraft = 0;  ///< allowed for the mutations (TokenBucket::take)
    double request_overdraft = 0;
    bool urgent = false;  ///< is charged but does not wait for the rate limits
  };
  /// Charge of a request that does not wait for the rate limits.
  static Charge urgent_charge();
  /// Charge of a lease request, which may overdraw the request limit by one request.
  static Charge lease_charge();
  Charge charge_of(std::size_t mutations, Priority priority) const;
  /// Sends the request once the rate limits allow it; `not_sent` if the wait would exceed the
  /// timeout.
  net::Task<net::Reply> send(net::Request request, double timeout_s, Charge charge);
  /// Returns false and takes no tokens if they are not available by the deadline.
  net::Task<bool> wait_for_tokens(net::TokenBucket& bucket, double tokens, double overdraft,
                                  double deadline);
  /// Limits of one compare-and-swap.
  struct Limits {
    std::size_t value_bytes = 0;
    std::size_t mutations = 0;
  };
  /// The lowered limits until they are forgotten, then those of the settings.
  const Limits& current_limits() const;
  /// Halves the limits of a value and of a transaction, unless the refused mutations exceeded them:
  /// then the refusal was to be expected and shows nothing.
  void lower_limits(const std::vector<wire::Mutation>& refused);

  net::Reactor& reactor_;
  net::Transport& transport_;
  const base::Settings& settings_;

  net::TokenBucket request_bucket_;
  net::TokenBucket mutation_bucket_;
  double user_overdraft_ = 0;  ///< in mutations, for transactions of the job API
  Limits configured_limits_;
  Limits lowered_limits_;
  double lowered_until_ = 0;
};

}  // namespace cranklock::store
