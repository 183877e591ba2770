"""Shared functions of the commands: print errors, exit with 2, read configuration and inventory."""

from __future__ import annotations

import importlib.util
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from emberlatch.config import ConfigError, Gateway, default_vocabulary, load, vocabulary_of
from emberlatch.inventory import Inventory, RefusedError, Vocabulary
from emberlatch.inventory import load as read_inventory
from emberlatch.standalone.answers import ERROR, Command, JsonObject

if TYPE_CHECKING:  # AS2 needs libraries of an optional extra
    from emberlatch.as2.profile import Parties
    from emberlatch.config.as2 import As2

PATH = click.Path(path_type=Path)
FILE = click.Path(path_type=Path, exists=True, dir_okay=False)
EXIT_CODE_OF_ERRORS = 2
AS2_LIBRARIES = ("asn1crypto", "cryptography")
AS2_LIBRARIES_MISSING = "AS2 needs additional libraries: pip install 'emberlatch[as2]'"


def has_libraries(names: Iterable[str]) -> bool:
    """Return whether the libraries of an extra are installed."""
    return all(importlib.util.find_spec(name) is not None for name in names)


def has_as2() -> bool:
    """Return whether the libraries of AS2 are installed."""
    return has_libraries(AS2_LIBRARIES)


def fail(lines: Iterable[object]) -> NoReturn:
    """Print each error on a line of standard error, and exit with 2."""
    for line in lines:
        click.echo(str(line), err=True)
    raise SystemExit(EXIT_CODE_OF_ERRORS)


def load_configuration(path: Path) -> Gateway:
    """Load a configuration file; print all its problems and exit with 2 if it has any."""
    try:
        return load(path)
    except ConfigError as error:
        fail(error.problems)


def load_parties(path: Path, config: Gateway, as2_config: As2) -> Parties:
    """Load the AS2 profiles of a configuration; print the error and exit with 2 if one can't be used."""
    from emberlatch.as2.build import ProfileError, build_parties

    try:
        return build_parties(as2_config, config.path)
    except ProfileError as error:
        fail([f"{path}: {error}"])


def query_gateway(config_path: Path, command: Command) -> JsonObject:
    """Query the running gateway of a configuration; exit with 2 if it gives no answer or an error."""
    from emberlatch.standalone import send_command

    config = load_configuration(config_path)
    state = config.path(config.state)
    try:
        answer = send_command(state, command)
    except (OSError, ValueError) as error:
        fail([f"no gateway answers in {str(state)!r}: {error}"])
    if ERROR in answer:
        fail([answer[ERROR]])
    return answer


def load_inventory(paths: list[Path], vocabulary: Vocabulary) -> Inventory:
    """Load the inventory in files and folders; print all its problems and exit with 2 if it has any."""
    try:
        return read_inventory(paths, vocabulary)
    except RefusedError as error:
        fail(error.problems)


def inventory_of(config: Gateway) -> Inventory:
    """Load the inventory of a configuration; see `load_inventory` for problems."""
    return load_inventory([config.path(path) for path in config.inventory.paths], vocabulary_of(config))


def inventory_at(source: Path, config_path: Path | None) -> Inventory:
    """Load the inventory of a configuration (`*.toml`), or the one in a file or folder.

    A file or folder may use the wings and kinds of the configuration at `config_path`, or else the defaults.
    """
    if source.suffix == ".toml":
        return inventory_of(load_configuration(source))
    if config_path is None:
        return load_inventory([source], default_vocabulary())
    return load_inventory([source], vocabulary_of(load_configuration(config_path)))
