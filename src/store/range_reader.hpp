// Reads all values under a prefix, one page at a time.
#pragma once

#include <string>

#include "store/client.hpp"

namespace cranklock::store {

/// Holds no page itself, so that what a caller holds does not grow with the number of values.
class RangeReader {
 public:
  /// `timeout_s` applies to each page. The client must outlive the reader.
  RangeReader(Client& client, std::string prefix, double timeout_s, std::string after = {})
      : client_(client),
        prefix_(std::move(prefix)),
        timeout_s_(timeout_s),
        after_(std::move(after)) {}

  /// Whether the last page has been read.
  bool done() const { return done_; }
  /// Reads the next page. A page that could not be read is read again by the next call.
  net::Task<RangeResult> next();

 private:
  Client& client_;
  std::string prefix_;
  double timeout_s_;
  std::string after_;  ///< key of the last value read; empty: none
  bool done_ = false;
};

}  // namespace cranklock::store
