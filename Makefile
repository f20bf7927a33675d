VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: test demo bench bench-quick capacity docs clean

$(VENV)/.installed: pyproject.toml
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV) >&2
	@$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev]' >&2
	@touch $@

test: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m pytest

demo: $(VENV)/.installed
	@$(BIN)/toucanfold demo

bench: $(VENV)/.installed
	@$(BIN)/toucanfold bench

bench-quick: $(VENV)/.installed
	@$(BIN)/toucanfold bench --quick

capacity: $(VENV)/.installed
	@$(BIN)/toucanfold bench --capacity

docs: $(VENV)/.installed
	$(BIN)/toucanfold check-settings --write_docs docs/settings.md

clean:
	rm -rf $(VENV) .pytest_cache .mypy_cache .ruff_cache
