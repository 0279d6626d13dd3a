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

Response answer(int status, std::string body = "{}") {
  return control::make_response(status, std::move(body));
}

void write_row(JsonWriter& w, const std::string& key, const StateStandIn::Stored& stored) {
  w.begin_object().key("K").text(key).key("Data").raw(stored.data);
  w.key("Mark").count(stored.revision).end_object();
}

}  // namespace

Response StateStandIn::handle(const Request& request) {
  ++requests;
  expire();
  if (request.path.starts_with("/store/")) return read(request.path.substr(7));
  if (request.path == "/store") return range(request);
  if (request.path == "/follow") return changes(request);
  if (request.path == "/leases") return grant_lease(request);
  if (request.path.starts_with("/leases/")) return use_lease(request);
  return transact(request);
}

Response StateStandIn::read(const std::string& key) const {
  JsonWriter w;
  const auto found = values.find(key);
  if (found == values.end()) {
    w.begin_object().key("LedgerTurn").count(revision).end_object();
    return answer(404, w.take());
  }
  write_row(w, found->first, found->second);
  return answer(200, w.take());
}

Response StateStandIn::range(const Request& request) const {
  const std::string prefix = net::query_field(request.query, "Under");
  const std::string since = net::query_field(request.query, "Since");
  const std::string max_text = net::query_field(request.query, "Most");
  const std::size_t most = max_text.empty() ? 1000 : std::stoul(max_text);
  auto next = since.empty() ? values.lower_bound(prefix) : values.upper_bound(since);
  JsonWriter w;
  w.begin_object().key("Rows").begin_array();
  for (std::size_t rows = 0; rows < most && next != values.end(); ++rows, ++next) {
    if (!next->first.starts_with(prefix)) break;
    write_row(w, next->first, next->second);
  }
  const bool more = next != values.end() && next->first.starts_with(prefix);
  w.end_array().key("HasNext").flag(more).key("LedgerTurn").count(revision).end_object();
  return answer(200, w.take());
}

std::deque<StateStandIn::Event>::const_iterator StateStandIn::first_after(
    std::uint64_t since) const {
  return std::upper_bound(
      events_.begin(), events_.end(), since,
      [](std::uint64_t value, const Event& event) { return value < event.revision; });
}

bool StateStandIn::has_changes(const Request& watch) const {
  const auto since = std::stoull(net::query_field(watch.query, "Since"));
  const std::string prefix = net::query_field(watch.query, "Under");
  return std::any_of(first_after(since), events_.end(),
                     [&](const Event& event) { return event.key.starts_with(prefix); });
}

Response StateStandIn::changes(const Request& watch) const {
  const auto since = std::stoull(net::query_field(watch.query, "Since"));
  const std::string prefix = net::query_field(watch.query, "Under");
  if (since < forgotten_) return answer(410);
  JsonWriter w;
  w.begin_object().key("LedgerTurn").count(revision).key("News").begin_array();
  for (auto event = first_after(since); event != events_.end(); ++event) {
    if (!event->key.starts_with(prefix)) continue;
    w.begin_object().key(event->data.empty() ? "Remove" : "Write").text(event->key);
    if (!event->data.empty()) w.key("Data").raw(event->data);
    w.key("Mark").count(event->revision).end_object();
  }
  w.end_array().end_object();
  return answer(200, w.take());
}

// ---- leases ----

Response StateStandIn::grant_lease(const Request& request) {
  const JsonDocument document(request.body);
  const double life = *wire::read_amount(document.root(), "LifeMs") / 1000;
  leases_[++next_lease_] = {life, reactor_.now() + life};
  JsonWriter w;
  w.begin_object().key("Hold").count(next_lease_).end_object();
  return answer(200, w.take());
}

Response StateStandIn::use_lease(const Request& request) {
  const auto lease = leases_.find(std::stoull(request.path.substr(8)));
  if (lease == leases_.end()) return answer(404);
  auto& [life, end] = lease->second;
  end = request.method == "DELETE" ? 0 : reactor_.now() + life;
  expire();
  return answer(200);
}

void StateStandIn::extend_leases() {
  for (auto& [id, life] : leases_) life.second = reactor_.now() + life.first;
}

void StateStandIn::expire() {
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

void StateStandIn::note(Event event) {
  events_.push_back(std::move(event));
  if (events_.size() <= kMaxEvents) return;
  forgotten_ = events_.front().revision;
  events_.pop_front();
}

void StateStandIn::put(const std::string& key, const std::string& data, std::uint64_t lease) {
  values[key] = {data, revision, lease};
  note({key, data, revision});
}

void StateStandIn::erase(const std::string& key) {
  if (values.erase(key) > 0) note({key, "", revision});
}

bool StateStandIn::too_large(const Json& changes) const {
  if (limits.txn_changes > 0 && changes.Size() > limits.txn_changes) return true;
  for (const auto& change : changes.GetArray()) {
    if (limits.value_bytes == 0 || change.HasMember("Remove")) continue;
    if (wire::to_text(change["Data"]).size() > limits.value_bytes) return true;
  }
  return false;
}

bool StateStandIn::take_writes(double count) {
  if (!limits_writes) return true;
  const double rate = limits.write_rps > 0 ? limits.write_rps : usual_write_rps;
  const double now = reactor_.now();
  if (write_level_at_ == 0) write_level_ = rate;
  write_level_ = std::min(rate, write_level_ + (now - write_level_at_) * rate);
  write_level_at_ = now;
  if (write_level_ < count) return false;
  write_level_ -= count;
  return true;
}

void StateStandIn::carry_out(const Json& changes) {
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

Response StateStandIn::transact(const Request& request) {
  const JsonDocument document(request.body);
  const Json& changes = document.root()["Then"];
  if (too_large(changes)) {
    ++refused_as_too_large;
    return answer(400, R"({"error":"too large"})");
  }
  if (!take_writes(changes.Size())) {
    ++refused_writes;
    return answer(429);
  }
  for (const auto& change : changes.GetArray()) {
    const auto lease = wire::read_count(change, "Hold").value_or(0);
    if (lease != 0 && !leases_.contains(lease)) return answer(400, R"({"error":"no such lease"})");
  }
  JsonWriter w;
  w.begin_object();
  bool failed = false;
  w.key("failed").begin_array();
  for (const auto& condition : document.root()["If"].GetArray()) {
    const auto found = values.find(condition["K"].GetString());
    const std::uint64_t stored = found == values.end() ? 0 : found->second.revision;
    if (stored == condition["Mark"].GetUint64()) continue;
    w.text(condition["K"].GetString());
    failed = true;
  }
  w.end_array();
  if (!failed && changes.Size() > 0) carry_out(changes);
  w.key("LedgerTurn").count(revision).end_object();
  return answer(failed ? 409 : 200, w.take());
}

}  // namespace cranklock::testing
