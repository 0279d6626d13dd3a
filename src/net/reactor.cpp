#include "net/reactor.hpp"

#include <ev.h>

#include <ctime>
#include <new>
#include <stdexcept>

namespace cranklock::net {

void Reactor::run_due_timers() {
  // A resumed coroutine may add and cancel any timers, so the first timer is looked up again each
  // time. Timers that are added meanwhile run in the next loop iteration, so that events of file
  // descriptors are handled in between.
  const double until = now();
  const std::uint64_t last = sequence_;
  while (!timers_.empty()) {
    auto it = timers_.begin();
    while (it != timers_.end() && it->first.first <= until && it->first.second > last) ++it;
    if (it == timers_.end() || it->first.first > until) break;
    const auto handle = it->second;
    timers_.erase(it);
    handle.resume();
  }
}

void Signal::set() {
  set_ = true;
  if (waiter_ == nullptr) return;
  Wait* w = std::exchange(waiter_, nullptr);
  reactor_.cancel_timer(w->timer_);
  w->timer_ = reactor_.add_timer(reactor_.now(), w->handle_);
}

void Signal::Wait::await_suspend(std::coroutine_handle<> h) {
  handle_ = h;
  armed_ = true;
  const bool now = signal_.set_;
  if (!now) signal_.waiter_ = this;
  timer_ = signal_.reactor_.add_timer(signal_.reactor_.now() + (now ? 0.0 : seconds_), h);
}

bool Signal::Wait::await_resume() noexcept {
  armed_ = false;
  if (signal_.waiter_ == this) signal_.waiter_ = nullptr;
  return std::exchange(signal_.set_, false);
}

Signal::Wait::~Wait() {
  if (!armed_) return;
  signal_.reactor_.cancel_timer(timer_);
  if (signal_.waiter_ == this) signal_.waiter_ = nullptr;
}

struct EvReactor::Watchers {
  ev_timer timer;
};

EvReactor::EvReactor()
    : loop_(ev_loop_new(static_cast<unsigned>(EVBACKEND_EPOLL) |
                        static_cast<unsigned>(EVFLAG_NOENV))),
      watchers_(new Watchers) {
  if (loop_ == nullptr)
    throw std::runtime_error("cannot create a libev event loop with the epoll backend");
  ev_timer_init(
      &watchers_->timer,
      [](struct ev_loop*, ev_timer* w, int) { static_cast<EvReactor*>(w->data)->fire(); }, 0.0,
      0.0);
  watchers_->timer.data = this;
}

EvReactor::~EvReactor() {
  ev_timer_stop(loop_, &watchers_->timer);
  ev_loop_destroy(loop_);
  delete watchers_;
}

double EvReactor::now() const {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

std::int64_t EvReactor::wall_ms() const {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return static_cast<std::int64_t>(t.tv_sec) * 1000 + t.tv_nsec / 1'000'000;
}

void EvReactor::rearm() {
  ev_timer_stop(loop_, &watchers_->timer);
  if (timers().empty()) return;
  const double delay = timers().begin()->first.first - now();
  ev_now_update(loop_);
  ev_timer_set(&watchers_->timer, delay > 0 ? delay : 0.0, 0.0);
  ev_timer_start(loop_, &watchers_->timer);
}

void EvReactor::fire() {
  run_due_timers();
  rearm();
}

void EvReactor::run() {
  ev_run(loop_, 0);
}
void EvReactor::stop() {
  ev_break(loop_, EVBREAK_ALL);
}

Ready::Ready(EvReactor& reactor, int fd, bool for_write, double seconds)
    : reactor_(reactor), seconds_(seconds) {
  static_assert(sizeof(ev_io) <= sizeof(io_));
  auto* io = new (io_) ev_io;
  ev_io_init(
      io, [](struct ev_loop*, ev_io* w, int) { static_cast<Ready*>(w->data)->fire(); }, fd,
      for_write ? EV_WRITE : EV_READ);
  io->data = this;
}

void Ready::await_suspend(std::coroutine_handle<> h) {
  handle_ = h;
  armed_ = true;
  fired_ = false;
  ev_io_start(reactor_.raw(), reinterpret_cast<ev_io*>(io_));
  timer_ = reactor_.add_timer(reactor_.now() + seconds_, h);
}

void Ready::disarm() {
  if (!armed_) return;
  armed_ = false;
  ev_io_stop(reactor_.raw(), reinterpret_cast<ev_io*>(io_));
  reactor_.cancel_timer(timer_);
}

void Ready::fire() {
  fired_ = true;
  disarm();
  handle_.resume();
}

bool Ready::await_resume() noexcept {
  disarm();
  return fired_;
}

Ready::~Ready() {
  disarm();
}

}  // namespace cranklock::net
