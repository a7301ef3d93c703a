#include "core/core.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lupinsill::client {
namespace {
constexpr Micros never = std::numeric_limits<Micros>::max();
constexpr Micros leastTime = 50'000;  // under it no try could be answered in time

void forget(std::deque<Micros>& times, Micros before) {
  while (!times.empty() && times.front() <= before) times.pop_front();
}
}  // namespace

const char* nameOf(Result result) {
  switch (result) {
    case Result::playing:
      return "playing";
    case Result::throttled:
      return "throttled";
    case Result::terminated:
      return "terminated";
    case Result::unknown:
      return "unknown";
    case Result::unreachable:
      return "unreachable";
    case Result::cancelled:
      return "cancelled";
  }
  return "?";
}

Core::Core(std::vector<DirectorEndpoint> directors, RetryPolicy manners, std::uint64_t seed)
    : manners_(std::move(manners)),
      chance_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
  for (DirectorEndpoint& at : directors) directors_.push_back({std::move(at), 0, 0});
}

Micros Core::jitter(Micros most) {
  if (most <= 0) return 0;
  return static_cast<Micros>(static_cast<double>(chance_() % 1'000'000) / 1e6 * static_cast<double>(most));
}

void Core::note(Held& held, Micros at) {
  held.wakeAt = at;
  due_.emplace(at, held.wish.id);
}

Micros Core::due() const { return due_.empty() ? never : due_.begin()->first; }

Core::Held* Core::byTry(AttemptId attempt) {
  const auto it = tries_.find(attempt);
  if (it == tries_.end()) return nullptr;
  return &held_.at(it->second);
}

// ---- events ----

void Core::submit(Micros now, const Request& wish, std::vector<Action>& acts) {
  if (held_.contains(wish.id)) return;
  ++statistics_.requests;
  Held& held = held_[wish.id];
  held.wish = wish;
  held.endsAt = now + wish.timeout;
  firsts_.push_back(now);
  due_.emplace(held.endsAt, wish.id);
  go(now, held, acts);
}

void Core::cancel(Micros, RequestId wish, std::vector<Action>& acts) {
  const auto it = held_.find(wish);
  if (it != held_.end()) end(it->second, Result::cancelled, 0, 0, acts);
}

