// The connections and settings that every part of a controller works with.
#pragma once

#include "base/settings.hpp"
#include "cloud/client.hpp"
#include "net/client.hpp"
#include "net/reactor.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// Seconds that a leader waits for an answer of the key-value store.
inline constexpr double kStoreTimeout = 2.0;

/// Copied freely; what it refers to belongs to the process and outlives all parts of the
/// controller.
struct Services {
  net::Reactor& reactor;           ///< clock, timers and event loop
  net::Transport& transport;       ///< calls to agents and routers
  const base::Settings& settings;  ///< read once, at the start of the process
  store::Client& store;            ///< the key-value store
  cloud::Client& cloud;            ///< the cloud that machines are rented from
};

}  // namespace cranklock::control
