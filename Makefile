# Commands of a newcomer and of CI. Every target sets up what it needs.

VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed
ONCE ?= 0

.PHONY: run test check measure clean

$(STAMP): pyproject.toml constraints.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(STAMP)

run: $(STAMP)
	$(PYTHON) -m examples.demo $(if $(filter 1,$(ONCE)),--once,)

test: $(STAMP)
	$(PYTHON) -m tests.run

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

measure: $(STAMP)
	$(PYTHON) -m measure --short --output build/measure.json

clean:
	rm -rf $(VENV) build
