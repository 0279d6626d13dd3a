// The connections and settings shared by the components of a controller.
#pragma once

#include "base/settings.hpp"
#include "cloud/client.hpp"
#include "net/client.hpp"
#include "net/reactor.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// Timeout in seconds for a leader's requests to the key-value store.
inline constexpr double kStoreTimeoutS = 2.0;

/// Cheap to copy; the referenced objects are owned by the process and outlive all components of the
/// controller.
struct Services {
  net::Reactor& reactor;           ///< clock, timers and event loop
  net::Transport& transport;       ///< calls to agents and routers
  const base::Settings& settings;  ///< read once at process start
  store::Client& store;            ///< the key-value store
  cloud::Client& cloud;            ///< the cloud API for machines
};

}  // namespace cranklock::control
