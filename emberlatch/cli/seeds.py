"""The parameter type of a range of seeds."""

from __future__ import annotations

import click


class SeedRange(click.ParamType):  # type: ignore[type-arg]
    """A range like 0-9999, or one number."""

    name = "seeds"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> range:
        """Parse the range; the first and the last seed are included."""
        first, dash, last = str(value).partition("-")
        try:
            return range(int(first), int(last if dash else first) + 1)
        except ValueError:
            self.fail(f"{value!r} is no range like 0-9999", param, ctx)
