#include "control/node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <functional>

#include "control/record_keys.hpp"
#include "wire/json.hpp"

namespace cranklock::control {

using net::Request;
using net::Response;
using net::Sleep;
using net::Task;
using store::Status;

Node::Node(Services services)
    : services_(services),
      job_api_(services, [this] { return reaches_state(); }),
      forwarder_(services.reactor, services.settings),
      lost_(services.reactor),
      roster_(4 * peer_heartbeat_interval(services.settings)),
      direct_heartbeats_(2 * services.settings.heartbeat_interval_s),
      incarnation_(static_cast<std::uint64_t>(services.reactor.wall_ms())) {}

void Node::set_connection_load(std::function<double()> load) {
  connection_load_ = std::move(load);
  forwarder_.set_may_wait([this] { return !connections_overloaded(); });
}

Node::~Node() {
  duties_.clear();
}

bool Node::reaches_state() const {
  constexpr double kPatience = 2.5;  // asked every second
  return services_.reactor.now() - state_heard_ < kPatience;
}

bool Node::ready() const {
  if (!job_api_.knows_types()) return false;
  // When nobody reaches the state service, users are better told so at once by a node than turned
  // away by the balancer, which would take its time to come back.
  return reaches_state() ||
         (state_heard_ > 0 && !roster_.any_reaches_state(services_.reactor.now()));
}

peer::PeerHeartbeat Node::peer_heartbeat() const {
  const double now = services_.reactor.now();
  peer::PeerHeartbeat peer_heartbeat{
      services_.settings.name, leader_fencing_token(), reaches_state(),
      now - workers_heard_ < 2 * services_.settings.heartbeat_interval_s};
  peer_heartbeat.incarnation = incarnation_;
  peer_heartbeat.sent_clock_ms = static_cast<std::uint64_t>(now * 1000);
  forwarder_.describe(peer_heartbeat);
  return peer_heartbeat;
}

void Node::set_send(HeartbeatForwarder::Send send) {
  send_ = send;
  forwarder_.set_send(std::move(send));
}

void Node::heard(const std::string& from, peer::Frame frame) {
  if (const auto* peer_heartbeat = std::get_if<peer::PeerHeartbeat>(&frame))
    return on_peer_heartbeat(*peer_heartbeat);
  if (const auto* forwarded = std::get_if<peer::ForwardedHeartbeat>(&frame))
    return on_forwarded_heartbeat(from, *forwarded);
  forwarder_.on_response(std::get<peer::ForwardedResponse>(frame));
}

void Node::on_region_frame(const std::string& region, const regions::RegionFrame& frame) {
  if (leads()) term_->on_region_frame(region, frame);
}

void Node::on_forwarded_heartbeat(const std::string& from,
                                  const peer::ForwardedHeartbeat& forwarded) {
  peer::ForwardedResponse answer{forwarded.id, 503, 0, 0, ""};
  const auto heartbeat = wire::parse_heartbeat(forwarded.heartbeat);
  if (heartbeat && leads())
    answer = term_->handle_forwarded_heartbeat(*heartbeat, from, forwarded.id);
  if (send_) send_(from, answer);
}

bool Node::connections_overloaded() const {
  constexpr double kMaxLoad = 0.5;  // the rest is for users and newcomers
  return connection_load_ && connection_load_() > kMaxLoad;
}

// A heartbeat that comes straight here costs two packets and a connection; forwarded ones come and
// go together with others, at the expense of a node that has more to spare.
bool Node::heartbeats_overloaded() {
  constexpr double kMaxShare = 0.1;  // of this node's own, for reports of its own zone
  constexpr double kPackets = 2;     // a heartbeat and its answer
  const double cost =
      direct_heartbeats_.per_second(services_.reactor.now()) * kPackets * base::kPacketCost;
  return cost > kMaxShare * services_.settings.core_share || connections_overloaded();
}

// One after the other, and no more than a tenth of them in the time between two heartbeats: the
// rate tells only later what each has changed.
double Node::redirect_interval() {
  constexpr double kMin = 10, kMaxFraction = 0.1;
  const double heartbeat_interval_s = services_.settings.heartbeat_interval_s;
  const double direct =
      direct_heartbeats_.per_second(services_.reactor.now()) * heartbeat_interval_s;
  return heartbeat_interval_s / std::max(kMin, kMaxFraction * direct);
}

/// The zone's own controllers; any, where none stands in the zone.
std::vector<const base::Peer*> Node::possible_forwarders(const std::string& zone) const {
  const bool any = !services_.settings.has_node(zone);
  std::vector<const base::Peer*> found;
  for (const auto& other : services_.settings.others) {
    if (any || other.zone == zone) found.push_back(&other);
  }
  return found;
}

std::string Node::forwarder_for(const wire::Heartbeat& heartbeat) {
  if (!send_) return {};
  // Workers of other nodes' zones belong there; all others stay as long as there is room.
  const bool may_stay =
      heartbeat.zone == services_.settings.zone || !services_.settings.has_node(heartbeat.zone);
  const double now = services_.reactor.now();
  if (may_stay && (now < next_redirect_at_ || !heartbeats_overloaded())) return {};
  const auto candidates = possible_forwarders(heartbeat.zone);
  // Each worker begins at another of them, so that they share the work.
  const auto first = std::hash<std::string>{}(heartbeat.machine);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto& name = candidates[(first + i) % candidates.size()]->name;
    if (!term_->may_redirect(heartbeat.machine, name)) continue;
    if (may_stay) next_redirect_at_ = now + redirect_interval();
    return name;
  }
  return {};
}

