"""`python -m emberlatch`: one forwarder on the platform; with arguments the `emberlatch` command instead."""

from __future__ import annotations

import sys


def main() -> int:
    """The platform's forwarder, with as little loaded as it needs."""
    # Nothing here speaks TLS, and asyncio does without it where there is none. Two processes share the memory
    # of one while they change over, and this is a seventh of what one holds at its start.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    from emberlatch.process import main

    return main()


if __name__ == "__main__":
    if sys.argv[1:]:
        from emberlatch import cli

        cli.main(prog_name="emberlatch")
    sys.exit(main())
