#include "admission/call_manager.h"

#include <algorithm>

namespace lupinsill::admission {

// ---- peers ----

// Guards against a crowd that is left to the kernel's queue: each one over the bound hears so at once. An
// unruly or refused peer is no peer: it has no calls, and nothing of it is counted against the others.
AcceptResult CallManager::acceptPeer(Micros now) {
  if (peers_.size() >= bounds_.peers) {
    ++statistics_.refused;
    return {0, false, bounds_.peerRetryAfter};
  }
  ++statistics_.taken;
  Peer& peer = peers_[++nextPeer_];
  peer.emptiedAt = now;
  return {nextPeer_, true, 0};
}

std::vector<CallId> CallManager::removePeer(PeerId id) {
  std::vector<CallId> gone;
  const auto it = peers_.find(id);
  if (it == peers_.end()) return gone;
  const std::set<CallId> calls = it->second.calls;
  for (const CallId callId : calls) {
    if (calls_.at(callId).state != State::opened) gone.push_back(callId);
    end(callId);
  }
  peers_.erase(it);
  return gone;
}

// ---- calls ----

OpenResult CallManager::open(Micros now, PeerId id, std::optional<Micros> timeout) {
  const auto it = peers_.find(id);
  if (it == peers_.end() || it->second.abusive) return {0, OpenError::abusive, 0};
  Peer& peer = it->second;
  if (peer.calls.size() >= bounds_.maxCallsPerPeer) {
    ++statistics_.callsRefused;
    return {0, OpenError::tooManyCalls, bounds_.callRetryAfter};
  }
  ++statistics_.calls;
  const CallId callId = ++nextLine_;
  Call& call = calls_[callId];
  call.peer = id;
  // Guards against calls that are opened and never used: they would hold their peer's places for ever.
  call.until = now + bounds_.requestTimeout;
  if (timeout) {
    call.deadline = now + std::max<Micros>(0, *timeout);
    call.until = std::min(call.until, *call.deadline);
  }
  untils_.emplace(call.until, callId);
  peer.calls.insert(callId);
  return {callId, OpenError::none, 0};
}

void CallManager::end(CallId callId) {
  const auto it = calls_.find(callId);
  if (it == calls_.end()) return;
  untils_.erase({it->second.until, callId});
  if (const auto peer = peers_.find(it->second.peer); peer != peers_.end()) peer->second.calls.erase(callId);
  calls_.erase(it);
}

// Guards against a peer that asks and takes back in a loop: each round costs the front an ask and a node a
// join, and costs the peer nothing (the "rapid reset" of 2023, on either protocol).
bool CallManager::takeBack(Micros now, Peer& peer) {
  const double emptied = static_cast<double>(now - peer.emptiedAt) / 1e6 * bounds_.cancelsPerSecond;
  peer.takenBack = std::max(0.0, peer.takenBack - std::max(0.0, emptied)) + 1;
  peer.emptiedAt = now;
  if (peer.takenBack <= bounds_.cancelBurst || peer.abusive) return false;
  peer.abusive = true;
  ++statistics_.abusive;
  return true;
}

InputResult CallManager::handleInput(Micros now, CallId callId, CallInput word) {
  const auto it = calls_.find(callId);
  if (it == calls_.end()) return {};  // it crossed our last word
  Call& call = it->second;
  Peer& peer = peers_.at(call.peer);
  switch (word) {
    case CallInput::request: {
      // A second ask on a call would have no answer of its own.
      if (call.state != State::opened) {
        ++statistics_.invalidInputs;
        end(callId);
        return {CallAction::reject, false, true};
      }
      call.state = State::asked;
      untils_.erase({call.until, callId});
      // From here on the front answers in time; only a deadline of the protocol's own is left to keep.
      call.until = call.deadline.value_or(0);
      if (call.deadline) untils_.emplace(call.until, callId);
      return {CallAction::accept, false, false};
    }
    case CallInput::leave:
    case CallInput::reset: {
      const State was = call.state;
      end(callId);
      const bool abusive = was != State::plays && takeBack(now, peer);
      if (was == State::opened) return {CallAction::end, abusive, false};
      // One that says that it leaves is through with its key; one that was cut off may come back with it.
      return {word == CallInput::leave ? CallAction::notifyLeft : CallAction::notifyClosed, abusive, false};
    }
    case CallInput::halfClose:
      // After the ask it says nothing more, and may well go on listening.
      if (call.state != State::opened) return {};
      ++statistics_.invalidInputs;
      end(callId);
      return {CallAction::reject, false, false};
  }
  return {};
}

void CallManager::rejected(CallId callId) { end(callId); }

SendMode CallManager::reply(CallId callId, ReplyKind tell) {
  const auto it = calls_.find(callId);
  if (it == calls_.end()) return SendMode::drop;  // its player went first
  Call& call = it->second;
  const bool first = call.state == State::asked;
  switch (tell) {
    case ReplyKind::playing:
      if (!first) {
        ++statistics_.secondAnswers;
        return SendMode::drop;
      }
      call.state = State::plays;
      return SendMode::keepOpen;
    case ReplyKind::throttled:
    case ReplyKind::terminated:
    case ReplyKind::error:
      // Guards against a second answer, and an answer after a yes: what plays can only end.
      if (!first) {
        ++statistics_.secondAnswers;
        return SendMode::drop;
      }
      end(callId);
      return SendMode::endCall;
    case ReplyKind::rung:
      return call.state == State::plays ? SendMode::keepOpen : SendMode::drop;
    case ReplyKind::ended:
      if (call.state != State::plays) return SendMode::drop;
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

void CallManager::drain(bool on) {
  draining_ = on;
  telling_ = telling_ || on;
}

// A peer is told twice that this director goes. After the first word calls still come in, since they were on
// the way; each of them is answered, throttled with a time to come back. The second word names the last one
// that was taken, so that a client knows of every later one that it never ran.
void CallManager::tick(Micros now, std::vector<DueAction>& due) {
  while (!untils_.empty() && untils_.begin()->first <= now) {
    const CallId callId = untils_.begin()->second;
    const Call call = calls_.at(callId);
    ++statistics_.deadlines;
    due.push_back({DueAction::Kind::endCall, call.peer, callId, call.state != State::opened});
    end(callId);
  }
  if (!telling_) return;
  for (auto& [id, peer] : peers_) {
    if (draining_ && peer.told == Told::nothing) {
      peer.told = Told::notice;
      peer.toldAt = now;
      due.push_back({DueAction::Kind::drainNotice, id, 0, false});
    } else if (peer.told == Told::notice && now - peer.toldAt >= bounds_.drainNoticePeriod) {
      // Also where the drain was called off: a peer that was told to go must not be left in between.
      peer.told = Told::lastWord;
      peer.toldAt = now;
      due.push_back({DueAction::Kind::finalDrainNotice, id, 0, false});
    }
    if (peer.told == Told::lastWord && peer.calls.empty()) {
      peer.told = Told::ended;
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
