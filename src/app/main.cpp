// Entry point of the daemon: loads the settings, constructs the components and runs the event loop.
#include <ev.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>

#include "base/event_log.hpp"
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

void set_up_logging() {
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

/// Limit for the body of a response. A page of the key-value store holds up to 512 KiB; the changes
/// of a watch are unbounded and are read page by page if they exceed the limit. The text, the
/// parsed JSON and the resulting records exist at the same time, together about six times the text.
std::size_t max_response_bytes(const Settings& settings) {
  constexpr double kMemoryShare = 1.0 / 16;
  const auto share_bytes =
      static_cast<std::size_t>(cranklock::base::memory_bytes(settings, kMemoryShare));
  return std::clamp(share_bytes, kMiB, 4 * kMiB);
}

/// Limit for the total size of all requests that are being received or answered.
std::size_t max_request_bytes(const Settings& settings) {
  constexpr double kMemoryShare = 1.0 / 6;
  return static_cast<std::size_t>(cranklock::base::memory_bytes(settings, kMemoryShare));
}

int serve(const Settings& settings) {
  using namespace cranklock;
  net::EvReactor reactor;
  // Calls in progress, most of them to agents, and idle keep-alive connections together use 7/24 of
  // the file descriptors (a sixth and an eighth). What these and the public connections leave is
  // for the other controllers.
  net::HttpClient client(reactor, max_response_bytes(settings),
                         static_cast<std::size_t>(settings.fd_limit) * 7 / 24);
  store::Client store(reactor, client, settings);
  cloud::Client cloud(reactor, client, settings);
  const control::Services services{reactor, client, settings, store, cloud};
  control::Node node(services);

  net::ServerLimits limits;
  limits.max_connections = base::max_public_connections(settings);
  limits.max_request_bytes = max_request_bytes(settings);
  limits.idle_timeout_s = 4 * settings.lease_s;
  net::HttpServer server(reactor, limits,
                         [&](net::Request request) { return node.handle(std::move(request)); });
  if (!server.listen(settings.listen)) {
    base::log_error("listen failed", base::field("setting", "listen"),
                    base::field("address", settings.listen));
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
    base::log_error("listen failed", base::field("setting", "peer_listen"),
                    base::field("address", settings.peer_listen));
    return 1;
  }
  std::optional<regions::Links> region_links;
  if (settings.operator_settings.regions.enabled()) {
    region_links.emplace(
        reactor, settings, [&] { return node.leader_fencing_token(); },
        [&](const std::string& region, const regions::RegionFrame& frame) {
          node.on_region_frame(region, frame);
        });
    if (!region_links->listen()) {
      base::log_error(
          "listen failed", base::field("setting", "regions/region/controller/address"),
          base::field("address", settings.operator_settings.regions.listen_address(settings.name)));
      return 1;
    }
    node.set_region_network(&*region_links);
  }
  // SIGTERM and SIGINT stop the loop; the scope then cancels every coroutine.
  ev_signal sigterm_watcher, sigint_watcher;
  const auto stop = [](struct ev_loop* loop, ev_signal*, int) { ev_break(loop, EVBREAK_ALL); };
  ev_signal_init(&sigterm_watcher, stop, SIGTERM);
  ev_signal_init(&sigint_watcher, stop, SIGINT);
  ev_signal_start(reactor.raw(), &sigterm_watcher);
  ev_signal_start(reactor.raw(), &sigint_watcher);

  net::Scope coroutines;
  coroutines.spawn(server.run());
  node.start(coroutines);
  coroutines.spawn(links.accept_connections());
  for (const auto& other : settings.others) coroutines.spawn(links.maintain_link(other));
  if (region_links) region_links->start(coroutines);
  base::log_info("controller started", base::field("member", settings.name),
                 base::field("address", settings.listen));
  reactor.run();
  base::log_info("controller stopped", base::field("member", settings.name));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Schedules fleets that serve language models.", "cranklock"};
  std::string toml_path, xml_path;
  bool check_only = false;
  app.set_version_flag("--version", "cranklock 0.1.0");
  app.add_option("--config", toml_path, "the platform's settings (TOML)")->required();
  app.add_option("--operator", xml_path, "the operator's own settings (XML)");
  app.add_flag("--check", check_only, "check the settings and exit");
  CLI11_PARSE(app, argc, argv);
  Settings settings;
  try {
    settings = cranklock::base::load_settings(toml_path, xml_path);
  } catch (const cranklock::base::SettingsError& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  if (check_only) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  set_up_logging();
  return serve(settings);
}
