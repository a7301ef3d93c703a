// Two of twelve media nodes are cut off for 6 s while sessions of a title with seven seats play there. How
// many sessions of that title does the director hold at the media nodes afterwards?
#include <algorithm>

#include "platform.h"

using namespace review;

int main(int, char** arguments) {
  World world(arguments[1]);
  const bool trouble = troubled();
  Deployment deployment(world, 12, true);
  constexpr double setUpMs = 60;
  constexpr double cutMs = 6'000;
  constexpr int seats = 7;
  const std::string title = "v-masterclass";

  int number = 0;
  for (const auto& node : deployment.nodes)
    node->offered = [&](MediaNode& at, const std::string& call) {
      world.after(setUpMs, [&at, call] { at.accept(call); });
    };
  // Sessions of the title at the media nodes: set up or being set up, and ended neither by the media node nor
  // by a release of the director.
  const auto held = [&] {
    int count = 0;
    for (const auto& node : deployment.nodes)
      for (const auto& [call, session] : node->sessions)
        if (session.title == title && session.room == "paid-class") ++count;
    return count;
  };
  deployment.startDirector();
  deployment.awaitReady();

  int served = 0, refused = 0, over = 0;
  std::map<std::string, bool> standing;
  std::unique_ptr<Line> viewer;
  const auto ask = [&](const std::string& more) {
    ++number;
    // Three media nodes hold the title: those of cells 0 to 2.
    Message offer = deployment.offer(Deployment::callId(number), "paid-class", 3'000, title);
    offer.fields["extras"] = "home:0;copies:3;top:4;viewer:" + offer.call + more;
    world.record("a viewer sends set-up " + offer.call);
    viewer->send(offer);
  };
  viewer = deployment.viewer([&](Line& line, Message& message) {
    world.record("a viewer hears " + opName(message.op) + " of " + message.call +
                 (message.op == Op::end ? " with " + std::to_string(message.reasonCode) : ""));
    if (message.op == Op::accept) ++served, standing[message.call] = true;
    if (message.op != Op::end) return;
    Message reply;
    reply.op = Op::ended;
    reply.call = message.call;
    if (!standing[message.call]) {
      ++refused;
      return;
    }
    standing[message.call] = false;
    ++over;
    line.send(reply);
    // Most viewers come again after a break.
    world.after(1'500, [&] { ask(";again:1"); });
  });
  for (int i = 0; i < 60 && held() < seats; ++i) {
    ask("");
    world.runFor(500);
  }
  if (held() != seats) giveUp("the seats were not taken");
  world.record("all seven seats of the title are taken");
  // No media node reports short delivery, and each notes the use of its link every 4 s.
  std::function<void()> notes = [&] {
    for (const auto& node : deployment.nodes)
      for (const auto& [call, session] : node->sessions)
        if (session.stands && session.line != nullptr) {
          Message note;
          note.op = Op::info;
          note.call = call;
          note.fields = {{"note", "local"}, {"value", "0.3"}};
          session.line->send(note);
          break;
        }
    world.after(4'000, notes);
  };
  notes();
  world.runFor(200);

  // Two of the three holders, those with the most sessions.
  std::vector<std::size_t> cut{0, 1, 2};
  std::sort(cut.begin(), cut.end(), [&](std::size_t a, std::size_t b) {
    return deployment.nodes[a]->sessions.size() > deployment.nodes[b]->sessions.size();
  });
  cut.pop_back();
  const double cutAt = world.now();
  if (trouble) {
    for (const std::size_t i : cut) {
      world.record(deployment.nodes[i]->name + " is cut off");
      deployment.links[i]->cut(true);
    }
    world.after(cutMs, [&] {
      world.record("they are back");
      for (const std::size_t i : cut) deployment.links[i]->cut(false);
    });
  }
  world.runFor(cutMs + 3'000);
  // Other viewers ask, too: seven of them.
  for (int i = 0; i < seats; ++i) {
    ask("");
    world.runFor(500);
  }
  // Whatever the director has written by now has arrived.
  world.runFor(2'000);
  const int count = held();
  world.record(std::to_string(served) + " served, " + std::to_string(refused) + " refused, " +
               std::to_string(over) + " told that their session is over; " + std::to_string(count) +
               " sessions of the title are held at media " + "nodes " +
               std::to_string(static_cast<int>(world.now() - cutAt - cutMs)) + " ms after the cut");
  if (count > seats) world.record("BROKEN: the title has seven seats");
  if (!deployment.runs() || served == 0) giveUp("no set-up was served");
  return count > seats ? 1 : 0;
}
