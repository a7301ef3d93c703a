#include "admission/call_manager.h"

#include <algorithm>

namespace lupinsill::admission {

// ---- peers ----

// A connection beyond the limit is refused at once, since one left in the kernel's queue would get no answer.
// A refused connection is not registered as a peer: it has no calls and counts against no limit.
AcceptResult CallManager::acceptPeer(Micros now) {
  if (peers_.size() >= limits_.peers) {
    ++statistics_.refused;
    return {0, false, limits_.peerRetryAfter};
  }
  ++statistics_.taken;
  Peer& peer = peers_[++lastPeerId_];
  peer.cancelLevelTime = now;
  return {lastPeerId_, true, 0};
}

std::vector<CallId> CallManager::removePeer(PeerId id) {
  std::vector<CallId> closed;
  const auto it = peers_.find(id);
  if (it == peers_.end()) return closed;
  const std::set<CallId> calls = it->second.calls;
  for (const CallId callId : calls) {
    if (calls_.at(callId).state != State::opened) closed.push_back(callId);
    end(callId);
  }
  peers_.erase(it);
  return closed;
}

// ---- calls ----

OpenResult CallManager::open(Micros now, PeerId id, std::optional<Micros> timeout) {
  const auto it = peers_.find(id);
  if (it == peers_.end() || it->second.abusive) return {0, OpenError::abusive, 0};
  Peer& peer = it->second;
  if (peer.calls.size() >= limits_.maxCallsPerPeer) {
    ++statistics_.callsRefused;
    return {0, OpenError::tooManyCalls, limits_.callRetryAfter};
  }
  ++statistics_.calls;
  const CallId callId = ++lastCallId_;
  Call& call = calls_[callId];
  call.peer = id;
  // A call without a request must expire, or it would count against its peer's limit for ever.
  call.expiresAt = now + limits_.requestTimeout;
  if (timeout) {
    call.deadline = now + std::max<Micros>(0, *timeout);
    call.expiresAt = std::min(call.expiresAt, *call.deadline);
  }
  expiries_.emplace(call.expiresAt, callId);
  peer.calls.insert(callId);
  return {callId, OpenError::none, 0};
}

void CallManager::end(CallId callId) {
  const auto it = calls_.find(callId);
  if (it == calls_.end()) return;
  expiries_.erase({it->second.expiresAt, callId});
  if (const auto peer = peers_.find(it->second.peer); peer != peers_.end()) peer->second.calls.erase(callId);
  calls_.erase(it);
}

// Returns whether the peer exceeds the limit on cancellations with this one. A peer that requests and cancels
// in a loop costs the front a request and a node a join per round, and the peer nothing (the HTTP/2 "rapid
// reset" attack, CVE-2023-44487, which works over WebSocket as well).
bool CallManager::recordCancellation(Micros now, Peer& peer) {
  const double drained = static_cast<double>(now - peer.cancelLevelTime) / 1e6 * limits_.cancelsPerSecond;
  peer.cancelLevel = std::max(0.0, peer.cancelLevel - std::max(0.0, drained)) + 1;
  peer.cancelLevelTime = now;
  if (peer.cancelLevel <= limits_.cancelBurst || peer.abusive) return false;
  peer.abusive = true;
  ++statistics_.abusive;
  return true;
}

InputResult CallManager::handleInput(Micros now, CallId callId, CallInput input) {
  const auto it = calls_.find(callId);
  if (it == calls_.end()) return {};  // the call ended while the input was on its way
  Call& call = it->second;
  Peer& peer = peers_.at(call.peer);
  switch (input) {
    case CallInput::request: {
      // A second request on a call would have no answer of its own.
      if (call.state != State::opened) {
        ++statistics_.invalidInputs;
        end(callId);
        return {CallAction::reject, false, true};
      }
      call.state = State::requested;
      expiries_.erase({call.expiresAt, callId});
      // From here on the front ensures a timely answer; only the deadline of the protocol remains.
      call.expiresAt = call.deadline.value_or(0);
      if (call.deadline) expiries_.emplace(call.expiresAt, callId);
      return {CallAction::accept, false, false};
    }
    case CallInput::leave:
    case CallInput::reset: {
      const State previous = call.state;
      end(callId);
      const bool abusive = previous != State::playing && recordCancellation(now, peer);
      if (previous == State::opened) return {CallAction::end, abusive, false};
      // A player that leaves will not use its idempotency key again; one that was cut off may return with it.
      return {input == CallInput::leave ? CallAction::notifyLeft : CallAction::notifyClosed, abusive, false};
    }
    case CallInput::halfClose:
      // After its request a player sends nothing more, but still receives.
      if (call.state != State::opened) return {};
      ++statistics_.invalidInputs;
      end(callId);
      return {CallAction::reject, false, false};
  }
  return {};
}

void CallManager::rejected(CallId callId) { end(callId); }

SendMode CallManager::reply(CallId callId, ReplyKind kind) {
  const auto it = calls_.find(callId);
  if (it == calls_.end()) return SendMode::drop;  // the player ended the call first
  Call& call = it->second;
  const bool awaitsAnswer = call.state == State::requested;
  switch (kind) {
    case ReplyKind::playing:
      if (!awaitsAnswer) {
        ++statistics_.secondAnswers;
        return SendMode::drop;
      }
      call.state = State::playing;
      return SendMode::keepOpen;
    case ReplyKind::throttled:
    case ReplyKind::terminated:
    case ReplyKind::error:
      // A call that plays can only end; a negative answer after `playing` would be a second one.
      if (!awaitsAnswer) {
        ++statistics_.secondAnswers;
        return SendMode::drop;
      }
      end(callId);
      return SendMode::endCall;
    case ReplyKind::rung:
      return call.state == State::playing ? SendMode::keepOpen : SendMode::drop;
    case ReplyKind::ended:
      if (call.state != State::playing) return SendMode::drop;
      end(callId);
      return SendMode::endCall;
  }
  return SendMode::drop;
}

std::optional<Micros> CallManager::timeLeft(Micros now, CallId callId) const {
  const auto it = calls_.find(callId);
  if (it == calls_.end() || !it->second.deadline) return std::nullopt;
  return std::max<Micros>(0, *it->second.deadline - now);
}

// ---- the director as a whole ----

void CallManager::drain(bool enabled) {
  draining_ = enabled;
  drainEverStarted_ = drainEverStarted_ || enabled;
}

// A drain notifies each peer twice. Calls that arrive after the first notice were on their way and are still
// answered, as throttled with a time to retry. The final notice names the last call that was accepted, so
// that a client knows that no later one ran.
void CallManager::tick(Micros now, std::vector<DueAction>& due) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const CallId callId = expiries_.begin()->second;
    const Call call = calls_.at(callId);
    ++statistics_.deadlines;
    due.push_back({DueAction::Kind::endCall, call.peer, callId, call.state != State::opened});
    end(callId);
  }
  if (!drainEverStarted_) return;
  for (auto& [id, peer] : peers_) {
    if (draining_ && peer.drainState == DrainState::notNotified) {
      peer.drainState = DrainState::noticeSent;
      peer.noticeTime = now;
      due.push_back({DueAction::Kind::drainNotice, id, 0, false});
    } else if (peer.drainState == DrainState::noticeSent &&
               now - peer.noticeTime >= limits_.drainNoticePeriod) {
      // Also after the drain was called off: a peer that was told to go elsewhere must not stay half drained.
      peer.drainState = DrainState::finalNoticeSent;
      peer.noticeTime = now;
      due.push_back({DueAction::Kind::finalDrainNotice, id, 0, false});
    }
    if (peer.drainState == DrainState::finalNoticeSent && peer.calls.empty()) {
      peer.drainState = DrainState::closing;
      due.push_back({DueAction::Kind::closePeer, id, 0, false});
    }
  }
}

Statistics CallManager::statistics() const {
  Statistics statistics = statistics_;
  statistics.peers = peers_.size();
  statistics.open = calls_.size();
  return statistics;
}

}  // namespace lupinsill::admission
