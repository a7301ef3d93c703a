#include "session/session_client.h"

#include <algorithm>
#include <utility>

#include "websocket/handshake.h"  // freshKey

namespace lupinsill::client {
namespace {
constexpr Micros maxTickInterval = 50'000;
}

// A request from subscribe() until its result, or until the end of the subscription that came of it.
struct SessionClient::Subscription {
  SubscriptionRequest request;
  SubscriptionResult lastResult;
  AttemptId playingAttempt = 0;  // 0: not playing
  bool left = false;
  OnResult onResult;
  OnEnd onEnd;
  OnRung onRung;
};

// The transport's link of one attempt.
struct SessionClient::AttemptLink final : LinkHandler {
  SessionClient* owner = nullptr;
  AttemptId attempt = 0;
  RequestId request = 0;
  bool dropped = false;  // ignore its events; destroyed on the next timer event
  std::unique_ptr<Link> transportLink;
  void onHello(const std::string& director) override { owner->handleHello(*this, director); }
  void onAnswer(const session_api::AnswerMessage& answer) override { owner->handleAnswer(*this, answer); }
  void onLost(bool unread) override { owner->handleLost(*this, unread); }
};

SessionClient::SessionClient(event_base* base, std::unique_ptr<Transport> transport,
                             std::vector<DirectorEndpoint> directors, RetryPolicy policy, std::uint64_t seed)
    : transport_(std::move(transport)),
      directors_(directors),
      core_(std::move(directors), std::move(policy), seed) {
  timer_.reset(event_new(base, -1, 0, onTimer, this));
}
SessionClient::~SessionClient() = default;

RequestId SessionClient::subscribe(const SubscriptionRequest& request, OnResult onResult, OnEnd onEnd,
                                   OnRung onRung) {
  const RequestId id = ++lastRequest_;
  auto subscription = std::make_unique<Subscription>();
  subscription->request = request;
  // Must be unique across all clients: a director answers a key that it knows with the result of the earlier
  // request.
  const std::string key = websocket::freshKey();
  subscription->onResult = std::move(onResult);
  subscription->onEnd = std::move(onEnd);
  subscription->onRung = std::move(onRung);
  subscriptions_.emplace(id, std::move(subscription));
  core_.submit(net::monotonicNow(), {id, key, request.unsafe, request.timeout}, actions_);
  armTimer();
  return id;
}

void SessionClient::leave(RequestId request) {
  const auto it = subscriptions_.find(request);
  if (it == subscriptions_.end()) return;
  Subscription& subscription = *it->second;
  if (subscription.playingAttempt != 0) {
    if (const auto link = links_.find(subscription.playingAttempt); link != links_.end())
      link->second->transportLink->leave();
    subscription.left = true;
    subscriptions_.erase(it);
    return armTimer();
  }
  core_.cancel(net::monotonicNow(), request, actions_);
  armTimer();
}

// Called from the event loop only, so that no callback runs within a call by the program.
void SessionClient::executeActions() {
  while (!actions_.empty()) {
    const std::vector<Action> actions = std::exchange(actions_, {});
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        open(*start);
      } else if (const auto* abandon = std::get_if<AbandonAttempt>(&action)) {
        drop(abandon->attempt);
      } else {
        const auto& report = std::get<ReportResult>(action);
        const auto it = subscriptions_.find(report.request);
        if (it == subscriptions_.end()) continue;
        Subscription& subscription = *it->second;
        SubscriptionResult outcome = subscription.lastResult;
        outcome.result = report.result;
        outcome.retryAfter = report.retryAfter;
        const OnResult onResult = subscription.onResult;
        if (report.result != Result::playing) subscriptions_.erase(it);
        if (onResult)
          callbacks_.push_back([onResult, id = report.request, outcome] { onResult(id, outcome); });
      }
    }
  }
}

void SessionClient::open(const StartAttempt& attempt) {
  auto link = std::make_unique<AttemptLink>();
  link->owner = this;
  link->attempt = attempt.attempt;
  link->request = attempt.request;
  link->transportLink = transport_->open(directors_[attempt.director].address, attempt.timeLeft, *link);
  if (!link->transportLink) return core_.failed(net::monotonicNow(), attempt.attempt, actions_);
  links_.emplace(attempt.attempt, std::move(link));
}

