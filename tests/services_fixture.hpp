// A controller's services in simulated time with an in-memory key-value store, for tests of single
// components.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "control/api_responses.hpp"
#include "control/services.hpp"
#include "fixtures.hpp"
#include "state_stand_in.hpp"
#include "test_cluster.hpp"

namespace cranklock::testing {

/// Transports calls to the store and to a cloud without machines. Agents and routers are not
/// simulated.
struct OutsideTransport : net::Transport {
  static constexpr double kOneWayLatencyS = 0.001;
  static constexpr const char* kMachineTypesPath = "/machine_types";
  static constexpr const char* kMachinesPath = "/rentals";

  FakeReactor& reactor;
  StateStandIn& state;
  bool store_reachable = true;
  bool cloud_reachable = true;
  std::vector<wire::MachineType> machine_types{machine_type()};

  OutsideTransport(FakeReactor& loop, StateStandIn& store) : reactor(loop), state(store) {}

  net::Task<net::Reply> call(std::string, net::Request request, double) override {
    net::Sleep request_delay(reactor, kOneWayLatencyS);
    co_await request_delay;
    const bool is_cloud = request.path == kMachineTypesPath || request.path == kMachinesPath;
    if (is_cloud ? !cloud_reachable : !store_reachable) co_return net::Reply{};
    auto response = is_cloud ? handle_cloud_request(request) : state.handle(request);
    net::Sleep response_delay(reactor, kOneWayLatencyS);
    co_await response_delay;
    co_return net::Reply{net::Reply::Kind::answered, std::move(response)};
  }

 private:
  net::Response handle_cloud_request(const net::Request& request) const {
    if (request.path == kMachineTypesPath) return list_machine_types();
    if (request.method == "GET") {
      return control::make_response(200, R"({"Rigs":[],"HasNext":false})");
    }
    return control::make_response(503, R"({"error":"no capacity"})");
  }
  net::Response list_machine_types() const {
    wire::JsonWriter writer;
    wire::write_machine_types(writer, machine_types);
    return control::make_response(200, writer.take());
  }
};

struct ServicesFixture {
  FakeReactor reactor;
  base::Settings settings = small_settings();
  StateStandIn state{reactor};
  OutsideTransport transport{reactor, state};
  store::Client store{reactor, transport, settings};
  cloud::Client cloud{reactor, transport, settings};
  control::Services services{reactor, transport, settings, store, cloud};

  void run_for(double seconds) { reactor.run_until(reactor.now() + seconds); }
  /// Stores a value without a lease, as another client would.
  void store_value(const std::string& key, const std::string& text) {
    const std::vector<wire::Mutation> mutations{{key, text, 0}};
    state.handle({"POST", "/txn", "", wire::compare_and_swap_request({}, mutations), true});
  }
};

}  // namespace cranklock::testing
