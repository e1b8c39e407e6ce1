# The commands are those of the README, the deploy file and .ci/run; nothing is said twice.
.PHONY: build test lint format run toy

build: ## what a proxy needs to run, in .venv
	sh -c '$(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)'

test: ## everything that continuous integration runs
	bash .ci/run

lint: ## only the linter, the formatter and the type checker
	.venv-dev/bin/ruff check . && .venv-dev/bin/ruff format --check . && .venv-dev/bin/mypy

format: ## put all files into the formatter's form, and their imports in order
	.venv-dev/bin/ruff check --fix --select I . && .venv-dev/bin/ruff format .

run: build ## one proxy with the example's configuration
	EDGE_CONFIG=$${EDGE_CONFIG:-example/config.json} exec .venv/bin/python -m larchhaven

toy: ## the toy exam servers and discovery that the example's configuration names
	python3 example/toy_server.py
