"""Tests of plantainvane.dispatcher with runners in the same process."""

import collections
import contextlib
import random
import time

import anyio
import pytest

from plantainvane import connections
from plantainvane import dispatcher as dispatcher_module
from plantainvane import documents
from plantainvane import ejection
from plantainvane import metrics
from plantainvane import outcomes
from plantainvane import routing
from plantainvane import slots
from plantainvane import targets
from tests import fake_runner
from tests import request_fakes

pytestmark = pytest.mark.anyio
OUTCOME = outcomes.RequestOutcome


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_dispatcher(
    *classes, requests=None, members=(), key_table=None, forward=None
):
    return dispatcher_module.Dispatcher(
        request_fakes.make_settings(requests),
        request_fakes.Configuration(*classes or [request_fakes.make_class()]),
        request_fakes.Membership(*members),
        key_table or request_fakes.KeyTable(),
        forward,
        draw=lambda: 0.5,
    )


@contextlib.asynccontextmanager
async def serve(*answers, dispatcher=None, classes=("preview",), open_slots=8):
    """Runs a dispatcher with one fake runner for each of `answers`."""
    dispatcher = dispatcher or make_dispatcher()
    async with contextlib.AsyncExitStack() as stack:
        runners = [
            await stack.enter_async_context(fake_runner.serve_runner(answer))
            for answer in answers
        ]
        listed = [
            request_fakes.make_runner(f"t{number}", runner.address, classes)
            for number, runner in enumerate(runners)
        ]
        dispatcher.update_targets(listed, time.monotonic())
        await stack.enter_async_context(
            request_fakes.run_dispatcher(dispatcher, open_slots)
        )
        yield dispatcher, runners


async def send(dispatcher, request_id, body=b"x", **fields):
    request = dispatcher_module.Request(
        fields.pop("service_class", "preview"), request_id, body, **fields
    )
    return await dispatcher.handle_request(request, time.monotonic())


async def test_every_caller_gets_the_answer_to_its_own_request():
    # Guards against answers that are swapped between concurrent requests.
    answers = {}
    async with (
        serve(fake_runner.echo, fake_runner.echo, open_slots=16) as (d, _),
        anyio.create_task_group() as group,
    ):

        async def call(number):
            answers[number] = await send(d, f"r{number}", b"%d" % number)

        for number in range(100):
            group.start_soon(call, number)
    assert [answers[n].body for n in range(100)] == [
        b"answer to %d" % n for n in range(100)
    ]


async def test_equal_ids_of_two_callers_stay_apart():
    # Guards against a late answer to one caller that is matched to the request
    # of another because both chose the same id.
    async with serve(fake_runner.echo) as (dispatcher, (runner,)):
        first = await send(dispatcher, "same", b"1")
        second = await send(dispatcher, "same", b"2")
    assert (first.body, second.body) == (b"answer to 1", b"answer to 2")
    assert len(set(runner.runs)) == 2


def make_faulty_answer(seed):
    """Answers correctly half of the time, else with a random fault."""
    draw = random.Random(seed)

    async def answer(runner, seen):
        fault = draw.choice(["good"] * 5 + FAULTS)
        if fault == "refused":
            await fake_runner.refuse(runner, seen)
            return
        runner.runs.append(seen.request_id)
        reply = fake_runner.make_reply(
            seen.request_id, fake_runner.make_answer(seen)
        )
        await anyio.sleep(draw.random() / 500)
        if fault == "truncated":
            await seen.stream.send(reply[:-3])
        elif fault == "doubled":
            await seen.stream.send(reply + reply)
        elif fault == "late":
            await anyio.sleep(0.15)
            await seen.stream.send(reply)
        elif fault == "good":
            await seen.stream.send(reply)
        if fault in ("truncated", "lost"):
            await seen.stream.aclose()

    return answer


