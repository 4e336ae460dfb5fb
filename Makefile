# Two first commands: `make demo` and `make test`. Both set up what they need.
PYTHON ?= python3
RUN := .venv-demo/bin/python
DEV := .venv-dev/bin

.PHONY: demo test rehearse

# A scripted morning: two proxies as processes, nine emulated servers, clients, all on loopback. Half a minute.
demo: .venv-demo/ready
	$(RUN) -m client_proxy.emulator replay examples/days/calm-morning.toml --clock real

# Every shipped day on the clock that does not wait.
rehearse: .venv-demo/ready
	for day in examples/days/*.toml; do $(RUN) -m client_proxy.emulator replay $$day --quiet || exit 1; done

test: .venv-dev/ready
	PATH="$(CURDIR)/$(DEV):$$PATH" sh -c 'ruff format --check . && ruff check . && lint-imports --no-cache && mypy && python -m pytest -n 8 --dist worksteal'

.venv-demo/ready: requirements.txt
	$(PYTHON) -m venv .venv-demo
	.venv-demo/bin/pip -q install -r requirements.txt
	touch $@

.venv-dev/ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv .venv-dev
	$(DEV)/pip -q install -r requirements-dev.txt
	touch $@
