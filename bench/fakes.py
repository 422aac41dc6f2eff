"""Small fakes that the measurements of the request path share."""

import dataclasses
from typing import Any

from plantainvane import documents
from plantainvane import instances
from plantainvane import settings as settings_module


def make_settings(**changes: Any) -> settings_module.Settings:
    """Makes settings of process `e1` in domain `d1`.

    The waits at the start are short; `changes` go to the request settings.
    """
    fields: dict[str, Any] = {"slot_settle_s": 0.001, "sweep_s": 0.02}
    return settings_module.Settings(
        id="e1",
        domain="d1",
        domains=("d1",),
        listen=settings_module.Listen(
            "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
        ),
        platform=settings_module.Platform("127.0.0.1:4", "127.0.0.1:5"),
        requests=settings_module.Requests(**(fields | changes)),
    )


def make_class(name: str, **changes: Any) -> documents.ServiceClass:
    """Makes an urgent service class with a deadline of 10 s."""
    fields: dict[str, Any] = {
        "priority": documents.Priority.URGENT,
        "deadline_ms": 10_000,
    }
    return documents.ServiceClass(name=name, **(fields | changes))


def make_runner(
    id_: str, address: str, classes: tuple[str, ...]
) -> instances.Instance:
    """Makes the entry of a runner in the instance list."""
    return instances.Instance(
        id=id_,
        kind=instances.InstanceKind.RUNNER,
        domain="d1",
        rack="r1",
        address=address,
        classes=classes,
    )


def find_quantile(values: list[float], part: float) -> float:
    """Returns the value below which `part` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


class Configuration:
    """A fixed set of service classes."""

    def __init__(self, *classes: documents.ServiceClass):
        self._classes = {item.name: item for item in classes}

    def find_service_class(self, name: str) -> documents.ServiceClass | None:
        """Returns the class of this name."""
        return self._classes.get(name)

    def find_limits(self) -> None:
        """Returns no limits, so the settings hold."""


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """An entry process."""

    id: str


class Membership:
    """This process alone."""

    def list_live(self, domain: str | None, now: float) -> list[Member]:
        """Returns this process."""
        del domain, now
        return [Member("e1")]

    def find_headroom(self, service_class: str, now: float) -> None:
        """Returns no other domain."""