FAULTS = ["truncated", "doubled", "late", "lost", "refused"]


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_faulty_runners_never_mislead_a_caller(seed):
    # Guards against answers that are partial or belong to another request, and
    # against "not run" for a request that a runner recorded as run.
    quick = request_fakes.make_requests(
        run_samples=5, silence_floor_s=0.05, eject_failures=30
    )
    dispatcher = make_dispatcher(requests=quick)
    answers = {}
    async with serve(
        *(make_faulty_answer(seed * 10 + n) for n in range(3)),
        dispatcher=dispatcher,
        open_slots=24,
    ) as (_, runners):

        async def call(caller):
            for number in range(10):
                id_ = f"r{caller}-{number}"
                answers[id_] = await send(dispatcher, id_, id_.encode())

        async def give_up(number):
            with anyio.move_on_after(0.001):
                await send(dispatcher, f"given-up-{number}", b"nobody's")

        async with anyio.create_task_group() as group:
            for caller in range(12):
                group.start_soon(call, caller)
                group.start_soon(give_up, caller)
        ran = {id_ for runner in runners for id_ in runner.runs}
    counted = collections.Counter(a.outcome for a in answers.values())
    assert counted[OUTCOME.ANSWERED] > 60
    for id_, answer in answers.items():
        if answer.outcome is OUTCOME.ANSWERED:
            assert answer.body == b"answer to " + id_.encode()
        elif answer.outcome is OUTCOME.NOT_RUN:
            assert id_ not in ran


@pytest.mark.parametrize(
    ("stage", "outcome"),
    [
        ("before reading", OUTCOME.UNKNOWN),
        ("after the action", OUTCOME.UNKNOWN),
        ("within the head", OUTCOME.UNKNOWN),
        ("within the body", OUTCOME.UNKNOWN),
        ("refused", OUTCOME.NOT_RUN),
    ],
)
async def test_non_idempotent_request_runs_at_most_once(stage, outcome):
    # Guards against a second run after a lost reply, and against "not run" when
    # the connection breaks after the first byte was sent.
    async def answer(runner, seen):
        if stage == "refused":
            await fake_runner.refuse(runner, seen)
            return
        if stage != "before reading":
            runner.runs.append(seen.request_id)
        reply = fake_runner.make_reply(seen.request_id, b"warned")
        if stage == "within the head":
            await seen.stream.send(reply[:20])
        elif stage == "within the body":
            await seen.stream.send(reply[:-1])
        await seen.stream.aclose()

    key_table = request_fakes.KeyTable()
    dispatcher = make_dispatcher(
        request_fakes.make_class("preview", idempotent=False),
        key_table=key_table,
    )
    async with serve(answer, answer, dispatcher=dispatcher, open_slots=16) as (
        _,
        runners,
    ):
        got = await send(dispatcher, "w1", key="k", issued=1.0)
        runs = [id_ for runner in runners for id_ in runner.runs]
        await request_fakes.wait_until(lambda: key_table.finished)
    assert got.outcome is outcome
    assert len(runs) <= 1
    assert key_table.finished == [("k", outcome.value)]


async def test_repeated_key_is_a_duplicate():
    # Guards against a second run when a caller repeats a request with its key.
    dispatcher = make_dispatcher(
        request_fakes.make_class("preview", idempotent=False)
    )
    async with serve(fake_runner.echo, dispatcher=dispatcher) as (
        _,
        (runner,),
    ):
        first = await send(dispatcher, "a", key="k", issued=1.0)
        second = await send(dispatcher, "b", key="k", issued=1.0)
        third = await send(dispatcher, "c")
    assert first.outcome is OUTCOME.ANSWERED
    assert second.outcome is OUTCOME.DUPLICATE
    assert (third.outcome, third.reason) == (OUTCOME.NOT_RUN, "key_required")
    assert runner.runs == ["a"]


async def test_refusal_after_an_unknown_attempt_is_not_called_not_run():
    # Guards against "not run" when a retry is refused but the first attempt may
    # have run.
    async def answer(runner, seen):
        if runner.runs:
            await fake_runner.refuse(runner, seen)
            return
        runner.runs.append(seen.request_id)
        await seen.stream.aclose()

    async with serve(answer) as (dispatcher, (runner,)):
        got = await send(dispatcher, "r1")
    assert got.outcome is OUTCOME.UNKNOWN
    assert runner.runs == ["r1"]


