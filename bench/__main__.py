"""Run the named measurements, or all of them."""

import argparse
import importlib
import sys

MEASUREMENTS = (
    "hop",
    "flood",
    "slots",
    "live",
    "claims",
    "placement",
    "once",
    "rollout",
    "store",
    "capacity",
    "wave",
    "planner",
    "identity",
    "leader",
    "calls",
    "entry_memory",
)
# Measurements of ten minutes or more, which run only if they are named.
LONG_MEASUREMENTS = ("days",)


def main() -> None:
    """Run the measurements one after another."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    parser.add_argument(
        "names",
        nargs="*",
        choices=[*MEASUREMENTS, *LONG_MEASUREMENTS, []],
        help="default: all short ones",
    )
    args = parser.parse_args()
    for name in args.names or MEASUREMENTS:
        sys.stdout.write(f"== {name}\n")
        importlib.import_module(f"bench.{name}").main()


if __name__ == "__main__":
    main()
