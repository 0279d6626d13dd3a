#include "store/client.hpp"

#include <algorithm>
#include <utility>

#include "store/range_reader.hpp"

namespace cranklock::store {
namespace {

/// `negative`: meaning of a 404, 409 or 410 for this request.
Status to_status(const net::Reply& reply, Status negative) {
  if (reply.kind == net::Reply::Kind::not_sent) return Status::rejected;
  if (!reply.answered()) return Status::indeterminate;
  switch (reply.response.status) {
    case 200:
      return Status::ok;
    case 404:
    case 409:
    case 410:
      return negative;
    case 400:
    case 429:
    case 503:
      return Status::rejected;
    default:
      return Status::indeterminate;
  }
}

/// `parse` reads the body of a 200. A malformed body makes the result indeterminate.
template <typename Parse>
RangeResult to_range_result(const net::Reply& reply, Status negative, Parse&& parse) {
  RangeResult result;
  result.status = to_status(reply, negative);
  if (result.status != Status::ok) return result;
  if (auto page = parse(reply.response.body)) {
    result.page = std::move(*page);
  } else {
    result.status = Status::indeterminate;
  }
  return result;
}

RangeResult to_watch_result(const net::Reply& reply) {
  return to_range_result(reply, Status::compacted, wire::parse_watch_response);
}

bool any_has_lease(const std::vector<wire::Mutation>& mutations) {
  return std::any_of(mutations.begin(), mutations.end(),
                     [](const wire::Mutation& mutation) { return mutation.lease != 0; });
}

int to_milliseconds(double seconds) {
  return static_cast<int>(seconds * 1000);
}

}  // namespace

Client::Client(net::Reactor& reactor, net::Transport& transport, const base::Settings& settings)
    : reactor_(reactor),
      transport_(transport),
      settings_(settings),
      request_bucket_(reactor, settings.state_rps),
      mutation_bucket_(reactor, settings.state_write_rps),
      configured_limits_{static_cast<std::size_t>(settings.value_kb * 1024),
                         static_cast<std::size_t>(settings.txn_ops)} {
  set_leading(false);
}

void Client::set_leading(bool leading) {
  constexpr double kLeaderShares = 2.0;
  const double request_share = (leading ? kLeaderShares : 1.0) / (settings_.nodes + 1);
  request_bucket_.set_rate(settings_.state_rps * request_share);
  // Submitting a job and cancelling it take one mutation each, on the controller that receives the
  // request; placing a job and recording its end take three, on the leader.
  const bool single_node = settings_.nodes <= 1;
  constexpr double kLeaderMutationShare = 0.5;
  const double follower_share =
      single_node ? 1.0 : (1 - kLeaderMutationShare) / (settings_.nodes - 1);
  const double mutation_share = leading && !single_node ? kLeaderMutationShare : follower_share;
  // The jobs of a pipeline are submitted to one controller almost at once. Without a burst their
  // users would wait although the store is nearly idle. The store accepts one second's worth of
  // mutations at once, of which the leader uses up to a half. If several followers burst together,
  // the store refuses some mutations, which are then delayed.
  constexpr double kBurstS = 1.0 / 3;
  mutation_bucket_.set_rate(settings_.state_write_rps * mutation_share,
                            settings_.state_write_rps * kBurstS);
  // Without an overdraft, users whose requests the leader handles would wait until a whole
  // transaction of the leader's records has its tokens.
  constexpr double kOverdraftS = 0.25;
  user_overdraft_ = leading ? settings_.state_write_rps * kOverdraftS : 0;
}

net::Task<bool> Client::wait_for_tokens(net::TokenBucket& bucket, double tokens, double overdraft,
                                        double deadline) {
  for (;;) {
    const double wait_s = bucket.take(tokens, overdraft);
    if (wait_s <= 0) co_return true;
    if (reactor_.now() + wait_s >= deadline) co_return false;
    net::Sleep pause(reactor_, wait_s);
    co_await pause;
  }
}

net::Task<net::Reply> Client::send(net::Request request, double timeout_s, Charge charge) {
  const double deadline = reactor_.now() + timeout_s;
  if (charge.urgent) {
    request_bucket_.force_take(1);
  } else {
    auto waiting_for_request =
        wait_for_tokens(request_bucket_, 1, charge.request_overdraft, deadline);
    bool allowed = co_await waiting_for_request;
    if (allowed && charge.mutations > 0) {
      auto waiting_for_mutations =
          wait_for_tokens(mutation_bucket_, charge.mutations, charge.mutation_overdraft, deadline);
      allowed = co_await waiting_for_mutations;
    }
    if (!allowed) co_return net::Reply{net::Reply::Kind::not_sent, {}};
  }
  auto calling =
      transport_.call(settings_.state_address, std::move(request), deadline - reactor_.now());
  auto reply = co_await calling;
  if (reply.status() == 429) {
    // The store's limit may be lower than the settings state; empty buckets prevent repeated
    // refusals.
    request_bucket_.drain();
    if (charge.mutations > 0) mutation_bucket_.drain();
  }
  co_return reply;
}

const Client::Limits& Client::current_limits() const {
  return reactor_.now() < lowered_until_ ? lowered_limits_ : configured_limits_;
}

// The store's limits can fall without notice. A write that exceeds them would be refused on every
// retry if it were not made smaller.
void Client::lower_limits(const std::vector<wire::Mutation>& refused) {
  constexpr std::size_t kMinBytes = 1024, kMinMutations = 2;
  // One refusal must not slow down all writes of this controller for good.
  constexpr double kForgottenAfterCancelTimes = 10;
  const Limits limits = current_limits();
  const bool was_within_limits =
      refused.size() <= limits.mutations &&
      std::all_of(refused.begin(), refused.end(), [&](const wire::Mutation& mutation) {
        return mutation.data.size() <= limits.value_bytes;
      });
  if (!was_within_limits) return;
  lowered_limits_ = {std::max(limits.value_bytes / 2, kMinBytes),
                     std::max(limits.mutations / 2, kMinMutations)};
  lowered_until_ = reactor_.now() + kForgottenAfterCancelTimes * settings_.cancel_s;
}

Client::Charge Client::urgent_charge() {
  Charge charge;
  charge.urgent = true;
  return charge;
}

Client::Charge Client::lease_charge() {
  Charge charge;
  charge.request_overdraft = 1;
  return charge;
}

Client::Charge Client::charge_of(std::size_t mutations, Priority priority) const {
  Charge charge;
  charge.mutations = static_cast<double>(mutations);
  if (priority == Priority::user) {
    // Submissions and cancellations must not wait behind read requests.
    constexpr double kRequestOverdraftS = 0.25;
    charge.mutation_overdraft = user_overdraft_;
    charge.request_overdraft = kRequestOverdraftS * request_bucket_.rate();
  }
  return charge;
}

net::Task<CompareAndSwapResult> Client::compare_and_swap(std::vector<wire::Compare> compares,
                                                         std::vector<wire::Mutation> mutations,
                                                         double timeout_s, Priority priority) {
  net::Request request{"POST", "/txn", "", wire::compare_and_swap_request(compares, mutations),
                       true};
  auto sending = send(std::move(request), timeout_s, charge_of(mutations.size(), priority));
  const auto reply = co_await sending;
  CompareAndSwapResult result;
  result.status = to_status(reply, Status::precondition_failed);
  // A 400 to a mutation with a lease may also mean that the lease has ended.
  if (reply.status() == 400 && !any_has_lease(mutations)) {
    result.too_large = true;
    lower_limits(mutations);
  }
  if (result.status == Status::ok || result.status == Status::precondition_failed) {
    const auto response = wire::parse_compare_and_swap_response(reply.response.body);
    if (!response) {
      result.status = Status::indeterminate;  // a malformed response proves nothing
    } else {
      result.revision = response->revision;
      result.failed_keys = response->failed_keys;
    }
  }
  co_return result;
}

net::Task<ReadResult> Client::read(std::string key, double timeout_s) {
  net::Request request{"GET", "/store/" + key, "", "", true};
  auto sending = send(std::move(request), timeout_s, {});
  const auto reply = co_await sending;
  ReadResult result;
  result.status = to_status(reply, Status::not_found);
  if (result.status == Status::ok) {
    auto value = wire::parse_stored_value(reply.response.body);
    if (!value || value->key != key) {
      result.status = Status::indeterminate;
    } else {
      result.value = std::move(*value);
    }
  } else if (result.status == Status::not_found && !wire::parse_revision(reply.response.body)) {
    result.status = Status::indeterminate;  // only a 404 of the store itself proves absence
  }
  co_return result;
}

net::Task<RangeResult> Client::read_page(std::string prefix, std::string after, int max_items,
                                         double timeout_s) {
  net::Request request{"GET", "/store", wire::range_query(prefix, after, max_items), "", true};
  auto sending = send(std::move(request), timeout_s, {});
  const auto reply = co_await sending;
  co_return to_range_result(reply, Status::not_found, wire::parse_range_response);
}

net::Task<RangeResult> Client::read_all(std::string prefix, double timeout_s) {
  RangeReader pages(*this, prefix, timeout_s);
  RangeResult result;
  for (bool first = true; !pages.done(); first = false) {
    auto reading = pages.next();
    auto read = co_await reading;
    result.status = read.status;
    if (result.status != Status::ok) co_return result;
    if (first) result.page.revision = read.page.revision;
    for (auto& item : read.page.items) result.page.items.push_back(std::move(item));
  }
  co_return result;
}

net::Task<RangeResult> Client::watch(std::string prefix, std::uint64_t since, double wait_s) {
  // The response may be late by half of the wait time plus one second.
  constexpr double kTimeoutPerWait = 1.5;
  constexpr double kMinSlackS = 1.0;
  net::Request request{"GET", "/follow", wire::watch_query(prefix, since, to_milliseconds(wait_s)),
                       "", true};
  auto sending = send(std::move(request), wait_s * kTimeoutPerWait + kMinSlackS, {});
  const auto reply = co_await sending;
  co_return to_watch_result(reply);
}

net::Task<RangeResult> Client::changes_since(std::string prefix, std::uint64_t since,
                                             double timeout_s) {
  net::Request request{"GET", "/follow", wire::watch_query(prefix, since, 0), "", true};
  auto sending = send(std::move(request), timeout_s, urgent_charge());
  const auto reply = co_await sending;
  co_return to_watch_result(reply);
}

net::Task<std::optional<std::uint64_t>> Client::grant_lease(double ttl_s, double timeout_s) {
  net::Request request{"POST", "/leases", "", wire::lease_request(to_milliseconds(ttl_s)), true};
  auto sending = send(std::move(request), timeout_s, lease_charge());
  const auto reply = co_await sending;
  if (reply.status() != 200) co_return std::nullopt;
  co_return wire::parse_lease_id(reply.response.body);
}

net::Task<Status> Client::renew_lease(std::uint64_t lease, double timeout_s) {
  net::Request request{"POST", "/leases/" + std::to_string(lease) + "/renew", "", "{}", true};
  auto sending = send(std::move(request), timeout_s, lease_charge());
  const auto reply = co_await sending;
  co_return to_status(reply, Status::not_found);
}

net::Task<void> Client::revoke_lease(std::uint64_t lease, double timeout_s) {
  net::Request request{"DELETE", "/leases/" + std::to_string(lease), "", "", true};
  auto sending = send(std::move(request), timeout_s, lease_charge());
  co_await sending;
}

}  // namespace cranklock::store
