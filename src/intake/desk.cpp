#include "intake/desk.h"

#include <algorithm>

namespace lupinsill::intake {

// ---- peers ----

// Guards against a crowd that is left to the kernel's queue: each one over the bound hears so at once. An
// unruly or refused peer is no peer: it has no calls, and nothing of it is counted against the others.
Arrival Desk::arrive(Micros now) {
  if (peers_.size() >= bounds_.peers) {
    ++figures_.refused;
    return {0, false, bounds_.refusedAfter};
  }
  ++figures_.taken;
  Peer& peer = peers_[++nextPeer_];
  peer.emptiedAt = now;
  return {nextPeer_, true, 0};
}

std::vector<Line> Desk::depart(PeerId id) {
  std::vector<Line> gone;
  const auto it = peers_.find(id);
  if (it == peers_.end()) return gone;
  const std::set<Line> calls = it->second.calls;
  for (const Line line : calls) {
    if (calls_.at(line).state != State::opened) gone.push_back(line);
    end(line);
  }
  peers_.erase(it);
  return gone;
}

// ---- calls ----

Opened Desk::open(Micros now, PeerId id, std::optional<Micros> timeout) {
  const auto it = peers_.find(id);
  if (it == peers_.end() || it->second.unruly) return {0, NotOpened::unruly, 0};
  Peer& peer = it->second;
  if (peer.calls.size() >= bounds_.callsPerPeer) {
    ++figures_.callsRefused;
    return {0, NotOpened::tooManyCalls, bounds_.callRefusedAfter};
  }
  ++figures_.calls;
  const Line line = ++nextLine_;
  Call& call = calls_[line];
  call.peer = id;
  // Guards against calls that are opened and never used: they would hold their peer's places for ever.
  call.until = now + bounds_.askWait;
  if (timeout) {
    call.deadline = now + std::max<Micros>(0, *timeout);
    call.until = std::min(call.until, *call.deadline);
  }
  untils_.emplace(call.until, line);
  peer.calls.insert(line);
  return {line, NotOpened::no, 0};
}

void Desk::end(Line line) {
  const auto it = calls_.find(line);
  if (it == calls_.end()) return;
  untils_.erase({it->second.until, line});
  if (const auto peer = peers_.find(it->second.peer); peer != peers_.end()) peer->second.calls.erase(line);
  calls_.erase(it);
}

// Guards against a peer that asks and takes back in a loop: each round costs the front an ask and a node a
// join, and costs the peer nothing (the "rapid reset" of 2023, on either protocol).
bool Desk::takeBack(Micros now, Peer& peer) {
  const double emptied = static_cast<double>(now - peer.emptiedAt) / 1e6 * bounds_.takenBackPerSecond;
  peer.takenBack = std::max(0.0, peer.takenBack - std::max(0.0, emptied)) + 1;
  peer.emptiedAt = now;
  if (peer.takenBack <= bounds_.takenBackFew || peer.unruly) return false;
  peer.unruly = true;
  ++figures_.unruly;
  return true;
}

Heard Desk::word(Micros now, Line line, Word word) {
  const auto it = calls_.find(line);
  if (it == calls_.end()) return {};  // it crossed our last word
  Call& call = it->second;
  Peer& peer = peers_.at(call.peer);
  switch (word) {
    case Word::ask: {
      // A second ask on a call would have no answer of its own.
      if (call.state != State::opened) {
        ++figures_.wrongWords;
        end(line);
        return {Step::refuse, false, true};
      }
      call.state = State::asked;
      untils_.erase({call.until, line});
      // From here on the front answers in time; only a deadline of the protocol's own is left to keep.
      call.until = call.deadline.value_or(0);
      if (call.deadline) untils_.emplace(call.until, line);
      return {Step::take, false, false};
    }
    case Word::leave:
    case Word::reset: {
      const State was = call.state;
      end(line);
      const bool unruly = was != State::plays && takeBack(now, peer);
      if (was == State::opened) return {Step::over, unruly, false};
      // One that says that it leaves is through with its key; one that was cut off may come back with it.
      return {word == Word::leave ? Step::tellLeft : Step::tellGone, unruly, false};
    }
    case Word::halfClose:
      // After the ask it says nothing more, and may well go on listening.
      if (call.state != State::opened) return {};
      ++figures_.wrongWords;
      end(line);
      return {Step::refuse, false, false};
  }
  return {};
}

void Desk::refused(Line line) { end(line); }

Send Desk::tell(Line line, Tell tell) {
  const auto it = calls_.find(line);
  if (it == calls_.end()) return Send::no;  // its player went first
  Call& call = it->second;
  const bool first = call.state == State::asked;
  switch (tell) {
    case Tell::playing:
      if (!first) {
        ++figures_.secondAnswers;
        return Send::no;
      }
      call.state = State::plays;
      return Send::andStay;
    case Tell::throttled:
    case Tell::terminated:
    case Tell::error:
      // Guards against a second answer, and an answer after a yes: what plays can only end.
      if (!first) {
        ++figures_.secondAnswers;
        return Send::no;
      }
      end(line);
      return Send::andEnd;
    case Tell::rung:
      return call.state == State::plays ? Send::andStay : Send::no;
    case Tell::ended:
      if (call.state != State::plays) return Send::no;
      end(line);
      return Send::andEnd;
  }
  return Send::no;
}

std::optional<Micros> Desk::timeLeft(Micros now, Line line) const {
  const auto it = calls_.find(line);
  if (it == calls_.end() || !it->second.deadline) return std::nullopt;
  return std::max<Micros>(0, *it->second.deadline - now);
}

// ---- the director as a whole ----

void Desk::drain(bool on) {
  draining_ = on;
  telling_ = telling_ || on;
}

// A peer is told twice that this director goes. After the first word calls still come in, since they were on
// the way; each of them is answered, throttled with a time to come back. The second word names the last one
// that was taken, so that a client knows of every later one that it never ran.
void Desk::tick(Micros now, std::vector<Due>& due) {
  while (!untils_.empty() && untils_.begin()->first <= now) {
    const Line line = untils_.begin()->second;
    const Call call = calls_.at(line);
    ++figures_.deadlines;
    due.push_back({Due::What::endCall, call.peer, line, call.state != State::opened});
    end(line);
  }
  if (!telling_) return;
  for (auto& [id, peer] : peers_) {
    if (draining_ && peer.told == Told::nothing) {
      peer.told = Told::notice;
      peer.toldAt = now;
      due.push_back({Due::What::notice, id, 0, false});
    } else if (peer.told == Told::notice && now - peer.toldAt >= bounds_.noticeSpan) {
      // Also where the drain was called off: a peer that was told to go must not be left in between.
      peer.told = Told::lastWord;
      peer.toldAt = now;
      due.push_back({Due::What::lastWord, id, 0, false});
    }
    if (peer.told == Told::lastWord && peer.calls.empty()) {
      peer.told = Told::ended;
      due.push_back({Due::What::endPeer, id, 0, false});
    }
  }
}

Figures Desk::figures() const {
  Figures figures = figures_;
  figures.peers = peers_.size();
  figures.open = calls_.size();
  return figures;
}

}  // namespace lupinsill::intake
