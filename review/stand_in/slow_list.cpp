// The name server is slow for a while: each answer is sent 1.2 s after its query. Meanwhile a media node
// begins to drain. When does the last set-up go there?
#include "platform.h"

using namespace review;

int main(int, char** arguments) {
  World world(arguments[1]);
  const bool trouble = troubled();
  Deployment deployment(world, 12, false);
  constexpr double setUpMs = 60, sessionMs = 3'000;
  constexpr double slowMs = 1'200;                    // from a query to its answer
  constexpr double toldMs = 1'500;                    // after an event, at the latest
  constexpr double graceMs = 2'000, slackMs = 50;     // stopSendingWithinNs, the slack on sockets
  constexpr double quietMs = 3'000, playMs = 20'000;  // before the change, after it

  double allowedUntil = 1e18;
  int late = 0, atDraining = 0, setUps = 0, answered = 0, refused = 0, failed = 0;
  for (const auto& node : deployment.nodes)
    node->offered = [&](MediaNode& at, const std::string& call) {
      ++setUps;
      if (at.draining) {
        ++atDraining;
        if (world.now() > allowedUntil) {
          ++late;
          world.record("BROKEN: " + at.name + " drains and hears a set-up " +
                       std::to_string(static_cast<int>(world.now() - allowedUntil)) +
                       " ms after the last time allowed");
        }
        return world.after(5, [&at, call] { at.refuse(call, 34); });
      }
      world.after(setUpMs, [&at, call] { at.accept(call); });
      world.after(setUpMs + sessionMs, [&at, call] { at.release(call, 16); });
    };
  deployment.startDirector();
  deployment.awaitReady();
  const auto viewer = deployment.viewer([&](Line& line, Message& message) {
    if (message.op == Op::accept) ++answered;
    if (message.op != Op::end) return;
    if (message.reasonCode == 34) ++refused;
    if (message.reasonCode == 41) ++failed;
    Message reply;
    reply.op = Op::ended;
    reply.call = message.call;
    line.send(reply);
  });
  int number = 0;
  std::function<void()> ask = [&] {
    ++number;
    ++number;
    viewer->send(deployment.offer(Deployment::callId(number), "recipe-clip", 5'000,
                                  "v-lesson-" + std::to_string(number % 40)));
    world.after(200, ask);
  };
  ask();
  if (trouble) {
    world.record("the name server becomes slow: 1.2 s to an answer");
    deployment.nameServer.delayMs = slowMs;
  }
  world.runFor(quietMs);

  MediaNode& drained = *deployment.nodes[4];
  drained.draining = true;
  ++deployment.nameServer.serial;
  deployment.publish();
  const double happenedAt = world.now();
  allowedUntil = happenedAt + toldMs + graceMs + slackMs;
  world.record("event " + std::to_string(deployment.nameServer.serial) + ": " + drained.name +
               " drains; set-ups may go there for 3550 ms from now");
  const int answersBefore = deployment.nameServer.answers;
  world.runFor(playMs);
  world.record(std::to_string(setUps) + " set-ups at media nodes, " + std::to_string(answered) +
               " answered, " + std::to_string(refused) + " viewers refused, " + std::to_string(failed) +
               " failed");
  world.record(std::to_string(deployment.nameServer.answers - answersBefore) +
               " answers with event 2 sent, the first " +
               std::to_string(static_cast<int>(deployment.nameServer.lastSentAt - happenedAt)) +
               " ms after it; " + std::to_string(atDraining) + " set-ups at the draining media node, " +
               std::to_string(late) + " too late");
  if (!deployment.runs() || answered == 0) giveUp("no set-up was served");
  return late > 0 ? 1 : 0;
}
