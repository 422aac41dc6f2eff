"""Fakes of the dependencies of the dispatcher."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Any

import anyio

from plantainvane import dispatcher as dispatcher_module
from plantainvane import documents
from plantainvane import instances
from plantainvane import outcomes
from plantainvane import settings as settings_module


def make_settings(
    requests: settings_module.Requests | None = None,
) -> settings_module.Settings:
    """Makes the settings of process `e1` in domain `d1`."""
    return settings_module.Settings(
        id="e1",
        domain="d1",
        domains=("d1", "d2"),
        listen=settings_module.Listen(
            "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
        ),
        platform=settings_module.Platform("127.0.0.1:4", "127.0.0.1:5"),
        requests=requests or make_requests(),
    )


def make_requests(**changes: Any) -> settings_module.Requests:
    """Makes request settings with short intervals, for fast tests."""
    fields: dict[str, Any] = {
        "slot_settle_s": 0.001,
        "sweep_s": 0.005,
        "reconnect_s": 0.005,
        "hint_min_s": 0.01,
        "probe_interval_s": 0.05,
        "absence_grace_s": 0.05,
        "eject_base_s": 0.05,
        "unmeasured_fraction": 1.0,
    }
    return settings_module.Requests(**(fields | changes))


def make_class(name: str = "preview", **changes: Any) -> documents.ServiceClass:
    """Makes a service class with a deadline of 5 s."""
    fields: dict[str, Any] = {
        "priority": documents.Priority.URGENT,
        "deadline_ms": 5000,
    }
    return documents.ServiceClass(name=name, **(fields | changes))


def make_runner(
    id_: str, address: str, classes: tuple[str, ...], leaving: bool = False
) -> instances.Instance:
    """Makes the entry of a runner in the instance list."""
    return instances.Instance(
        id=id_,
        kind=instances.InstanceKind.RUNNER,
        domain="d1",
        rack="r1",
        address=address,
        leaving=leaving,
        classes=classes,
    )


@dataclasses.dataclass
class Member:
    """An entry process."""

    id: str


class Configuration:
    """A fixed set of service classes."""

    def __init__(self, *classes: documents.ServiceClass):
        self.classes = {item.name: item for item in classes}

    def find_service_class(self, name: str) -> documents.ServiceClass | None:
        return self.classes.get(name)

    def find_limits(self) -> None:
        return None


class Membership:
    """A list of members that the test sets."""

    def __init__(self, *ids: str):
        self.members = [Member(id_) for id_ in ids or ("e1",)]
        self.headroom: Member | None = None

    def list_live(self, domain: str | None, now: float) -> list[Member]:
        return self.members

    def pick_spillover_member(
        self, service_class: str, now: float
    ) -> Member | None:
        return self.headroom


@dataclasses.dataclass
class ClaimResult:
    """Result of a claim; `answer` is for the caller if it did not win."""

    won: bool
    answer: outcomes.Answer | None = None


class KeyTable:
    """Idempotency keys in memory; the first claim wins."""

    def __init__(self) -> None:
        self.held: dict[str, outcomes.Answer | None] = {}
        self.finished: list[tuple[str, str]] = []

    async def claim_key(
        self, key: str, issued: float, wall_now: float
    ) -> ClaimResult:
        await anyio.sleep(0)
        if key in self.held:
            answer = outcomes.Answer(outcomes.RequestOutcome.DUPLICATE)
            return ClaimResult(False, answer)
        self.held[key] = None
        return ClaimResult(True)

    async def finish_key(self, key: str, answer: outcomes.Answer) -> None:
        await anyio.sleep(0)
        self.finished.append((key, answer.outcome.value))
        if answer.outcome is outcomes.RequestOutcome.NOT_RUN:
            del self.held[key]


@contextlib.asynccontextmanager
async def run_dispatcher(
    dispatcher: dispatcher_module.Dispatcher, open_slots: int
) -> AsyncIterator[dispatcher_module.Dispatcher]:
    """Runs a dispatcher; yields it once `open_slots` slots are connected."""
    async with anyio.create_task_group() as group:
        group.start_soon(dispatcher.run)
        await wait_until(
            lambda: (
                dispatcher.is_serving()
                and dispatcher.fleet.open_slots >= open_slots
            )
        )
        try:
            yield dispatcher
        finally:
            group.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Returns once `condition` holds; fails after 5 s."""
    with anyio.fail_after(5.0):
        while not condition():
            await anyio.sleep(0.002)