void Node::on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
  const double now = services_.reactor.now();
  roster_.on_peer_heartbeat(peer_heartbeat, now);
  forwarder_.on_peer_heartbeat(peer_heartbeat);
  if (term_ != nullptr) term_->on_peer_heartbeat(peer_heartbeat);
  // A leader that lost only the state service learns here that it has a successor, long before it
  // would have to stop answering; until it does, its workers stay with it.
  if (term_ != nullptr && peer_heartbeat.fencing_token > leader_lease_->fencing_token()) {
    term_->step_down(LeadershipLoss::peer_has_higher_token);
  }
}

std::string Node::believed_leader() const {
  const auto said = roster_.leader(services_.reactor.now());
  if (said.fencing_token > 0 && said.fencing_token >= leader_fencing_token_) return said.name;
  return reaches_state() && leader_ != services_.settings.name ? leader_ : "";
}

bool Node::cut_off_from_workers() const {
  if (!term_->hears_no_agent() || services_.settings.others.empty()) return false;
  const double now = services_.reactor.now();
  // Nobody hears any: there are none, or they are cut off from all. But a node that hears neither
  // workers nor peers has itself lost the network.
  return roster_.any_hears_workers(now) ||
         (!roster_.any_alive(now) && !term_->cluster().machines().empty());
}

// For nodes that start while the cloud is down. True when there is nothing more to do.
Task<bool> Node::store_types(std::string text) {
  if (text.size() > services_.store.max_value_bytes()) co_return true;  // done without
  std::vector<wire::Compare> compares{{kTypesKey, 0}};
  std::vector<wire::Mutation> mutations{{kTypesKey, std::move(text), 0}};
  auto writing =
      services_.store.compare_and_swap(std::move(compares), std::move(mutations), kStoreTimeout);
  const auto written = co_await writing;
  co_return written.status == Status::ok || written.status == Status::precondition_failed;
}

Task<void> Node::learn_types() {
  bool stored = false;
  for (;;) {
    auto asking = services_.cloud.types();
    auto types = co_await asking;
    if (!types || types->empty()) {
      // The cloud may be down just when this node starts; another may have kept what it said.
      auto reading = services_.store.read(kTypesKey, kStoreTimeout);
      const auto kept = co_await reading;
      if (kept.status == Status::ok) types = wire::parse_machine_types(kept.value.data);
    } else if (!stored) {
      wire::JsonWriter w;
      wire::write_machine_types(w, *types);
      auto storing = store_types(w.take());
      stored = co_await storing;
    }
    if (types && !types->empty()) job_api_.set_types(std::move(*types));
    Sleep pause(services_.reactor, job_api_.knows_types() && stored
                                       ? 60.0
                                       : services_.settings.heartbeat_interval_s / 3);
    co_await pause;
  }
}

