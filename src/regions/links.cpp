#include "regions/links.hpp"

#include "base/event_log.hpp"

namespace cranklock::regions {

using net::Fd;
using net::Task;

namespace {

/// Heartbeat intervals without data after which a connection is closed, and after which the last
/// heartbeat no longer counts as proof of leadership.
constexpr double kHeartbeatsUntilTimeout = 3;
/// Number of times per heartbeat interval that a missing connection is checked and, if this
/// controller leads, opened.
constexpr double kConnectChecksPerHeartbeat = 4;
/// Maximum frames queued for one link; further frames are dropped, and sent again by their owner.
constexpr std::size_t kMaxQueuedFrames = 1024;

}  // namespace

Links::Links(net::EvReactor& reactor, const base::Settings& settings,
             std::function<std::uint64_t()> fencing_token, FrameHandler on_frame)
    : reactor_(reactor),
      settings_(settings),
      fencing_token_(std::move(fencing_token)),
      on_frame_(std::move(on_frame)) {
  const auto& regions = settings.operator_settings.regions;
  for (const auto& region : regions.regions) {
    if (region.name == regions.self) continue;
    for (const auto& controller : region.controllers) {
      links_.push_back(std::make_unique<Link>(reactor, region.name, controller));
    }
  }
}

bool Links::listen() {
  listener_ = net::listen_on(settings_.operator_settings.regions.listen_address(settings_.name));
  return listener_.valid();
}

void Links::start(net::Scope& scope) {
  scope.spawn(accept_connections());
  for (auto& link : links_) scope.spawn(maintain(*link));
}

RegionHeartbeat Links::heartbeat() const {
  const auto& regions = settings_.operator_settings.regions;
  return {regions.self, settings_.name, regions.bootstrap_region, fencing_token_()};
}

Task<std::optional<std::vector<RegionFrame>>> Links::receive(int fd, FrameReader& reader) {
  char bytes[4096];
  const double deadline = reactor_.now() + kHeartbeatsUntilTimeout * heartbeat_interval(settings_);
  auto reading = net::read_some(reactor_, fd, bytes, sizeof bytes, deadline);
  const auto count = co_await reading;
  if (count <= 0) co_return std::nullopt;
  auto received = reader.feed({bytes, static_cast<std::size_t>(count)});
  if (!received.error.empty()) {
    base::log_error("region connection closed", base::field("reason", received.error));
    co_return std::nullopt;
  }
  co_return std::move(received.frames);
}

// ---- incoming connections ----

Task<void> Links::accept_connections() {
  // Several connections for each link, because the old connection of a leader that restarts stays
  // open until it times out.
  const std::size_t max_connection_tasks = 4 * (links_.size() + 1);
  for (;;) {
    // New connections wake this loop; the timeout only repeats the wait.
    constexpr double kAcceptTimeoutS = 3600;
    net::Ready ready(reactor_, listener_.get(), false, kAcceptTimeoutS);
    if (!co_await ready) continue;
    for (Fd fd = net::accept_from(listener_.get()); fd.valid();
         fd = net::accept_from(listener_.get())) {
      if (connection_tasks_.size() < max_connection_tasks)
        connection_tasks_.spawn(serve(std::move(fd)));
    }
  }
}

Task<void> Links::serve(Fd fd) {
  FrameReader reader(settings_.operator_settings.regions);
  for (;;) {
    auto receiving = receive(fd.get(), reader);
    const auto frames = co_await receiving;
    if (!frames) co_return;
    bool heartbeat_received = false;
    for (const auto& frame : *frames) {
      if (std::holds_alternative<RegionHeartbeat>(frame)) {
        heartbeat_received = true;
      } else {
        on_frame_(reader.region(), frame);
      }
    }
    if (!heartbeat_received) continue;
    const std::string bytes = pack(heartbeat());
    auto writing =
        net::write_all(reactor_, fd.get(), bytes, reactor_.now() + heartbeat_interval(settings_));
    if (!co_await writing) co_return;
  }
}

// ---- outgoing connections ----

Task<void> Links::connect(Link& link) {
  auto connecting = net::connect_to(reactor_, link.controller.address,
                                    reactor_.now() + heartbeat_interval(settings_));
  Fd fd = co_await connecting;
  if (!fd.valid()) co_return;
  link.fd = std::make_shared<Fd>(std::move(fd));
  link.next_heartbeat_at = 0;
  link.queued_frames.clear();
  connection_tasks_.spawn(read_heartbeats(link, link.fd));
}

Task<void> Links::read_heartbeats(Link& link, SharedFd fd) {
  FrameReader reader(settings_.operator_settings.regions);
  for (;;) {
    auto receiving = receive(fd->get(), reader);
    const auto frames = co_await receiving;
    if (link.fd != fd) co_return;  // the connection has been replaced
    if (!frames) break;
    for (const auto& frame : *frames) {
      const auto* heartbeat = std::get_if<RegionHeartbeat>(&frame);
      if (heartbeat == nullptr || heartbeat->region != link.region) continue;
      link.fencing_token = heartbeat->fencing_token;
      link.last_heartbeat_at = reactor_.now();
    }
  }
  close_link(link);
}

void Links::close_link(Link& link) {
  if (link.fd) ::shutdown(link.fd->get(), SHUT_RDWR);  // wakes the coroutine that reads it
  link.fd.reset();
  link.fencing_token = 0;
  link.queued_frames.clear();
}

std::string Links::take_outgoing_bytes(Link& link) {
  std::string out;
  if (reactor_.now() >= link.next_heartbeat_at) {
    out = pack(heartbeat());
    link.next_heartbeat_at = reactor_.now() + heartbeat_interval(settings_);
  }
  for (; !link.queued_frames.empty(); link.queued_frames.pop_front())
    out += link.queued_frames.front();
  return out;
}

Task<void> Links::maintain(Link& link) {
  for (;;) {
    if (fencing_token_() == 0) {
      close_link(link);
    } else if (!link.fd) {
      auto connecting = connect(link);
      co_await connecting;
    }
    if (const SharedFd fd = link.fd) {
      const std::string bytes = take_outgoing_bytes(link);
      auto writing = net::write_all(reactor_, fd->get(), bytes,
                                    reactor_.now() + heartbeat_interval(settings_));
      if (!co_await writing) close_link(link);
    }
    // Several checks per heartbeat interval, so that a new leader connects soon after its failover.
    const double pause_s = link.fd ? link.next_heartbeat_at - reactor_.now()
                                   : heartbeat_interval(settings_) / kConnectChecksPerHeartbeat;
    constexpr double kMinPauseS = 0.001;  // the resolution of timers
    net::Signal::Wait wait(link.frames_queued, std::max(pause_s, kMinPauseS));
    co_await wait;
  }
}

// ---- sending ----

std::optional<std::size_t> Links::leader_link(const std::string& region) const {
  std::optional<std::size_t> newest;
  const double oldest_valid =
      reactor_.now() - kHeartbeatsUntilTimeout * heartbeat_interval(settings_);
  for (std::size_t i = 0; i < links_.size(); ++i) {
    const Link& link = *links_[i];
    const bool leads = link.fd && link.fencing_token > 0 && link.last_heartbeat_at > oldest_valid;
    if (link.region != region || !leads) continue;
    if (!newest || link.fencing_token > links_[*newest]->fencing_token) newest = i;
  }
  return newest;
}

std::vector<std::string> Links::reachable_regions() const {
  std::vector<std::string> out;
  for (const auto& region : settings_.operator_settings.regions.regions) {
    if (leader_link(region.name)) out.push_back(region.name);
  }
  return out;
}

void Links::send(const std::string& region, const RegionFrame& frame) {
  const auto index = leader_link(region);
  if (!index || links_[*index]->queued_frames.size() >= kMaxQueuedFrames) return;
  links_[*index]->queued_frames.push_back(pack(frame));
  links_[*index]->frames_queued.set();
}

}  // namespace cranklock::regions