void SessionClient::handleHello(AttemptLink& link, const std::string& director) {
  const auto it = subscriptions_.find(link.request);
  if (it == subscriptions_.end() || link.dropped) return;
  Subscription& subscription = *it->second;
  const SendParameters parameters = core_.beginSend(net::monotonicNow(), link.attempt, director);
  if (parameters.key.empty()) return;
  session_api::PlayMessage message;
  message.key = parameters.key;
  message.previousDirector = parameters.previousDirector;
  message.sinceFirstSent = parameters.sinceFirstSent;
  message.timeout = parameters.timeLeft;
  message.viewer = subscription.request.viewer;
  message.title = subscription.request.title;
  message.room = subscription.request.room;
  message.top = subscription.request.top;
  if (subscription.request.length > 0) message.length = subscription.request.length;
  link.transportLink->sendPlay(message);
}

void SessionClient::handleAnswer(AttemptLink& link, const session_api::AnswerMessage& answer) {
  using session_api::AnswerKind;
  const auto it = subscriptions_.find(link.request);
  if (it == subscriptions_.end() || link.dropped) return;
  Subscription& subscription = *it->second;
  const auto reportAnswer = [&](Answer coreAnswer) {
    subscription.lastResult.reason = answer.reason;
    core_.answered(net::monotonicNow(), link.attempt, coreAnswer, answer.retryAfter,
                   answer.reason == "draining", actions_);
    armTimer();
  };
  switch (answer.kind) {
    case AnswerKind::hello:
      return;
    case AnswerKind::playing:
      subscription.lastResult = {Result::playing, "", answer.subscription, answer.node, answer.ticket,
                                 answer.rung,     0};
      subscription.playingAttempt = link.attempt;
      return reportAnswer(Answer::playing);
    case AnswerKind::throttled:
      link.dropped = true;
      return reportAnswer(Answer::throttled);
    case AnswerKind::terminated:
    case AnswerKind::error:
      link.dropped = true;
      return reportAnswer(answer.kind == AnswerKind::error ? Answer::wrong : Answer::terminated);
    case AnswerKind::rung:
      subscription.lastResult.rung = answer.rung;
      if (subscription.onRung)
        callbacks_.push_back(
            [onRung = subscription.onRung, id = link.request, rung = answer.rung] { onRung(id, rung); });
      return armTimer();
    case AnswerKind::ended:
      link.dropped = true;
      if (subscription.onEnd)
        callbacks_.push_back([onEnd = subscription.onEnd, id = link.request, reason = answer.reason,
                              retryAfter = answer.retryAfter] { onEnd(id, reason, retryAfter); });
      subscriptions_.erase(it);
      return armTimer();
  }
}

void SessionClient::handleLost(AttemptLink& link, bool unread) {
  if (link.dropped) return;
  link.dropped = true;
  const auto it = subscriptions_.find(link.request);
  if (it != subscriptions_.end() && it->second->playingAttempt == link.attempt) {
    if (it->second->onEnd)
      callbacks_.push_back([onEnd = it->second->onEnd, id = link.request] { onEnd(id, "director-lost", 0); });
    subscriptions_.erase(it);
  } else {
    core_.failed(net::monotonicNow(), link.attempt, actions_, unread);
  }
  armTimer();
}

void SessionClient::drop(AttemptId attempt) {
  if (const auto it = links_.find(attempt); it != links_.end()) it->second->dropped = true;
  armTimer();
}

void SessionClient::armTimer() {
  const Micros now = net::monotonicNow();
  Micros wait = std::clamp<Micros>(core_.due() - now, 0, maxTickInterval);
  if (!actions_.empty() || !callbacks_.empty()) wait = 0;
  const timeval delay{0, static_cast<suseconds_t>(wait)};
  event_add(timer_.get(), &delay);
}

void SessionClient::onTimer(evutil_socket_t, short, void* self) {
  auto& client = *static_cast<SessionClient*>(self);
  const Micros now = net::monotonicNow();
  client.core_.tick(now, client.actions_);
  client.executeActions();
  client.transport_->tick(now);
  // Links are destroyed here, outside of their own callbacks. One whose subscription was left is kept until
  // the leave message is sent.
  std::erase_if(client.links_, [&](auto& entry) {
    AttemptLink& link = *entry.second;
    const bool leaveSent = !client.subscriptions_.contains(link.request) && link.transportLink->flushed();
    return link.dropped || leaveSent;
  });
  const auto callbacks = std::exchange(client.callbacks_, {});
  for (const auto& callback : callbacks) callback();
  if (!client.subscriptions_.empty() || !client.links_.empty()) client.armTimer();
}

}  // namespace lupinsill::client
