VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
export PYTHONPATH := $(CURDIR)

.PHONY: setup test format demo bench bench-capacity

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --constraint constraints.txt --editable '.[dev,report]'
	touch $(STAMP)

test: setup
	$(PY) -m black --check --quiet gypsumplank standins demo bench tests
	$(PY) -m ruff check --quiet gypsumplank standins demo bench tests
	$(PY) -m mypy --no-error-summary
	$(VENV)/bin/lint-imports --no-cache
	$(PY) -m tests.known_red
	$(PY) -m pytest

format: setup
	$(PY) -m ruff check --quiet --fix gypsumplank standins demo bench tests
	$(PY) -m black --quiet gypsumplank standins demo bench tests

demo: setup
	$(PY) -m demo

bench: setup
	$(PY) -m bench

bench-capacity: setup
	$(PY) -m bench capacity
