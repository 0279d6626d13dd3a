// Rate limit for the requests of this node to an external system.
#pragma once

#include "net/reactor.hpp"

namespace cranklock::net {

/// A token bucket with a capacity of one second's tokens, or more if a burst is allowed. Its level
/// may fall below 0 (overdraft), which lengthens the wait of later callers. Rates are in tokens per
/// second; a token is one request, or one mutation of a stored key.
class TokenBucket {
 public:
  TokenBucket(Reactor& reactor, double rate) : reactor_(reactor) { set_rate(rate); }

  /// `burst`: minimum capacity in tokens. A new bucket is full; later changes of the rate keep its
  /// level.
  void set_rate(double rate, double burst = 0);
  double rate() const { return rate_; }

  /// Takes the tokens and returns 0, or takes none and returns the seconds until they may be taken.
  /// `overdraft`: how far the level may fall below 0, which delays callers without overdraft.
  double take(double tokens, double overdraft = 0);
  /// Takes the tokens without waiting; an overdraft delays other callers.
  void force_take(double tokens);
  /// Empties the bucket after the external system has rejected a request for exceeding its rate:
  /// the tokens in the bucket were not available there. An overdraft is kept.
  void drain();

 private:
  void refill();

  Reactor& reactor_;
  double rate_ = 0;
  double capacity_ = 0;
  double level_ = 0;        ///< tokens; below 0 when overdrawn
  double refilled_at_ = 0;  ///< monotonic clock, in seconds
};

}  // namespace cranklock::net
