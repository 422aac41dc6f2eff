"""Entry point of an entry process on the users' platform."""

import sys

from plantainvane import signals


def main() -> int:
    """Runs a process until SIGTERM; returns 2 if the settings are invalid."""
    received = signals.install()
    # Imported here, as these imports take longest of all that comes before it
    # serves, and a signal meanwhile would end the process.
    from plantainvane.platform import program

    return program.run(received)


if __name__ == "__main__":
    sys.exit(main())
