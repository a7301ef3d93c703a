#include "session/session_client.h"

#include <algorithm>
#include <utility>

#include "websocket/handshake.h"  // fresh keys

namespace lupinsill::client {
namespace {
constexpr Micros tickMost = 50'000;
}

struct SessionClient::Wished {
  Want want;
  Heard last;
  AttemptId plays = 0;
  bool over = false;
  OnResult onResult;
  OnEnd onEnd;
  OnRung onRung;
};

struct SessionClient::Line final : LinkHandler {
  SessionClient* owner = nullptr;
  AttemptId attempt = 0;
  RequestId wish = 0;
  bool dropped = false;
  std::unique_ptr<Link> link;
  void onHello(const std::string& director) override { owner->hello(*this, director); }
  void onAnswer(const session_api::AnswerMessage& answer) override { owner->heard(*this, answer); }
  void onLost(bool unread) override { owner->lost(*this, unread); }
};

SessionClient::SessionClient(event_base* base, std::unique_ptr<Transport> transport,
                             std::vector<DirectorEndpoint> directors, RetryPolicy manners, std::uint64_t seed)
    : transport_(std::move(transport)),
      directors_(directors),
      core_(std::move(directors), std::move(manners), seed) {
  timer_.reset(event_new(base, -1, 0, onTimer, this));
}
SessionClient::~SessionClient() = default;

RequestId SessionClient::ask(const Want& want, OnResult onResult, OnEnd onEnd, OnRung onRung) {
  const RequestId id = ++next_;
  auto wished = std::make_unique<Wished>();
  wished->want = want;
  // Nobody else may ever have used it: a key that meets another one's is answered from theirs.
  const std::string key = websocket::generateKey();
  wished->onResult = std::move(onResult);
  wished->onEnd = std::move(onEnd);
  wished->onRung = std::move(onRung);
  wishes_.emplace(id, std::move(wished));
  core_.submit(net::monotonicNow(), {id, key, want.unsafe, want.timeout}, acts_);
  arm();
  return id;
}

void SessionClient::leave(RequestId wish) {
  const auto it = wishes_.find(wish);
  if (it == wishes_.end()) return;
  Wished& wished = *it->second;
  if (wished.plays != 0) {
    if (const auto line = lines_.find(wished.plays); line != lines_.end()) line->second->link->leave();
    wished.over = true;
    wishes_.erase(it);
    return arm();
  }
  core_.cancel(net::monotonicNow(), wish, acts_);
  arm();
}

// Acts are carried out from the loop alone, so that no callback of the program runs within its own call.
void SessionClient::carry() {
  while (!acts_.empty()) {
    const std::vector<Action> acts = std::exchange(acts_, {});
    for (const Action& act : acts) {
      if (const auto* attempt = std::get_if<StartAttempt>(&act)) {
        open(*attempt);
      } else if (const auto* abandon = std::get_if<AbandonAttempt>(&act)) {
        drop(abandon->attempt);
      } else {
        const auto& give = std::get<ReportResult>(act);
        const auto it = wishes_.find(give.request);
        if (it == wishes_.end()) continue;
        Wished& wished = *it->second;
        Heard heard = wished.last;
        heard.result = give.result;
        heard.comeBackAfter = give.retryAfter;
        const OnResult tell = wished.onResult;
        if (give.result != Result::playing) wishes_.erase(it);
        if (tell) calls_.push_back([tell, id = give.request, heard] { tell(id, heard); });
      }
    }
  }
}

void SessionClient::open(const StartAttempt& attempt) {
  auto line = std::make_unique<Line>();
  line->owner = this;
  line->attempt = attempt.attempt;
  line->wish = attempt.request;
  line->link = transport_->open(directors_[attempt.director].address, attempt.timeLeft, *line);
  if (!line->link) return core_.failed(net::monotonicNow(), attempt.attempt, acts_);
  lines_.emplace(attempt.attempt, std::move(line));
}

void SessionClient::hello(Line& line, const std::string& director) {
  const auto it = wishes_.find(line.wish);
  if (it == wishes_.end() || line.dropped) return;
  Wished& wished = *it->second;
  const SendParameters sending = core_.beginSend(net::monotonicNow(), line.attempt, director);
  if (sending.key.empty()) return;
  session_api::PlayMessage ask;
  ask.key = sending.key;
  ask.previousDirector = sending.previousDirector;
  ask.sinceFirstSent = sending.sinceFirstSent;
  ask.timeout = sending.timeLeft;
  ask.viewer = wished.want.viewer;
  ask.title = wished.want.title;
  ask.room = wished.want.room;
  ask.top = wished.want.top;
  if (wished.want.length > 0) ask.length = wished.want.length;
  line.link->ask(ask);
}

void SessionClient::heard(Line& line, const session_api::AnswerMessage& answer) {
  using session_api::AnswerKind;
  const auto it = wishes_.find(line.wish);
  if (it == wishes_.end() || line.dropped) return;
  Wished& wished = *it->second;
  const auto told = [&](Answer what) {
    wished.last.reason = answer.reason;
    core_.answered(net::monotonicNow(), line.attempt, what, answer.retryAfter, answer.reason == "draining",
                   acts_);
    arm();
  };
  switch (answer.kind) {
    case AnswerKind::hello:
      return;
    case AnswerKind::playing:
      wished.last = {Result::playing, "", answer.subscription, answer.node, answer.ticket, answer.rung, 0};
      wished.plays = line.attempt;
      return told(Answer::playing);
    case AnswerKind::throttled:
      line.dropped = true;
      return told(Answer::throttled);
    case AnswerKind::terminated:
    case AnswerKind::error:
      line.dropped = true;
      return told(answer.kind == AnswerKind::error ? Answer::wrong : Answer::terminated);
    case AnswerKind::rung:
      wished.last.rung = answer.rung;
      if (wished.onRung)
        calls_.push_back([tell = wished.onRung, id = line.wish, rung = answer.rung] { tell(id, rung); });
      return arm();
    case AnswerKind::ended:
      line.dropped = true;
      if (wished.onEnd)
        calls_.push_back([tell = wished.onEnd, id = line.wish, why = answer.reason,
                          after = answer.retryAfter] { tell(id, why, after); });
      wishes_.erase(it);
      return arm();
  }
}

void SessionClient::lost(Line& line, bool unread) {
  if (line.dropped) return;
  line.dropped = true;
  const auto it = wishes_.find(line.wish);
  if (it != wishes_.end() && it->second->plays == line.attempt) {
    if (it->second->onEnd)
      calls_.push_back([tell = it->second->onEnd, id = line.wish] { tell(id, "director-lost", 0); });
    wishes_.erase(it);
  } else {
    core_.failed(net::monotonicNow(), line.attempt, acts_, unread);
  }
  arm();
}

void SessionClient::drop(AttemptId attempt) {
  if (const auto it = lines_.find(attempt); it != lines_.end()) it->second->dropped = true;
  arm();
}

void SessionClient::arm() {
  const Micros now = net::monotonicNow();
  Micros wait = std::clamp<Micros>(core_.due() - now, 0, tickMost);
  if (!acts_.empty() || !calls_.empty()) wait = 0;
  const timeval span{0, static_cast<suseconds_t>(wait)};
  event_add(timer_.get(), &span);
}

void SessionClient::onTimer(evutil_socket_t, short, void* me) {
  auto& client = *static_cast<SessionClient*>(me);
  const Micros now = net::monotonicNow();
  client.core_.tick(now, client.acts_);
  client.carry();
  client.transport_->tick(now);
  // Freed here, outside of their own callbacks; a line that was left goes once it has said so.
  std::erase_if(client.lines_, [&](auto& entry) {
    Line& line = *entry.second;
    const bool left = !client.wishes_.contains(line.wish) && line.link->flushed();
    return line.dropped || left;
  });
  const auto calls = std::exchange(client.calls_, {});
  for (const auto& call : calls) call();
  if (!client.wishes_.empty() || !client.lines_.empty()) client.arm();
}

}  // namespace lupinsill::client