SendParameters Core::beginSend(Micros now, AttemptId attempt, const std::string& director) {
  Held* held = byTry(attempt);
  if (held == nullptr || held->sentNow) return {};
  SendParameters out;
  if (held->sentTo.empty()) {
    held->keySent = director + ":" + held->wish.key;
    held->firstSentAt = now;
  } else {
    out.previousDirector = held->sentTo;
    out.sinceFirstSent = now - held->firstSentAt;
  }
  out.key = held->keySent;
  // Guards against a director that answers after the client gave up: it is told how long there is.
  out.timeLeft = std::max<Micros>(1'000, held->endsAt - now);
  held->sentTo = director;
  held->sentOnce = held->sentNow = true;
  // Guards against a second charge at a director that knows nothing of the first.
  if (held->wish.unsafe && held->director < directors_.size())
    held->bound = directors_[held->director].at.address;
  return out;
}

void Core::failed(Micros now, AttemptId attempt, std::vector<Action>& acts, bool unread) {
  Held* held = byTry(attempt);
  if (held == nullptr) return;
  tries_.erase(attempt);
  held->state = State::waiting;
  // What was proved of this try says nothing of those before it.
  if (unread) held->bound = held->boundBefore, held->sentTo = held->sentToBefore;
  shun(now, held->director, 0);
  // Another director may be asked at once; the same one only after a wait.
  if (held->bound.empty())
    go(now, *held, acts);
  else
    wait(now, *held, 0, acts);
}

void Core::answered(Micros now, AttemptId attempt, Answer answer, Micros retryAfter, bool directorDrains,
                    std::vector<Action>& acts) {
  Held* held = byTry(attempt);
  if (held == nullptr) return;
  tries_.erase(attempt);
  held->state = State::waiting;
  const std::size_t director = held->director;
  if (director < directors_.size() && !directorDrains) directors_[director].failures = 0;
  if (answer == Answer::playing) return end(*held, Result::playing, director, 0, acts);
  // Guards against a mistake of the program that is asked again and again, and then called a throttle.
  if (answer == Answer::wrong) return end(*held, Result::terminated, director, 0, acts);
  if (directorDrains) shun(now, director, retryAfter);
  if (answer == Answer::terminated) {
    if (held->wish.unsafe) return end(*held, Result::terminated, director, 0, acts);
    return wait(now, *held, retryAfter, acts);
  }
  // Throttled: nothing of it ran, so an unsafe wish is free to go elsewhere again.
  held->bound.clear();
  held->sentTo.clear();
  wait(now, *held, retryAfter, acts);
}

void Core::tick(Micros now, std::vector<Action>& acts) {
  while (!due_.empty() && due_.begin()->first <= now) {
    const RequestId id = due_.begin()->second;
    due_.erase(due_.begin());
    const auto it = held_.find(id);
    if (it == held_.end()) continue;
    Held& held = it->second;
    if (now >= held.endsAt) {
      if (held.state == State::trying) shun(now, held.director, 0);
      end(held, lastWord(held), held.director, 0, acts);
      continue;
    }
    if (held.wakeAt == 0 || now < held.wakeAt) continue;
    held.wakeAt = 0;
    if (held.state == State::waiting) {
      go(now, held, acts);
      continue;
    }
    // An unsafe ask that may have been taken is never called off: its answer is the only one there is.
    if (held.wish.unsafe && held.sentNow) continue;
    // Guards against a director that takes connections and says nothing on them.
    acts.push_back(AbandonAttempt{held.attempt});
    failed(now, held.attempt, acts);
  }
}

// ---- decisions ----

Result Core::lastWord(const Held& held) const {
  if (!held.bound.empty()) return Result::unknown;
  return held.sentOnce ? Result::throttled : Result::unreachable;
}

void Core::end(Held& held, Result result, std::size_t director, Micros comeBack, std::vector<Action>& acts) {
  if (held.state == State::trying) {
    acts.push_back(AbandonAttempt{held.attempt});
    tries_.erase(held.attempt);
  }
  const RequestId id = held.wish.id;
  acts.push_back(ReportResult{id, result, director, comeBack});
  held_.erase(id);
}

bool Core::spend(Micros now) {
  forget(firsts_, now - manners_.budgetWindow);
  forget(furthers_, now - manners_.budgetWindow);
  if (static_cast<double>(furthers_.size()) + 1 >
      manners_.minRetries + manners_.budgetShare * static_cast<double>(firsts_.size()))
    return false;
  furthers_.push_back(now);
  return true;
}

void Core::shun(Micros now, std::size_t director, Micros least) {
  if (director >= directors_.size()) return;
  Known& known = directors_[director];
  const Micros span = std::min(manners_.maxEjection, manners_.minEjection << std::min(20, known.failures));
  ++known.failures;
  ++statistics_.ejections;
  // Half of it by chance: all clients saw the same failure at the same time.
  known.shunUntil = std::max(known.shunUntil, now + std::max(least, span / 2 + jitter(span / 2)));
}

// False where nobody can be asked now; then `freeAt` says from when somebody can.
bool Core::choose(Micros now, const Held& held, std::size_t& director, Micros& freeAt) {
  freeAt = never;
  std::vector<std::size_t> near, far;
  std::size_t soonest = directors_.size();
  for (std::size_t i = 0; i < directors_.size(); ++i) {
    const Known& known = directors_[i];
    if (!held.bound.empty() && known.at.address != held.bound) continue;
    // A bound wish has nowhere else to go: its waits are its own, not those of the director's other callers.
    if (known.shunUntil > now && held.bound.empty()) {
      if (known.shunUntil < freeAt) freeAt = known.shunUntil, soonest = i;
      continue;
    }
    (known.at.zone == manners_.zone ? near : far).push_back(i);
  }
  const std::vector<std::size_t>& from = near.empty() ? far : near;
  // Guards against a client that turns its viewers away unasked: where every director fails some asks, all of
  // them are shunned at once. A first try is nobody's storm, and goes to the one that is free the soonest.
  if (from.empty() && held.tries == 0 && soonest < directors_.size()) return director = soonest, true;
  if (from.empty()) return false;
  director = from[chance_() % from.size()];
  return true;
}

void Core::go(Micros now, Held& held, std::vector<Action>& acts) {
  if (held.endsAt - now < leastTime) return end(held, lastWord(held), held.director, 0, acts);
  if (held.notBefore > now) return note(held, held.notBefore);
  std::size_t director = 0;
  Micros freeAt = 0;
  if (!choose(now, held, director, freeAt)) {
    // Nobody to ask within its time is told at once, with the time at which it makes sense to come back.
    if (freeAt > held.endsAt - leastTime)
      return end(held, lastWord(held), held.director, freeAt == never ? manners_.maxBackoff : freeAt - now,
                 acts);
    return note(held, freeAt);
  }
  if (held.tries >= manners_.maxAttempts || (held.tries > 0 && !spend(now))) {
    if (held.tries < manners_.maxAttempts) ++statistics_.budgetRefused;
    return end(held, lastWord(held), held.director, manners_.minBackoff << std::min(7, held.waits), acts);
  }
  if (held.tries++ > 0) ++statistics_.retries;
  ++statistics_.attempts;
  held.state = State::trying;
  held.director = director;
  held.boundBefore = held.bound;
  held.sentToBefore = held.sentTo;
  held.sentNow = false;
  held.attempt = ++next_;
  tries_[held.attempt] = held.wish.id;
  const Micros left = held.endsAt - now;
  if (manners_.attemptTimeout < left) note(held, now + manners_.attemptTimeout);
  acts.push_back(StartAttempt{held.wish.id, held.attempt, director, held.wish.key, left});
}

// Full jitter over a span that doubles, after what the answer asked for: a crowd refused together does not
// come back together.
void Core::wait(Micros now, Held& held, Micros least, std::vector<Action>& acts) {
  const Micros span = std::min(manners_.maxBackoff, manners_.minBackoff << std::min(20, held.waits));
  ++held.waits;
  const Micros at = now + least + jitter(span);
  held.notBefore = now + least;
  if (at > held.endsAt - leastTime) {
    const bool may = held.bound.empty();
    // A bound wish waits for its one chance until the end; others are told now when to come back.
    if (may) return end(held, lastWord(held), held.director, std::max<Micros>(least, at - now), acts);
    return note(held, std::max(now + 1, held.endsAt - leastTime));
  }
  note(held, at);
}

}  // namespace lupinsill::client
