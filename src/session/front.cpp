#include "session/front.h"

#include <algorithm>
#include <utility>

namespace lupinsill::session {
namespace {

constexpr Micros millisecond = 1'000;
constexpr Micros tick = 200 * millisecond;  // at least so often there is a turn
constexpr int roundsMost = 64;              // of held-back joins within one turn

bool provesNothingRan(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::connectFailed || outcome == Outcome::notSent;
}

}  // namespace

const char* nameOf(ThrottleReason why) {
  switch (why) {
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
const char* nameOf(TerminateReason why) {
  switch (why) {
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
const char* nameOf(EndReason why) {
  switch (why) {
    case EndReason::finished:
      return "finished";
    case EndReason::nodeLost:
      return "node-lost";
    case EndReason::directorDrains:
      return "director-drains";
  }
  return "?";
}

Front::Front(ControlSettings terms, Limits bounds, std::unique_ptr<Decider> decider)
    : terms_(std::move(terms)),
      bounds_(bounds),
      decider_(std::move(decider)),
      guards_(terms_, bounds.grace),
      ledger_(bounds.keyRetention, bounds.maxKeys, bounds.keysStored),
      retryAfterSchedule_(terms_) {}

// ---- what comes in ----

void Front::submit(PlayRequest ask) { came_.push_back(CameAsk{std::move(ask)}); }
void Front::leave(CallId callId) { came_.push_back(CameLeave{callId, false}); }
void Front::closed(CallId callId) { came_.push_back(CameLeave{callId, true}); }
void Front::joinStarted(JoinId join) { came_.push_back(CameBegan{join}); }
void Front::drain(bool on) { draining_ = on; }
void Front::setAnswerDeadline(Micros at) {
  answerBy_ = at;
  for (auto& [id, request] : requests_)
    if (!request->answered) hasten(*request, at);
}

void Front::endAll() { ending_ = draining_ = true; }

// At once, not at the next turn: a time-out in between must know that the join may run.
bool Front::mayWrite(Micros now, JoinId join) {
  JoinOut* out = findJoin(join);
  if (out == nullptr) return false;
  Rule rule = Rule::drain;
  if (bounds_.guardsEnabled && !out->written && !guards_.mayWrite(now, out->node, rule))
    return trip(rule), false;
  return out->written = true;
}

void Front::joinEnded(JoinId join, Outcome outcome, const LoadReport& report, bool finished) {
  came_.push_back(CameEnd{join, outcome, report, finished});
}

void Front::measured(JoinId join, MeasurementKind reading, double value) {
  if (const JoinOut* out = findJoin(join))
    came_.push_back(CameEvent{MeasurementReported{out->request->id, out->node, reading, value}});
}

void Front::listUpdated(ListUpdate told) { came_.push_back(CameEvent{std::move(told)}); }

// ---- the turn ----

void Front::processTurn(Micros now, std::vector<Command>& orders) {
  now_ = now;
  orders_ = &orders;
  const Micros gap = lastTurn_ == 0 ? 0 : now - lastTurn_;
  lastTurn_ = now;
  waited_ = gap > bounds_.stallThreshold ? gap : 0;
  if (waited_ != 0) ++statistics_.stalls;

  // Joins whose intent is on disk by now; those given up on meanwhile have gone from joins_.
  while (!unrecorded_.empty() && ledger_.isDurable(unrecorded_.front().first)) {
    SetUp& order = unrecorded_.front().second;
    if (const JoinOut* out = findJoin(order.join)) {
      order.rung = out->request->rung;
      // The node may have begun to drain while the disk was slow.
      if (guards_.draining(order.node))
        joinEnded(order.join, Outcome::notSent, {});
      else
        orders.push_back(order);
    }
    unrecorded_.pop_front();
  }
  if (storeFailed_) giveUpUnrecorded();

  std::vector<Came> came = std::move(came_);
  came_.clear();
  // What the list says holds for every ask and join of the same turn, in whatever order sockets were read.
  const auto list = [](const Came& one) {
    const auto* event = std::get_if<CameEvent>(&one);
    return event != nullptr && std::holds_alternative<ListUpdate>(event->event);
  };
  std::stable_partition(came.begin(), came.end(), list);
  for (Came& one : came) std::visit([this](auto& c) { take(c); }, one);

  while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
    JoinOut* out = findJoin(timeouts_.begin()->second);
    timeouts_.erase(timeouts_.begin());
    if (out != nullptr) timeOut(*out);
  }
  while (!alarms_.empty() && alarms_.begin()->first <= now) {
    events_.push_back(TimerFired{alarms_.begin()->second});
    alarms_.erase(alarms_.begin());
  }
  // The first turn goes to the decider though nothing came in: it sets its alarm then.
  bool first = true;
  for (int round = 0; round < roundsMost && (first || !events_.empty()); ++round) {
    first = false;
    const std::vector<Event> batch = std::move(events_);
    events_.clear();
    std::vector<Action> actions;
    decider_->handle(now, batch, actions);
    for (const Action& action : actions) act(action);
  }
  lateOnes();
  if (ending_) endEverything();
  ledger_.expire(now);
  orders_ = nullptr;
}

Micros Front::due() const {
  if (!events_.empty() || !came_.empty() || (storeFailed_ && !unrecorded_.empty()) ||
      (!unrecorded_.empty() && ledger_.isDurable(unrecorded_.front().first)))
    return lastTurn_;
  Micros at = lastTurn_ + tick;
  if (!timeouts_.empty()) at = std::min(at, timeouts_.begin()->first);
  if (!alarms_.empty()) at = std::min(at, alarms_.begin()->first);
  if (!deadlines_.empty()) at = std::min(at, deadlines_.begin()->first);
  return at;
}

// ---- asks ----

ledger::Digest Front::keyOf(const PlayRequest& ask) {
  return ledger::digestOf(ask.viewer + '\n' + ask.title + '\n' + std::to_string(ask.roomType) + '\n' +
                          ask.idempotencyKey);
}

void Front::take(CameAsk& came) {
  PlayRequest& ask = came.ask;
  if (lines_.contains(ask.callId)) return;
  ++statistics_.asks;
  // Guards against an edge that hands on what it did not check: nothing can be known of such an ask.
  if (ask.roomType < 0 || static_cast<std::size_t>(ask.roomType) >= terms_.roomTypes.size()) {
    ++statistics_.terminated;
    return orders_->push_back(Terminated{ask.callId, TerminateReason::failed});
  }
  const RoomType& room = terms_.roomTypes[static_cast<std::size_t>(ask.roomType)];
  const bool unsafe = room.effect != Effect::repeatable;
  if (unsafe && !ask.idempotencyKey.empty() && repeated(ask)) return;
  const auto refuse = [&](ThrottleReason why) {
    ++statistics_.throttled;
    orders_->push_back(Throttled{ask.callId, retryAfterSchedule_.next(), why});
  };
  if (draining_) return refuse(ThrottleReason::draining);
  if (ask.holders <= 0) return refuse(ThrottleReason::unknownTitle);
  // Guards against answers after the client timeout where this director stood still: the ask may have lain
  // in its socket for as long as that, and the client's clock has run all the time.
  Micros deadline = now_ + ask.timeout - bounds_.answerMargin - waited_;
  if (answerBy_ != 0) deadline = std::min(deadline, answerBy_);
  if (deadline - now_ < bounds_.minTimeLeft) {
    ++statistics_.late;
    return refuse(ThrottleReason::late);
  }
  if (statistics_.open >= bounds_.maxOpen || requests_.size() >= bounds_.maxSubscriptions ||
      (unsafe && (ledger_.full() || byKey_.size() >= bounds_.maxKeys || storeFailed_)))
    return refuse(ThrottleReason::busy);

  auto made = std::make_unique<Request>();
  Request& request = *made;
  request.id = ++nextSub_;
  request.deadline = deadline;
  request.lines.push_back({ask.callId});
  request.unsafe = unsafe;
  request.ask = std::move(ask);
  lines_[request.ask.callId] = request.id;
  if (unsafe && !request.ask.idempotencyKey.empty()) {
    request.key = keyOf(request.ask);
    byKey_[request.key] = request.id;
  }
  deadlines_.emplace(deadline, request.id);
  ++statistics_.open;
  guards_.requestArrived(now_);
  events_.push_back(SubscriptionRequested{viewingOf(request)});
  requests_.emplace(request.id, std::move(made));
}

SubscriptionInfo Front::viewingOf(const Request& request) const {
  const PlayRequest& ask = request.ask;
  return {request.id,  ask.title, ask.viewer,       ask.roomType, ask.party, ask.firstCell,
          ask.holders, ask.top,   request.deadline, ask.length,   false};
}

JoinId Front::adopt(PlayRequest ask, NodeId node) {
  came_.push_back(CameAdopted{std::move(ask), node, ++nextJoin_});
  return nextJoin_;
}

// It counts for its seats and its node from here on, as if this run had joined it itself.
void Front::take(CameAdopted& came) {
  if (lines_.contains(came.ask.callId) || came.ask.roomType < 0 ||
      static_cast<std::size_t>(came.ask.roomType) >= terms_.roomTypes.size())
    return;
  auto made = std::make_unique<Request>();
  Request& request = *made;
  request.id = ++nextSub_;
  request.lines.push_back({came.ask.callId, true});
  request.unsafe = terms_.roomTypes[static_cast<std::size_t>(came.ask.roomType)].effect != Effect::repeatable;
  request.answered = request.mayHaveRun = true;
  request.ask = std::move(came.ask);
  request.joins = 1;
  lines_[request.ask.callId] = request.id;
  auto out = std::make_unique<JoinOut>();
  out->key = came.key;
  out->request = &request;
  out->node = came.node;
  out->written = out->began = true;
  out->counted = bounds_.guardsEnabled;
  if (out->counted) guards_.adopted(request.ask.title, request.ask.roomType);
  request.out = out.get();
  ++statistics_.plays;
  events_.push_back(SubscriptionAdopted{viewingOf(request), came.node});
  joins_.emplace(came.key, std::move(out));
  requests_.emplace(request.id, std::move(made));
}

// Guards against a second charge where the answer to a paid ask was lost, the socket closed in the middle or
// the client asked twice: the same key is the same ask, and is answered from its first join.
bool Front::repeated(const PlayRequest& ask) {
  const ledger::Digest key = keyOf(ask);
  const auto refuse = [&](TerminateReason why) {
    ++statistics_.repeated;
    ++statistics_.terminated;
    orders_->push_back(Terminated{ask.callId, why});
    return true;
  };
  const auto it = byKey_.find(key);
  if (it == byKey_.end()) {
    // At the latest: this ask may itself have been on its way for as long as its client waits.
    std::optional<Micros> firstSentAt;
    if (ask.sinceFirstSent) firstSentAt = now_ - *ask.sinceFirstSent - ask.timeout - waited_;
    const ledger::LookupResult known =
        ledger_.lookup(now_, key, ask.repeat == PlayRequest::Repeat::here, firstSentAt);
    if (known == ledger::LookupResult::played) return refuse(TerminateReason::ended);
    if (known == ledger::LookupResult::mayHaveRun) {
      if (ledger_.doubtful(now_, firstSentAt)) ++statistics_.doubted;
      return refuse(TerminateReason::mayHaveRun);
    }
    // Directors share nothing: only the one that was asked first knows whether its join ran.
    return ask.repeat == PlayRequest::Repeat::elsewhere && refuse(TerminateReason::elsewhere);
  }
  Request& request = *find(it->second);
  ++statistics_.repeated;
  request.lines.push_back({ask.callId});
  lines_[ask.callId] = request.id;
  if (request.orphanUntil != 0) {
    deadlines_.erase({request.orphanUntil, request.id});
    request.orphanUntil = 0;
  }
  if (request.out != nullptr && request.out->began) return answerPlaying(request), true;
  // Nobody waited for the first join any more; from here on somebody does, and is owed an answer.
  if (request.answered) {
    request.answered = false;
    ++statistics_.open;
    deadlines_.emplace(request.deadline, request.id);
  }
  // It waits with the first, but no longer than its own client does.
  hasten(request, now_ + ask.timeout - bounds_.answerMargin - waited_);
  return true;
}

// Its answer is due earlier than was said; its join is not waited for beyond that.
void Front::hasten(Request& request, Micros deadline) {
  if (deadline >= request.deadline) return;
  deadlines_.erase({request.deadline, request.id});
  request.deadline = deadline;
  deadlines_.emplace(deadline, request.id);
  if (JoinOut* out = request.out; out != nullptr && !out->began && deadline < out->until) {
    timeouts_.erase({out->until, out->key});
    out->until = deadline;
    timeouts_.emplace(out->until, out->key);
  }
}

void Front::take(CameLeave& came) {
  const auto it = lines_.find(came.callId);
  if (it == lines_.end()) return;
  Request& request = *find(it->second);
  lines_.erase(it);
  std::erase_if(request.lines, [&](const LineOf& l) { return l.callId == came.callId; });
  if (!request.lines.empty() || request.lapsed) return;
  // A paid subscription whose player vanished goes on for a while, so that the same key finds it again.
  // One that has not left yet may not begin for nobody: the same key asks anew.
  if (came.closed && request.unsafe && request.out != nullptr && request.out->written &&
      !request.ask.idempotencyKey.empty()) {
    deadlines_.erase({request.deadline, request.id});
    request.orphanUntil = now_ + bounds_.orphanTimeout;
    deadlines_.emplace(request.orphanUntil, request.id);
    return settle(request);
  }
  if (request.out != nullptr && request.out->began)
    return finishJoin(*request.out, Outcome::cancelled, {}, true, true);
  lapse(request);
}

void Front::lapse(Request& request) {
  request.lapsed = true;
  settle(request);
  deadlines_.erase({request.deadline, request.id});
  // Guards against a join for nobody. One that waits for its connection or a disk is given back, whether or
  // not the settings allow to take back what has left. And where the last one ended in this same turn, the
  // decider hears that nothing follows: it would place another, which nobody would ever end.
  if (request.out != nullptr && !request.out->written)
    return finishJoin(*request.out, Outcome::notSent, {}, true, true);
  for (Event& event : events_)
    if (auto* ended = std::get_if<JoinEnded>(&event); ended != nullptr && ended->sub == request.id)
      ended->settled = true;
  events_.push_back(SubscriptionAbandoned{request.id});
  if (request.out != nullptr) return;
  forget(request.id);
}

// ---- the list and the notes ----

void Front::take(CameEvent& came) {
  if (const auto* list = std::get_if<ListUpdate>(&came.event)) {
    guards_.listUpdated(now_, *list);
    // Guards against a join that is decided, waits for its connection, and would be written long after the
    // word that its node drains: it is given back unwritten, and placed anew.
    for (const auto& [key, out] : joins_)
      if (!out->written && guards_.draining(out->node)) orders_->push_back(Withdraw{key});
  }
  events_.push_back(std::move(came.event));
}

// ---- joins ----

void Front::take(CameBegan& came) {
  JoinOut* out = findJoin(came.join);
  if (out == nullptr || out->began) return;
  Request& request = *out->request;
  // It began, but too late to say so in time: the player is told as if the join had timed out.
  if (!request.answered && now_ >= request.deadline + bounds_.answerMargin / 2) return timeOut(*out);
  out->began = true;
  ++statistics_.plays;
  timeouts_.erase({out->until, out->key});
  deadlines_.erase({request.deadline, request.id});
  events_.push_back(JoinStarted{request.id, out->number});
  if (request.unsafe) remember(request, ledger::RecordState::played);
  if (request.lapsed) return finishJoin(*out, Outcome::cancelled, {}, true, true);
  answerPlaying(request);
}

void Front::take(CameEnd& came) {
  JoinOut* out = findJoin(came.join);
  if (out == nullptr) return;
  if (came.outcome == Outcome::notSent) ++statistics_.withdrawnJoins;
  if (!out->began) return endBeforePlay(*out, came.outcome, came.report, false);
  ++statistics_.ended;
  if (!came.finished) ++statistics_.nodeLost;
  endLines(*out->request, came.finished ? EndReason::finished : EndReason::nodeLost,
           came.finished ? 0 : retryAfterSchedule_.next());
  finishJoin(*out, came.finished ? Outcome::ok : came.outcome, came.report, true, false);
}

// What has not been written never ran, however long it waited.
void Front::timeOut(JoinOut& out) {
  endBeforePlay(out, out.written ? Outcome::timeout : Outcome::connectFailed, {}, true);
}

void Front::endBeforePlay(JoinOut& out, Outcome outcome, const LoadReport& report, bool tellEdge) {
  const Request& request = *out.request;
  finishJoin(out, outcome, report, request.lapsed || request.lines.empty(), tellEdge);
}

void Front::finishJoin(JoinOut& out, Outcome outcome, const LoadReport& report, bool settled, bool tellEdge) {
  Request& request = *out.request;
  const JoinId key = out.key;
  // What has played has run, whatever its node says at the end.
  if (out.began || !provesNothingRan(outcome)) request.mayHaveRun = true;
  if (out.counted) guards_.ended(request.ask.title, request.ask.roomType);
  const bool played = out.began;
  if (played) --statistics_.plays;
  timeouts_.erase({out.until, key});
  events_.push_back(JoinEnded{request.id, out.node, out.number, outcome, settled, report});
  if (request.out == &out) request.out = nullptr;
  joins_.erase(key);
  if (tellEdge) orders_->push_back(TearDown{key});
  // The record follows each end, not only the last: a director may be killed between two joins.
  if (request.unsafe)
    remember(request, played               ? ledger::RecordState::over
                      : request.mayHaveRun ? ledger::RecordState::mayHaveRun
                                           : ledger::RecordState::refused);
  if (settled) forget(request.id);
}

void Front::act(const Action& action) {
  if (const auto* rung = std::get_if<SetRung>(&action)) {
    Request* request = find(rung->sub);
    if (request == nullptr) return;
    const int floor = terms_.roomTypes[static_cast<std::size_t>(request->ask.roomType)].floor;
    request->rung = rung->rung;
    if (bounds_.guardsEnabled && request->rung < floor) trip(Rule::floor), request->rung = floor;
    if (request->out == nullptr) return;
    orders_->push_back(ChangeRung{request->out->key, request->rung});
    if (!request->out->began) return;
    ++statistics_.rungChanges;
    for (const LineOf& callId : request->lines) orders_->push_back(RungChanged{callId.callId, request->rung});
  } else if (const auto* go = std::get_if<Join>(&action)) {
    if (Request* request = find(go->sub)) join(*request, go->node, go->timeout);
  } else if (const auto* off = std::get_if<CancelJoin>(&action)) {
    Request* request = find(off->sub);
    if (request == nullptr || request->out == nullptr || request->out->began ||
        request->out->number != off->join)
      return;
    endBeforePlay(*request->out, request->out->written ? Outcome::cancelled : Outcome::connectFailed, {},
                  true);
  } else if (const auto* no = std::get_if<Throttle>(&action)) {
    Request* request = find(no->sub);
    if (request == nullptr || request->answered) return;
    if (bounds_.guardsEnabled && request->unsafe && (request->mayHaveRun || request->out != nullptr)) {
      trip(Rule::onceOnly);
      answerTerminated(*request, TerminateReason::mayHaveRun);
    } else {
      answerThrottled(*request, no->retryAfter, ThrottleReason::noRoom);
    }
    forget(no->sub);
  } else if (const auto* end = std::get_if<Terminate>(&action)) {
    Request* request = find(end->sub);
    if (request == nullptr || request->answered) return;
    const auto why = request->mayHaveRun ? TerminateReason::mayHaveRun : TerminateReason::failed;
    answerTerminated(*request, why);
    forget(end->sub);
  } else if (const auto* alarm = std::get_if<SetTimer>(&action)) {
    alarms_.emplace(now_ + alarm->span, alarm->key);
  } else {
    orders_->push_back(StartListWatch{});
  }
}

void Front::join(Request& request, NodeId node, Micros patience) {
  const int number = request.joins++;
  const RoomType& room = terms_.roomTypes[static_cast<std::size_t>(request.ask.roomType)];
  Rule rule = Rule::oneJoin;
  bool allowed = !bounds_.guardsEnabled || request.out == nullptr;
  if (allowed && bounds_.guardsEnabled && room.effect == Effect::once && request.mayHaveRun)
    allowed = false, rule = Rule::onceOnly;
  if (allowed && bounds_.guardsEnabled)
    allowed = guards_.mayPlace(now_, request.ask.title, request.ask.roomType, node, number > 0, rule);
  if (!allowed) {
    trip(rule);
    events_.push_back(JoinEnded{request.id, node, number, Outcome::notSent, false, {}});
    return;
  }
  ++statistics_.joins;
  if (number > 0) ++statistics_.furtherJoins;
  auto made = std::make_unique<JoinOut>();
  JoinOut& out = *made;
  out.key = ++nextJoin_;
  out.request = &request;
  out.node = node;
  out.number = number;
  out.counted = bounds_.guardsEnabled;
  out.until = patience > 0 ? std::min(now_ + patience, request.deadline) : request.deadline;
  timeouts_.emplace(out.until, out.key);
  request.out = &out;
  const SetUp order{out.key,
                    request.id,
                    node,
                    request.ask.roomType,
                    request.rung,
                    request.ask.title,
                    request.ask.viewer,
                    request.ask.idempotencyKey,
                    request.ask.callId,
                    out.until};
  if (request.unsafe && !request.ask.idempotencyKey.empty())
    letGo(order, ledger_.recordIntent(now_, request.key));
  else
    orders_->push_back(order);
  joins_.emplace(out.key, std::move(made));
}

// ---- answers: the only places from which a player hears one ----

void Front::settle(Request& request) {
  if (request.answered) return;
  request.answered = true;
  --statistics_.open;
}

void Front::answerPlaying(Request& request) {
  settle(request);
  for (LineOf& callId : request.lines) {
    if (callId.answered) continue;
    callId.answered = true;
    ++statistics_.playing;
    orders_->push_back(Playing{callId.callId, request.id, request.out->node, request.rung});
  }
}

void Front::answerThrottled(Request& request, Micros retryAfter, ThrottleReason why) {
  settle(request);
  for (LineOf& callId : request.lines) {
    if (callId.answered) continue;
    callId.answered = true;
    ++statistics_.throttled;
    orders_->push_back(Throttled{callId.callId, retryAfter, why});
  }
}

void Front::answerTerminated(Request& request, TerminateReason why) {
  settle(request);
  for (LineOf& callId : request.lines) {
    if (callId.answered) continue;
    callId.answered = true;
    ++statistics_.terminated;
    orders_->push_back(Terminated{callId.callId, why});
  }
}

void Front::endLines(Request& request, EndReason why, Micros retryAfter) {
  for (const LineOf& callId : request.lines) orders_->push_back(Ended{callId.callId, why, retryAfter});
}

// Guards against any way in which an ask could be left without its answer: whatever the decider and the
// edges do, an ask that is still open at its time is answered here. Also ends what nobody came back for.
void Front::lateOnes() {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
    const auto [at, sub] = *deadlines_.begin();
    Request* request = find(sub);
    if (request == nullptr) {
      deadlines_.erase(deadlines_.begin());
      continue;
    }
    if (request->orphanUntil == at) {
      deadlines_.erase(deadlines_.begin());
      if (request->out != nullptr && request->out->began)
        finishJoin(*request->out, Outcome::cancelled, {}, true, true);
      else
        lapse(*request);
      continue;
    }
    deadlines_.erase(deadlines_.begin());
    if (!bounds_.guardsEnabled || request->answered) continue;
    if (request->deadline != answerBy_) trip(Rule::oneAnswer);
    const bool unsure = request->mayHaveRun || request->out != nullptr;
    if (request->unsafe && unsure)
      answerTerminated(*request, TerminateReason::mayHaveRun);
    else
      answerThrottled(*request, retryAfterSchedule_.next(), ThrottleReason::late);
    if (request->out != nullptr)
      finishJoin(*request->out, request->out->written ? Outcome::timeout : Outcome::connectFailed, {}, true,
                 true);
    else
      lapse(*request);
  }
}

void Front::endEverything() {
  ending_ = false;
  while (!requests_.empty()) {
    Request& request = *requests_.begin()->second;
    const bool plays = request.out != nullptr && request.out->began;
    if (plays)
      endLines(request, EndReason::directorDrains, retryAfterSchedule_.next());
    else if (request.unsafe && (request.mayHaveRun || (request.out != nullptr && request.out->written)))
      answerTerminated(request, TerminateReason::mayHaveRun);
    else
      answerThrottled(request, retryAfterSchedule_.next(), ThrottleReason::draining);
    if (request.out != nullptr)
      finishJoin(*request.out, Outcome::cancelled, {}, true, true);
    else
      lapse(request);
  }
}

// ---- what is kept ----

void Front::remember(const Request& request, ledger::RecordState mark) {
  if (!request.ask.idempotencyKey.empty()) ledger_.mark(now_, request.key, mark);
}

// Guards against a second charge after a kill: a paid join leaves only once its intent is on disk, so that
// the next run of this director knows of it. Until then it has not been written and its end proves nothing
// ran.
void Front::letGo(const SetUp& order, ledger::Seq seq) {
  if (ledger_.isDurable(seq))
    orders_->push_back(order);
  else
    unrecorded_.emplace_back(seq, order);
}

// Guards against asks that wait for a disk which takes nothing any more: none of these joins has left, so
// each is told now when to come back, and not at its deadline.
void Front::giveUpUnrecorded() {
  const auto waiting = std::exchange(unrecorded_, {});
  for (const auto& [seq, order] : waiting) {
    JoinOut* out = findJoin(order.join);
    if (out == nullptr) continue;
    Request& request = *out->request;
    if (!request.answered && request.mayHaveRun)
      answerTerminated(request, TerminateReason::mayHaveRun);
    else if (!request.answered)
      answerThrottled(request, retryAfterSchedule_.next(), ThrottleReason::busy);
    // Not the node's fault, and not to be held against it.
    finishJoin(*out, Outcome::notSent, {}, true, false);
  }
}

void Front::durable(ledger::Seq seq) { ledger_.durable(seq); }

void Front::forget(SubscriptionId sub) {
  const auto it = requests_.find(sub);
  if (it == requests_.end()) return;
  Request& request = *it->second;
  settle(request);
  for (const LineOf& callId : request.lines) lines_.erase(callId.callId);
  deadlines_.erase({request.deadline, sub});
  if (request.orphanUntil != 0) deadlines_.erase({request.orphanUntil, sub});
  if (const auto key = byKey_.find(request.key); request.unsafe && key != byKey_.end() && key->second == sub)
    byKey_.erase(key);
  // Only an unguarded build leaves a second join behind: nobody waits for it.
  if (!bounds_.guardsEnabled)
    std::erase_if(joins_, [&](const auto& out) { return out.second->request == &request; });
  requests_.erase(it);
}

Front::Request* Front::find(SubscriptionId sub) {
  const auto it = requests_.find(sub);
  return it == requests_.end() ? nullptr : it->second.get();
}
Front::JoinOut* Front::findJoin(JoinId key) {
  const auto it = joins_.find(key);
  return it == joins_.end() ? nullptr : it->second.get();
}

Statistics Front::statistics() const {
  Statistics statistics = statistics_;
  statistics.keys = ledger_.size();
  return statistics;
}

std::vector<Front::NodeStatus> Front::nodeStatuses() const {
  std::map<NodeId, NodeStatus> nodes;
  for (const auto& [key, out] : joins_) {
    NodeStatus& node = nodes.try_emplace(out->node, NodeStatus{out->node, 0, 0}).first->second;
    ++(out->began ? node.plays : node.waiting);
  }
  std::vector<NodeStatus> rows;
  for (const auto& [id, node] : nodes) rows.push_back(node);
  return rows;
}

}  // namespace lupinsill::session
