// The event loop of a director: waits for sockets and timers, and returns between two passes for decisions.
//
// After a stall of the process, messages that arrived in time still wait in the sockets. They are read before
// the loop returns, since otherwise their requests would be decided as timed out. All reading is limited in
// time: peers that send without pause always have more, and would keep the loop from ever returning. Events
// that are left over are handled first in the next pass.
#pragma once

#include "control.h"
#include "net/handles.h"

namespace lupinsill::net {

class EventLoop {
 public:
  // A longer time between the ends of two calls of run() counts as a stall.
  static constexpr Micros stallThreshold = 100'000;
  // No further events are handled once a pass has taken this long, or the reading after a stall.
  static constexpr Micros maxPassTime = 50'000;
  static constexpr Micros maxCatchUpTime = 200'000;
  static constexpr int maxCatchUpPasses = 16;

  EventLoop();
  event_base* base() const { return base_.get(); }
  // Handles the events that are ready; if there are none, waits for one for at most `wait` microseconds.
  void run(Micros wait);

 private:
  static void onWake(evutil_socket_t, short, void*) {}
  static void onTimeUp(evutil_socket_t, short, void* self);
  void catchUp();

  EventBase base_;
  Event wake_;    // a timer that ends the wait
  Event timeUp_;  // a timer that ends a pass although events are left
  Micros lastReturn_;
};

}  // namespace lupinsill::net
