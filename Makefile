# Shortcuts for the commands of the README, of deploy/balancer.toml and of .ci/run.
.PHONY: build test lint format run toy

build: ## install the proxy's dependencies in .venv
	sh -c '$(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)'

test: ## run all checks of continuous integration
	bash .ci/run

lint: ## run only the linter, the format check and the type checker
	.venv-dev/bin/ruff check . && .venv-dev/bin/ruff format --check . && .venv-dev/bin/mypy

format: ## sort the imports and format all files
	.venv-dev/bin/ruff check --fix --select I . && .venv-dev/bin/ruff format .

run: build ## run one proxy, by default with the example configuration
	EDGE_CONFIG=$${EDGE_CONFIG:-example/config.json} exec .venv/bin/python -m larchhaven

toy: ## run the toy servers and toy discovery of the example configuration
	python3 example/toy_server.py
