// Who may speak to a director, and what a player's word means in the state that its call is in: for every
// protocol alike. A peer is one connection; a call is one ask on it and what follows, and has a line that no
// other call of the director ever had. No socket, no clock, no format: an edge says what came and asks
// whether it may send; the desk keeps, for any order of words:
//  1. of the answers to a call, one is sent and no second, whatever the front or a fault behind it says;
//  2. the front hears of a call at most once that it was asked, and once that it went;
//  3. a peer that asks and takes back without end, or heaps up calls, is ended, and not its neighbours;
//  4. a drain ends no call: a peer is told to go elsewhere first, is waited for, and ended when it is idle.
// Times are whole microseconds on the caller's clock. Nothing throws; a word about a line that has gone is
// passed over. Source: RFC 9113 6.8 (GOAWAY in two steps), docs/design/clients.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "control.h"
#include "session/front.h"

namespace lupinsill::admission {

using PeerId = std::uint64_t;
using session::CallId;

struct Limits {
  std::size_t peers = 10'000;
  std::size_t maxCallsPerPeer = 32;
  // Calls taken back before their answer: so many at once, and so many a second after that.
  double cancelBurst = 100;
  double cancelsPerSecond = 10;
  Micros requestTimeout = 5'000'000;     // a call without an ask is ended after it
  Micros drainNoticePeriod = 1'000'000;  // between the notice of a drain and the last word on it
  Micros callRetryAfter = 500'000;       // when a call over the bound may come back
  Micros peerRetryAfter = 1'000'000;     // when a peer over the bound may come back
};

struct AcceptResult {
  PeerId peer = 0;
  bool accepted = false;
  Micros retryAfter = 0;
};

enum class OpenError { none, tooManyCalls, abusive };
struct OpenResult {
  CallId callId = 0;
  OpenError error = OpenError::none;
  Micros retryAfter = 0;  // of one that was not opened
};

// What a player did on its call.
enum class CallInput { request, leave, halfClose, reset };
// What the edge does about it.
enum class CallAction {
  none,          // nothing
  accept,        // hand the ask to the front
  notifyLeft,    // tell the front that the player left
  notifyClosed,  // tell the front that the player vanished: it may come back with its key
  reject,        // the word has no place here: end the call as the protocol does for a wrong message
  end,           // end the call; the front knows nothing of it
};
struct InputResult {
  CallAction action = CallAction::none;
  bool abusive = false;       // besides: end the whole peer
  bool notifyClosed = false;  // besides, of a word refused: the front has the call and has to hear
};

// What the director says on a call.
enum class ReplyKind { playing, throttled, terminated, error, rung, ended };
enum class SendMode { drop, keepOpen, endCall };

// What is due by time.
struct DueAction {
  enum class Kind {
    drainNotice,       // tell the peer that it should open no more calls here
    finalDrainNotice,  // tell it which calls were taken: later ones were not
    closePeer,         // it is idle and has been told: close it
    endCall            // its own deadline has passed
  } kind;
  PeerId peer = 0;
  CallId callId = 0;
  bool notifyClosed = false;  // of a call that the front has
};

struct Statistics {
  std::uint64_t taken = 0, refused = 0, calls = 0, callsRefused = 0, abusive = 0, invalidInputs = 0;
  std::uint64_t secondAnswers = 0;  // stays 0 on a sound build
  std::uint64_t deadlines = 0;
  std::size_t peers = 0, open = 0;
};

class CallManager {
 public:
  explicit CallManager(const Limits& bounds) : bounds_(bounds) {}
  void setLimits(const Limits& bounds) { bounds_ = bounds; }

  // ---- peers ----
  AcceptResult acceptPeer(Micros now);
  // Its connection is gone: the lines that the front has to hear of.
  std::vector<CallId> removePeer(PeerId peer);

  // ---- calls ----
  // `timeout`: of the call as a whole, where its protocol has one.
  OpenResult open(Micros now, PeerId peer, std::optional<Micros> timeout);
  InputResult handleInput(Micros now, CallId callId, CallInput word);
  // The front would not have the ask: nothing of it was taken.
  void rejected(CallId callId);
  // Whether this may be sent, and whether the call ends with it.
  SendMode reply(CallId callId, ReplyKind tell);
  // What is left of the call's own deadline.
  std::optional<Micros> timeLeft(Micros now, CallId callId) const;

  // ---- the director as a whole ----
  void drain(bool on);
  bool draining() const { return draining_; }
  void tick(Micros now, std::vector<DueAction>& due);
  Statistics statistics() const;

 private:
  enum class State { opened, asked, plays };
  enum class Told { nothing, notice, lastWord, ended };
  struct Peer {
    std::set<CallId> calls;
    double takenBack = 0;  // in a bucket that empties
    Micros emptiedAt = 0;
    Told told = Told::nothing;
    Micros toldAt = 0;
    bool abusive = false;
  };
  struct Call {
    PeerId peer = 0;
    State state = State::opened;
    Micros until = 0;
    std::optional<Micros> deadline;
  };
  void end(CallId callId);
  bool takeBack(Micros now, Peer& peer);

  Limits bounds_;
  bool draining_ = false;
  bool telling_ = false;  // somebody may have been told of a drain
  PeerId nextPeer_ = 0;
  CallId nextLine_ = 0;
  std::map<PeerId, Peer> peers_;
  std::map<CallId, Call> calls_;
  std::set<std::pair<Micros, CallId>> untils_;
  Statistics statistics_;
};

}  // namespace lupinsill::admission
