"""Entry point of `python -m plantainvane`."""

from plantainvane import commands

if __name__ == "__main__":
    commands.run()
