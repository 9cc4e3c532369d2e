# Two commands matter to a newcomer: `make demo` and `make test`.
VENV ?= .venv
PY := $(VENV)/bin/python

.PHONY: demo test lint format bench prove

$(VENV)/.ready: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements.lock
	$(PY) -m pip install --quiet --no-build-isolation --no-deps -e .
	touch $@

demo: $(VENV)/.ready
	$(PY) tools/demo.py

test: $(VENV)/.ready
	$(PY) -m pytest

lint: $(VENV)/.ready
	$(VENV)/bin/black --check --quiet src tests tools bench
	$(VENV)/bin/ruff check src tests tools bench

format: $(VENV)/.ready
	$(VENV)/bin/black --quiet src tests tools bench
	$(VENV)/bin/ruff check --fix --quiet src tests tools bench

bench: $(VENV)/.ready
	$(PY) -m bench.load

prove: $(VENV)/.ready
	$(PY) tools/prove.py
