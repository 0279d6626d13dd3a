#include "state_stand_in.hpp"

#include <algorithm>
#include <vector>

#include "control/job_api.hpp"

namespace cranklock::testing {

using net::Request;
using net::Response;
using wire::Json;
using wire::JsonDocument;
using wire::JsonWriter;

namespace {

constexpr std::size_t kMaxEvents = 10'000;

Response respond(int status, std::string body = "{}") {
  return control::make_response(status, std::move(body));
}

void write_row(JsonWriter& writer, const std::string& key, const StateStandIn::Stored& stored) {
  writer.begin_object().key("K").text(key).key("Data").raw(stored.data);
  writer.key("Mark").count(stored.revision).end_object();
}

}  // namespace

Response StateStandIn::handle(const Request& request) {
  ++requests;
  expire_leases();
  if (request.path.starts_with("/store/")) return read_value(request.path.substr(7));
  if (request.path == "/store") return read_range(request);
  if (request.path == "/follow") return read_changes(request);
  if (request.path == "/leases") return create_lease(request);
  if (request.path.starts_with("/leases/")) return renew_or_revoke_lease(request);
  if (request.path == "/txn") return execute_transaction(request);
  return respond(404);
}

Response StateStandIn::read_value(const std::string& key) const {
  JsonWriter writer;
  const auto found = values.find(key);
  if (found == values.end()) {
    writer.begin_object().key("LedgerTurn").count(revision).end_object();
    return respond(404, writer.take());
  }
  write_row(writer, found->first, found->second);
  return respond(200, writer.take());
}

Response StateStandIn::read_range(const Request& request) const {
  const std::string prefix = net::query_field(request.query, "Under");
  const std::string since = net::query_field(request.query, "Since");
  const std::string max_text = net::query_field(request.query, "Most");
  const std::size_t max_rows = max_text.empty() ? 1000 : std::stoul(max_text);
  auto next = since.empty() ? values.lower_bound(prefix) : values.upper_bound(since);
  JsonWriter writer;
  writer.begin_object().key("Rows").begin_array();
  for (std::size_t rows = 0; rows < max_rows && next != values.end(); ++rows, ++next) {
    if (!next->first.starts_with(prefix)) break;
    write_row(writer, next->first, next->second);
  }
  const bool has_next = next != values.end() && next->first.starts_with(prefix);
  writer.end_array().key("HasNext").flag(has_next).key("LedgerTurn").count(revision).end_object();
  return respond(200, writer.take());
}

std::deque<StateStandIn::Event>::const_iterator StateStandIn::first_event_after(
    std::uint64_t since) const {
  return std::upper_bound(
      events_.begin(), events_.end(), since,
      [](std::uint64_t value, const Event& event) { return value < event.revision; });
}

bool StateStandIn::has_changes(const Request& watch) const {
  const auto since = std::stoull(net::query_field(watch.query, "Since"));
  const std::string prefix = net::query_field(watch.query, "Under");
  return std::any_of(first_event_after(since), events_.end(),
                     [&](const Event& event) { return event.key.starts_with(prefix); });
}

Response StateStandIn::read_changes(const Request& watch) const {
  const auto since = std::stoull(net::query_field(watch.query, "Since"));
  const std::string prefix = net::query_field(watch.query, "Under");
  if (since < compacted_revision_) return respond(410);
  JsonWriter writer;
  writer.begin_object().key("LedgerTurn").count(revision).key("News").begin_array();
  for (auto event = first_event_after(since); event != events_.end(); ++event) {
    if (!event->key.starts_with(prefix)) continue;
    writer.begin_object().key(event->data.empty() ? "Remove" : "Write").text(event->key);
    if (!event->data.empty()) writer.key("Data").raw(event->data);
    writer.key("Mark").count(event->revision).end_object();
  }
  writer.end_array().end_object();
  return respond(200, writer.take());
}

// ---- leases ----

Response StateStandIn::create_lease(const Request& request) {
  const JsonDocument document(request.body);
  const double ttl_s = *wire::read_amount(document.root(), "LifeMs") / 1000;
  leases_[++next_lease_] = {ttl_s, reactor_.now() + ttl_s};
  JsonWriter writer;
  writer.begin_object().key("Hold").count(next_lease_).end_object();
  return respond(200, writer.take());
}

Response StateStandIn::renew_or_revoke_lease(const Request& request) {
  const auto lease = leases_.find(std::stoull(request.path.substr(8)));
  if (lease == leases_.end()) return respond(404);
  auto& [ttl_s, expires_at] = lease->second;
  expires_at = request.method == "DELETE" ? 0 : reactor_.now() + ttl_s;
  expire_leases();
  return respond(200);
}

void StateStandIn::extend_leases() {
  for (auto& [id, lease] : leases_) lease.second = reactor_.now() + lease.first;
}

void StateStandIn::expire_leases() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.second > reactor_.now()) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, stored] : values) {
      if (stored.lease == it->first) keys.push_back(key);
    }
    if (!keys.empty()) ++revision;
    for (const auto& key : keys) erase(key);
    it = leases_.erase(it);
  }
}

