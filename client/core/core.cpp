#include "core/core.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lupinsill::client {
namespace {
constexpr Micros never = std::numeric_limits<Micros>::max();
constexpr Micros minAttemptTime = 50'000;    // an attempt with less time left cannot be answered in time
constexpr Micros minStatedTimeLeft = 1'000;  // one millisecond, the unit of the protocol
constexpr int maxDoublings = 20;             // of a backoff or an ejection; keeps the shift within range
constexpr int maxHintDoublings = 7;          // of the retry-after time once no further attempt is allowed

// Removes the times up to and including `cutoff`; `times` is sorted.
void removeUntil(std::deque<Micros>& times, Micros cutoff) {
  while (!times.empty() && times.front() <= cutoff) times.pop_front();
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

Core::Core(std::vector<DirectorEndpoint> directors, RetryPolicy policy, std::uint64_t seed)
    : policy_(std::move(policy)), random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
  for (DirectorEndpoint& endpoint : directors) directors_.push_back({std::move(endpoint), 0, 0});
}

Micros Core::jitter(Micros span) {
  if (span <= 0) return 0;
  return static_cast<Micros>(static_cast<double>(random_() % 1'000'000) / 1e6 * static_cast<double>(span));
}

void Core::wake(PendingRequest& pending, Micros at) {
  pending.wakeAt = at;
  wakeUps_.emplace(at, pending.request.id);
}

Micros Core::due() const { return wakeUps_.empty() ? never : wakeUps_.begin()->first; }

Core::PendingRequest* Core::findByAttempt(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return nullptr;
  return &pending_.at(it->second);
}

// ---- events ----

void Core::submit(Micros now, const Request& request, std::vector<Action>& actions) {
  if (pending_.contains(request.id)) return;
  ++statistics_.requests;
  PendingRequest& pending = pending_[request.id];
  pending.request = request;
  pending.deadline = now + request.timeout;
  firstAttemptTimes_.push_back(now);
  wakeUps_.emplace(pending.deadline, request.id);
  proceed(now, pending, actions);
}

void Core::cancel(Micros, RequestId request, std::vector<Action>& actions) {
  const auto it = pending_.find(request);
  if (it != pending_.end()) finish(it->second, Result::cancelled, 0, 0, actions);
}

SendParameters Core::beginSend(Micros now, AttemptId attempt, const std::string& director) {
  PendingRequest* pending = findByAttempt(attempt);
  if (pending == nullptr || pending->attemptSent) return {};
  SendParameters parameters;
  if (pending->keyDirector.empty()) {
    pending->sentKey = director + ":" + pending->request.key;
    pending->firstSentAt = now;
  } else {
    parameters.previousDirector = pending->keyDirector;
    parameters.sinceFirstSent = now - pending->firstSentAt;
  }
  parameters.key = pending->sentKey;
  // The director must not answer after the client has given up, so it is told the time left.
  parameters.timeLeft = std::max(Micros{minStatedTimeLeft}, pending->deadline - now);
  pending->keyDirector = director;
  pending->everSent = pending->attemptSent = true;
  // Another director would not know of this attempt and could charge the viewer a second time.
  if (pending->request.unsafe && pending->director < directors_.size())
    pending->pinnedAddress = directors_[pending->director].endpoint.address;
  return parameters;
}

void Core::failed(Micros now, AttemptId attempt, std::vector<Action>& actions, bool unread) {
  PendingRequest* pending = findByAttempt(attempt);
  if (pending == nullptr) return;
  attempts_.erase(attempt);
  pending->state = State::waiting;
  // The proof covers this attempt only: an earlier attempt may still have been accepted.
  if (unread)
    pending->pinnedAddress = pending->pinnedBefore, pending->keyDirector = pending->keyDirectorBefore;
  eject(now, pending->director, 0);
  // A different director can be tried immediately; the pinned one only after a backoff.
  if (pending->pinnedAddress.empty())
    proceed(now, *pending, actions);
  else
    backOff(now, *pending, 0, actions);
}

void Core::answered(Micros now, AttemptId attempt, Answer answer, Micros retryAfter, bool directorDrains,
                    std::vector<Action>& actions) {
  PendingRequest* pending = findByAttempt(attempt);
  if (pending == nullptr) return;
  attempts_.erase(attempt);
  pending->state = State::waiting;
  const std::size_t director = pending->director;
  if (director < directors_.size() && !directorDrains) directors_[director].consecutiveFailures = 0;
  if (answer == Answer::playing) return finish(*pending, Result::playing, director, 0, actions);
  // A request with an unknown name is an error of the program: a retry cannot succeed, and the
  // final result would be a misleading `throttled`.
  if (answer == Answer::wrong) return finish(*pending, Result::terminated, director, 0, actions);
  if (directorDrains) eject(now, director, retryAfter);
  if (answer == Answer::terminated) {
    if (pending->request.unsafe) return finish(*pending, Result::terminated, director, 0, actions);
    return backOff(now, *pending, retryAfter, actions);
  }
  // Throttled: nothing was executed, so an unsafe request may be sent to any director again.
  pending->pinnedAddress.clear();
  pending->keyDirector.clear();
  backOff(now, *pending, retryAfter, actions);
}

void Core::tick(Micros now, std::vector<Action>& actions) {
  while (!wakeUps_.empty() && wakeUps_.begin()->first <= now) {
    const RequestId id = wakeUps_.begin()->second;
    wakeUps_.erase(wakeUps_.begin());
    const auto it = pending_.find(id);
    if (it == pending_.end()) continue;
    PendingRequest& pending = it->second;
    if (now >= pending.deadline) {
      if (pending.state == State::attempting) eject(now, pending.director, 0);
      finish(pending, resultWithoutAnswer(pending), pending.director, 0, actions);
      continue;
    }
    if (pending.wakeAt == 0 || now < pending.wakeAt) continue;
    pending.wakeAt = 0;
    if (pending.state == State::waiting) {
      proceed(now, pending, actions);
      continue;
    }
    // An unsafe attempt that may have been accepted is never abandoned: only its answer tells whether it ran.
    if (pending.request.unsafe && pending.attemptSent) continue;
    // The director may accept connections without ever answering on them.
    actions.push_back(AbandonAttempt{pending.attempt});
    failed(now, pending.attempt, actions);
  }
}

// ---- decisions ----

Result Core::resultWithoutAnswer(const PendingRequest& pending) const {
  if (!pending.pinnedAddress.empty()) return Result::unknown;
  return pending.everSent ? Result::throttled : Result::unreachable;
}

void Core::finish(PendingRequest& pending, Result result, std::size_t director, Micros retryAfter,
                  std::vector<Action>& actions) {
  if (pending.state == State::attempting) {
    actions.push_back(AbandonAttempt{pending.attempt});
    attempts_.erase(pending.attempt);
  }
  const RequestId id = pending.request.id;
  actions.push_back(ReportResult{id, result, director, retryAfter});
  pending_.erase(id);
}

bool Core::takeRetry(Micros now) {
  removeUntil(firstAttemptTimes_, now - policy_.budgetWindow);
  removeUntil(retryTimes_, now - policy_.budgetWindow);
  if (static_cast<double>(retryTimes_.size()) + 1 >
      policy_.minRetries + policy_.budgetShare * static_cast<double>(firstAttemptTimes_.size()))
    return false;
  retryTimes_.push_back(now);
  return true;
}

void Core::eject(Micros now, std::size_t director, Micros minSpan) {
  if (director >= directors_.size()) return;
  DirectorState& state = directors_[director];
  const Micros span = std::min(policy_.maxEjection,
                               policy_.minEjection << std::min(int{maxDoublings}, state.consecutiveFailures));
  ++state.consecutiveFailures;
  ++statistics_.ejections;
  // Half of the span is random, because all clients see the same failure at the same time.
  state.ejectedUntil = std::max(state.ejectedUntil, now + std::max(minSpan, span / 2 + jitter(span / 2)));
}

bool Core::pickDirector(Micros now, const PendingRequest& pending, std::size_t& director,
                        Micros& availableAt) {
  availableAt = never;
  std::vector<std::size_t> sameZone, otherZones;
  std::size_t firstAvailable = directors_.size();
  for (std::size_t i = 0; i < directors_.size(); ++i) {
    const DirectorState& state = directors_[i];
    if (!pending.pinnedAddress.empty() && state.endpoint.address != pending.pinnedAddress) continue;
    // A pinned request has no alternative: it follows its own backoff and ignores ejections, which other
    // requests may have caused.
    if (state.ejectedUntil > now && pending.pinnedAddress.empty()) {
      if (state.ejectedUntil < availableAt) availableAt = state.ejectedUntil, firstAvailable = i;
      continue;
    }
    (state.endpoint.zone == policy_.zone ? sameZone : otherZones).push_back(i);
  }
  const std::vector<std::size_t>& candidates = sameZone.empty() ? otherZones : sameZone;
  // If every director fails some requests, all of them are ejected at once. A first attempt cannot cause a
  // retry storm, so it goes to the director whose ejection ends first; otherwise the client would refuse its
  // viewers without asking any director.
  if (candidates.empty() && pending.attempts == 0 && firstAvailable < directors_.size())
    return director = firstAvailable, true;
  if (candidates.empty()) return false;
  director = candidates[random_() % candidates.size()];
  return true;
}

void Core::proceed(Micros now, PendingRequest& pending, std::vector<Action>& actions) {
  if (pending.deadline - now < minAttemptTime)
    return finish(pending, resultWithoutAnswer(pending), pending.director, 0, actions);
  if (pending.notBefore > now) return wake(pending, pending.notBefore);
  std::size_t director = 0;
  Micros availableAt = 0;
  if (!pickDirector(now, pending, director, availableAt)) {
    // No director becomes available before the deadline: report that now, with the time for a new request.
    if (availableAt > pending.deadline - minAttemptTime)
      return finish(pending, resultWithoutAnswer(pending), pending.director,
                    availableAt == never ? policy_.maxBackoff : availableAt - now, actions);
    return wake(pending, availableAt);
  }
  if (pending.attempts >= policy_.maxAttempts || (pending.attempts > 0 && !takeRetry(now))) {
    if (pending.attempts < policy_.maxAttempts) ++statistics_.budgetRefused;
    return finish(pending, resultWithoutAnswer(pending), pending.director,
                  policy_.minBackoff << std::min(int{maxHintDoublings}, pending.backoffs), actions);
  }
  if (pending.attempts++ > 0) ++statistics_.retries;
  ++statistics_.attempts;
  pending.state = State::attempting;
  pending.director = director;
  pending.pinnedBefore = pending.pinnedAddress;
  pending.keyDirectorBefore = pending.keyDirector;
  pending.attemptSent = false;
  pending.attempt = ++lastAttempt_;
  attempts_[pending.attempt] = pending.request.id;
  const Micros left = pending.deadline - now;
  if (policy_.attemptTimeout < left) wake(pending, now + policy_.attemptTimeout);
  actions.push_back(StartAttempt{pending.request.id, pending.attempt, director, pending.request.key, left});
}

// Exponential backoff with full jitter on top of the requested delay, so that clients that were refused at
// the same time do not retry at the same time.
void Core::backOff(Micros now, PendingRequest& pending, Micros minDelay, std::vector<Action>& actions) {
  const Micros span =
      std::min(policy_.maxBackoff, policy_.minBackoff << std::min(int{maxDoublings}, pending.backoffs));
  ++pending.backoffs;
  const Micros at = now + minDelay + jitter(span);
  pending.notBefore = now + minDelay;
  if (at > pending.deadline - minAttemptTime) {
    const bool unpinned = pending.pinnedAddress.empty();
    // A pinned request keeps waiting and makes a last attempt just before its deadline. Any other request
    // ends now and reports when a new one makes sense.
    if (unpinned)
      return finish(pending, resultWithoutAnswer(pending), pending.director,
                    std::max<Micros>(minDelay, at - now), actions);
    return wake(pending, std::max(now + 1, pending.deadline - minAttemptTime));
  }
  wake(pending, at);
}

}  // namespace lupinsill::client
