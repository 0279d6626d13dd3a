// A bound on the memory that the requests of all connections use together.
#pragma once

#include <cstddef>

namespace cranklock::net {

/// Counts the bytes of requests that are being received or answered. Requests of up to
/// `kAlwaysAcceptedBytes` are always accepted, so that a flood of large requests blocks neither
/// agents' heartbeats nor health checks; the limit on connections bounds their number.
class BufferBudget {
 public:
  static constexpr std::size_t kAlwaysAcceptedBytes = std::size_t{8} * 1024;

  explicit BufferBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  std::size_t held_bytes() const { return held_bytes_; }

  /// The bytes that one connection uses; released when the connection ends.
  class Reservation {
   public:
    explicit Reservation(BufferBudget& budget) : budget_(budget) {}
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    ~Reservation() { release(); }

    /// Counts more bytes of a request; false if the request must be rejected because the budget of
    /// all requests is exceeded.
    bool grow(std::size_t bytes) {
      bytes_ += bytes;
      budget_.held_bytes_ += bytes;
      return bytes_ <= kAlwaysAcceptedBytes || budget_.held_bytes_ <= budget_.max_bytes_;
    }
    /// Called when the request has been answered.
    void release() {
      budget_.held_bytes_ -= bytes_;
      bytes_ = 0;
    }

   private:
    BufferBudget& budget_;
    std::size_t bytes_ = 0;
  };

 private:
  std::size_t max_bytes_;
  std::size_t held_bytes_ = 0;
};

}  // namespace cranklock::net
