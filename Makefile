VENV ?= .venv
CODE := gypsumplank standins demo bench reference soak tests
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
export PYTHONPATH := $(CURDIR)

.PHONY: setup test format docs demo bench bench-capacity soak soak-jobs

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --constraint constraints.txt --editable '.[dev,report]'
	touch $(STAMP)

test: setup
	$(PY) -m black --check --quiet $(CODE)
	$(PY) -m ruff check --quiet $(CODE)
	$(PY) -m mypy --no-error-summary
	$(VENV)/bin/lint-imports --no-cache
	$(PY) -m tests.known_red
	$(PY) -m pytest

format: setup
	$(PY) -m ruff check --quiet --fix $(CODE)
	$(PY) -m black --quiet $(CODE)

demo: setup
	$(PY) -m demo

bench: setup
	$(PY) -m bench

bench-capacity: setup
	$(PY) -m bench capacity

docs: setup
	$(PY) -m reference

SEED ?= 1
MINUTES ?= 1
soak: setup
	$(PY) -m soak --seed $(SEED) --minutes $(MINUTES)

SEEDS ?= 1
soak-jobs: setup
	$(PY) -m soak.jobs --seed $(SEED) --seeds $(SEEDS)
	$(PY) -m soak.jobs --failed
