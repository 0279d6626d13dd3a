// Coroutine tasks, and who owns and cancels them. The rules, which all coroutines of the project
// follow:
//
// - A Task owns its coroutine frame. It starts when it is awaited, or spawned into a Scope.
// - Whoever awaits a task keeps it in a local variable of its own frame, so that the callee's frame
//   lives inside the caller's: `auto reading = store.read(key); const auto found = co_await
//   reading;`
// - A task that nobody awaits is spawned into a Scope, which owns it until it ends.
// - Cancelling is destroying. Destroying a Task or a Scope destroys the frames that it owns, the
//   tasks that these await, and with them the awaiters (Sleep, Signal::Wait and Ready in
//   net/reactor.hpp), whose destructors take their timers and watchers along. No coroutine is told
//   of it: after a cancellation it just does not go on, and only destructors run. What must be
//   undone therefore stands in a destructor.
// - A cancelled request may have been sent, and may still be carried out by whoever receives it.
// - A class that spawns keeps its Scope as the last member, so that its coroutines end before the
//   members that they use. The routines of a leader term are cancelled before the term is destroyed
//   (control/leader_election.hpp).
// - Parameters of a coroutine are values, or references to what outlives its frame.
// - Everything runs on one thread. A coroutine runs without interruption from one co_await to the
//   next; after each co_await whatever it knew of shared state may have changed.
// - A Signal (net/reactor.hpp) wakes one waiting coroutine, from the loop and never from within the
//   caller of set(). Signals that are set while nobody waits are kept, as one.
#pragma once

#include <coroutine>
#include <cstdint>
#include <exception>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

namespace cranklock::net {

template <typename T>
class Task;
class Scope;

namespace detail {

struct PromiseBase {
  std::coroutine_handle<> continuation = std::noop_coroutine();  ///< whoever awaits it
  Scope* scope = nullptr;             ///< of a routine that nobody awaits
  std::uint64_t number_in_scope = 0;  ///< by which its scope knows it

  struct Final {
    bool await_ready() noexcept { return false; }
    template <typename P>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<P> h) noexcept;
    void await_resume() noexcept {}
  };
  std::suspend_always initial_suspend() noexcept { return {}; }
  Final final_suspend() noexcept { return {}; }
  // Failures travel as values here; an escaped exception is a defect and ends the process.
  void unhandled_exception() noexcept { std::terminate(); }
};

template <typename T>
struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  void return_value(T v) { value.emplace(std::move(v)); }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() {}
};

}  // namespace detail

/// A coroutine that yields a T when awaited, and owns its frame. Awaited once at most.
template <typename T = void>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
  Task& operator=(Task&& other) noexcept {
    if (this != &other) {
      if (handle_) handle_.destroy();
      handle_ = std::exchange(other.handle_, nullptr);
    }
    return *this;
  }
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;
  ~Task() {
    if (handle_) handle_.destroy();
  }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> waiter) noexcept {
    handle_.promise().continuation = waiter;
    return handle_;
  }
  T await_resume() {
    if constexpr (!std::is_void_v<T>) return std::move(*handle_.promise().value);
  }

  /// Whether it has ended, or was moved from.
  bool done() const { return !handle_ || handle_.done(); }
  /// Runs a task that nobody awaits until it waits for the first time; only tests use it.
  void start() { handle_.resume(); }
  /// The result of a finished task; only tests and the process's entry use it.
  T take() {
    if constexpr (!std::is_void_v<T>) return std::move(*handle_.promise().value);
  }

 private:
  friend Scope;
  Handle handle_;
};

template <typename T>
Task<T> detail::Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> detail::Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}

/// Owns routines that nobody awaits. A routine's frame goes as soon as the routine has ended, and
/// with it whatever its parameters hold. Destroying the scope cancels all routines; it must not be
/// destroyed by one of its own.
class Scope {
 public:
  Scope() = default;
  Scope(const Scope&) = delete;
  Scope& operator=(const Scope&) = delete;
  ~Scope() { clear(); }

  /// Starts the task and owns it until it ends.
  void spawn(Task<void> task) {
    const auto number = next_number_++;
    const auto handle = task.handle_;
    handle.promise().scope = this;
    handle.promise().number_in_scope = number;
    routines_.emplace(number, std::move(task));
    handle.resume();  // it may have ended, and be gone, when this returns
  }
  /// Cancels all routines; the scope can be used again.
  void clear() {
    while (!routines_.empty()) {
      // The newest first; whatever it ends in its turn is found gone.
      auto last = routines_.extract(std::prev(routines_.end()));
    }
  }
  /// How many have not ended.
  std::size_t size() const { return routines_.size(); }

 private:
  friend detail::PromiseBase::Final;
  // Guards against sockets held by the frames of connections that are over: once all sockets are
  // held so, no connection comes whose routine would be the occasion to let go of them.
  void ended(std::uint64_t number) noexcept { auto gone = routines_.extract(number); }

  std::map<std::uint64_t, Task<void>> routines_;
  std::uint64_t next_number_ = 0;
};

template <typename P>
std::coroutine_handle<> detail::PromiseBase::Final::await_suspend(
    std::coroutine_handle<P> h) noexcept {
  const auto next = h.promise().continuation;
  Scope* owner = h.promise().scope;
  if (owner != nullptr) owner->ended(h.promise().number_in_scope);  // destroys this frame
  return next;
}

}  // namespace cranklock::net
