"""Assembles and runs an entry process on the users' platform."""

import sys

import anyio

from plantainvane import signals
from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import logs
from plantainvane.jobs import settings as settings_module
from plantainvane.platform import adviser
from plantainvane.platform import ingress
from plantainvane.platform import node
from plantainvane.platform import runners
from plantainvane.platform import store
from plantainvane.platform import wire


def make_adapters(
    settings: settings_module.Settings,
) -> interfaces.Adapters:
    """Creates the adapters of one process."""
    return interfaces.Adapters(
        store=store.Store(settings),
        connect_runner=lambda address, runner_id: runners.RunnerClient(
            settings, address, runner_id
        ),
        adviser=adviser.Adviser(settings) if settings.adviser_address else None,
        decode_configuration=wire.decode_configuration,
        decode_runner=wire.decode_runner,
        configuration_topic="keyed.op",
        configuration_key="config",
        runners_topic="keyed.servers",
        evacuation_prefix=wire.EVACUATION_PREFIX,
        is_evacuation=wire.is_evacuation,
    )


def run(received: signals.Receiver) -> int:
    """Runs a process until SIGTERM; returns 2 if the settings are invalid."""
    settings = node.load_settings()
    if settings.is_err():
        print(f"settings: {settings.err_value}", file=sys.stderr)
        return 2
    logs.start_logging()
    entry = entry_module.make_entry(
        settings.ok_value, make_adapters(settings.ok_value)
    )
    anyio.run(entry_module.run_entry, entry, ingress.serve, received)
    signals.ignore()
    return 0
