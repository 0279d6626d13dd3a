#include "store/client.hpp"

#include <algorithm>

namespace cranklock::store {

Client::Client(net::Reactor& reactor, net::Transport& transport, const base::Settings& settings)
    : reactor_(reactor),
      transport_(transport),
      settings_(settings),
      requests_(reactor, settings.state_rps),
      writes_(reactor, settings.state_write_rps),
      max_value_bytes_(static_cast<std::size_t>(settings.value_kb * 1024)),
      max_mutations_(static_cast<std::size_t>(settings.txn_ops)) {
  set_leading(false);
}

void Client::set_leading(bool leading) {
  const double share = (leading ? 2.0 : 1.0) / (settings_.nodes + 1);
  requests_.set_rate(settings_.state_rps * share);
  // A job is accepted, and perhaps cancelled, by one change each wherever its users ask; placing
  // and ending it costs the leader three.
  const bool alone = settings_.nodes <= 1;
  const double others = alone ? 1.0 : 0.5 / (settings_.nodes - 1);
  const double rate = settings_.state_write_rps * (leading && !alone ? 0.5 : others);
  // Guards against users who wait while nearly nothing is written: the jobs of a pipeline come to
  // one node within moments. Of the second's worth that the service takes at once the leader uses
  // up to a half; should several others want theirs together, it refuses some, which then wait.
  constexpr double kBurst = 1.0 / 3;
  writes_.set_rate(rate, settings_.state_write_rps * kBurst);
  // Guards against users of the leader who wait until a whole transaction of records has got its
  // share.
  constexpr double kOverdraft = 0.25;
  user_overdraft_ = leading ? settings_.state_write_rps * kOverdraft : 0;
}

net::Task<net::Reply> Client::send(net::Request request, double timeout_s, Charge charge) {
  const double until = reactor_.now() + timeout_s;
  if (charge.urgent) {
    requests_.force_take(1);
  } else {
    for (double wait = 0; (wait = requests_.take(1, charge.request_overdraft)) > 0;) {
      if (reactor_.now() + wait >= until) co_return net::Reply{net::Reply::Kind::not_sent, {}};
      net::Sleep pause(reactor_, wait);
      co_await pause;
    }
    for (double wait = 0;
         charge.writes > 0 && (wait = writes_.take(charge.writes, charge.overdraft)) > 0;) {
      if (reactor_.now() + wait >= until) co_return net::Reply{net::Reply::Kind::not_sent, {}};
      net::Sleep pause(reactor_, wait);
      co_await pause;
    }
  }
  auto calling = transport_.call(settings_.state, std::move(request), until - reactor_.now());
  auto reply = co_await calling;
  if (reply.status() == 429) {
    // Guards against a limit that is lower than this node knows being met again and again.
    requests_.drain();
    if (charge.writes > 0) writes_.drain();
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
}  // namespace

namespace {
constexpr double kUserRequestOverdraft = 0.25;  ///< of a second's worth
}

net::Task<CompareAndSwapResult> Client::compare_and_swap(std::vector<wire::Compare> compares,
                                                         std::vector<wire::Mutation> mutations,
                                                         double timeout_s, Priority priority) {
  net::Request request{"POST", "/txn", "", wire::compare_and_swap_request(compares, mutations),
                       true};
  Charge charge;
  charge.writes = static_cast<double>(mutations.size());
  if (priority == Priority::user) {
    charge.overdraft = user_overdraft_;
    // Guards against a submission or cancellation that waits behind questions.
    charge.request_overdraft = kUserRequestOverdraft * requests_.rate();
  }
  auto sending = send(std::move(request), timeout_s, charge);
  const auto reply = co_await sending;
  CompareAndSwapResult result;
  result.status = status_of_reply(reply, Status::precondition_failed);
  const bool leased = std::any_of(mutations.begin(), mutations.end(),
                                  [](const wire::Mutation& change) { return change.lease != 0; });
  // With a lease it may as well be the lease that has ended.
  if (reply.status() == 400 && !leased) lower_limits();
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
    result.status = Status::indeterminate;  // only the service's own 404 says that a key is absent
  }
  co_return result;
}

net::Task<RangeResult> Client::read_page(std::string prefix, std::string after, int max_items,
                                         double timeout_s) {
  net::Request request{"GET", "/store", wire::range_query(prefix, after, max_items), "", true};
  auto sending = send(std::move(request), timeout_s, {});
  const auto reply = co_await sending;
  RangeResult result;
  result.status = status_of_reply(reply, Status::not_found);
  if (result.status != Status::ok) co_return result;
  auto page = wire::parse_range_response(reply.response.body);
  if (page) {
    result.page = std::move(*page);
  } else {
    result.status = Status::indeterminate;
  }
  co_return result;
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

RangeResult Client::changes_in(const net::Reply& reply) {
  RangeResult result;
  result.status = status_of_reply(reply, Status::compacted);
  if (result.status != Status::ok) return result;
  auto page = wire::parse_watch_response(reply.response.body);
  if (page) {
    result.page = std::move(*page);
  } else {
    result.status = Status::indeterminate;
  }
  return result;
}

net::Task<RangeResult> Client::watch(std::string prefix, std::uint64_t since, double wait_s) {
  net::Request request{"GET", "/follow",
                       wire::watch_query(prefix, since, static_cast<int>(wait_s * 1000)), "", true};
  auto sending = send(std::move(request), wait_s * 1.5 + 1.0, {});
  const auto reply = co_await sending;
  co_return changes_in(reply);
}

net::Task<RangeResult> Client::changes_since(std::string prefix, std::uint64_t since,
                                             double timeout_s) {
  net::Request request{"GET", "/follow", wire::watch_query(prefix, since, 0), "", true};
  Charge charge;
  charge.urgent = true;
  auto sending = send(std::move(request), timeout_s, charge);
  const auto reply = co_await sending;
  co_return changes_in(reply);
}

net::Task<std::optional<std::uint64_t>> Client::grant_lease(double life_s, double timeout_s) {
  net::Request request{"POST", "/leases", "", wire::lease_request(static_cast<int>(life_s * 1000)),
                       true};
  auto sending = send(std::move(request), timeout_s, {0, 0, true});
  const auto reply = co_await sending;
  if (reply.status() != 200) co_return std::nullopt;
  co_return wire::parse_lease_id(reply.response.body);
}

net::Task<Status> Client::renew_lease(std::uint64_t lease, double timeout_s) {
  net::Request request{"POST", "/leases/" + std::to_string(lease) + "/renew", "", "{}", true};
  auto sending = send(std::move(request), timeout_s, {0, 0, true});
  const auto reply = co_await sending;
  co_return status_of_reply(reply, Status::not_found);
}

net::Task<void> Client::revoke_lease(std::uint64_t lease, double timeout_s) {
  net::Request request{"DELETE", "/leases/" + std::to_string(lease), "", "", true};
  auto sending = send(std::move(request), timeout_s, {0, 0, true});
  co_await sending;
}

}  // namespace cranklock::store
