"""`python -m huts`: a process of the system if EMBERLATCH_BOOT names its settings, else commands."""

import os
import sys


def main() -> None:
    """Start what is wanted; nothing heavy is imported for a role."""
    if len(sys.argv) == 1 and "EMBERLATCH_BOOT" in os.environ:
        from huts.role import run

        sys.exit(run(os.environ["EMBERLATCH_BOOT"]))
    from huts.guide import main as guide

    guide()


if __name__ == "__main__":
    main()
