"""Tests of standins.instance_list."""

import anyio

from plantainvane import instances
from plantainvane import log
from plantainvane import settings as settings_module
from plantainvane import workers
from standins import gate as gate_module
from standins import instance_list
from standins import serving

RUNNER = instances.Instance(
    "r1", instances.InstanceKind.RUNNER, "d1", "rack1", "127.0.0.1:1"
)


def make_state():
    settings = instance_list.ListSettings("", lag_s=2.0, contradict_s=5.0)
    return instance_list.make_state(settings)


def test_changes_are_shown_after_the_lag():
    """Guards against a simulated list without lag.

    Other tests would then not cover outdated lists.
    """
    state = make_state()
    instance_list.register_instance(state, RUNNER, 10.0)
    assert instance_list.list_instances(state, "d1", 11.9) == []
    assert instance_list.list_instances(state, "d1", 12.0) == [RUNNER]
    assert instance_list.list_instances(state, "d2", 12.0) == []


def test_leaving_instance_never_returns():
    """Guards against a stand-in that resets `leaving`.

    The platform guarantees that a leaving instance stays leaving.
    """
    state = make_state()
    body = b'{"id": "r1"}'
    instance_list.register_instance(state, RUNNER, 10.0)
    assert instance_list._handle_leaving(state, body, 11.0).status == 200
    instance_list.register_instance(state, RUNNER, 12.0)
    listed = instance_list.list_instances(state, "d1", 20.0)
    assert [entry.leaving for entry in listed] == [True]


def test_contradicting_replies_alternate():
    """Guards against a `contradict` fault that always shows the same state."""
    state = make_state()
    state.gate.current = gate_module.GateFaults(contradict=True)
    instance_list.register_instance(state, RUNNER, 10.0)
    replies = [
        instance_list.list_instances(state, "d1", 13.0) for _ in range(4)
    ]
    assert replies == [[RUNNER], [], [RUNNER], []]


def test_list_serves_the_dialect_of_the_client():
    """Guards against a stand-in whose API differs from the client's."""

    async def run():
        settings = instance_list.ListSettings(
            serving.find_free_address(), registered=(RUNNER,)
        )
        product = settings_module.Settings(
            id="e1",
            domain="d1",
            domains=("d1",),
            listen=settings_module.Listen("", "", ""),
            platform=settings_module.Platform("", settings.listen),
        )
        async with (
            serving.open_standin(instance_list.serve_list, settings),
            instances.make_client(product) as client,
        ):
            fetched = await instances.fetch_instances(client, "d1")
        assert fetched.ok_value == [RUNNER]

    anyio.run(run)


def test_every_platform_client_names_its_process():
    """Guards against clients that `blocked_sources` cannot cut off.

    The fault identifies the sender by its `Client-Id` header.
    """
    product = settings_module.Settings(
        id="e1",
        domain="d1",
        domains=("d1",),
        listen=settings_module.Listen("", "", ""),
        platform=settings_module.Platform("127.0.0.1:1", "127.0.0.1:2"),
    )
    for client in (
        log.make_client(product),
        instances.make_client(product),
        workers.make_client(product, "127.0.0.1:3"),
    ):
        assert client.headers["Client-Id"] == "e1"
