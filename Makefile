# Two commands do all set-up: `make demo` and `make test`.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SEEDS ?= 200
MINUTES ?= 5
SEED ?= None
NODES ?= 6
INTERVAL ?= 1.5

.PHONY: demo test soak faults format clean

$(STAMP): requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/weirscale demo

test: $(STAMP)
	$(PYTHON) scripts/run_checks.py

soak: $(STAMP)
	$(VENV)/bin/weirscale soak --seeds=$(SEEDS)

faults: $(STAMP)
	$(PYTHON) -m bench.fault_soak run --minutes=$(MINUTES) --seed=$(SEED) --nodes=$(NODES) --interval=$(INTERVAL) $(if $(BESIDE),--beside=$(BESIDE))

format: $(STAMP)
	$(VENV)/bin/ruff format src features bench scripts
	$(VENV)/bin/ruff check --fix src features bench scripts

clean:
	rm -rf $(VENV) build reports .mypy_cache .ruff_cache
