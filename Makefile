.PHONY: test
test:
	ruff check .
	ruff format --check .
	mypy
	ward test --path tests/huts
	pytest -q -n auto --dist worksteal
