// Which agents the leader redirects, and at which rate.
#include "control/agent_redirector.hpp"

#include <gtest/gtest.h>

#include "term_fixture.hpp"

namespace cranklock::control {
namespace {

using testing::heartbeat;
using testing::kFencingToken;

constexpr double kLow = 0.4, kHigh = 0.6;  ///< fractions of the connections in use

/// The leader n0 and controller n1 are in zone a, n2 is in zone b; zone c has no controller.
struct AgentRedirectorTest : ::testing::Test, testing::TermFixture {
  HeartbeatHandler handler{context, machines};
  AgentRedirector redirector{services};
  double connection_load = kLow;

  AgentRedirectorTest() {
    settings.others = {{"n1", "a", "peer-1"}, {"n2", "b", "peer-2"}};
    redirector.set_connection_load([this] { return connection_load; });
    receive_forwarder_heartbeats();
  }
  void receive_forwarder_heartbeats() {
    for (const auto& other : settings.others) {
      peer::PeerHeartbeat peer_heartbeat;
      peer_heartbeat.name = other.name;
      peer_heartbeat.echoed_fencing_token = kFencingToken;
      peer_heartbeat.echoed_clock_ms = static_cast<std::uint64_t>(reactor.now() * 1000);
      handler.on_peer_heartbeat(peer_heartbeat);
    }
  }
  /// Handles a heartbeat and returns the forwarder that the agent is redirected to.
  std::string redirect(const std::string& machine, const std::string& zone) {
    const auto received = heartbeat(machine, 1, 1, {}, kFencingToken, zone);
    handler.handle(received);
    return redirector.redirect(received, handler);
  }
};

TEST_F(AgentRedirectorTest, RedirectsAgentsOfOtherZonesToTheirController) {
  EXPECT_EQ(redirect("n-1", "b"), "n2");
}

TEST_F(AgentRedirectorTest, KeepsAgentsOfItsOwnZoneAndOfZonesWithoutControllerBelowTheLoadLimit) {
  EXPECT_EQ(redirect("n-1", "a"), "");
  EXPECT_EQ(redirect("n-2", "c"), "");
}

TEST_F(AgentRedirectorTest, RedirectsAgentsOfItsOwnZoneAtALimitedRateUnderConnectionLoad) {
  connection_load = kHigh;
  EXPECT_TRUE(redirector.connections_overloaded());
  EXPECT_EQ(redirect("n-1", "a"), "n1");
  EXPECT_EQ(redirect("n-2", "a"), "");

  // At most ten agents are redirected per heartbeat interval.
  run_for(settings.heartbeat_interval_s / 10);
  EXPECT_EQ(redirect("n-2", "a"), "n1");
}

TEST_F(AgentRedirectorTest, RedirectsAgentsOfItsOwnZoneUnderCpuLoad) {
  constexpr int kHeartbeats = 4000;
  settings.core_share = 0.1;
  for (int i = 0; i < kHeartbeats; ++i) redirector.note_direct_heartbeat();
  run_for(2 * settings.heartbeat_interval_s);
  receive_forwarder_heartbeats();
  EXPECT_EQ(redirect("n-1", "a"), "n1");
}

TEST_F(AgentRedirectorTest, KeepsAnAgentWhoseForwardersAreUnreachable) {
  run_for(settings.lease_s / 2);
  EXPECT_EQ(redirect("n-1", "b"), "");
}

}  // namespace
}  // namespace cranklock::control
