"""Runs all measurement modules of this package, or only the named ones.

A measurement module defines `run_measurements() -> dict`; modules without it
are helpers and are skipped. The figures of a module are printed when it ends.
The last line is one JSON object with all figures by module.
"""

import importlib
import pkgutil
import sys
from typing import Any

import msgspec

import bench


def run_modules(names: list[str]) -> None:
    """Runs the named modules, or all of them if `names` is empty."""
    found = sorted(
        module.name for module in pkgutil.iter_modules(bench.__path__)
    )
    figures = {}
    for name in names or found:
        if name == "__main__":
            continue
        module = importlib.import_module(f"bench.{name}")
        if hasattr(module, "run_measurements"):
            figures[name] = module.run_measurements()
            print(f"{name}:")
            _print_figures(figures[name], depth=1)
    print(msgspec.json.encode(figures).decode(), flush=True)


def _print_figures(figures: dict[str, Any], depth: int) -> None:
    """Prints nested figures, one value or flat list per line."""
    for key, value in figures.items():
        indent = "  " * depth
        if isinstance(value, dict):
            print(f"{indent}{key}:")
            _print_figures(value, depth + 1)
        else:
            print(f"{indent}{key:<32} {value}", flush=True)


if __name__ == "__main__":
    run_modules(sys.argv[1:])
