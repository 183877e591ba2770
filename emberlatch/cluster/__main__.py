"""`python -m emberlatch.cluster`: a node if EMBERLATCH_BOOT names its settings, else commands."""

import os
import sys


def main() -> None:
    """Start what is wanted; nothing heavy is imported for a node."""
    if len(sys.argv) == 1 and "EMBERLATCH_BOOT" in os.environ:
        from emberlatch.cluster.process import run

        sys.exit(run(os.environ["EMBERLATCH_BOOT"]))
    from emberlatch.cluster.cli import main as run_command

    run_command()


if __name__ == "__main__":
    main()
