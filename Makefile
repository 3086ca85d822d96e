PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: run test lint format setup fuzz

run: setup
	$(BIN)/bulrushlead embedded $(ARGS)

test: setup lint
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -e '.[dev]'
	touch $@

# Tries many more generated inputs than CI: messages, settings, declarations, files.
fuzz: setup
	$(BIN)/python -m pytest --hypothesis-profile=long --timeout 1800 \
		bulrushlead/wire bulrushlead/settings bulrushlead/declaration \
		bulrushlead/distribution -k "any_ or survive or wrong_types or hostile or round_trip or update_leads"
