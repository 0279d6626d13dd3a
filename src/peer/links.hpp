// Connections between the controllers: each says hello to each of the others, again and again.
#pragma once

#include <functional>

#include "base/settings.hpp"
#include "net/stream.hpp"
#include "peer/frames.hpp"

namespace cranklock::peer {

class Links {
 public:
  /// `every_s` is the time between hellos. Names that the settings do not know are refused.
  Links(net::EvReactor& reactor, const base::Settings& settings, double every_s,
        std::function<Hello()> mine, std::function<void(const Hello&)> heard)
      : reactor_(reactor),
        settings_(settings),
        every_s_(every_s),
        mine_(std::move(mine)),
        heard_(std::move(heard)) {}

  bool listen();
  net::Task<void> accept();
  net::Task<void> greet(std::string address);

 private:
  net::Task<void> read(net::Fd fd);

  net::EvReactor& reactor_;
  const base::Settings& settings_;
  double every_s_;
  std::function<Hello()> mine_;
  std::function<void(const Hello&)> heard_;
  net::Fd listener_;
  net::Scope readers_;
};

}  // namespace cranklock::peer
