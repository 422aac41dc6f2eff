"""Entry point of the command line."""

import sys

from plantainvane import signals


def run() -> None:
    """Runs the command line; a daemon handles signals from here on."""
    is_daemon = sys.argv[1:2] == ["entry"]
    received = signals.install() if is_daemon else None
    # Imported here, as these imports take longest of all that comes before a
    # daemon serves, and a signal meanwhile would end it.
    from plantainvane import commands

    commands.run(received)


if __name__ == "__main__":
    run()