async def test_shutdown_tells_waiting_from_running():
    # Guards against "not run" for requests in flight when the process stops.
    reached = anyio.Event()

    async def hold(runner, seen):
        runner.runs.append(seen.request_id)
        if len(runner.runs) == 8:
            reached.set()
        await anyio.sleep_forever()

    dispatcher = make_dispatcher()
    answers = {}

    async def call(number):
        answers[f"r{number}"] = await send(dispatcher, f"r{number}")

    async with (
        anyio.create_task_group() as group,
        fake_runner.serve_runner(hold) as runner,
    ):
        listed = request_fakes.make_runner("t", runner.address, ("preview",))
        dispatcher.update_targets([listed], time.monotonic())
        async with request_fakes.run_dispatcher(dispatcher, 8):
            for number in range(12):
                group.start_soon(call, number)
            await reached.wait()
    for id_, answer in answers.items():
        ran = id_ in runner.runs
        wanted = OUTCOME.UNKNOWN if ran else OUTCOME.NOT_RUN
        assert answer.outcome is wanted
    assert len(answers) == 12


async def test_drain_lets_accepted_requests_end():
    # Guards against a graceful shutdown that aborts requests in flight or still
    # accepts new ones.
    release = anyio.Event()

    async def hold(runner, seen):
        await release.wait()
        await fake_runner.echo(runner, seen)

    answers = []
    drained = []
    async with (
        serve(hold) as (dispatcher, (runner,)),
        anyio.create_task_group() as group,
    ):

        async def call(number):
            answers.append(await send(dispatcher, f"r{number}"))

        async def wait_drained():
            await dispatcher.wait_drained()
            drained.append(len(answers))

        for number in range(20):
            group.start_soon(call, number)
        await request_fakes.wait_until(lambda: runner.running == 8)
        dispatcher.start_drain()
        group.start_soon(wait_drained)
        late = await send(dispatcher, "late")
        assert not drained
        release.set()
    assert (late.outcome, late.reason) == (OUTCOME.NOT_RUN, "not_serving")
    assert [answer.outcome for answer in answers] == [OUTCOME.ANSWERED] * 20
    assert drained == [20]


async def test_drain_lets_a_request_end_that_waits_for_its_key():
    # Guards against refusing a request during a drain after its key was
    # claimed.
    gate = anyio.Event()
    key_table = request_fakes.KeyTable()
    claim_key = key_table.claim_key

    async def claim_slowly(*arguments):
        await gate.wait()
        return await claim_key(*arguments)

    key_table.claim_key = claim_slowly
    dispatcher = make_dispatcher(
        request_fakes.make_class(idempotent=False), key_table=key_table
    )
    answers = []
    async with (
        serve(fake_runner.echo, dispatcher=dispatcher) as (_, _),
        anyio.create_task_group() as group,
    ):

        async def call():
            answers.append(await send(dispatcher, "w", key="k", issued=1.0))

        group.start_soon(call)
        await anyio.wait_all_tasks_blocked()
        dispatcher.start_drain()
        gate.set()
        with anyio.fail_after(5.0):
            await dispatcher.wait_drained()
        assert key_table.finished == [("k", "answered")]
    assert [answer.outcome for answer in answers] == [OUTCOME.ANSWERED]


