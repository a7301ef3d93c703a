#include "net/event_loop.h"

#include <algorithm>

namespace lupinsill::net {
namespace {

constexpr Micros microsPerSecond = 1'000'000;
// Between two looks at the timers while events are handled.
constexpr timeval maxDispatchTime{0, 10'000};
constexpr int urgentPriority = 0, ordinaryPriority = 1, priorities = 2;

// A base that looks at urgent events, which are not limited, after the dispatch time at the latest.
EventBase makeBase() {
  const std::unique_ptr<event_config, HandleDeleter<event_config_free>> config(event_config_new());
  event_config_set_max_dispatch_interval(config.get(), &maxDispatchTime, -1, ordinaryPriority);
  EventBase base(event_base_new_with_config(config.get()));
  event_base_priority_init(base.get(), priorities);
  return base;
}

void startTimer(const Event& timer, Micros duration) {
  const timeval timeout{static_cast<time_t>(duration / microsPerSecond),
                        static_cast<suseconds_t>(duration % microsPerSecond)};
  event_add(timer.get(), &timeout);
}

}  // namespace

EventLoop::EventLoop()
    : base_(makeBase()),
      wake_(event_new(base_.get(), -1, 0, onWake, nullptr)),
      timeUp_(event_new(base_.get(), -1, 0, onTimeUp, this)),
      lastReturn_(monotonicNow()) {
  event_priority_set(timeUp_.get(), urgentPriority);
}

void EventLoop::onTimeUp(evutil_socket_t, short, void* self) {
  event_base_loopbreak(static_cast<EventLoop*>(self)->base());
}

// libevent ends a pass only once no event is left, and handles at most 32 deferred callbacks in one go. With
// more connections than that busy at once some event is always left.
void EventLoop::run(Micros wait) {
  const Micros duration = std::max<Micros>(0, wait);
  startTimer(wake_, duration);
  startTimer(timeUp_, duration + maxPassTime);
  event_base_loop(base_.get(), EVLOOP_ONCE);
  if (monotonicNow() - lastReturn_ > stallThreshold) catchUp();
  lastReturn_ = monotonicNow();
}

// EVLOOP_NONBLOCK alone would go on for as long as any socket is ready.
void EventLoop::catchUp() {
  startTimer(timeUp_, maxCatchUpTime);
  for (int pass = 0; pass < maxCatchUpPasses; ++pass) {
    event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    if (event_base_got_break(base_.get()) != 0) return;
  }
}

}  // namespace lupinsill::net
