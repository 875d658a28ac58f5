PYTHON = .venv/bin/python
TOLD ?= told.json
SCENARIO ?= small-site

.PHONY: build test lint run serve

build: .venv/built

.venv/built: pyproject.toml requirements.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -e '.[lab,test]'
	touch $@

# In virtual time or none, so they may share the machine; what judges processes and sockets has it for itself.
PURE = tests/test_zones.py tests/test_zones_member.py tests/test_common.py tests/test_takeover.py tests/test_peers_members.py tests/test_peers_decisions.py tests/test_peers_wire.py tests/test_lab_model.py \
	tests/test_rules.py tests/test_limits.py tests/test_config_core.py tests/test_config_explorer.py tests/test_cold_fleet.py \
	tests/test_slow_start_fleet.py tests/test_thin_share.py tests/test_module_faults.py tests/test_module_hostile.py tests/test_module_learned.py \
	tests/test_start_lists.py tests/test_memory_plan.py tests/test_discovery_six_seconds.py tests/test_discovery_watcher.py tests/test_list_confirmation.py \
	tests/test_discovery_fleet.py tests/test_config_fanout.py tests/test_config_push.py tests/test_config_terms.py tests/test_fleet_restart.py

test: build
	$(PYTHON) -m pytest -q -n 4 $(PURE)
	$(PYTHON) -m lupinmill lab slopes --quick
	$(PYTHON) -m pytest -q $(addprefix --ignore=,$(PURE))

lint: build
	.venv/bin/pip -q install 'ruff==0.8.4'
	.venv/bin/ruff check lupinmill tests
	.venv/bin/ruff format --check lupinmill tests

run: build
	$(PYTHON) -m lupinmill lab run $(SCENARIO) --sockets

serve: build
	BALANCER_CONFIG=$(TOLD) $(PYTHON) -m lupinmill