void Node::note_leader(const store::ReadResult& found) {
  leader_.clear();
  if (found.status != Status::ok) return;
  leader_fencing_token_ = std::max(leader_fencing_token_, found.value.revision);
  if (const auto leader = read_leader(found.value.data)) leader_ = leader->name;
}

Task<void> Node::probe_state_service() {
  constexpr double kEvery = 1.0, kWhileMissed = 0.25;
  for (;;) {
    auto reading = services_.store.read(kLeaderKey, 1.0);
    const auto found = co_await reading;
    if (found.status == Status::ok || found.status == Status::not_found) {
      state_heard_ = services_.reactor.now();
      note_leader(found);
    }
    Sleep pause(services_.reactor, reaches_state() ? kEvery : kWhileMissed);
    co_await pause;
  }
}

Task<Node::LeadershipGrant> Node::acquire_leadership() {
  LeadershipGrant grant;
  const double life = LeaderLease::lease_life(services_.settings);
  grant.sent = services_.reactor.now();
  auto granting = services_.store.grant_lease(life, life / 3);
  const auto lease = co_await granting;
  if (!lease) co_return grant;
  grant.lease = *lease;
  const LeaderRecord record{services_.settings.name, std::to_string(services_.reactor.wall_ms()) +
                                                         "-" + std::to_string(++nonce_) + "-" +
                                                         std::to_string(*lease)};
  const std::string text = write_leader(record);
  for (int tries = 0; tries < 3; ++tries) {
    std::vector<wire::Compare> compares{{kLeaderKey, 0}};
    std::vector<wire::Mutation> mutations{{kLeaderKey, text, *lease}};
    auto writing =
        services_.store.compare_and_swap(std::move(compares), std::move(mutations), life / 3);
    const auto written = co_await writing;
    if (written.status == Status::ok) {
      grant.ok = true;
      grant.fencing_token = written.revision;
      co_return grant;
    }
    // Unanswered, it may be applied later: what is stored decides, and asking again under the same
    // condition lets only one of the two through.
    auto reading = services_.store.read(kLeaderKey, life / 3);
    const auto found = co_await reading;
    if (found.status == Status::ok) {
      const auto holder = read_leader(found.value.data);
      if (holder && holder->nonce == record.nonce) {
        grant.ok = true;
        grant.fencing_token = found.value.revision;
      }
      break;
    }
    if (written.status == Status::rejected) break;
  }
  if (!grant.ok) {
    auto dropping = services_.store.revoke_lease(*lease, life / 3);
    co_await dropping;
  }
  co_return grant;
}

Task<void> Node::run() {
  const double life = LeaderLease::lease_life(services_.settings);
  for (;;) {
    auto reading = services_.store.read(kLeaderKey, kStoreTimeout);
    const auto found = co_await reading;
    if (found.status == Status::ok) {
      note_leader(found);
      state_heard_ = services_.reactor.now();
      // A former run of this node may still be named; its lease then ends by itself.
      auto watching = services_.store.watch(kLeaderKey, found.value.revision, 2 * life);
      const auto change = co_await watching;
      if (change.status != Status::ok) {
        Sleep pause(services_.reactor, life / 8);
        co_await pause;
      }
      continue;
    }
    const bool free = found.status == Status::not_found;
    if (free) note_leader(found);
    if (!free || services_.reactor.now() < abstain_until_) {
      Sleep pause(services_.reactor, life / 8);
      co_await pause;
      continue;
    }
    auto taking = acquire_leadership();
    const auto grant = co_await taking;
    if (!grant.ok) {
      Sleep pause(services_.reactor, life / 8);
      co_await pause;
      continue;
    }
    auto serving = serve_term(grant);
    co_await serving;
  }
}

