// A media node falls silent for 1.5 s just after a set-up has reached it: its answer and the end of that
// short session reach the director together. What does the viewer hear?
#include "platform.h"

using namespace review;

int main(int, char** arguments) {
  World world(arguments[1]);
  const bool trouble = troubled();
  Deployment deployment(world, 12, true);
  constexpr double setUpMs = 60, sessionMs = 700, silentMs = 1'500;

  std::map<std::string, std::string> made;  // the description that a media node gave, by call
  for (std::size_t i = 0; i < deployment.nodes.size(); ++i)
    deployment.nodes[i]->offered = [&, i](MediaNode& node, const std::string& call) {
      if (trouble) {
        world.record(node.name + " falls silent for 1.5 s");
        deployment.links[i]->cut(true);
        world.after(silentMs, [&, i] {
          world.record(deployment.nodes[i]->name + " is heard again");
          deployment.links[i]->cut(false);
        });
      }
      world.after(setUpMs, [&, call] {
        node.accept(call);
        made[call] = node.sessions[call].description;
      });
      world.after(setUpMs + sessionMs, [&, call] { node.release(call, 16); });
    };
  deployment.startDirector();
  deployment.awaitReady();

  int broken = 0, answered = 0, released = 0;
  const auto viewer = deployment.viewer([&](Line& line, Message& message) {
    world.record("the viewer hears " + opName(message.op) + " of " + message.call +
                 (message.op == Op::end ? " with " + std::to_string(message.reasonCode) : "") +
                 (message.description
                      ? ", description of " + std::to_string(message.description->size()) + " bytes"
                      : ""));
    if (message.op == Op::accept) {
      ++answered;
      if (!message.description || *message.description != made[message.call]) {
        ++broken;
        world.record("BROKEN: 'served' with a description that no media node made (it made one of " +
                     std::to_string(made[message.call].size()) + " bytes)");
      }
    } else if (message.op == Op::end) {
      ++released;
      Message reply;
      reply.op = Op::ended;
      reply.call = message.call;
      line.send(reply);
    }
  });
  // A viewer that comes again for the rest of its lesson: a hint of 700 ms.
  const int rounds = 5;
  for (int i = 1; i <= rounds; ++i) {
    Message offer = deployment.offer(Deployment::callId(i), "paid-class", 3'000,
                                     "v-lesson-" + std::to_string(i), ";again:1");
    offer.fields["hint"] = "700.0";
    world.record("the viewer sends set-up " + offer.call);
    viewer->send(offer);
    world.runFor(3'300, [&] { return answered + released >= 2 * i; });
    world.runFor(300);
  }
  world.record(std::to_string(answered) + " served, " + std::to_string(broken) +
               " of them with nothing that a " + "media node made");
  if (!deployment.runs() || answered == 0) giveUp("no set-up was served");
  return broken > 0 ? 1 : 0;
}
