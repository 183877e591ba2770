"""Reads inventories of endpoints from CSV and YAML files, and reports every problem by file and line."""

from emberlatch.inventory.assembly import assemble
from emberlatch.inventory.changes import Change, diff
from emberlatch.inventory.last_good import LastGoodInventory
from emberlatch.inventory.membership import InventoryMembership
from emberlatch.inventory.model import (
    Endpoint,
    Inventory,
    Problem,
    RefusedError,
    SourceLocation,
    Vocabulary,
)
from emberlatch.inventory.reader import load, parse
from emberlatch.inventory.writer import cells, to_csv, to_yaml

__all__ = [
    "Change",
    "Endpoint",
    "Inventory",
    "InventoryMembership",
    "LastGoodInventory",
    "Problem",
    "RefusedError",
    "SourceLocation",
    "Vocabulary",
    "assemble",
    "cells",
    "diff",
    "load",
    "parse",
    "to_csv",
    "to_yaml",
]
