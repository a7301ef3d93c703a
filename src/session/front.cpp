// A turn handles, in this order: joins whose intent has become durable, inbound events with list updates
// first, join time-outs, timers, the decider, answer deadlines and the expiry of ledger records.
#include "session/front.h"

#include <algorithm>
#include <utility>

namespace lupinsill::session {
namespace {

constexpr Micros millisecond = 1'000;
constexpr Micros maxTurnInterval = 200 * millisecond;
// The decider is asked again in the same turn when a guard rejects one of its joins.
constexpr int maxDeciderRounds = 64;

// Whether the outcome proves that the join did not run at its media node.
bool provesNothingRan(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::connectFailed || outcome == Outcome::notSent;
}

}  // namespace

const char* nameOf(ThrottleReason reason) {
  switch (reason) {
    case ThrottleReason::noRoom:
      return "no-room";
    case ThrottleReason::busy:
      return "busy";
    case ThrottleReason::late:
      return "late";
    case ThrottleReason::draining:
      return "draining";
    case ThrottleReason::unknownTitle:
      return "unknown-title";
  }
  return "?";
}
const char* nameOf(TerminateReason reason) {
  switch (reason) {
    case TerminateReason::mayHaveRun:
      return "may-have-run";
    case TerminateReason::ended:
      return "ended";
    case TerminateReason::failed:
      return "failed";
    case TerminateReason::elsewhere:
      return "elsewhere";
  }
  return "?";
}
const char* nameOf(EndReason reason) {
  switch (reason) {
    case EndReason::finished:
      return "finished";
    case EndReason::nodeLost:
      return "node-lost";
    case EndReason::directorDrains:
      return "director-drains";
  }
  return "?";
}

Front::Front(ControlSettings settings, Limits limits, std::unique_ptr<Decider> decider)
    : settings_(std::move(settings)),
      limits_(limits),
      decider_(std::move(decider)),
      guards_(settings_, limits.grace),
      ledger_(limits.keyRetention, limits.maxKeys, limits.keysStored),
      retryAfterSchedule_(settings_) {}

// ---- inbound events ----

void Front::submit(PlayRequest request) { inboundEvents_.push_back(InboundRequest{std::move(request)}); }
void Front::leave(CallId callId) { inboundEvents_.push_back(InboundLeave{callId, false}); }
void Front::closed(CallId callId) { inboundEvents_.push_back(InboundLeave{callId, true}); }
void Front::joinStarted(JoinId join, std::string answer) {
  inboundEvents_.push_back(InboundJoinStart{join, std::move(answer)});
}
void Front::drain(bool on) { draining_ = on; }
void Front::setAnswerDeadline(Micros deadline) {
  answerDeadline_ = deadline;
  for (auto& [id, subscription] : subscriptions_)
    if (!subscription->answered) shortenDeadline(*subscription, deadline);
}

void Front::endAll() { endAllRequested_ = draining_ = true; }

// Takes effect at once: a time-out before the next turn must know that the join may run.
bool Front::mayWrite(Micros now, JoinId join) {
  JoinAttempt* attempt = findAttempt(join);
  if (attempt == nullptr) return false;
  Rule rule = Rule::drain;
  if (limits_.guardsEnabled && !attempt->written && !guards_.mayWrite(now, attempt->node, rule))
    return countViolation(rule), false;
  return attempt->written = true;
}

void Front::joinEnded(JoinId join, Outcome outcome, const LoadReport& report, bool finished) {
  inboundEvents_.push_back(InboundJoinEnd{join, outcome, report, finished});
}

void Front::measured(JoinId join, MeasurementKind kind, double value) {
  if (const JoinAttempt* attempt = findAttempt(join))
    inboundEvents_.push_back(
        InboundControlEvent{MeasurementReported{attempt->subscription->id, attempt->node, kind, value}});
}

void Front::listUpdated(ListUpdate update) {
  inboundEvents_.push_back(InboundControlEvent{std::move(update)});
}

// ---- turns ----

void Front::processTurn(Micros now, std::vector<Command>& commands) {
  now_ = now;
  commands_ = &commands;
  const Micros gap = lastTurn_ == 0 ? 0 : now - lastTurn_;
  lastTurn_ = now;
  stallTime_ = gap > limits_.stallThreshold ? gap : 0;
  if (stallTime_ != 0) ++statistics_.stalls;

  // Send the joins whose intent has reached the disk. Those that have ended meanwhile are no longer in
  // attempts_.
  while (!unrecordedJoins_.empty() && ledger_.isDurable(unrecordedJoins_.front().first)) {
    SetUp& setUp = unrecordedJoins_.front().second;
    if (const JoinAttempt* attempt = findAttempt(setUp.join)) {
      setUp.rung = attempt->subscription->rung;
      // The node may have begun to drain while the store was writing.
      if (guards_.isNotReady(setUp.node))
        joinEnded(setUp.join, Outcome::notSent, {});
      else
        commands.push_back(setUp);
    }
    unrecordedJoins_.pop_front();
  }
  if (storeFailed_) cancelUnrecordedJoins();

  std::vector<InboundEvent> inboundEvents = std::move(inboundEvents_);
  inboundEvents_.clear();
  // List updates go first, so that the order in which sockets were read does not decide whether a request or
  // join of this turn sees them.
  const auto isListUpdate = [](const InboundEvent& inbound) {
    const auto* event = std::get_if<InboundControlEvent>(&inbound);
    return event != nullptr && std::holds_alternative<ListUpdate>(event->event);
  };
  std::stable_partition(inboundEvents.begin(), inboundEvents.end(), isListUpdate);
  for (InboundEvent& inbound : inboundEvents) std::visit([this](auto& event) { process(event); }, inbound);

  while (!joinDeadlines_.empty() && joinDeadlines_.begin()->first <= now) {
    JoinAttempt* attempt = findAttempt(joinDeadlines_.begin()->second);
    joinDeadlines_.erase(joinDeadlines_.begin());
    if (attempt != nullptr) timeOutJoin(*attempt);
  }
  while (!timers_.empty() && timers_.begin()->first <= now) {
    deciderEvents_.push_back(TimerFired{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  // The decider is called even without events, so that it can set its timers in the first turn.
  bool firstRound = true;
  for (int round = 0; round < maxDeciderRounds && (firstRound || !deciderEvents_.empty()); ++round) {
    firstRound = false;
    const std::vector<Event> events = std::move(deciderEvents_);
    deciderEvents_.clear();
    std::vector<Action> actions;
    decider_->handle(now, events, actions);
    for (const Action& action : actions) execute(action);
  }
  expireDeadlines();
  if (endAllRequested_) endAllSubscriptions();
  ledger_.expire(now);
  commands_ = nullptr;
}

Micros Front::due() const {
  if (!deciderEvents_.empty() || !inboundEvents_.empty() || (storeFailed_ && !unrecordedJoins_.empty()) ||
      (!unrecordedJoins_.empty() && ledger_.isDurable(unrecordedJoins_.front().first)))
    return lastTurn_;
  Micros at = lastTurn_ + maxTurnInterval;
  if (!joinDeadlines_.empty()) at = std::min(at, joinDeadlines_.begin()->first);
  if (!timers_.empty()) at = std::min(at, timers_.begin()->first);
  if (!deadlines_.empty()) at = std::min(at, deadlines_.begin()->first);
  return at;
}

// ---- requests ----

ledger::Digest Front::digestOfKey(const PlayRequest& request) {
  return ledger::digestOf(request.viewer + '\n' + request.title + '\n' + std::to_string(request.roomType) +
                          '\n' + request.idempotencyKey);
}

void Front::process(InboundRequest& inbound) {
  PlayRequest& request = inbound.request;
  if (subscriptionByCall_.contains(request.callId)) return;
  ++statistics_.asks;
  // A transport should have rejected an unknown room type; no setting applies to such a request.
  if (request.roomType < 0 || static_cast<std::size_t>(request.roomType) >= settings_.roomTypes.size()) {
    ++statistics_.terminated;
    return commands_->push_back(Terminated{request.callId, TerminateReason::failed});
  }
  const RoomType& room = settings_.roomTypes[static_cast<std::size_t>(request.roomType)];
  const bool unsafe = room.effect != Effect::repeatable;
  if (unsafe && !request.idempotencyKey.empty() && handleRepeat(request)) return;
  const auto throttle = [&](ThrottleReason reason) {
    ++statistics_.throttled;
    commands_->push_back(Throttled{request.callId, retryAfterSchedule_.next(), reason});
  };
  if (draining_) return throttle(ThrottleReason::draining);
  if (request.holders <= 0) return throttle(ThrottleReason::unknownTitle);
  // After a stall the request may have waited in its socket for the length of the stall while the client
  // timeout was already running; without this deduction the answer could come after the client timeout.
  Micros deadline = now_ + request.timeout - limits_.answerMargin - stallTime_;
  if (answerDeadline_ != 0) deadline = std::min(deadline, answerDeadline_);
  if (deadline - now_ < limits_.minTimeLeft) {
    ++statistics_.late;
    return throttle(ThrottleReason::late);
  }
  if (statistics_.open >= limits_.maxOpen || subscriptions_.size() >= limits_.maxSubscriptions ||
      (unsafe && (ledger_.full() || subscriptionByKey_.size() >= limits_.maxKeys || storeFailed_)))
    return throttle(ThrottleReason::busy);

  auto created = std::make_unique<Subscription>();
  Subscription& subscription = *created;
  subscription.id = ++lastSubscriptionId_;
  subscription.deadline = deadline;
  subscription.calls.push_back({request.callId});
  subscription.unsafe = unsafe;
  subscription.request = std::move(request);
  subscriptionByCall_[subscription.request.callId] = subscription.id;
  if (unsafe && !subscription.request.idempotencyKey.empty()) {
    subscription.key = digestOfKey(subscription.request);
    subscriptionByKey_[subscription.key] = subscription.id;
  }
  deadlines_.emplace(deadline, subscription.id);
  ++statistics_.open;
  guards_.requestArrived(now_);
  deciderEvents_.push_back(SubscriptionRequested{infoOf(subscription)});
  subscriptions_.emplace(subscription.id, std::move(created));
}

SubscriptionInfo Front::infoOf(const Subscription& subscription) const {
  const PlayRequest& request = subscription.request;
  return {subscription.id,  request.title, request.viewer,
          request.roomType, request.party, request.firstCell,
          request.holders,  request.top,   subscription.deadline,
          request.length,   false};
}

JoinId Front::adopt(PlayRequest request, NodeId node) {
  inboundEvents_.push_back(InboundAdoption{std::move(request), node, ++lastJoinId_});
  return lastJoinId_;
}

// From here on the subscription counts towards its seats and its node as if this process had joined it.
void Front::process(InboundAdoption& inbound) {
  if (subscriptionByCall_.contains(inbound.request.callId) || inbound.request.roomType < 0 ||
      static_cast<std::size_t>(inbound.request.roomType) >= settings_.roomTypes.size())
    return;
  auto created = std::make_unique<Subscription>();
  Subscription& subscription = *created;
  subscription.id = ++lastSubscriptionId_;
  subscription.calls.push_back({inbound.request.callId, true});
  subscription.unsafe =
      settings_.roomTypes[static_cast<std::size_t>(inbound.request.roomType)].effect != Effect::repeatable;
  subscription.answered = subscription.mayHaveRun = true;
  subscription.request = std::move(inbound.request);
  subscription.joinCount = 1;
  subscriptionByCall_[subscription.request.callId] = subscription.id;
  auto attempt = std::make_unique<JoinAttempt>();
  attempt->id = inbound.join;
  attempt->subscription = &subscription;
  attempt->node = inbound.node;
  attempt->written = attempt->started = true;
  attempt->countedByGuards = limits_.guardsEnabled;
  if (attempt->countedByGuards) guards_.adopted(subscription.request.title, subscription.request.roomType);
  subscription.attempt = attempt.get();
  ++statistics_.plays;
  deciderEvents_.push_back(SubscriptionAdopted{infoOf(subscription), inbound.node});
  attempts_.emplace(inbound.join, std::move(attempt));
  subscriptions_.emplace(subscription.id, std::move(created));
}

// Prevents a second charge when a client repeats an unsafe request because the answer was lost, its socket
// closed or it asked twice. A repeat gets the outcome of the first join of its key.
bool Front::handleRepeat(const PlayRequest& request) {
  const ledger::Digest key = digestOfKey(request);
  const auto terminate = [&](TerminateReason reason) {
    ++statistics_.repeated;
    ++statistics_.terminated;
    commands_->push_back(Terminated{request.callId, reason});
    return true;
  };
  const auto it = subscriptionByKey_.find(key);
  if (it == subscriptionByKey_.end()) {
    // Earliest possible time: this request may itself have been on its way for up to its client timeout.
    std::optional<Micros> firstSentAt;
    if (request.sinceFirstSent) firstSentAt = now_ - *request.sinceFirstSent - request.timeout - stallTime_;
    const ledger::LookupResult known =
        ledger_.lookup(now_, key, request.repeat == PlayRequest::Repeat::here, firstSentAt);
    if (known == ledger::LookupResult::played) return terminate(TerminateReason::ended);
    if (known == ledger::LookupResult::mayHaveRun) {
      if (ledger_.mayHaveLostRecord(now_, firstSentAt)) ++statistics_.uncertainRepeats;
      return terminate(TerminateReason::mayHaveRun);
    }
    // Directors share no ledger: only the one that received the first request knows whether its join has run.
    return request.repeat == PlayRequest::Repeat::elsewhere && terminate(TerminateReason::elsewhere);
  }
  Subscription& subscription = *findSubscription(it->second);
  ++statistics_.repeated;
  subscription.calls.push_back({request.callId});
  subscriptionByCall_[request.callId] = subscription.id;
  if (subscription.orphanDeadline != 0) {
    deadlines_.erase({subscription.orphanDeadline, subscription.id});
    subscription.orphanDeadline = 0;
  }
  if (subscription.attempt != nullptr && subscription.attempt->started)
    return answerPlaying(subscription), true;
  // No player was waiting for the join any more; this one is, and needs an answer.
  if (subscription.answered) {
    subscription.answered = false;
    ++statistics_.open;
    deadlines_.emplace(subscription.deadline, subscription.id);
  }
  // The repeat shares the answer of the first request but must get it before its own client timeout.
  shortenDeadline(subscription, now_ + request.timeout - limits_.answerMargin - stallTime_);
  return true;
}

// Moves the answer to an earlier deadline, and the time-out of a join that has not started with it.
void Front::shortenDeadline(Subscription& subscription, Micros deadline) {
  if (deadline >= subscription.deadline) return;
  deadlines_.erase({subscription.deadline, subscription.id});
  subscription.deadline = deadline;
  deadlines_.emplace(deadline, subscription.id);
  if (JoinAttempt* attempt = subscription.attempt;
      attempt != nullptr && !attempt->started && deadline < attempt->deadline) {
    joinDeadlines_.erase({attempt->deadline, attempt->id});
    attempt->deadline = deadline;
    joinDeadlines_.emplace(attempt->deadline, attempt->id);
  }
}

void Front::process(InboundLeave& inbound) {
  const auto it = subscriptionByCall_.find(inbound.callId);
  if (it == subscriptionByCall_.end()) return;
  Subscription& subscription = *findSubscription(it->second);
  subscriptionByCall_.erase(it);
  std::erase_if(subscription.calls, [&](const Call& call) { return call.id == inbound.callId; });
  if (!subscription.calls.empty() || subscription.abandoned) return;
  // An orphaned unsafe subscription is kept for a while, so that the player finds it again by its key. A join
  // that has not been written is cancelled instead, so that it cannot start without a player; the same key
  // then starts anew.
  if (inbound.socketClosed && subscription.unsafe && subscription.attempt != nullptr &&
      subscription.attempt->written && !subscription.request.idempotencyKey.empty()) {
    deadlines_.erase({subscription.deadline, subscription.id});
    subscription.orphanDeadline = now_ + limits_.orphanTimeout;
    deadlines_.emplace(subscription.orphanDeadline, subscription.id);
    return markAnswered(subscription);
  }
  if (subscription.attempt != nullptr && subscription.attempt->started)
    return finishJoin(*subscription.attempt, Outcome::cancelled, {}, true, true);
  abandon(subscription);
}

void Front::abandon(Subscription& subscription) {
  subscription.abandoned = true;
  markAnswered(subscription);
  deadlines_.erase({subscription.deadline, subscription.id});
  // Prevents joins without a player. A join that has not been written is withdrawn, even if the settings do
  // not allow cancelling joins that have been written. If a join ended in this same turn, its event is marked
  // as settled: otherwise the decider would place another join, which nothing would end.
  if (subscription.attempt != nullptr && !subscription.attempt->written)
    return finishJoin(*subscription.attempt, Outcome::notSent, {}, true, true);
  for (Event& event : deciderEvents_)
    if (auto* ended = std::get_if<JoinEnded>(&event); ended != nullptr && ended->sub == subscription.id)
      ended->settled = true;
  deciderEvents_.push_back(SubscriptionAbandoned{subscription.id});
  if (subscription.attempt != nullptr) return;
  removeSubscription(subscription.id);
}

// ---- list updates and measurements ----

void Front::process(InboundControlEvent& inbound) {
  if (const auto* list = std::get_if<ListUpdate>(&inbound.event)) {
    guards_.listUpdated(now_, *list);
    // A join that still waits for its connection could be written long after its node began to drain. It is
    // withdrawn unwritten, and the decider places it anew.
    for (const auto& [id, attempt] : attempts_)
      if (!attempt->written && guards_.isNotReady(attempt->node)) commands_->push_back(Withdraw{id});
  }
  deciderEvents_.push_back(std::move(inbound.event));
}

// ---- joins ----

void Front::process(InboundJoinStart& inbound) {
  JoinAttempt* attempt = findAttempt(inbound.join);
  if (attempt == nullptr || attempt->started) return;
  Subscription& subscription = *attempt->subscription;
  // The join has started too late for an answer before the client timeout, so it counts as timed out.
  if (!subscription.answered && now_ >= subscription.deadline + limits_.answerMargin / 2)
    return timeOutJoin(*attempt);
  attempt->started = true;
  attempt->answer = std::move(inbound.answer);
  ++statistics_.plays;
  joinDeadlines_.erase({attempt->deadline, attempt->id});
  deadlines_.erase({subscription.deadline, subscription.id});
  deciderEvents_.push_back(JoinStarted{subscription.id, attempt->number});
  if (subscription.unsafe) recordState(subscription, ledger::RecordState::played);
  if (subscription.abandoned) return finishJoin(*attempt, Outcome::cancelled, {}, true, true);
  answerPlaying(subscription);
}

void Front::process(InboundJoinEnd& inbound) {
  JoinAttempt* attempt = findAttempt(inbound.join);
  if (attempt == nullptr) return;
  if (inbound.outcome == Outcome::notSent) ++statistics_.withdrawnJoins;
  if (!attempt->started) return endUnstartedJoin(*attempt, inbound.outcome, inbound.report, false);
  ++statistics_.ended;
  if (!inbound.finished) ++statistics_.nodeLost;
  notifyEnded(*attempt->subscription, inbound.finished ? EndReason::finished : EndReason::nodeLost,
              inbound.finished ? 0 : retryAfterSchedule_.next());
  finishJoin(*attempt, inbound.finished ? Outcome::ok : inbound.outcome, inbound.report, true, false);
}

// A join that was never written cannot have run, however long it waited; see provesNothingRan().
void Front::timeOutJoin(JoinAttempt& attempt) {
  endUnstartedJoin(attempt, attempt.written ? Outcome::timeout : Outcome::connectFailed, {}, true);
}

void Front::endUnstartedJoin(JoinAttempt& attempt, Outcome outcome, const LoadReport& report,
                             bool sendTearDown) {
  const Subscription& subscription = *attempt.subscription;
  finishJoin(attempt, outcome, report, subscription.abandoned || subscription.calls.empty(), sendTearDown);
}

void Front::finishJoin(JoinAttempt& attempt, Outcome outcome, const LoadReport& report, bool settled,
                       bool sendTearDown) {
  Subscription& subscription = *attempt.subscription;
  const JoinId id = attempt.id;
  // A join that has started has run, whatever outcome the node reports at its end.
  if (attempt.started || !provesNothingRan(outcome)) subscription.mayHaveRun = true;
  if (attempt.countedByGuards) guards_.joinEnded(subscription.request.title, subscription.request.roomType);
  const bool played = attempt.started;
  if (played) --statistics_.plays;
  joinDeadlines_.erase({attempt.deadline, id});
  deciderEvents_.push_back(
      JoinEnded{subscription.id, attempt.node, attempt.number, outcome, settled, report});
  if (subscription.attempt == &attempt) subscription.attempt = nullptr;
  attempts_.erase(id);
  if (sendTearDown) commands_->push_back(TearDown{id});
  // Recorded at the end of each join and not only of the last, because the process may be killed in between.
  if (subscription.unsafe)
    recordState(subscription, played                    ? ledger::RecordState::over
                              : subscription.mayHaveRun ? ledger::RecordState::mayHaveRun
                                                        : ledger::RecordState::refused);
  if (settled) removeSubscription(subscription.id);
}

void Front::execute(const Action& action) {
  if (const auto* rung = std::get_if<SetRung>(&action)) {
    Subscription* subscription = findSubscription(rung->sub);
    if (subscription == nullptr) return;
    const int floor = settings_.roomTypes[static_cast<std::size_t>(subscription->request.roomType)].floor;
    subscription->rung = rung->rung;
    if (limits_.guardsEnabled && subscription->rung < floor)
      countViolation(Rule::floor), subscription->rung = floor;
    if (subscription->attempt == nullptr) return;
    commands_->push_back(ChangeRung{subscription->attempt->id, subscription->rung});
    if (!subscription->attempt->started) return;
    ++statistics_.rungChanges;
    for (const Call& call : subscription->calls)
      commands_->push_back(RungChanged{call.id, subscription->rung});
  } else if (const auto* start = std::get_if<Join>(&action)) {
    if (Subscription* subscription = findSubscription(start->sub))
      startJoin(*subscription, start->node, start->timeout);
  } else if (const auto* cancel = std::get_if<CancelJoin>(&action)) {
    Subscription* subscription = findSubscription(cancel->sub);
    if (subscription == nullptr || subscription->attempt == nullptr || subscription->attempt->started ||
        subscription->attempt->number != cancel->join)
      return;
    endUnstartedJoin(*subscription->attempt,
                     subscription->attempt->written ? Outcome::cancelled : Outcome::connectFailed, {}, true);
  } else if (const auto* throttle = std::get_if<Throttle>(&action)) {
    Subscription* subscription = findSubscription(throttle->sub);
    if (subscription == nullptr || subscription->answered) return;
    if (limits_.guardsEnabled && subscription->unsafe &&
        (subscription->mayHaveRun || subscription->attempt != nullptr)) {
      countViolation(Rule::onceOnly);
      answerTerminated(*subscription, TerminateReason::mayHaveRun);
    } else {
      answerThrottled(*subscription, throttle->retryAfter, ThrottleReason::noRoom);
    }
    removeSubscription(throttle->sub);
  } else if (const auto* terminate = std::get_if<Terminate>(&action)) {
    Subscription* subscription = findSubscription(terminate->sub);
    if (subscription == nullptr || subscription->answered) return;
    const auto reason = subscription->mayHaveRun ? TerminateReason::mayHaveRun : TerminateReason::failed;
    answerTerminated(*subscription, reason);
    removeSubscription(terminate->sub);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    timers_.emplace(now_ + timer->span, timer->key);
  } else {
    commands_->push_back(StartListWatch{});
  }
}

void Front::startJoin(Subscription& subscription, NodeId node, Micros timeout) {
  const int number = subscription.joinCount++;
  const RoomType& room = settings_.roomTypes[static_cast<std::size_t>(subscription.request.roomType)];
  Rule rule = Rule::oneJoin;
  bool allowed = !limits_.guardsEnabled || subscription.attempt == nullptr;
  if (allowed && limits_.guardsEnabled && room.effect == Effect::once && subscription.mayHaveRun)
    allowed = false, rule = Rule::onceOnly;
  if (allowed && limits_.guardsEnabled)
    allowed = guards_.mayPlace(now_, subscription.request.title, subscription.request.roomType, node,
                               number > 0, rule);
  if (!allowed) {
    countViolation(rule);
    deciderEvents_.push_back(JoinEnded{subscription.id, node, number, Outcome::notSent, false, {}});
    return;
  }
  ++statistics_.joins;
  if (number > 0) ++statistics_.furtherJoins;
  auto created = std::make_unique<JoinAttempt>();
  JoinAttempt& attempt = *created;
  attempt.id = ++lastJoinId_;
  attempt.subscription = &subscription;
  attempt.node = node;
  attempt.number = number;
  attempt.countedByGuards = limits_.guardsEnabled;
  attempt.deadline = timeout > 0 ? std::min(now_ + timeout, subscription.deadline) : subscription.deadline;
  joinDeadlines_.emplace(attempt.deadline, attempt.id);
  subscription.attempt = &attempt;
  const SetUp setUp{attempt.id,
                    subscription.id,
                    node,
                    subscription.request.roomType,
                    subscription.rung,
                    subscription.request.title,
                    subscription.request.viewer,
                    subscription.request.idempotencyKey,
                    subscription.request.callId,
                    attempt.deadline};
  if (subscription.unsafe && !subscription.request.idempotencyKey.empty())
    sendOnceDurable(setUp, ledger_.recordIntent(now_, subscription.key));
  else
    commands_->push_back(setUp);
  attempts_.emplace(attempt.id, std::move(created));
}

// ---- answers: no other function sends one, except for requests rejected on arrival ----

void Front::markAnswered(Subscription& subscription) {
  if (subscription.answered) return;
  subscription.answered = true;
  --statistics_.open;
}

void Front::answerPlaying(Subscription& subscription) {
  markAnswered(subscription);
  for (Call& call : subscription.calls) {
    if (call.answered) continue;
    call.answered = true;
    ++statistics_.playing;
    commands_->push_back(Playing{call.id, subscription.id, subscription.attempt->node, subscription.rung,
                                 subscription.attempt->answer});
  }
  // Only a request with the same key can still ask for the answer.
  if (subscription.request.idempotencyKey.empty()) subscription.attempt->answer = std::string();
}

void Front::answerThrottled(Subscription& subscription, Micros retryAfter, ThrottleReason reason) {
  markAnswered(subscription);
  for (Call& call : subscription.calls) {
    if (call.answered) continue;
    call.answered = true;
    ++statistics_.throttled;
    commands_->push_back(Throttled{call.id, retryAfter, reason});
  }
}

void Front::answerTerminated(Subscription& subscription, TerminateReason reason) {
  markAnswered(subscription);
  for (Call& call : subscription.calls) {
    if (call.answered) continue;
    call.answered = true;
    ++statistics_.terminated;
    commands_->push_back(Terminated{call.id, reason});
  }
}

void Front::notifyEnded(Subscription& subscription, EndReason reason, Micros retryAfter) {
  for (const Call& call : subscription.calls) commands_->push_back(Ended{call.id, reason, retryAfter});
}

// Answers every request that is still open at its deadline, so that none stays without an answer whatever the
// decider and the transports do. Also ends orphaned subscriptions whose player has not returned.
void Front::expireDeadlines() {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
    const auto [at, sub] = *deadlines_.begin();
    Subscription* subscription = findSubscription(sub);
    if (subscription == nullptr) {
      deadlines_.erase(deadlines_.begin());
      continue;
    }
    if (subscription->orphanDeadline == at) {
      deadlines_.erase(deadlines_.begin());
      if (subscription->attempt != nullptr && subscription->attempt->started)
        finishJoin(*subscription->attempt, Outcome::cancelled, {}, true, true);
      else
        abandon(*subscription);
      continue;
    }
    deadlines_.erase(deadlines_.begin());
    if (!limits_.guardsEnabled || subscription->answered) continue;
    if (subscription->deadline != answerDeadline_) countViolation(Rule::oneAnswer);
    const bool mayRun = subscription->mayHaveRun || subscription->attempt != nullptr;
    if (subscription->unsafe && mayRun)
      answerTerminated(*subscription, TerminateReason::mayHaveRun);
    else
      answerThrottled(*subscription, retryAfterSchedule_.next(), ThrottleReason::late);
    if (subscription->attempt != nullptr)
      finishJoin(*subscription->attempt,
                 subscription->attempt->written ? Outcome::timeout : Outcome::connectFailed, {}, true, true);
    else
      abandon(*subscription);
  }
}

void Front::endAllSubscriptions() {
  endAllRequested_ = false;
  while (!subscriptions_.empty()) {
    Subscription& subscription = *subscriptions_.begin()->second;
    const bool playing = subscription.attempt != nullptr && subscription.attempt->started;
    if (playing)
      notifyEnded(subscription, EndReason::directorDrains, retryAfterSchedule_.next());
    else if (subscription.unsafe &&
             (subscription.mayHaveRun || (subscription.attempt != nullptr && subscription.attempt->written)))
      answerTerminated(subscription, TerminateReason::mayHaveRun);
    else
      answerThrottled(subscription, retryAfterSchedule_.next(), ThrottleReason::draining);
    if (subscription.attempt != nullptr)
      finishJoin(*subscription.attempt, Outcome::cancelled, {}, true, true);
    else
      abandon(subscription);
  }
}

// ---- records and lookup ----

void Front::recordState(const Subscription& subscription, ledger::RecordState state) {
  if (!subscription.request.idempotencyKey.empty()) ledger_.updateState(now_, subscription.key, state);
}

// Sends an unsafe join only once its write-ahead intent is on disk, so that the next process knows of it if
// this one is killed; otherwise a repeat could be charged twice. Until it is sent the join counts as not
// written, so its end proves that nothing has run.
void Front::sendOnceDurable(const SetUp& setUp, ledger::Seq seq) {
  if (ledger_.isDurable(seq))
    commands_->push_back(setUp);
  else
    unrecordedJoins_.emplace_back(seq, setUp);
}

// After a store failure the intents of waiting joins never become durable. None of these joins has been sent,
// so their requests are answered now instead of at their deadlines.
void Front::cancelUnrecordedJoins() {
  const auto unrecordedJoins = std::exchange(unrecordedJoins_, {});
  for (const auto& [seq, setUp] : unrecordedJoins) {
    JoinAttempt* attempt = findAttempt(setUp.join);
    if (attempt == nullptr) continue;
    Subscription& subscription = *attempt->subscription;
    if (!subscription.answered && subscription.mayHaveRun)
      answerTerminated(subscription, TerminateReason::mayHaveRun);
    else if (!subscription.answered)
      answerThrottled(subscription, retryAfterSchedule_.next(), ThrottleReason::busy);
    // Outcome::notSent, because the node is not to blame.
    finishJoin(*attempt, Outcome::notSent, {}, true, false);
  }
}

void Front::durable(ledger::Seq seq) { ledger_.markDurable(seq); }

void Front::removeSubscription(SubscriptionId sub) {
  const auto it = subscriptions_.find(sub);
  if (it == subscriptions_.end()) return;
  Subscription& subscription = *it->second;
  markAnswered(subscription);
  for (const Call& call : subscription.calls) subscriptionByCall_.erase(call.id);
  deadlines_.erase({subscription.deadline, sub});
  if (subscription.orphanDeadline != 0) deadlines_.erase({subscription.orphanDeadline, sub});
  if (const auto key = subscriptionByKey_.find(subscription.key);
      subscription.unsafe && key != subscriptionByKey_.end() && key->second == sub)
    subscriptionByKey_.erase(key);
  // Without guards a subscription may have a second join, which must not outlive it.
  if (!limits_.guardsEnabled)
    std::erase_if(attempts_, [&](const auto& entry) { return entry.second->subscription == &subscription; });
  subscriptions_.erase(it);
}

Front::Subscription* Front::findSubscription(SubscriptionId sub) {
  const auto it = subscriptions_.find(sub);
  return it == subscriptions_.end() ? nullptr : it->second.get();
}
Front::JoinAttempt* Front::findAttempt(JoinId join) {
  const auto it = attempts_.find(join);
  return it == attempts_.end() ? nullptr : it->second.get();
}

Statistics Front::statistics() const {
  Statistics statistics = statistics_;
  statistics.keys = ledger_.size();
  return statistics;
}

std::vector<Front::NodeStatus> Front::nodeStatuses() const {
  std::map<NodeId, NodeStatus> nodes;
  for (const auto& [id, attempt] : attempts_) {
    NodeStatus& node = nodes.try_emplace(attempt->node, NodeStatus{attempt->node, 0, 0}).first->second;
    ++(attempt->started ? node.plays : node.waiting);
  }
  std::vector<NodeStatus> rows;
  for (const auto& [id, node] : nodes) rows.push_back(node);
  return rows;
}

}  // namespace lupinsill::session
