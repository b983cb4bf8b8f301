VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
WIRE := packages/fescuedrum/src/fescuedrum/wire

.PHONY: setup test lint format demo demo-up
.PHONY: bench capacity soak
.PHONY: docs
.PHONY: thrift clean

$(STAMP): requirements.txt constraints.txt $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --requirement requirements.txt
	touch $(STAMP)

setup: $(STAMP)

test: setup
	$(PYTHON) -m pytest

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: setup
	$(PYTHON) -m fescuedrum_bench demo

demo-up: setup
	$(PYTHON) -m fescuedrum_bench demo --keep-running

capacity: setup
	$(PYTHON) -m fescuedrum_bench capacity

# Writes build/bench: a JSON file for each experiment, report.md and plots.
bench: setup
	$(PYTHON) -m fescuedrum_bench bench

# Fresh seeds; play one again with SEEDS="--seed N". Logs are kept in build/soak.
# SEEDS="--kind stops --seeds 10" plays runs with planned stops and nothing else,
# SEEDS="--kind groups --seeds 10" suspensions of the leader of a group of ranks,
# SEEDS="--kind demand --seeds 10" competing demand at two groups, of which one fails.
# SEEDS="--kind parts --seeds 10" prompts with a part at which endpoints end.
# SEEDS="--kind repeats --seeds 10" requests at which endpoints end and that are repeated.
SEEDS := --seeds 10
soak: setup
	cd tests && ../$(PYTHON) -m soak $(SEEDS) --logs ../build/soak

docs: setup
	$(PYTHON) -m fescuedrum_bench docs --directory docs

# Needs the Thrift compiler; its output is committed, so that a build needs none. The
# compiler takes no field named service, so it gets another name meanwhile.
thrift:
	rm -rf build/idl build/thrift && mkdir -p build/idl build/thrift
	for file in $(WIRE)/idl/*.thrift; do \
		sed 's/ string service,/ string service_field,/' $$file \
			> build/idl/$$(basename $$file) || exit 1; \
	done
	for file in build/idl/*.thrift; do \
		thrift --gen py:slots -out build/thrift $$file || exit 1; \
	done
	find build/thrift -name '*.py' -exec sed -i 's/service_field/service/g' {} +
	rm -rf $(WIRE)/gen
	cp -r build/thrift/fescuedrum/wire/gen $(WIRE)/gen

clean:
	rm -rf $(VENV) build
