// One connection on which JSON lines are spoken, to a viewer or to a media node. What can't be read closes
// it. After `down` it says and hears nothing more; its owner frees it later, out of its callbacks.
#pragma once

#include <cstddef>
#include <string>

#include "control.h"
#include "jsonl/message.h"
#include "net/handles.h"

namespace lupinsill::platform {

class Link {
 public:
  enum class End { closed, broken, refused, neverUp, unreadable };
  struct Handler {
    virtual ~Handler() = default;
    virtual void onUp(Link& link) = 0;
    virtual void onMessage(Link& link, jsonl::Message& message) = 0;
    virtual void onDown(Link& link, End how) = 0;
  };
  // `name`: what the log calls it.
  Link(Handler& handler, net::BufferEvent bufferEvent, bool isUp, std::string name);
  Link(const Link&) = delete;
  virtual ~Link() = default;

  // False: nothing of it left, and the connection is gone.
  bool say(const jsonl::Message& message);
  // Whether it is up and the other side has not closed it, as far as this machine knows.
  bool sound();
  void close();  // without telling `down`; what was said before still leaves
  bool isUp() const { return up_ && bufferEvent_; }
  bool unsent() const;  // something said has not been handed to the machine yet
  bool midMessage() const { return bufferEvent_ && !reader_.empty(); }
  bool isDead() const { return !bufferEvent_; }

 private:
  static void onRead(bufferevent*, void* me);
  static void onEvent(bufferevent*, short what, void* me);
  void end(End how);

  Handler& handler_;
  net::BufferEvent bufferEvent_;
  bool up_;
  std::string name_;
  jsonl::Reader reader_;
};

// Whether every message is written to the log; set once at start.
void traceMessages(bool on);

}  // namespace lupinsill::platform
