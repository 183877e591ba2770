.PHONY: test
test:
	ruff check .
	ruff format --check .
	mypy
	python -m tools.run_tests
