// Coroutine tasks. A Task owns its frame: destroying it destroys every frame it waits for, and the
// awaiters in them take their timers and watchers along. That is how a routine is cancelled.
#pragma once

#include <coroutine>
#include <exception>
#include <list>
#include <optional>
#include <utility>

namespace cranklock::net {

template <typename T>
class Task;

namespace detail {

struct PromiseBase {
  std::coroutine_handle<> continuation = std::noop_coroutine();

  struct Final {
    bool await_ready() noexcept { return false; }
    template <typename P>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<P> h) noexcept {
      return h.promise().continuation;
    }
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

template <typename T = void>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle h) : handle_(h) {}
  Task(Task&& o) noexcept : handle_(std::exchange(o.handle_, nullptr)) {}
  Task& operator=(Task&& o) noexcept {
    if (this != &o) {
      if (handle_) handle_.destroy();
      handle_ = std::exchange(o.handle_, nullptr);
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

  bool done() const { return !handle_ || handle_.done(); }
  void start() { handle_.resume(); }
  /// The result of a finished task; only tests and the process's entry use it.
  T take() {
    if constexpr (!std::is_void_v<T>) return std::move(*handle_.promise().value);
  }

 private:
  Handle handle_;
};

template <typename T>
Task<T> detail::Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> detail::Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}

/// Owns routines that nobody awaits. Destroying the scope cancels them all; it must not be
/// destroyed by one of its own routines.
class Scope {
 public:
  Scope() = default;
  Scope(const Scope&) = delete;
  Scope& operator=(const Scope&) = delete;
  ~Scope() { clear(); }

  void spawn(Task<void> task) {
    // Looked through only when it has doubled, so that a thousand connections coming at once cost
    // a thousand steps and not a million.
    if (tasks_.size() >= reap_at_) {
      reap();
      reap_at_ = 2 * tasks_.size() + 16;
    }
    tasks_.push_back(std::move(task));
    tasks_.back().start();
  }
  void clear() {
    while (!tasks_.empty()) {
      auto last = std::move(tasks_.back());
      tasks_.pop_back();
    }
  }
  std::size_t size() {
    reap();
    return tasks_.size();
  }

 private:
  void reap() {
    tasks_.remove_if([](const Task<void>& t) { return t.done(); });
  }
  std::list<Task<void>> tasks_;
  std::size_t reap_at_ = 16;
};

}  // namespace cranklock::net
