// lupinsill_drill: connects the decision module to the operators' simulator. Reads one batch a line from
// standard input and writes one reply a line to standard output; exits with 1 at the first invalid batch.
#include <exception>
#include <iostream>
#include <string>

#include "host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  lupinsill::simulator::Host host;
  std::string line;
  for (std::size_t lineNumber = 1; std::getline(std::cin, line); ++lineNumber) {
    if (line.empty()) continue;
    try {
      std::cout << host.handleBatch(line) << '\n' << std::flush;
    } catch (const std::exception& e) {
      std::cerr << "lupinsill_drill: line " << lineNumber << ": " << e.what() << std::endl;
      return 1;
    }
  }
  return 0;
}