@pytest.mark.parametrize("sign", ["reply", "probe", "list", "missing"])
async def test_leaving_target_gets_no_new_work(sign):
    # Guards against work for a leaving target while the list lags behind the
    # sign in its replies or probes, contradicts the sign, or lacks the target.
    leaving = "Leaving: 1\r\n"

    async def answer(runner, seen):
        extra = leaving if sign == "reply" else ""
        body = fake_runner.make_answer(seen)
        runner.runs.append(seen.request_id)
        reply = fake_runner.make_reply(seen.request_id, body, extra=extra)
        await seen.stream.send(reply)

    async with serve(answer, fake_runner.echo, open_slots=16) as (
        dispatcher,
        (leaver, stayer),
    ):
        target = dispatcher.fleet.targets["t0"]
        listed = [
            request_fakes.make_runner("t0", leaver.address, ("preview",)),
            request_fakes.make_runner("t1", stayer.address, ("preview",)),
        ]
        if sign == "probe":
            leaver.health = fake_runner.make_reply("", b"", extra=leaving)
        elif sign == "list":
            gone = request_fakes.make_runner(
                "t0", leaver.address, ("preview",), leaving=True
            )
            dispatcher.update_targets([gone, listed[1]], time.monotonic())
        elif sign == "missing":
            now = time.monotonic()
            dispatcher.update_targets(listed[1:], now)
            assert not target.retired
            dispatcher.update_targets(listed[1:], now + 1.0)
        for number in range(50 if sign == "reply" else 0):
            if not target.retired:
                await send(dispatcher, f"before{number}")
        await request_fakes.wait_until(lambda: target.retired)
        before = len(leaver.runs)
        if sign != "missing":
            # A lagging list shows the target as live again.
            await request_fakes.wait_until(
                lambda: "t0" not in dispatcher.fleet.targets
            )
            dispatcher.update_targets(listed, time.monotonic())
        for number in range(40):
            got = await send(dispatcher, f"after{number}")
            assert got.outcome is OUTCOME.ANSWERED
    assert len(leaver.runs) == before


async def test_refusals_of_a_leaving_target_cost_no_retry_token():
    # Guards against a rolling restart that uses up the retry budget.
    async def answer(runner, seen):
        extra = "Not-Run: 1\r\nLeaving: 1\r\n"
        reply = fake_runner.make_reply(seen.request_id, b"", "503 No", extra)
        await seen.stream.send(reply)

    async with serve(answer, fake_runner.echo, open_slots=16) as (
        dispatcher,
        (leaver, _),
    ):
        with anyio.fail_after(5.0):
            while not leaver.requests:
                got = await send(dispatcher, "r")
                assert got.outcome is OUTCOME.ANSWERED
        budget = dispatcher.dump_state(0.0)["retry_budget"]
    assert budget["tokens"] == 20


async def test_silent_connection_does_not_eject_its_target():
    # Guards against ejecting a healthy target because one connection is silent.
    silent = []

    async def answer(runner, seen):
        if not silent:
            silent.append(seen.connection)
        if seen.connection in silent:
            await anyio.sleep_forever()
        await fake_runner.echo(runner, seen)

    quick = request_fakes.make_requests(run_samples=1, silence_floor_s=0.03)
    dispatcher = make_dispatcher(
        request_fakes.make_class("preview", expected_run_ms=1), requests=quick
    )
    async with serve(answer, dispatcher=dispatcher) as (_, (runner,)):
        silent.append(-1)  # The first request measures the run time.
        await send(dispatcher, "r0")
        silent.clear()
        got = [await send(dispatcher, f"r{n}") for n in range(1, 20)]
        target = dispatcher.fleet.targets["t0"]
        assert target.health.consecutive_ejections == 0
    assert {answer.outcome for answer in got} == {OUTCOME.ANSWERED}
    assert [answer.attempts for answer in got] == [2] + [1] * 18


async def test_probes_find_a_silent_idle_connection():
    # Guards against requests that time out on a connection that became silent
    # while it was idle.
    requests = request_fakes.make_requests(
        probe_timeout_s=0.03, probe_interval_s=0.01
    )
    dispatcher = make_dispatcher(requests=requests)
    async with serve(fake_runner.echo, dispatcher=dispatcher) as (
        _,
        (runner,),
    ):
        runner.silent.update({1, 2, 4})
        await request_fakes.wait_until(
            lambda: (
                runner.connections == 11 and dispatcher.fleet.open_slots == 8
            )
        )
        got = [await send(dispatcher, f"r{number}") for number in range(20)]
        assert dispatcher.fleet.targets["t0"].health.consecutive_ejections == 0
    assert {answer.attempts for answer in got} == {1}


