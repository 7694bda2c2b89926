# Every target does its own set-up in .venv; `make clean` removes it.

PYTHON ?= python3.11
BIN := .venv/bin
PACKAGES := core proxy standins ctl
MANIFESTS := $(PACKAGES:%=packages/zinniastand-%/pyproject.toml)

.PHONY: demo test fuzz bench capacity plants soak check format lint types clean

.venv/installed: requirements-dev.txt constraints.txt $(MANIFESTS)
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		-c constraints.txt -r requirements-dev.txt \
		$(PACKAGES:%=-e packages/zinniastand-%)
	touch $@

demo: .venv/installed
	$(BIN)/zinniactl demo

test: .venv/installed
	$(BIN)/python -m pytest

fuzz: .venv/installed
	MACHINE_EXAMPLES=3000 HYPOTHESIS_PROFILE=fuzz $(BIN)/python -m pytest \
		tests/core/test_machines.py tests/core/test_hostile_input.py -s

plants: .venv/installed
	cd tests && ../$(BIN)/python -m machines

soak: .venv/installed
	PYTHONPATH=platform $(BIN)/python -m soak --first 1 --seeds 50
	PYTHONPATH=platform $(BIN)/python -m soak --first 1 --seeds 50 --kind crashes
	PYTHONPATH=platform $(BIN)/python -m soak --first 1 --seeds 50 --kind limits
	PYTHONPATH=platform $(BIN)/python -m soak --first 1 --seeds 50 --kind drills
	PYTHONPATH=platform $(BIN)/python -m soak --first 1 --seeds 50 --kind retries
	PYTHONPATH=platform $(BIN)/python -m soak --first 1 --seeds 50 --kind partitions
	PYTHONPATH=platform $(BIN)/python -m soak --first 1 --seeds 50 --kind stops
	PYTHONPATH=platform $(BIN)/python -m soak --first 0 --seeds 10
	PYTHONPATH=platform $(BIN)/python -m soak.plants

bench: .venv/installed
	$(BIN)/python -m bench.cost
	$(BIN)/python -m bench.cli

capacity: .venv/installed
	$(BIN)/python -m bench.capacity

format: .venv/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: .venv/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: .venv/installed
	$(BIN)/pyright

check: lint types test

clean:
	rm -rf .venv
