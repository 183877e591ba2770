CLUSTER_TESTS := $(wildcard tests/cluster/test_*.py)

.PHONY: test cluster $(CLUSTER_TESTS)
test:
	ruff check .
	ruff format --check .
	mypy
	$(MAKE) --no-print-directory -j4 -O cluster
	pytest -q -n auto --dist worksteal

cluster: $(CLUSTER_TESTS)

$(CLUSTER_TESTS):
	ward test --path $@
