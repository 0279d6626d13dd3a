// The daemon: reads the settings, wires the parts together and runs the loop.
#include <ev.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>

#include "base/settings.hpp"
#include "cloud/client.hpp"
#include "control/node.hpp"
#include "net/client.hpp"
#include "net/reactor.hpp"
#include "net/server.hpp"
#include "peer/links.hpp"
#include "regions/links.hpp"
#include "store/client.hpp"

namespace {

using cranklock::base::Settings;

void set_up_log() {
  auto logger = spdlog::stderr_logger_st("cranklock");
  logger->set_pattern("%L %v");
  logger->flush_on(spdlog::level::trace);
  spdlog::set_default_logger(logger);
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level != nullptr ? level : "info";
  spdlog::set_level(name == "debug"   ? spdlog::level::debug
                    : name == "error" ? spdlog::level::err
                                      : spdlog::level::info);
}

constexpr std::size_t kMiB = std::size_t{1024} * 1024;

/// Bytes of an answer. A page of the state service holds up to 512 KiB, a watch's changes any
/// number: what is too long is read page by page instead. Text, parsed tree and what is made of it
/// stand side by side for a moment, some six times the text in all.
std::size_t max_response(const Settings& settings) {
  constexpr double kPartOfMemory = 1.0 / 16;
  const auto part = static_cast<std::size_t>(settings.ram_mb * kPartOfMemory * kMiB);
  return std::clamp(part, kMiB, 4 * kMiB);
}

/// Bytes of all requests together that are being received or answered.
std::size_t max_request_bytes(const Settings& settings) {
  constexpr double kPartOfMemory = 1.0 / 6;
  return static_cast<std::size_t>(settings.ram_mb * kPartOfMemory * kMiB);
}

int serve(const Settings& settings) {
  using namespace cranklock;
  net::EvReactor reactor;
  // Of the sockets that are not public: a sixth and an eighth for calls, to workers for the most
  // part, and the connections kept for them. The rest is for the other controllers.
  net::HttpClient client(reactor, max_response(settings),
                         static_cast<std::size_t>(settings.fd_limit) * 7 / 24);
  store::Client store(reactor, client, settings);
  cloud::Client cloud(reactor, client, settings);
  const control::Services services{reactor, client, settings, store, cloud};
  control::Node node(services);

  net::ServerLimits limits;
  limits.max_connections = base::public_connections(settings);
  limits.max_request_bytes = max_request_bytes(settings);
  limits.idle_timeout_s = 4 * settings.lease_s;
  net::HttpServer server(reactor, limits,
                         [&](net::Request request) { return node.handle(std::move(request)); });
  if (!server.listen(settings.listen)) {
    spdlog::error("{} can't be listened on", settings.listen);
    return 1;
  }
  node.set_connection_load([&server] { return server.connection_load(); });
  peer::Links links(
      reactor, settings, control::Node::peer_heartbeat_interval(settings),
      [&] { return node.peer_heartbeat(); },
      [&](const std::string& from, const peer::Frame& frame) { node.on_peer_frame(from, frame); });
  node.set_send_frame(
      [&](const std::string& to, const peer::Frame& frame) { links.send(to, frame); });
  if (!links.listen()) {
    spdlog::error("{} can't be listened on", settings.peer_listen);
    return 1;
  }
  std::optional<regions::Links> region_links;
  if (settings.operators.regions.enabled()) {
    region_links.emplace(
        reactor, settings, [&] { return node.leader_fencing_token(); },
        [&](const std::string& region, const regions::RegionFrame& frame) {
          node.on_region_frame(region, frame);
        });
    if (!region_links->listen()) {
      spdlog::error("{} can't be listened on",
                    settings.operators.regions.listen_address(settings.name));
      return 1;
    }
    node.set_region_network(&*region_links);
  }
  // Orderly end where the platform asks for one: the scope cancels every routine.
  ev_signal on_term, on_int;
  const auto stop = [](struct ev_loop* loop, ev_signal*, int) { ev_break(loop, EVBREAK_ALL); };
  ev_signal_init(&on_term, stop, SIGTERM);
  ev_signal_init(&on_int, stop, SIGINT);
  ev_signal_start(reactor.raw(), &on_term);
  ev_signal_start(reactor.raw(), &on_int);

  net::Scope routines;
  routines.spawn(server.run());
  node.start(routines);
  routines.spawn(links.accept_connections());
  for (const auto& other : settings.others) routines.spawn(links.maintain_link(other));
  if (region_links) region_links->start(routines);
  spdlog::info("{} listens on {}", settings.name, settings.listen);
  reactor.run();
  spdlog::info("{} ends", settings.name);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Schedules fleets that serve language models.", "cranklock"};
  std::string config, operators;
  bool check = false;
  app.set_version_flag("--version", "cranklock 0.1.0");
  app.add_option("--config", config, "the platform's settings (TOML)")->required();
  app.add_option("--operator", operators, "the operator's own settings (XML)");
  app.add_flag("--check", check, "check the settings and exit");
  CLI11_PARSE(app, argc, argv);
  Settings settings;
  try {
    settings = cranklock::base::load_settings(config, operators);
  } catch (const cranklock::base::SettingsError& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  if (check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  set_up_log();
  return serve(settings);
}
