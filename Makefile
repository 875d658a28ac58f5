PYTHON = .venv/bin/python
TOLD ?= told.json

.PHONY: build test lint run

build: .venv/built

.venv/built: requirements.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch $@

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/pip -q install 'ruff>=0.6,<1'
	.venv/bin/ruff check lupinmill tests

run: build
	BALANCER_CONFIG=$(TOLD) $(PYTHON) -m lupinmill
