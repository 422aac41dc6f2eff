PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
SEED ?= 1
SECONDS ?= 60

.PHONY: setup demo demo-requests test format bench chaos messages

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.txt
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	@$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	@$(BIN)/pip install -q --disable-pip-version-check --no-deps -e .
	@touch $@

demo: setup
	@$(BIN)/python -m standins.platform_demo

demo-requests: setup
	@$(BIN)/python -m standins.demo $(if $(KEEP),--keep)

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest
	@test ! -f KNOWN-RED.txt || cat KNOWN-RED.txt

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: setup
	@$(BIN)/python -m bench

chaos: setup
	@$(BIN)/python -m standins.chaos --seed $(SEED) --seconds $(SECONDS)

# Needs grpcio-tools; the generated modules are committed.
messages:
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
	  --grpclib_python_out=. plantainvane/messages.proto
