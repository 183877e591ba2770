"""`python -m emberlatch`: one forwarder on the platform; with arguments the `emberlatch` command instead."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the platform's forwarder, and import only the modules that it needs."""
    # The forwarder uses no TLS, and asyncio works without `ssl`. That module takes a seventh of a process's
    # memory at its start, and during a takeover two processes share the memory that one has otherwise.
    sys.modules["ssl"] = None  # type: ignore[assignment]
    from emberlatch.process import main

    return main()


if __name__ == "__main__":
    if sys.argv[1:]:
        from emberlatch import cli

        cli.main(prog_name="emberlatch")
    sys.exit(main())
