/// tarragon-bench: loads a running system and reports what clients saw.

#include "tarragon/bench/program.h"

int main(int argc, char** argv) {
  return tarragon::bench::RunProgram({argv + 1, argv + argc});
}
