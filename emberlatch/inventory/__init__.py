"""Endpoints listed by people, in CSV and YAML: one checked set, or every fault by file and line."""

from emberlatch.inventory.changes import Change, diff
from emberlatch.inventory.lastgood import LastGood
from emberlatch.inventory.membership import InventoryMembership
from emberlatch.inventory.model import Endpoint, Inventory, Place, Problem, RefusedError, Vocabulary
from emberlatch.inventory.reader import load, parse
from emberlatch.inventory.whole import assemble
from emberlatch.inventory.write import cells, to_csv, to_yaml

__all__ = [
    "Change",
    "Endpoint",
    "Inventory",
    "InventoryMembership",
    "LastGood",
    "Place",
    "Problem",
    "RefusedError",
    "Vocabulary",
    "assemble",
    "cells",
    "diff",
    "load",
    "parse",
    "to_csv",
    "to_yaml",
]
