// Coroutine tasks, their ownership and cancellation. All coroutines of the project follow these
// rules:
//
// - A Task owns its coroutine frame. It starts when it is awaited or spawned into a Scope.
// - The awaiting coroutine keeps the task in a local variable, so that the callee's frame is
//   owned by the caller's frame: `auto reading = store.read(key); const auto found = co_await
//   reading;`
// - A task that no coroutine awaits is spawned into a Scope, which owns it until it ends.
// - Cancellation is destruction. Destroying a Task or a Scope destroys the frames that it owns, the
//   tasks that these await, and with them the awaiters (Sleep, Signal::Wait and Ready in
//   net/reactor.hpp), whose destructors remove their timers and watchers. A cancelled coroutine is
//   not notified: it is never resumed, and only destructors run. Cleanup therefore belongs in
//   destructors.
// - A cancelled request may have been sent, and the receiver may still execute it.
// - A class that spawns tasks declares its Scope as the last member, so that its coroutines end
//   before the members that they use. The coroutines of a leader term are cancelled before the term
//   is destroyed (control/leader_election.hpp).
// - Parameters of a coroutine are values, or references to objects that outlive its frame.
// - Everything runs on one thread. A coroutine runs without interruption from one co_await to the
//   next; shared state may have changed after each co_await.
// - A Signal (net/reactor.hpp) wakes one waiting coroutine, from the event loop and never from
//   within the call of set(). A signal that is set while no coroutine waits is kept for the next
//   wait; several count as one.
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
  std::coroutine_handle<> continuation = std::noop_coroutine();  ///< the awaiting coroutine
  Scope* scope = nullptr;         ///< set for tasks spawned into a scope
  std::uint64_t id_in_scope = 0;  ///< key of the task in its scope

  struct Final {
    bool await_ready() noexcept { return false; }
    template <typename P>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<P> h) noexcept;
    void await_resume() noexcept {}
  };
  std::suspend_always initial_suspend() noexcept { return {}; }
  Final final_suspend() noexcept { return {}; }
  // Failures are returned as values; an escaped exception is a bug and terminates the process.
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

/// A coroutine that returns a T when awaited; owns its frame. May be awaited at most once.
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

  /// Whether the coroutine has ended, or the task was moved from.
  bool done() const { return !handle_ || handle_.done(); }
  /// Runs a task that is not awaited up to its first suspension; for tests only.
  void start() { handle_.resume(); }
  /// The result of a finished task; for tests and main() only.
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

/// Owns tasks that no coroutine awaits. A task's frame is destroyed as soon as the task has ended,
/// together with the resources that its parameters own. Destroying the scope cancels all tasks; a
/// task must not destroy its own scope.
class Scope {
 public:
  Scope() = default;
  Scope(const Scope&) = delete;
  Scope& operator=(const Scope&) = delete;
  ~Scope() { clear(); }

  /// Starts the task and owns it until it ends.
  void spawn(Task<void> task) {
    const auto id = next_id_++;
    const auto handle = task.handle_;
    handle.promise().scope = this;
    handle.promise().id_in_scope = id;
    tasks_.emplace(id, std::move(task));
    handle.resume();  // the task may have ended and been destroyed when this returns
  }
  /// Cancels all tasks; the scope can be used again.
  void clear() {
    while (!tasks_.empty()) {
      // Newest first. Destroying a task may end other tasks of the scope, so the map is read again
      // for each one.
      auto newest = tasks_.extract(std::prev(tasks_.end()));
    }
  }
  /// Number of tasks that have not ended.
  std::size_t size() const { return tasks_.size(); }

 private:
  friend detail::PromiseBase::Final;
  // Ended tasks are destroyed at once and not when the next one is spawned: frames of closed
  // connections would keep their sockets open, and with all sockets in use no new connection could
  // arrive to trigger the cleanup.
  void on_task_ended(std::uint64_t id) noexcept { auto ended = tasks_.extract(id); }

  std::map<std::uint64_t, Task<void>> tasks_;
  std::uint64_t next_id_ = 0;
};

template <typename P>
std::coroutine_handle<> detail::PromiseBase::Final::await_suspend(
    std::coroutine_handle<P> h) noexcept {
  const auto next = h.promise().continuation;
  Scope* owner = h.promise().scope;
  if (owner != nullptr) owner->on_task_ended(h.promise().id_in_scope);  // destroys this frame
  return next;
}

}  // namespace cranklock::net
