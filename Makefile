# Every target works alone on a fresh machine: it makes .venv first.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test bench bench-short check format

.venv/runtime.stamp: requirements.lock
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -r requirements.lock
	touch $@

.venv/dev.stamp: requirements-dev.lock .venv/runtime.stamp
	$(BIN)/pip install -q -r requirements-dev.lock
	touch $@

demo: .venv/runtime.stamp
	$(BIN)/python -m jacinthcart_lab demo

test: .venv/dev.stamp
	$(BIN)/python -m unittest discover -s tests -t .

bench: .venv/runtime.stamp
	$(BIN)/python -m jacinthcart_lab bench

bench-short: .venv/runtime.stamp
	$(BIN)/python -m jacinthcart_lab bench --short

check: .venv/dev.stamp
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .
	$(BIN)/mypy

format: .venv/dev.stamp
	$(BIN)/ruff format .
