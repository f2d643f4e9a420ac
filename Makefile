VENV ?= .venv
PYTHON ?= $(VENV)/bin/python

.PHONY: install lint format test demo bench proof soak clean

# An explicit PYTHON (as in CI) needs no environment of its own.
ifeq ($(PYTHON),$(VENV)/bin/python)
NEEDS := $(VENV)/.installed
endif

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements-dev.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

install: $(NEEDS)

format: $(NEEDS)
	$(PYTHON) -m ruff format .

lint: $(NEEDS)
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m flake8 .

# A file stays on one worker, as tests of some files share a system. Most of the
# time goes to waits for leases, so workers may outnumber busy cores.
WORKERS ?= 6

test: $(NEEDS)
	$(PYTHON) -m pytest -rxX -n $(WORKERS) --dist loadfile

clean:
	rm -rf $(VENV) build *.egg-info .pytest_cache .hypothesis .ruff_cache

demo: $(NEEDS)
	PYTHON=$(PYTHON) demo/run.sh

SEED ?= 1
DURATION_S ?= 60

proof: $(NEEDS)
	PYTHON=$(PYTHON) demo/proof.sh $(SEED) $(DURATION_S)

# Gateways as processes of their own, with stand-ins of the users' platform.
soak: $(NEEDS)
	$(PYTHON) -m bamboodeck.bench gateway-soak --seed $(SEED) \
	  --duration-s $(DURATION_S)

# Under a minute; figures depend on the machine, so CI leaves it out.
bench: $(NEEDS)
	PYTHON=$(PYTHON) measurements/relay.sh
