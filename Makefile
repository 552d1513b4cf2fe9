PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
READY = $(VENV)/.ready

.PHONY: install test check demo bench bench-policy capacity soak gateway-soak schema generate lock

install: $(READY)

$(READY): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(READY)

test: install
	$(BIN)/python -m tests

check: install
	$(BIN)/black --check --quiet src standins bench specs tests
	$(BIN)/ruff check --quiet src standins bench specs tests
	$(BIN)/mypy

demo: install
	$(BIN)/python -m bench.demo

capacity: install
	$(BIN)/python -m bench.capacity all

bench-policy: install
	$(BIN)/python -m bench.decision_cost
	for scenario in choice overload crest long-work slow-server failing-server; do \
		$(BIN)/python -m bench.policy run $$scenario || exit 1; \
	done
	$(BIN)/python -m bench.report

bench: install
	$(BIN)/python -m bench.speed --write

SEED ?= 1
SECONDS ?= 600

gateway-soak: install
	$(BIN)/python -m tests.gateway_soak --first $(SEED) --seeds 50

soak: install
	$(BIN)/python -m bench.soak --seed $(SEED) --seconds $(SECONDS)

generate:
	thrift -r --gen py:slots -out src/sycamorebay/protocol/generated src/sycamorebay/protocol/peers.thrift

lock: install
	$(BIN)/pip freeze --all --exclude-editable --exclude pip > requirements.lock