@pytest.mark.parametrize("outcome", [OUTCOME.NOT_RUN, OUTCOME.UNKNOWN])
async def test_outcome_at_a_peer_is_passed_on(outcome):
    # Guards against "not run" for a request that may have run at a peer, and
    # against "unknown" for one that the peer refused.
    async def forward(member, request, deadline_s):
        return outcomes.Answer(outcome, reason="peer")

    dispatcher = make_dispatcher(forward=forward)
    dispatcher._membership.headroom = request_fakes.Member("e9")
    async with request_fakes.run_dispatcher(dispatcher, 0):
        got = await send(dispatcher, "r1")
    assert got.outcome is outcome
    # A request that the peer refused falls back to the capacity of this domain.
    refused = outcome is OUTCOME.NOT_RUN
    assert got.reason == ("no_target" if refused else "peer")


async def test_dead_target_is_ejected_and_returns():
    # Guards against requests that wait for a dead target, and against a
    # recovered target that stays ejected.
    broken = True

    async def answer(runner, seen):
        if broken:
            await seen.stream.aclose()
        else:
            await fake_runner.echo(runner, seen)

    requests = request_fakes.make_requests(attempt_limit=3)
    dispatcher = make_dispatcher(requests=requests)
    async with serve(
        answer, fake_runner.echo, dispatcher=dispatcher, open_slots=16
    ) as (_, (runner, _)):
        health = dispatcher.fleet.targets["t0"].health
        with anyio.fail_after(5.0):
            while not health.consecutive_ejections:
                got = await send(dispatcher, "r")
                assert got.outcome is OUTCOME.ANSWERED
        assert len(runner.requests) == 3
        broken = False
        await request_fakes.wait_until(
            lambda: dispatcher.fleet.open_slots == 16
        )
        assert not health.ejected_until


async def test_pause_of_all_targets_does_not_eject_them_all():
    # Guards against ejecting all targets, an outage of seconds, after a pause
    # of the instance.
    paused = True

    async def answer(runner, seen):
        if paused:
            await anyio.sleep_forever()
        await fake_runner.echo(runner, seen)

    requests = request_fakes.make_requests(
        run_samples=1, silence_floor_s=0.03, eject_base_s=1.0, attempt_limit=9
    )
    dispatcher = make_dispatcher(requests=requests)
    async with (
        serve(answer, answer, dispatcher=dispatcher, open_slots=16) as (_, _),
        anyio.create_task_group() as group,
    ):
        paused = False
        await send(dispatcher, "first")
        paused = True
        for number in range(16):
            group.start_soon(send, dispatcher, f"r{number}")
        healths = [t.health for t in dispatcher.fleet.targets.values()]
        await request_fakes.wait_until(
            lambda: sum(len(h.failed_connections) for h in healths) >= 6
        )
        paused = False
        assert sum(health.consecutive_ejections > 0 for health in healths) <= 1


async def test_queue_full_sheds_the_least_urgent_first():
    # Guards against shedding an urgent request while bulk requests are queued.
    release = anyio.Event()

    async def hold(runner, seen):
        await release.wait()
        await fake_runner.echo(runner, seen)

    bulk = request_fakes.make_class(
        "sync", priority=documents.Priority.BULK, deadline_ms=60_000
    )
    dispatcher = make_dispatcher(
        request_fakes.make_class(),
        bulk,
        requests=request_fakes.make_requests(queue_limit=4),
    )
    answers = {}
    async with (
        serve(hold, dispatcher=dispatcher, classes=("preview", "sync")) as (
            _,
            (runner,),
        ),
        anyio.create_task_group() as group,
    ):

        async def call(name, number):
            id_ = f"{name}{number}"
            answers[id_] = await send(dispatcher, id_, service_class=name)

        for number in range(12):
            group.start_soon(call, "sync", number)
        await request_fakes.wait_until(lambda: dispatcher.count_queued() == 4)
        for number in range(4):
            group.start_soon(call, "preview", number)
        await request_fakes.wait_until(lambda: len(answers) == 4)
        release.set()
    shed = {id_ for id_, a in answers.items() if a.reason == "queue_full"}
    assert shed == {f"sync{number}" for number in range(8, 12)}
    assert all(answers[id_].retry_after_s > 0 for id_ in shed)
    assert shed.isdisjoint(runner.runs)


