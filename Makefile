# Each target sets up what is missing; the locked packages go to .venv.
PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: setup check test demo bench

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

test: check
	$(VENV)/bin/python -m pytest

demo: $(STAMP)
	$(VENV)/bin/python -m cuminhatch_standins.demo

bench: $(STAMP)
	$(VENV)/bin/python -m bench
