HUTS := $(wildcard tests/huts/test_*.py)

.PHONY: test huts $(HUTS)
test:
	ruff check .
	ruff format --check .
	mypy
	$(MAKE) --no-print-directory -j4 -O huts
	pytest -q -n auto --dist worksteal

huts: $(HUTS)

$(HUTS):
	ward test --path $@
