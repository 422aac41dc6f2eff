"""Runs every measurement module of this package, or those named.

Each has `run_measurements() -> dict`; a module without it is a helper. The
results are printed as one JSON line each, in the order of the names.
"""

import importlib
import pkgutil
import sys

import msgspec

import bench


def run_modules(names: list[str]) -> None:
    """Runs the named modules, or all of them when none is named."""
    found = sorted(
        module.name for module in pkgutil.iter_modules(bench.__path__)
    )
    for name in names or found:
        if name == "__main__":
            continue
        module = importlib.import_module(f"bench.{name}")
        if hasattr(module, "run_measurements"):
            figures = {"module": name, **module.run_measurements()}
            print(msgspec.json.encode(figures).decode(), flush=True)


if __name__ == "__main__":
    run_modules(sys.argv[1:])
