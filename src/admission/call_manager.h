// Rules on peers and calls that the WebSocket and gRPC servers share.
//
// A peer is one connection of a player. A call is one request on it with all that follows; its id is never
// reused within a director. A server reports what a player did and asks what it may send. For any order of
// events, the call manager ensures that
//  1. at most one answer to a call is sent, whatever the front or a fault behind it tries to send;
//  2. the front hears at most once that a call was requested and at most once that it ended;
//  3. a peer that floods the director with cancelled calls is closed, and one with too many calls is refused
//     further ones, without effect on other peers;
//  4. a drain ends no call: each peer is first told to go elsewhere and is closed once it is idle.
// Events on calls that have already ended are ignored. Nothing throws.
//
// No sockets, no clock and no message format: times are microseconds on the caller's clock. The drain follows
// the two-step GOAWAY of RFC 9113, section 6.8; see docs/design/clients.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "control.h"
#include "session/front.h"

namespace lupinsill::admission {

using PeerId = std::uint64_t;  // never reused within a director
using session::CallId;

// Resource limits.
struct Limits {
  std::size_t peers = 10'000;
  std::size_t maxCallsPerPeer = 32;
  // Leaky bucket for calls that a peer cancels before their answer: its capacity and its leak rate.
  double cancelBurst = 100;
  double cancelsPerSecond = 10;
  Micros requestTimeout = 5'000'000;     // from the start of a call to its request; the call ends after it
  Micros drainNoticePeriod = 1'000'000;  // from the drain notice to the final one
  Micros callRetryAfter = 500'000;       // when to retry a call beyond maxCallsPerPeer
  Micros peerRetryAfter = 1'000'000;     // when to retry a connection beyond `peers`
};

// Whether a new connection was accepted as a peer.
struct AcceptResult {
  PeerId peer = 0;
  bool accepted = false;
  Micros retryAfter = 0;  // if not accepted
};

// Why a call was not opened.
enum class OpenError {
  none,
  tooManyCalls,
  abusive  // the peer is unknown or is being closed for a cancellation flood
};
struct OpenResult {
  CallId callId = 0;  // 0: not opened
  OpenError error = OpenError::none;
  Micros retryAfter = 0;  // if there are too many calls
};

// What a player did on its call. `halfClose`: it will send no more, but still reads. `reset`: it broke the
// call off.
enum class CallInput { request, leave, halfClose, reset };
// What the server does about it.
enum class CallAction {
  none,          // nothing
  accept,        // pass the request to the front
  notifyLeft,    // tell the front that the player left
  notifyClosed,  // tell the front that the call broke off: the player may return with its idempotency key
  reject,        // the input is invalid in this state: end the call as the protocol does for a wrong message
  end,           // end the call, which the front does not know
};
struct InputResult {
  CallAction action = CallAction::none;
  bool abusive = false;       // also close the peer, for a cancellation flood
  bool notifyClosed = false;  // with `reject`: also tell the front, which knows the call, that it broke off
};

// What the director sends on a call.
enum class ReplyKind { playing, throttled, terminated, error, rung, ended };
// Whether a reply may be sent, and whether the call ends with it.
enum class SendMode { drop, keepOpen, endCall };

// An action that a server has to take because of the time or a drain.
struct DueAction {
  enum class Kind {
    drainNotice,       // tell the peer to open no more calls here
    finalDrainNotice,  // tell the peer which call was the last one accepted: no later one ran
    closePeer,         // close the peer, which is idle and has both notices
    endCall            // end the call, whose deadline has passed
  } kind;
  PeerId peer = 0;
  CallId callId = 0;
  bool notifyClosed = false;  // with `endCall`: also tell the front, which knows the call
};

// Totals since the start, and the current numbers of peers and open calls.
struct Statistics {
  std::uint64_t taken = 0, refused = 0;  // peers
  std::uint64_t calls = 0, callsRefused = 0;
  std::uint64_t abusive = 0;  // peers closed for a cancellation flood
  std::uint64_t invalidInputs = 0;
  // Answers dropped since the call had one already or no request yet; 0 unless there is a bug.
  std::uint64_t secondAnswers = 0;
  std::uint64_t deadlines = 0;  // calls ended at their deadline or without a request
  std::size_t peers = 0, open = 0;
};

class CallManager {
 public:
  explicit CallManager(const Limits& limits) : limits_(limits) {}
  void setLimits(const Limits& limits) { limits_ = limits; }

  // ---- peers ----
  // Registers a new connection unless there are too many.
  AcceptResult acceptPeer(Micros now);
  // The connection has closed. Ends its calls and returns those that the front has to be told of.
  std::vector<CallId> removePeer(PeerId peer);

  // ---- calls ----
  // Opens a call. `timeout`: of the call as a whole, if the protocol has one.
  OpenResult open(Micros now, PeerId peer, std::optional<Micros> timeout);
  // Returns what to do about an input on a call.
  InputResult handleInput(Micros now, CallId callId, CallInput input);
  // The front rejected the request as invalid: ends the call.
  void rejected(CallId callId);
  // Returns whether a reply of this kind may be sent; the caller has to send it then.
  SendMode reply(CallId callId, ReplyKind kind);
  // Returns the time left until the deadline of the call, if it has one.
  std::optional<Micros> timeLeft(Micros now, CallId callId) const;

  // ---- the director as a whole ----
  // Starts a drain or calls it off. Peers that have a drain notice are closed in either case.
  void drain(bool enabled);
  bool draining() const { return draining_; }
  // Appends the actions that are due by now.
  void tick(Micros now, std::vector<DueAction>& due);
  Statistics statistics() const;

 private:
  // `opened`: no request yet; `requested`: passed to the front, not answered yet.
  enum class State { opened, requested, playing };
  enum class DrainState { notNotified, noticeSent, finalNoticeSent, closing };
  struct Peer {
    std::set<CallId> calls;
    double cancelLevel = 0;      // cancellations in the leaky bucket
    Micros cancelLevelTime = 0;  // when cancelLevel was last updated
    DrainState drainState = DrainState::notNotified;
    Micros noticeTime = 0;  // of the last drain notice
    bool abusive = false;
  };
  struct Call {
    PeerId peer = 0;
    State state = State::opened;
    Micros expiresAt = 0;  // 0: never
    std::optional<Micros> deadline;
  };
  void end(CallId callId);
  bool recordCancellation(Micros now, Peer& peer);

  Limits limits_;
  bool draining_ = false;
  bool drainEverStarted_ = false;  // some peers may have a drain notice
  PeerId lastPeerId_ = 0;
  CallId lastCallId_ = 0;
  std::map<PeerId, Peer> peers_;
  std::map<CallId, Call> calls_;
  std::set<std::pair<Micros, CallId>> expiries_;  // Call::expiresAt of the calls that expire
  Statistics statistics_;
};

}  // namespace lupinsill::admission