async def test_overload_goes_to_another_domain_once():
    # Guards against shedding a request that another domain has capacity for,
    # and against forwarding loops.
    sent = []

    async def forward(member, request, deadline_s):
        sent.append((member.id, request.request_id))
        return outcomes.Answer(OUTCOME.ANSWERED, b"from afar", attempts=1)

    dispatcher = make_dispatcher(forward=forward)
    membership = dispatcher._membership
    membership.headroom = request_fakes.Member("e9")
    async with request_fakes.run_dispatcher(dispatcher, 0):
        got = await send(dispatcher, "r1")
        forwarded = await send(dispatcher, "r2", forwarded=True)
        membership.headroom = None
        shed = await send(dispatcher, "r3")
    assert got.body == b"from afar"
    assert sent == [("e9", "r1")]
    assert (forwarded.outcome, forwarded.reason) == (
        OUTCOME.NOT_RUN,
        "no_free_slot",
    )
    assert (shed.outcome, shed.reason) == (OUTCOME.NOT_RUN, "no_target")


async def test_long_work_leaves_the_reserved_slots_to_short_work():
    # Guards against short requests that wait behind long-running ones.
    release = anyio.Event()

    async def answer(runner, seen):
        if seen.path.endswith("/sync"):
            await release.wait()
        await fake_runner.echo(runner, seen)

    sync = request_fakes.make_class(
        "sync", expected_run_ms=60_000, deadline_ms=600_000
    )
    dispatcher = make_dispatcher(request_fakes.make_class(), sync)
    async with (
        serve(answer, dispatcher=dispatcher, classes=("preview", "sync")) as (
            _,
            (runner,),
        ),
        anyio.create_task_group() as group,
    ):
        for number in range(10):

            async def call(number=number):
                await send(dispatcher, f"s{number}", service_class="sync")

            group.start_soon(call)
        await request_fakes.wait_until(lambda: runner.running == 4)
        got = [await send(dispatcher, f"p{n}") for n in range(20)]
        assert runner.most_running <= 5
        release.set()
    assert {answer.outcome for answer in got} == {OUTCOME.ANSWERED}


async def test_unmeasured_class_takes_a_part_of_the_slots_only():
    # Guards against a class that is declared far too short and takes all slots
    # before its run time is measured.
    release = anyio.Event()

    async def hold(runner, seen):
        await release.wait()
        await fake_runner.echo(runner, seen)

    requests = request_fakes.make_requests(
        unmeasured_fraction=0.25, run_samples=3
    )
    dispatcher = make_dispatcher(requests=requests)
    async with (
        serve(hold, dispatcher=dispatcher) as (_, (runner,)),
        anyio.create_task_group() as group,
    ):
        for number in range(12):
            group.start_soon(send, dispatcher, f"r{number}")
        await request_fakes.wait_until(lambda: dispatcher.count_queued() == 10)
        assert runner.most_running <= 2
        release.set()
    assert len(runner.runs) == 12


async def test_request_that_would_wait_too_long_is_shed_on_arrival():
    # Guards against queueing requests that would miss their deadline.
    release = anyio.Event()

    async def hold(runner, seen):
        await release.wait()
        await fake_runner.echo(runner, seen)

    slow = request_fakes.make_class(expected_run_ms=900, deadline_ms=2500)
    dispatcher = make_dispatcher(slow)
    answers = []
    async with (
        serve(hold, dispatcher=dispatcher) as (_, (runner,)),
        anyio.create_task_group() as group,
    ):

        async def call(number):
            answers.append(await send(dispatcher, f"r{number}"))

        for number in range(30):
            group.start_soon(call, number)
        await request_fakes.wait_until(lambda: len(answers) == 8)
        release.set()
    shed = [a for a in answers if a.outcome is OUTCOME.NOT_RUN]
    # 8 run and 14 wait: 15 waits of 0.9 / 8 s and one run exceed 2.5 s.
    assert [a.reason for a in shed] == ["overload"] * 8
    assert len(runner.runs) == 22


