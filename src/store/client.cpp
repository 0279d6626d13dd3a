#include "store/client.hpp"

#include <algorithm>
#include <utility>

namespace cranklock::store {
namespace {

/// `negative` is what a 404, 409 or 410 means for this request.
Status status_of_reply(const net::Reply& reply, Status negative) {
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

/// `parse` reads the body of a 200; one that is malformed tells nothing.
template <typename Parse>
RangeResult range_result(const net::Reply& reply, Status negative, Parse&& parse) {
  RangeResult result;
  result.status = status_of_reply(reply, negative);
  if (result.status != Status::ok) return result;
  if (auto page = parse(reply.response.body)) {
    result.page = std::move(*page);
  } else {
    result.status = Status::indeterminate;
  }
  return result;
}

RangeResult watch_result(const net::Reply& reply) {
  return range_result(reply, Status::compacted, wire::parse_watch_response);
}

bool any_with_lease(const std::vector<wire::Mutation>& mutations) {
  return std::any_of(mutations.begin(), mutations.end(),
                     [](const wire::Mutation& mutation) { return mutation.lease != 0; });
}

int milliseconds(double seconds) {
  return static_cast<int>(seconds * 1000);
}

}  // namespace

Client::Client(net::Reactor& reactor, net::Transport& transport, const base::Settings& settings)
    : reactor_(reactor),
      transport_(transport),
      settings_(settings),
      requests_(reactor, settings.state_rps),
      mutations_(reactor, settings.state_write_rps),
      max_value_bytes_(static_cast<std::size_t>(settings.value_kb * 1024)),
      max_mutations_(static_cast<std::size_t>(settings.txn_ops)) {
  set_leading(false);
}

void Client::set_leading(bool leading) {
  constexpr double kLeaderShares = 2.0;
  const double share = (leading ? kLeaderShares : 1.0) / (settings_.nodes + 1);
  requests_.set_rate(settings_.state_rps * share);
  // A job is accepted, and perhaps cancelled, by one change each wherever its users ask; placing
  // and ending it costs the leader three.
  const bool alone = settings_.nodes <= 1;
  constexpr double kLeaderPart = 0.5;  // of the mutations
  const double follower_part = alone ? 1.0 : (1 - kLeaderPart) / (settings_.nodes - 1);
  const double part = leading && !alone ? kLeaderPart : follower_part;
  // Guards against users who wait while nearly nothing is written: the jobs of a pipeline come to
  // one node within moments. Of the second's worth that the store takes at once the leader uses
  // up to a half; should several others want theirs together, it refuses some, which then wait.
  constexpr double kBurst = 1.0 / 3;
  mutations_.set_rate(settings_.state_write_rps * part, settings_.state_write_rps * kBurst);
  // Guards against users of the leader who wait until a whole transaction of records has got its
  // share.
  constexpr double kOverdraft = 0.25;
  user_overdraft_ = leading ? settings_.state_write_rps * kOverdraft : 0;
}

net::Task<bool> Client::wait_for_tokens(net::TokenBucket& bucket, double tokens, double overdraft,
                                        double deadline) {
  for (;;) {
    const double wait = bucket.take(tokens, overdraft);
    if (wait <= 0) co_return true;
    if (reactor_.now() + wait >= deadline) co_return false;
    net::Sleep pause(reactor_, wait);
    co_await pause;
  }
}

net::Task<net::Reply> Client::send(net::Request request, double timeout_s, Charge charge) {
  const double deadline = reactor_.now() + timeout_s;
  if (charge.urgent) {
    requests_.force_take(1);
  } else {
    auto waiting = wait_for_tokens(requests_, 1, charge.request_overdraft, deadline);
    bool allowed = co_await waiting;
    if (allowed && charge.mutations > 0) {
      auto waiting_more =
          wait_for_tokens(mutations_, charge.mutations, charge.mutation_overdraft, deadline);
      allowed = co_await waiting_more;
    }
    if (!allowed) co_return net::Reply{net::Reply::Kind::not_sent, {}};
  }
  auto calling = transport_.call(settings_.state, std::move(request), deadline - reactor_.now());
  auto reply = co_await calling;
  if (reply.status() == 429) {
    // Guards against a limit that is lower than this node knows being met again and again.
    requests_.drain();
    if (charge.mutations > 0) mutations_.drain();
  }
  co_return reply;
}

// Guards against a write that is too large for limits that fell without notice: repeated as it is,
// it would be refused for ever.
void Client::lower_limits() {
  constexpr std::size_t kMinBytes = 1024, kMinMutations = 2;
  max_value_bytes_ = std::max(max_value_bytes_ / 2, kMinBytes);
  max_mutations_ = std::max(max_mutations_ / 2, kMinMutations);
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
    // Guards against a submission or cancellation that waits behind read requests.
    constexpr double kRequestOverdraft = 0.25;  // of a second's worth
    charge.mutation_overdraft = user_overdraft_;
    charge.request_overdraft = kRequestOverdraft * requests_.rate();
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
  result.status = status_of_reply(reply, Status::precondition_failed);
  // With a lease it may as well be the lease that has ended.
  if (reply.status() == 400 && !any_with_lease(mutations)) lower_limits();
  if (result.status == Status::ok || result.status == Status::precondition_failed) {
    const auto answer = wire::parse_compare_and_swap_response(reply.response.body);
    if (!answer) {
      result.status = Status::indeterminate;  // a malformed answer tells nothing
    } else {
      result.revision = answer->revision;
      result.failed_keys = answer->failed_keys;
    }
  }
  co_return result;
}

net::Task<ReadResult> Client::read(std::string key, double timeout_s) {
  net::Request request{"GET", "/store/" + key, "", "", true};
  auto sending = send(std::move(request), timeout_s, {});
  const auto reply = co_await sending;
  ReadResult result;
  result.status = status_of_reply(reply, Status::not_found);
  if (result.status == Status::ok) {
    auto value = wire::parse_stored_value(reply.response.body);
    if (!value || value->key != key) {
      result.status = Status::indeterminate;
    } else {
      result.value = std::move(*value);
    }
  } else if (result.status == Status::not_found && !wire::parse_revision(reply.response.body)) {
    result.status = Status::indeterminate;  // only the store's own 404 says that a key is absent
  }
  co_return result;
}

net::Task<RangeResult> Client::read_page(std::string prefix, std::string after, int max_items,
                                         double timeout_s) {
  net::Request request{"GET", "/store", wire::range_query(prefix, after, max_items), "", true};
  auto sending = send(std::move(request), timeout_s, {});
  const auto reply = co_await sending;
  co_return range_result(reply, Status::not_found, wire::parse_range_response);
}

net::Task<RangeResult> Client::read_all(std::string prefix, double timeout_s) {
  constexpr int kPageItems = 200;
  RangeResult result;
  std::string after;
  for (;;) {
    auto reading = read_page(prefix, after, kPageItems, timeout_s);
    auto read = co_await reading;
    result.status = read.status;
    if (result.status != Status::ok) co_return result;
    if (after.empty()) result.page.revision = read.page.revision;
    for (auto& item : read.page.items) result.page.items.push_back(std::move(item));
    if (!read.page.more || read.page.items.empty()) co_return result;
    after = result.page.items.back().key;
  }
}

net::Task<RangeResult> Client::watch(std::string prefix, std::uint64_t since, double wait_s) {
  // The answer may come late by half of the wait, and by a second on a short one.
  constexpr double kTimeoutInWaits = 1.5;
  constexpr double kMinSlackS = 1.0;
  net::Request request{"GET", "/follow", wire::watch_query(prefix, since, milliseconds(wait_s)), "",
                       true};
  auto sending = send(std::move(request), wait_s * kTimeoutInWaits + kMinSlackS, {});
  const auto reply = co_await sending;
  co_return watch_result(reply);
}

net::Task<RangeResult> Client::changes_since(std::string prefix, std::uint64_t since,
                                             double timeout_s) {
  net::Request request{"GET", "/follow", wire::watch_query(prefix, since, 0), "", true};
  auto sending = send(std::move(request), timeout_s, urgent_charge());
  const auto reply = co_await sending;
  co_return watch_result(reply);
}

net::Task<std::optional<std::uint64_t>> Client::grant_lease(double life_s, double timeout_s) {
  net::Request request{"POST", "/leases", "", wire::lease_request(milliseconds(life_s)), true};
  auto sending = send(std::move(request), timeout_s, lease_charge());
  const auto reply = co_await sending;
  if (reply.status() != 200) co_return std::nullopt;
  co_return wire::parse_lease_id(reply.response.body);
}

net::Task<Status> Client::renew_lease(std::uint64_t lease, double timeout_s) {
  net::Request request{"POST", "/leases/" + std::to_string(lease) + "/renew", "", "{}", true};
  auto sending = send(std::move(request), timeout_s, lease_charge());
  const auto reply = co_await sending;
  co_return status_of_reply(reply, Status::not_found);
}

net::Task<void> Client::revoke_lease(std::uint64_t lease, double timeout_s) {
  net::Request request{"DELETE", "/leases/" + std::to_string(lease), "", "", true};
  auto sending = send(std::move(request), timeout_s, lease_charge());
  co_await sending;
}

}  // namespace cranklock::store
