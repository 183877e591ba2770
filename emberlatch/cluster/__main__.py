"""`python -m emberlatch.cluster`: runs a node if EMBERLATCH_BOOT names its settings file, else a command."""

import os
import sys

SETTINGS_VARIABLE = "EMBERLATCH_BOOT"


def main() -> None:
    """Run a node or a command; the imports are local so that a node does not load the command line."""
    if len(sys.argv) == 1 and SETTINGS_VARIABLE in os.environ:
        from emberlatch.cluster.process import run

        sys.exit(run(os.environ[SETTINGS_VARIABLE]))
    from emberlatch.cluster.cli import main as run_command

    run_command()


if __name__ == "__main__":
    main()