async def test_slot_ends_a_request_that_it_never_began():
    # Guards against a caller that waits forever when the process stops between
    # the handover of its request to a slot and the exchange.
    settled = []
    runner = request_fakes.make_runner("t", "", ("preview",))
    target = routing.Target(runner, ejection.Health(), slots.Share(1))
    slot = connections.Slot(target, 0, anyio.Event())

    def count_open_slot(slot, change):
        scope.cancel()

    async with fake_runner.serve_runner(fake_runner.echo) as server:
        target.instance = request_fakes.make_runner(
            "t", server.address, ("preview",)
        )

        def take_request(slot):
            slot.request = "request"

        callbacks = connections.SlotCallbacks(
            clock=time.monotonic,
            is_slot_held=lambda slot: True,
            take_request=take_request,
            get_timeout=lambda active, now: 1.0,
            settle_request=lambda slot, active, reply, began: settled.append(
                (active, reply.kind)
            ),
            note_probe_reply=lambda slot, reply: None,
            note_failure=lambda slot, number: None,
            count_open_slot=count_open_slot,
            remove_slot=lambda slot: settled.append("removed"),
        )
        with anyio.CancelScope() as scope:
            await connections.run_slot(
                request_fakes.make_settings(), slot, callbacks
            )
    assert settled == [("request", targets.ReplyKind.NOT_SENT), "removed"]


async def test_share_shrinks_at_once_and_grows_later():
    # Guards against more exchanges at a runner than it has slots when an entry
    # process joins.
    dispatcher = make_dispatcher(
        requests=request_fakes.make_requests(slot_settle_s=0.2)
    )
    async with serve(fake_runner.echo, dispatcher=dispatcher) as (_, _):
        dispatcher._membership.members.append(request_fakes.Member("e2"))
        dispatcher.update_targets(
            [dispatcher.fleet.targets["t0"].instance], time.monotonic()
        )
        await request_fakes.wait_until(lambda: dispatcher.fleet.open_slots == 4)
        dispatcher._membership.members.pop()
        dispatcher.update_targets(
            [dispatcher.fleet.targets["t0"].instance], time.monotonic()
        )
        assert dispatcher.fleet.targets["t0"].share.slots == 4
        await request_fakes.wait_until(lambda: dispatcher.fleet.open_slots == 8)


async def test_empty_list_keeps_the_known_targets():
    # Guards against retiring all targets because the platform lists none.
    async with serve(fake_runner.echo) as (dispatcher, _):
        dispatcher.update_targets([], time.monotonic() + 100.0)
        dispatcher.update_targets([], time.monotonic() + 200.0)
        got = await send(dispatcher, "r1")
    assert got.outcome is OUTCOME.ANSWERED


async def test_metrics_have_bounded_labels():
    # Guards against a new label value for every status or exception of a
    # runner.
    async def answer(runner, seen):
        number = 500 + len(runner.requests)
        await seen.stream.send(
            fake_runner.make_reply(seen.request_id, b"", f"{number} Strange")
        )

    requests = request_fakes.make_requests(attempt_limit=1, eject_failures=99)
    async with serve(answer, dispatcher=make_dispatcher(requests=requests)) as (
        dispatcher,
        _,
    ):
        for number in range(20):
            await send(dispatcher, f"r{number}")
    text = metrics.encode_metrics().decode()
    reasons = {
        line.partition('reason="')[2].partition('"')[0]
        for line in text.splitlines()
        if line.startswith("plantainvane_bad_replies_total{")
    }
    assert "status_5xx" in reasons
    assert reasons <= metrics.REPLY_REASONS | {"connection"}
