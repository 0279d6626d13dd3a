#include "regions/links.hpp"

#include <spdlog/spdlog.h>

namespace cranklock::regions {

using net::Fd;
using net::Task;

namespace {

/// Hellos after which a silent connection is given up, and what it said counts no more.
constexpr double kPatience = 3;
/// Without a connection, how often it is looked whether there should be one.
constexpr double kChecksPerHeartbeat = 4;
/// Frames that wait for one link; more are dropped and come again.
constexpr std::size_t kMaxWaiting = 1024;

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
  scope.spawn(accept());
  for (auto& link : links_) scope.spawn(keep(*link));
}

RegionHeartbeat Links::heartbeat() const {
  const auto& regions = settings_.operator_settings.regions;
  return {regions.self, settings_.name, regions.bootstrap_region, fencing_token_()};
}

Task<std::optional<std::vector<RegionFrame>>> Links::receive(int fd, FrameReader& reader) {
  char bytes[4096];
  const double until = reactor_.now() + kPatience * heartbeat_interval(settings_);
  auto reading = net::read_some(reactor_, fd, bytes, sizeof bytes, until);
  const auto count = co_await reading;
  if (count <= 0) co_return std::nullopt;
  auto arrived = reader.feed({bytes, static_cast<std::size_t>(count)});
  if (!arrived.error.empty()) {
    spdlog::error("a connection between regions was closed: {}", arrived.error);
    co_return std::nullopt;
  }
  co_return std::move(arrived.frames);
}

// ---- connections of others ----

Task<void> Links::accept() {
  // A leader that restarts leaves its old connection behind until that goes quiet.
  const std::size_t max_readers = 4 * (links_.size() + 1);
  for (;;) {
    constexpr double kWait = 3600;  // woken by connections, not by the time
    net::Ready ready(reactor_, listener_.get(), false, kWait);
    if (!co_await ready) continue;
    for (Fd fd = net::accept_from(listener_.get()); fd.valid();
         fd = net::accept_from(listener_.get())) {
      if (readers_.size() < max_readers) readers_.spawn(serve(std::move(fd)));
    }
  }
}

Task<void> Links::serve(Fd fd) {
  FrameReader reader(settings_.operator_settings.regions);
  for (;;) {
    auto receiving = receive(fd.get(), reader);
    const auto frames = co_await receiving;
    if (!frames) co_return;
    bool answer = false;
    for (const auto& frame : *frames) {
      if (std::holds_alternative<RegionHeartbeat>(frame)) {
        answer = true;
      } else {
        on_frame_(reader.region(), frame);
      }
    }
    if (!answer) continue;
    const std::string bytes = pack(heartbeat());
    auto writing =
        net::write_all(reactor_, fd.get(), bytes, reactor_.now() + heartbeat_interval(settings_));
    if (!co_await writing) co_return;
  }
}

// ---- own connections ----

Task<void> Links::connect(Link& link) {
  auto connecting = net::connect_to(reactor_, link.controller.address,
                                    reactor_.now() + heartbeat_interval(settings_));
  Fd fd = co_await connecting;
  if (!fd.valid()) co_return;
  link.fd = std::make_shared<Fd>(std::move(fd));
  link.next_heartbeat = 0;
  link.frames.clear();
  readers_.spawn(read_heartbeats(link, link.fd));
}

Task<void> Links::read_heartbeats(Link& link, SharedFd fd) {
  FrameReader reader(settings_.operator_settings.regions);
  for (;;) {
    auto receiving = receive(fd->get(), reader);
    const auto frames = co_await receiving;
    if (link.fd != fd) co_return;  // another connection has taken its place
    if (!frames) break;
    for (const auto& frame : *frames) {
      const auto* heartbeat = std::get_if<RegionHeartbeat>(&frame);
      if (heartbeat == nullptr || heartbeat->region != link.region) continue;
      link.fencing_token = heartbeat->fencing_token;
      link.heard_at = reactor_.now();
    }
  }
  close(link);
}

void Links::close(Link& link) {
  if (link.fd) ::shutdown(link.fd->get(), SHUT_RDWR);  // ends its reader
  link.fd.reset();
  link.fencing_token = 0;
  link.frames.clear();
}

std::string Links::take_due(Link& link) {
  std::string out;
  if (reactor_.now() >= link.next_heartbeat) {
    out = pack(heartbeat());
    link.next_heartbeat = reactor_.now() + heartbeat_interval(settings_);
  }
  for (; !link.frames.empty(); link.frames.pop_front()) out += link.frames.front();
  return out;
}

Task<void> Links::keep(Link& link) {
  for (;;) {
    if (fencing_token_() == 0) {
      close(link);
    } else if (!link.fd) {
      auto connecting = connect(link);
      co_await connecting;
    }
    if (const SharedFd fd = link.fd) {
      const std::string bytes = take_due(link);
      auto writing = net::write_all(reactor_, fd->get(), bytes,
                                    reactor_.now() + heartbeat_interval(settings_));
      if (!co_await writing) close(link);
    }
    // A new leader is heard of soon after its take-over.
    const double pause = link.fd ? link.next_heartbeat - reactor_.now()
                                 : heartbeat_interval(settings_) / kChecksPerHeartbeat;
    constexpr double kMinPause = 0.001;  // the resolution of timers
    net::Signal::Wait wait(link.filled, std::max(pause, kMinPause));
    co_await wait;
  }
}

// ---- sending ----

std::optional<std::size_t> Links::leader_link(const std::string& region) const {
  std::optional<std::size_t> best;
  const double since = reactor_.now() - kPatience * heartbeat_interval(settings_);
  for (std::size_t i = 0; i < links_.size(); ++i) {
    const Link& link = *links_[i];
    const bool leads = link.fd && link.fencing_token > 0 && link.heard_at > since;
    if (link.region != region || !leads) continue;
    if (!best || link.fencing_token > links_[*best]->fencing_token) best = i;
  }
  return best;
}

std::vector<std::string> Links::reachable() const {
  std::vector<std::string> out;
  for (const auto& region : settings_.operator_settings.regions.regions) {
    if (leader_link(region.name)) out.push_back(region.name);
  }
  return out;
}

void Links::send(const std::string& region, const RegionFrame& frame) {
  const auto index = leader_link(region);
  if (!index || links_[*index]->frames.size() >= kMaxWaiting) return;
  links_[*index]->frames.push_back(pack(frame));
  links_[*index]->filled.set();
}

}  // namespace cranklock::regions
