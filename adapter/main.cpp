#include <iostream>

#include "host.h"

int main() {
  std::ios::sync_with_stdio(false);
  try {
    inference_router::routing::wire::Host().run(std::cin, std::cout);
  } catch (const std::exception& fault) {
    std::cerr << "simulator_adapter: " << fault.what() << '\n';
    return 1;
  }
  return 0;
}
