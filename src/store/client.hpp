// The state service: budgets, transactions, leases and watches.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "net/client.hpp"
#include "wire/messages.hpp"

namespace cranklock::store {

/// A bucket that fills at a rate and holds one second's worth, or more where a burst is allowed.
class Budget {
 public:
  Budget(net::Reactor& reactor, double rate) : reactor_(reactor) { set_rate(rate); }
  /// `burst`: what it holds at least.
  void set_rate(double rate, double burst = 0);
  /// Seconds until `amount` may be taken; takes it when that is 0. `overdraft`: what the level may
  /// fall below 0, at the expense of those that take without.
  double take(double amount, double overdraft = 0);
  /// Takes without asking; what is overdrawn delays the others.
  void force(double amount);
  double rate() const { return rate_; }
  /// The service refused for its rate: what this bucket held is not there.
  void empty();

 private:
  void fill();
  net::Reactor& reactor_;
  double rate_ = 0, capacity_ = 0, level_ = 0, at_ = 0;
};

enum class Status {
  ok,       ///< done, or found
  failed,   ///< conditions not met, or not found
  refused,  ///< certainly not executed: try again later
  unknown,  ///< may have been executed, or may yet be
};

struct CompareAndSwapResult {
  Status status = Status::unknown;
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
};

struct ReadResult {
  Status status = Status::unknown;
  wire::StoredValue value;
};

struct RangeResult {
  Status status = Status::unknown;
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
  /// answer: whoever asks keeps the pace. `failed` when the revision is too old.
  net::Task<RangeResult> changes_since(std::string prefix, std::uint64_t since, double timeout_s);
  /// Requests a second that this node may make.
  double request_rate() const { return requests_.rate(); }
  /// `failed` when the revision is too old.
  net::Task<RangeResult> watch(std::string prefix, std::uint64_t since, double wait_s);
  net::Task<std::optional<std::uint64_t>> grant_lease(double life_s, double timeout_s);
  net::Task<Status> renew_lease(std::uint64_t lease, double timeout_s);
  net::Task<void> drop_lease(std::uint64_t lease, double timeout_s);

  /// Limits of a value and of a transaction: those of the settings, or less once the service has
  /// refused a transaction as malformed.
  std::size_t value_bytes() const { return value_bytes_; }
  std::size_t txn_changes() const { return txn_changes_; }

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

  Budget requests_, writes_;
  double user_overdraft_ = 0;
  std::size_t value_bytes_, txn_changes_;
};

}  // namespace cranklock::store
