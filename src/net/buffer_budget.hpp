// A bound on what the requests of all connections together may hold in memory.
#pragma once

#include <cstddef>

namespace cranklock::net {

/// Counts the bytes of requests that are being received or answered. Requests of up to
/// `kAlwaysTaken` bytes are not bounded by it, so that a flood of large ones keeps out neither
/// workers' heartbeats nor health checks; their number is bounded by that of the connections.
class BufferBudget {
 public:
  static constexpr std::size_t kAlwaysTaken = std::size_t{8} * 1024;

  explicit BufferBudget(std::size_t max_bytes) : max_(max_bytes) {}

  std::size_t held() const { return held_; }

  /// What one connection holds; returned when it goes.
  class Share {
   public:
    explicit Share(BufferBudget& budget) : budget_(budget) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { release(); }

    /// Counts more bytes of a request; false when they are too many for all requests together.
    bool grow(std::size_t bytes) {
      bytes_ += bytes;
      budget_.held_ += bytes;
      return bytes_ <= kAlwaysTaken || budget_.held_ <= budget_.max_;
    }
    /// The request has been answered.
    void release() {
      budget_.held_ -= bytes_;
      bytes_ = 0;
    }

   private:
    BufferBudget& budget_;
    std::size_t bytes_ = 0;
  };

 private:
  std::size_t max_;
  std::size_t held_ = 0;
};

}  // namespace cranklock::net
