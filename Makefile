# One command for each thing that a developer or CI does.
PACKAGES = g++ cmake ninja-build ccache clang-format clang-tidy \
  libboost1.81-dev libboost-json1.81-dev libnghttp2-dev libeasyloggingpp-dev \
  libcppunit-dev libprotobuf-dev protobuf-compiler libxxhash-dev curl
SOURCES = $(shell git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v '\.pb\.')

.PHONY: all deps build test format lint asan demo prove bench capacity soak clean

all: build

deps:
	@for p in $(PACKAGES); do dpkg -s $$p >/dev/null 2>&1 || missing="$$missing $$p"; done; \
	if [ -n "$$missing" ]; then apt-get update -qq && apt-get install -y -qq $$missing; fi

build: deps
	cmake --preset release >/dev/null
	cmake --build build

test: build
	ctest --test-dir build --output-on-failure -E '^(coordinator|http|simulate|system)_test$$'
	.ci/test_program coordinator_test
	.ci/test_program http_test
	.ci/test_program simulate_test
	.ci/test_program system_test
	.ci/test_program crowd_test
	build/bin/tarragon-soak --seed 1 --seeds 3 --seconds 6
	for seed in 86 168 382; do \
	  build/bin/tarragon-soak --plan losses --gates 8 --seconds 4 --seed $$seed || exit 1; done
	grep -v '^#' tests/soak/REGRESSIONS.txt | while read -r seed seconds why; do \
	  build/bin/tarragon-soak --seed $$seed --seconds $$seconds || exit 1; done

format:
	clang-format -i $(SOURCES)

lint: deps
	@clang-format --dry-run --Werror $(SOURCES)
	bash scripts/lint.sh

asan: deps
	cmake --preset asan >/dev/null
	cmake --build build-asan
	ctest --test-dir build-asan --output-on-failure

demo: build
	bash demo/run.sh

# Long randomised runs on seeds that CI does not use.
SEEDS ?= 200
SEED_BASE ?= 100000
prove: build
	build/bin/tarragon-prove --seeds $(SEEDS) --seed-base $(SEED_BASE)

# Random faults against the programs of the users' platform, as real processes.
SOAK_SEEDS ?= 50
SOAK_FIRST ?= 1000
soak: build
	build/bin/tarragon-soak --seeds $(SOAK_SEEDS) --seed $(SOAK_FIRST)

# The policy against the baseline: in virtual time, then with real processes.
bench: build
	bash bench/table.sh

CAPACITY_BUILD ?= build
capacity: deps
	cmake -S . -B $(CAPACITY_BUILD) -G Ninja -UTARRAGON_MODULES -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(CAPACITY_BUILD) --target tarragon-capacity \
	  tarragon-entry tarragon-agent tarragonctl tarragon-bench platform_standin target_standin
	$(CAPACITY_BUILD)/bin/tarragon-capacity --markdown
	BIN=$(CAPACITY_BUILD)/bin bash capacity/idle.sh >$(CAPACITY_BUILD)/idle.points
	$(CAPACITY_BUILD)/bin/tarragon-capacity --markdown --points $(CAPACITY_BUILD)/idle.points
	BIN=$(CAPACITY_BUILD)/bin bash capacity/load.sh >$(CAPACITY_BUILD)/load.points
	$(CAPACITY_BUILD)/bin/tarragon-capacity --markdown --points $(CAPACITY_BUILD)/load.points

clean:
	rm -rf build build-asan build-tsan build-lint build-lint-groups