// ---- transactions ----

void StateStandIn::record_event(Event event) {
  events_.push_back(std::move(event));
  if (events_.size() <= kMaxEvents) return;
  compacted_revision_ = events_.front().revision;
  events_.pop_front();
}

void StateStandIn::put(const std::string& key, const std::string& data, std::uint64_t lease) {
  values[key] = {data, revision, lease};
  record_event({key, data, revision});
}

void StateStandIn::erase(const std::string& key) {
  if (values.erase(key) > 0) record_event({key, "", revision});
}

bool StateStandIn::exceeds_limits(const Json& changes) const {
  if (limits.txn_changes > 0 && changes.Size() > limits.txn_changes) return true;
  for (const auto& change : changes.GetArray()) {
    if (limits.value_bytes == 0 || change.HasMember("Remove")) continue;
    if (wire::to_text(change["Data"]).size() > limits.value_bytes) return true;
  }
  return false;
}

bool StateStandIn::take_write_tokens(double count) {
  if (!enforces_write_rate) return true;
  const double rate = limits.write_rps > 0 ? limits.write_rps : default_write_rps;
  const double now = reactor_.now();
  if (write_tokens_at_ == 0) write_tokens_ = rate;
  write_tokens_ = std::min(rate, write_tokens_ + (now - write_tokens_at_) * rate);
  write_tokens_at_ = now;
  if (write_tokens_ < count) return false;
  write_tokens_ -= count;
  return true;
}

void StateStandIn::apply_changes(const Json& changes) {
  ++revision;
  writes += changes.Size();
  for (const auto& change : changes.GetArray()) {
    if (change.HasMember("Remove")) {
      erase(change["Remove"].GetString());
    } else {
      put(change["Write"].GetString(), wire::to_text(change["Data"]),
          wire::read_count(change, "Hold").value_or(0));
    }
  }
}

Response StateStandIn::execute_transaction(const Request& request) {
  const JsonDocument document(request.body);
  const Json& changes = document.root()["Then"];
  if (exceeds_limits(changes)) {
    ++refused_as_too_large;
    return respond(400, R"({"error":"too large"})");
  }
  if (!take_write_tokens(changes.Size())) {
    ++refused_writes;
    return respond(429);
  }
  for (const auto& change : changes.GetArray()) {
    const auto lease = wire::read_count(change, "Hold").value_or(0);
    if (lease != 0 && !leases_.contains(lease)) return respond(400, R"({"error":"no such lease"})");
  }
  JsonWriter writer;
  writer.begin_object();
  bool failed = false;
  writer.key("failed").begin_array();
  for (const auto& condition : document.root()["If"].GetArray()) {
    const auto found = values.find(condition["K"].GetString());
    const std::uint64_t stored = found == values.end() ? 0 : found->second.revision;
    if (stored == condition["Mark"].GetUint64()) continue;
    writer.text(condition["K"].GetString());
    failed = true;
  }
  writer.end_array();
  if (!failed && changes.Size() > 0) apply_changes(changes);
  writer.key("LedgerTurn").count(revision).end_object();
  return respond(failed ? 409 : 200, writer.take());
}

}  // namespace cranklock::testing
