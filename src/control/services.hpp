// What every part of a node works with.
#pragma once

#include "base/settings.hpp"
#include "cloud/client.hpp"
#include "net/client.hpp"
#include "net/reactor.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// All of it outlives the parts.
struct Services {
  net::Reactor& reactor;
  net::Transport& transport;
  const base::Settings& settings;
  store::Client& store;
  cloud::Client& cloud;
};

}  // namespace cranklock::control
