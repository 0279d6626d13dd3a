// Messages between the nodes of the test cluster, and from other regions.
#include "test_cluster_internals.hpp"

namespace cranklock::testing {

using net::Sleep;

net::Task<void> TestCluster::send_peer_heartbeats(int node) {
  for (;;) {
    while (is_paused(node)) {
      Sleep pause(reactor, kPausePollDelay);
      co_await pause;
    }
    const auto peer_heartbeat = hosts_[static_cast<std::size_t>(node)]->node.peer_heartbeat();
    for (int other = 0; other < static_cast<int>(hosts_.size()); ++other) {
      if (other != node) scope_.spawn(deliver_peer_frame(node, other, peer_heartbeat));
    }
    Sleep pause(reactor, control::Node::peer_heartbeat_interval(base_settings));
    co_await pause;
  }
}

net::Task<void> TestCluster::deliver_peer_frame(int from, int to, peer::Frame frame) {
  const std::string packed = peer::pack(frame);
  const std::string receiver = "n" + std::to_string(to);
  TrafficEvent event;
  event.kind = TrafficEvent::Kind::peer_frame;
  event.node = from;
  event.address = receiver;
  event.body = packed;
  observe(event);
  Sleep transfer(reactor, kMessageDelay);
  co_await transfer;
  while (is_paused(to)) {
    Sleep pause(reactor, kPausePollDelay);
    co_await pause;
  }
  const auto& host = hosts_[static_cast<std::size_t>(to)];
  if (cut_from_peers.contains(from) || cut_from_peers.contains(to)) co_return;
  if (host && !are_partitioned(zone_of(from), zone_of(to))) {
    host->node.on_peer_frame("n" + std::to_string(from), frame);
  }
}

void TestCluster::on_region_frame(const std::string& region, const regions::RegionFrame& frame) {
  const std::string packed = regions::pack(frame);
  TrafficEvent event;
  event.kind = TrafficEvent::Kind::region_frame;
  event.address = region;
  event.body = packed;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (!hosts_[i]) continue;
    event.node = static_cast<int>(i);
    observe(event);
    hosts_[i]->node.on_region_frame(region, frame);
  }
}

}  // namespace cranklock::testing
