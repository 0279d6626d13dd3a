// The event loop of coroutines. Timers are part of the base class so that tests can run the same
// coroutines in simulated time; only EvReactor, which uses libev, watches file descriptors.
#pragma once

#include <coroutine>
#include <cstdint>
#include <map>
#include <utility>

struct ev_loop;

namespace cranklock::net {

class Reactor {
 public:
  using Timer = std::pair<double, std::uint64_t>;

  Reactor() = default;
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;
  virtual ~Reactor() = default;

  /// Monotonic clock in seconds.
  virtual double now() const = 0;
  /// Wall clock in milliseconds since the Unix epoch.
  virtual std::int64_t wall_ms() const = 0;

  Timer add_timer(double at, std::coroutine_handle<> h) {
    const Timer id{at, ++sequence_};
    timers_.emplace(id, h);
    if (timers_.begin()->first == id) rearm();
    return id;
  }
  void cancel_timer(const Timer& id) { timers_.erase(id); }

 protected:
  /// Resumes every coroutine whose timer is due.
  void run_due_timers();
  /// Sets the next wakeup to the first timer. Called when a timer was added that is due before all
  /// others.
  virtual void rearm() = 0;
  const std::map<Timer, std::coroutine_handle<>>& timers() const { return timers_; }

 private:
  std::map<Timer, std::coroutine_handle<>> timers_;
  std::uint64_t sequence_ = 0;
};

/// Awaitable pause. If the coroutine is destroyed while it sleeps, its timer is cancelled.
class Sleep {
 public:
  Sleep(Reactor& reactor, double seconds) : reactor_(reactor), seconds_(seconds) {}
  Sleep(const Sleep&) = delete;
  Sleep& operator=(const Sleep&) = delete;
  ~Sleep() {
    if (armed_) reactor_.cancel_timer(timer_);
  }
  bool await_ready() const noexcept { return false; }
  void await_suspend(std::coroutine_handle<> h) {
    timer_ = reactor_.add_timer(reactor_.now() + seconds_, h);
    armed_ = true;
  }
  void await_resume() noexcept { armed_ = false; }

 private:
  Reactor& reactor_;
  double seconds_;
  Reactor::Timer timer_{};
  bool armed_ = false;
};

/// A signal that one coroutine at a time awaits, with a timeout. A signal that is set while no
/// coroutine waits is kept for the next wait; several count as one.
class Signal {
 public:
  explicit Signal(Reactor& reactor) : reactor_(reactor) {}
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

  /// The waiter is resumed by the event loop, never from within this call.
  void set();

  class Wait {
   public:
    Wait(Signal& signal, double seconds) : signal_(signal), seconds_(seconds) {}
    Wait(const Wait&) = delete;
    Wait& operator=(const Wait&) = delete;
    ~Wait();
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> h);
    /// True if signalled, false after the timeout.
    bool await_resume() noexcept;

   private:
    friend class Signal;
    Signal& signal_;
    double seconds_;
    Reactor::Timer timer_{};
    std::coroutine_handle<> handle_;
    bool armed_ = false;
  };

 private:
  Reactor& reactor_;
  bool set_ = false;
  Wait* waiter_ = nullptr;
};

/// The event loop of a real process, on libev.
class EvReactor : public Reactor {
 public:
  EvReactor();
  ~EvReactor() override;
  double now() const override;
  std::int64_t wall_ms() const override;
  void run();
  void stop();
  struct ev_loop* raw() const {
    return loop_;
  }
  void fire();  ///< called by the libev timer

 protected:
  void rearm() override;

 private:
  struct ev_loop* loop_;
  struct Watchers;
  Watchers* watchers_;
};

/// Awaits readiness of a file descriptor, with a timeout; true if ready.
class Ready {
 public:
  Ready(EvReactor& reactor, int fd, bool for_write, double seconds);
  Ready(const Ready&) = delete;
  Ready& operator=(const Ready&) = delete;
  ~Ready();
  bool await_ready() const noexcept { return false; }
  void await_suspend(std::coroutine_handle<> h);
  bool await_resume() noexcept;
  void fire();  ///< called by the libev watcher

 private:
  void disarm();
  EvReactor& reactor_;
  struct Watcher;
  double seconds_;
  Reactor::Timer timer_{};
  std::coroutine_handle<> handle_;
  bool armed_ = false;
  bool fired_ = false;
  alignas(8) unsigned char io_[64];
};

}  // namespace cranklock::net
