// Tests net::EventLoop: a pass ends although input never does.
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "net/event_loop.h"

using lupinsill::Micros;
using lupinsill::net::acceptPlain;
using lupinsill::net::BufferEvent;
using lupinsill::net::Event;
using lupinsill::net::EventLoop;
using lupinsill::net::monotonicNow;

namespace {

// A socket on which a byte always waits, for at most `maxTimesReady` times.
struct EndlessInput {
  static constexpr int maxTimesReady = 1'000;
  int ends[2] = {-1, -1};
  int timesReady = 0;
  Micros handlingTime = 0;
  EndlessInput() {
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
    REQUIRE(write(ends[1], "x", 1) == 1);
  }
  ~EndlessInput() {
    close(ends[0]);
    close(ends[1]);
  }
  Event watch(event_base* base) {
    Event event(event_new(base, ends[0], EV_READ | EV_PERSIST, onReady, this));
    event_add(event.get(), nullptr);
    return event;
  }
  static void onReady(evutil_socket_t fd, short, void* self) {
    auto& input = *static_cast<EndlessInput*>(self);
    std::this_thread::sleep_for(std::chrono::microseconds(input.handlingTime));
    char byte = 0;
    if (++input.timesReady >= maxTimesReady) CHECK(read(fd, &byte, 1) == 1);
  }
};

// A connection with deferred callbacks, like those of clients, whose peer sends again at once until `until`.
struct BusyConnection {
  int peer = -1;
  Micros until = 0;
  BufferEvent bufferEvent;
  BusyConnection(event_base* base, Micros lastSend) : until(lastSend) {
    int ends[2] = {-1, -1};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
    peer = ends[1];
    bufferEvent = acceptPlain(base, ends[0]);
    bufferevent_setcb(bufferEvent.get(), onRead, nullptr, nullptr, this);
    bufferevent_enable(bufferEvent.get(), EV_READ);
    REQUIRE(write(peer, "x", 1) == 1);
  }
  BusyConnection(const BusyConnection&) = delete;
  ~BusyConnection() { close(peer); }
  static void onRead(bufferevent* readable, void* self) {
    auto& connection = *static_cast<BusyConnection*>(self);
    evbuffer* input = bufferevent_get_input(readable);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (monotonicNow() < connection.until) CHECK(write(connection.peer, "x", 1) == 1);
  }
};

void stall() { std::this_thread::sleep_for(std::chrono::microseconds(EventLoop::stallThreshold + 10'000)); }

}  // namespace

// Guards against answers that wait for as long as any client sends without pause.
TEST_CASE("After a stall the event loop returns although a socket is always ready") {
  EventLoop loop;
  EndlessInput input;
  const Event watched = input.watch(loop.base());
  loop.run(0);
  CHECK(input.timesReady == 1);
  stall();
  loop.run(0);
  CHECK(input.timesReady > 2);  // what waits is read
  CHECK(input.timesReady <= 2 + EventLoop::maxCatchUpPasses);
}

TEST_CASE("After a stall the event loop reads for a limited time where reading is slow") {
  EventLoop loop;
  EndlessInput input;
  input.handlingTime = EventLoop::maxCatchUpTime / 2 + 10'000;
  const Event watched = input.watch(loop.base());
  stall();
  loop.run(0);
  CHECK(input.timesReady <= 3);  // the pass itself and two after the stall
}

// Guards against answers that come late or never while more than a few clients send without pause.
TEST_CASE("The event loop returns although many connections are busy all the time") {
  EventLoop loop;
  const Micros start = monotonicNow();
  std::vector<std::unique_ptr<BusyConnection>> connections;
  for (int i = 0; i < 100; ++i)
    connections.push_back(std::make_unique<BusyConnection>(loop.base(), start + 3'000'000));
  loop.run(0);
  loop.run(0);
  CHECK(monotonicNow() - start < 2'000'000);
  for (const auto& connection : connections) connection->until = 0;
  for (int i = 0; i < 10; ++i) loop.run(0);  // the callbacks that are due hold their connections
}

TEST_CASE("The event loop waits no longer than it is told and returns at once where the time is past") {
  EventLoop loop;
  const Micros start = monotonicNow();
  loop.run(50'000);
  CHECK(monotonicNow() - start >= 49'000);
  const Micros second = monotonicNow();
  loop.run(-1'000'000);
  CHECK(monotonicNow() - second < 50'000);
}
