"""Commands."""


def main() -> None:
    """Nothing yet."""
    raise SystemExit("usage: EMBERLATCH_BOOT=FILE python -m huts")
