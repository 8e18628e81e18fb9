# Targets: setup, demo, up, test, lint, format, generate, experiments, clean.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
PACKAGES := packages/wagtailstream-core packages/wagtailstream-runtime packages/wagtailstream-entry packages/wagtailstream-agent packages/wagtailstream-router platform
SOURCES := packages platform standins experiments tests tools
# The port of `make up`; 0 lets the system pick one.
PORT ?= 0
# Number of test processes; all tests of a file run in the same one.
WORKERS ?= 4
# Where `make up` writes settings, keys and logs.
DIRECTORY ?= build/up

.PHONY: setup demo up test lint format generate experiments clean

setup: $(READY)

$(READY): requirements.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --quiet --disable-pip-version-check --no-deps --no-build-isolation $(PACKAGES:%=-e %)
	touch $(READY)

demo: setup
	@$(BIN)/python -m standins.demo run

up: setup
	@exec $(BIN)/python -m standins.demo up --port $(PORT) --directory $(DIRECTORY)

test: setup
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy packages platform/wagtailstream_adapter standins experiments tools
	$(BIN)/python tools/check_imports.py
	$(BIN)/python tools/check_names.py

format: setup
	$(BIN)/ruff check --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

# Regenerates the Python code of wire.proto with the generators that are pinned
# in requirements-generate.txt.
generate: setup
	$(BIN)/pip install --quiet --quiet --disable-pip-version-check -r requirements-generate.txt
	cd packages/wagtailstream-core && ../../$(BIN)/python -m grpc_tools.protoc -I. --plugin=protoc-gen-grpclib_python=../../$(BIN)/protoc-gen-grpclib_python --plugin=protoc-gen-mypy=../../$(BIN)/protoc-gen-mypy --python_out=. --grpclib_python_out=. --mypy_out=. wagtailstream_core/wire.proto

experiments: setup
	$(BIN)/python -m experiments

clean:
	rm -rf $(VENV) .pytest_cache .mypy_cache .ruff_cache
