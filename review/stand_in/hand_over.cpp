// A director is restarted while two sessions play at one media node. One of them ends while the director is
// away: its media node has no connection, so the release goes out on the next one opened. The viewers then
// name their sessions to the new process, one a tenth of a second after the other. Is the second one
// released?
#include "platform.h"

using namespace review;

int main(int, char** arguments) {
  World world(arguments[1]);
  const bool trouble = troubled();
  Deployment deployment(world, 12, false);
  constexpr double setUpMs = 60;
  constexpr double apartMs = 100;  // between the set-ups with `at`; all of them within 0.2 s of the test
  constexpr double limitMs = 8'000 + 50;  // from the end of a session to its release, at the latest

  std::vector<std::pair<MediaNode*, std::string>> standing;  // where each session plays
  for (const auto& node : deployment.nodes) {
    node->offered = [&](MediaNode& at, const std::string& call) {
      world.after(setUpMs, [&, call] {
        at.accept(call);
        standing.emplace_back(&at, call);
      });
    };
  }
  deployment.startDirector();
  deployment.awaitReady();

  std::map<std::string, double> released;  // by call: when its viewer heard of it
  std::map<std::string, bool> served;
  const auto heard = [&](Line& line, Message& message) {
    world.record("a viewer hears " + opName(message.op) + " of " + message.call +
                 (message.op == Op::end ? " with " + std::to_string(message.reasonCode) : ""));
    if (message.op == Op::accept) served[message.call] = true;
    if (message.op != Op::end) return;
    released[message.call] = world.now();
    Message reply;
    reply.op = Op::ended;
    reply.call = message.call;
    line.send(reply);
  };
  // Viewers ask until one media node holds two sessions.
  auto first = deployment.viewer(heard);
  auto second = deployment.viewer(heard);
  std::string stays, ends;
  MediaNode* node = nullptr;
  std::map<std::string, Message> offers;
  for (int i = 1; i <= 40 && node == nullptr; ++i) {
    const Message offer = deployment.offer(Deployment::callId(i), "recipe-clip", 5'000, "v-lesson-1");
    offers[offer.call] = offer;
    (i % 2 == 0 ? first : second)->send(offer);
    world.runFor(400);
    for (const auto& [at, call] : standing)
      for (const auto& [otherAt, otherCall] : standing)
        if (node == nullptr && at == otherAt && call < otherCall) node = at, stays = call, ends = otherCall;
  }
  if (node == nullptr || !served[stays] || !served[ends]) giveUp("no media node holds two sessions");
  world.record(node->name + " holds " + stays + " and " + ends);

  if (trouble) {
    world.record("SIGTERM to the director");
    deployment.kill(SIGTERM);
    world.runFor(100);
    world.record("the director has ended");
  }
  const double endedAt = world.now();
  world.record(node->name + ": session " + ends + " comes to its end");
  node->end(ends, 16);
  world.runFor(400);
  if (trouble) {
    deployment.startDirector();
    deployment.awaitReady();
    first = deployment.viewer(heard);
    second = deployment.viewer(heard);
    const auto name = [&](Line& line, const std::string& call, MediaNode& at) {
      Message offer = offers[call];
      offer.fields["extras"] += ";at:" + at.name;
      world.record("its viewer names " + call + " at " + at.name);
      line.send(offer);
    };
    name(*first, stays, *node);
    world.runFor(apartMs);
    name(*second, ends, *node);
  }
  world.runFor(limitMs + 500 - (world.now() - endedAt), [&] { return released.count(ends) > 0; });
  const bool held = released.count(ends) > 0 && released[ends] - endedAt <= limitMs;
  if (!held) world.record("BROKEN: the viewer of " + ends + " has not been released 8.05 s after its end");
  if (!deployment.runs()) giveUp("the director has ended");
  return held ? 0 : 1;
}
