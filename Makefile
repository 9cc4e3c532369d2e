# Two commands matter to a newcomer: `make demo` and `make test`.
VENV ?= .venv
PY := $(VENV)/bin/python
JOBS ?= auto

.PHONY: demo test soak lint format bench prove

$(VENV)/.ready: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements.lock
	$(PY) -m pip install --quiet --no-build-isolation --no-deps -e .
	touch $@

demo: $(VENV)/.ready
	$(PY) tools/demo.py

test: $(VENV)/.ready
	$(PY) -m pytest -m crowd
	$(PY) -m pytest -n $(JOBS) -m "not crowd"

soak: $(VENV)/.ready
	SOAK_S=120 SOAK_SEEDS=4 $(PY) -m pytest -n 4 tests/serve/test_soak.py

lint: $(VENV)/.ready
	$(VENV)/bin/black --check --quiet src tests tools bench deploy
	$(VENV)/bin/ruff check src tests tools bench deploy

format: $(VENV)/.ready
	$(VENV)/bin/black --quiet src tests tools bench deploy
	$(VENV)/bin/ruff check --fix --quiet src tests tools bench deploy

bench: $(VENV)/.ready
	$(PY) -m bench.load

prove: $(VENV)/.ready
	$(PY) -m tools.prove
