// Rate limit of the requests that this node makes of an outside system.
#pragma once

#include "net/reactor.hpp"

namespace cranklock::net {

/// A token bucket: it fills at a rate and holds one second's worth, or more where a burst is
/// allowed. Its level may fall below 0 (overdraft); whoever takes next then waits the longer.
/// Rates are tokens a second; a token is one request, or one mutation of a stored key.
class TokenBucket {
 public:
  TokenBucket(Reactor& reactor, double rate) : reactor_(reactor) { set_rate(rate); }

  /// `burst`: tokens that it holds at least when full. A new bucket is full; later changes of the
  /// rate leave its level.
  void set_rate(double rate, double burst = 0);
  double rate() const { return rate_; }

  /// Takes the tokens and returns 0, or takes none and returns the seconds until they may be taken.
  /// `overdraft`: how far the level may fall below 0, at the expense of those that take without.
  double take(double tokens, double overdraft = 0);
  /// Takes the tokens without waiting; what is overdrawn delays the others.
  void force_take(double tokens);
  /// Empties the bucket: the outside system has refused for its rate, so what the bucket held was
  /// not there. An overdraft stays.
  void drain();

 private:
  void refill();

  Reactor& reactor_;
  double rate_ = 0;
  double capacity_ = 0;
  double level_ = 0;        ///< tokens; below 0 when overdrawn
  double refilled_at_ = 0;  ///< steady clock
};

}  // namespace cranklock::net
