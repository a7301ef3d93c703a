// lupinsill_drill: the decision module on the wire of the operators' bench, one batch a line.
#include <exception>
#include <iostream>
#include <string>

#include "host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  lupinsill::simulator::Host host;
  std::string line;
  for (std::size_t number = 1; std::getline(std::cin, line); ++number) {
    if (line.empty()) continue;
    try {
      std::cout << host.play(line) << '\n' << std::flush;
    } catch (const std::exception& e) {
      std::cerr << "lupinsill_drill: line " << number << ": " << e.what() << std::endl;
      return 1;
    }
  }
  return 0;
}