Task<void> Node::serve_term(LeadershipGrant grant) {
  const double life = LeaderLease::lease_life(services_.settings);
  spdlog::info("leadership acquired, token {}", grant.fencing_token);
  leader_ = services_.settings.name;
  services_.store.set_leading(true);
  leader_lease_ =
      std::make_unique<LeaderLease>(services_.settings, grant.fencing_token, grant.sent);
  term_ = std::make_unique<LeaderTerm>(services_, *leader_lease_, lost_, region_network_);
  auto loading = term_->load();
  bool keeps = co_await loading;
  if (keeps) {
    serving_ = true;
    term_->start(duties_);
    spdlog::info("serving with token {}: {} jobs", grant.fencing_token,
                 term_->cluster().jobs().size());
  }
  // Leaves the leadership to a node that may have it.
  if (term_->is_ineligible())
    abstain_until_ = services_.reactor.now() + 2 * services_.settings.lease_s;
  while (keeps && !term_->is_lost()) {
    const double sent = services_.reactor.now();
    auto renewing = services_.store.renew_lease(grant.lease, life / 3);
    const auto renewed = co_await renewing;
    if (renewed != Status::not_found) leader_lease_->asked(sent);
    if (renewed == Status::ok) {
      leader_lease_->confirm(sent);
    } else if (renewed == Status::not_found) {
      log_leadership_lost(grant.fencing_token, LeadershipLoss::lease_ended);
      break;
    }
    if (cut_off_from_workers()) {
      // Another node may hear the workers where this one can't.
      spdlog::info("leadership given up, token {}: no worker is heard", grant.fencing_token);
      abstain_until_ = services_.reactor.now() + 2 * services_.settings.lease_s;
      break;
    }
    const bool unconfirmed = renewed != Status::ok;
    net::Signal::Wait wait(lost_, unconfirmed ? life / 10 : life / 4);
    co_await wait;
  }
  serving_ = false;
  leader_.clear();
  duties_.clear();
  term_.reset();
  leader_lease_.reset();
  services_.store.set_leading(false);
  auto dropping = services_.store.revoke_lease(grant.lease, life / 3);
  co_await dropping;
}

Task<Response> Node::handle_heartbeat_request(Request request) {
  auto heartbeat = wire::parse_heartbeat(request.body);
  if (!heartbeat) {
    spdlog::error("a malformed report was refused");
    co_return make_response(400, wire::error_response("malformed report"));
  }
  workers_heard_ = services_.reactor.now();
  if (leads()) {
    direct_heartbeats_.note(workers_heard_);
    const auto forwarder = forwarder_for(*heartbeat);
    if (!forwarder.empty()) {
      spdlog::debug("worker {} is handed over to {}", heartbeat->machine, forwarder);
      co_return make_response(421, wire::redirect_response(forwarder));
    }
    co_return term_->handle_heartbeat(*heartbeat);
  }
  if (term_ != nullptr) co_return retry_later("taking over");
  heartbeat->tasks.clear();  // of no use here: the leader reads them from the text
  if (forwarder_.may_forward(*heartbeat)) {
    auto forwarding =
        forwarder_.forward(*heartbeat, std::move(request.body), [this] { return state_heard_; });
    auto response = co_await forwarding;
    if (response.status == 200) {
      forwarder_.note_forwarded(*heartbeat);
      co_return response;
    }
  }
  const auto leader = believed_leader();
  if (!leader.empty()) forwarder_.note_sent_away(*heartbeat);
  spdlog::debug("worker {} is sent to {}", heartbeat->machine, leader.empty() ? "nobody" : leader);
  co_return make_response(421, wire::redirect_response(leader));
}

Task<Response> Node::handle(Request request) {
  constexpr std::string_view kJobs = "/v1/jobs";
  const auto& path = request.path;
  const auto only = [&](const char* method) {
    Response r = make_response(405, wire::error_response("method not allowed"));
    r.allow = method;
    return r;
  };
  if (path == "/checkin") {
    if (request.method != "POST") co_return only("POST");
    auto work = handle_heartbeat_request(std::move(request));
    auto response = co_await work;
    co_return response;
  }
  if (path == "/ready") {
    if (request.method != "GET") co_return only("GET");
    if (!ready()) co_return retry_later("not ready");
    co_return make_response(200, "{}");
  }
  if (path.starts_with(kJobs) && (path.size() == kJobs.size() || path[kJobs.size()] == '/')) {
    auto work = job_api_.handle(std::move(request));
    auto response = co_await work;
    co_return response;
  }
  co_return make_response(404, wire::error_response("no such path"));
}

}  // namespace cranklock::control
