"""Room of the owner: refusals of jobs that it cannot hold.

PYTEST_DONT_REWRITE: messages with whole tables take gigabytes.
"""

import anyio
import msgspec
import pytest
import result

from plantainvane.jobs import checks
from plantainvane.jobs import intake as intake_module
from plantainvane.jobs import peers
from plantainvane.jobs import room as room_module
from plantainvane.jobs import succession
from plantainvane.jobs import table as table_module
from tests import test_jobs_configuration as configurations
from tests import test_jobs_decisions as decisions
from tests import test_jobs_intake as intakes
from tests import test_jobs_journal as journals

SETTINGS = decisions.SETTINGS
_OUTCOME = intake_module.Outcome


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def submit(job, free_tasks, reply=None, times=1, answers=()):
    """Submits a job; returns the outcomes, the log and the room left.

    `free_tasks` may also be the room itself, or None if it is not known.
    """
    journal, store = journals.make_journal(*answers)
    room = free_tasks
    if isinstance(free_tasks, int):
        room = room_module.Room(free_tasks)

    async def ask_owner(question):
        return reply

    intake = intake_module.Intake(
        SETTINGS, journal, ask_owner, find_room=lambda: room
    )
    outcomes = []

    async def submit_once():
        outcomes.append(await intake_module.submit_job(intake, job, 1.0))

    async with anyio.create_task_group() as group:
        group.start_soon(journal.run)
        with anyio.fail_after(5):
            async with anyio.create_task_group() as submissions:
                for _ in range(times):
                    submissions.start_soon(submit_once)
        group.cancel_scope.cancel()
    return outcomes, store, room


def make_job(count=1, **fields):
    step = decisions.make_step(count=count)
    return msgspec.structs.replace(intakes.JOB, steps=(step,), **fields)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("free_tasks", "reply", "expected"),
    [
        (9, peers.AskReply(known=False), _OUTCOME.FULL),
        (9, peers.AskReply(known=True), _OUTCOME.ACCEPTED),
        (10, peers.AskReply(known=False), _OUTCOME.ACCEPTED),
        (None, None, _OUTCOME.ACCEPTED),
    ],
)
async def test_a_job_without_room_is_refused(free_tasks, reply, expected):
    # Guards against a job that is accepted and left, one that is refused though
    # it is known, and refusals while nothing is known of the owner.
    outcomes, store, _ = await submit(make_job(10), free_tasks, reply)
    assert outcomes == [expected]
    is_stored = free_tasks != 9
    assert bool(store.appends) == is_stored


@pytest.mark.anyio
async def test_jobs_that_are_being_stored_take_room():
    # Guards against many jobs that are accepted before the owner reports again.
    reply = peers.AskReply(known=False)
    outcomes, _, room = await submit(make_job(10), 25, reply, times=4)
    assert sorted(outcomes) == [_OUTCOME.ACCEPTED] * 2 + [_OUTCOME.FULL] * 2
    assert room.free_tasks == 5


@pytest.mark.anyio
async def test_reports_from_before_a_load_let_no_more_jobs_in():
    # Guards against jobs that are accepted and left: each report that the owner
    # sends before it has loaded the latest ones gave their room back.
    known = configurations.Peers({})

    async def answer_ping(address, message, timeout_s):
        return result.Ok(peers.Pong(True, 1, 1, 0.0, free_tasks=25))

    known.call = answer_ping
    entry = configurations.make_entry(
        configurations.RefusingLog(), known, owner="10.0.0.1:1"
    )
    outcomes = []
    for number in range(4):
        await succession._ping_owner(entry)
        found, _, _ = await submit(
            make_job(10, id=f"{number}"),
            entry.room,
            peers.AskReply(known=False),
        )
        outcomes += found
    assert outcomes == [_OUTCOME.ACCEPTED] * 2 + [_OUTCOME.FULL] * 2


def test_report_from_before_a_job_was_stored_gives_no_room_back():
    # Guards against jobs that are accepted and left, because the owner had
    # measured its room before it could load a job that this process stored.
    room = room_module.Room(25)
    first, second = room.take(10), room.take(10)
    room.apply_report(25, 0.0, asked_at=1.0)
    assert room.free_tasks == 5
    room.settle(first, is_stored=True, now=2.0)
    room.settle(second, is_stored=True, now=9.0)
    for asked_at, expected in ((2.0, 5), (4.0, 15), (9.0, 15), (11.0, 25)):
        room.apply_report(25, 0.0, asked_at)
        assert room.free_tasks == expected


def test_job_that_was_not_stored_takes_no_room():
    # Guards against refusals while the log fails: nothing was stored.
    room = room_module.Room(25)
    room.settle(room.take(10), is_stored=False, now=1.0)
    assert room.free_tasks == 25


def test_owner_counts_a_job_that_it_stores_until_it_has_loaded_it():
    # Guards against jobs that the owner accepts and leaves, as it measures its
    # room between their acceptance and their load; and against jobs that count
    # twice.
    table, room = table_module.JobTable(), room_module.Room()
    room.measure(table, 0.0)
    free = room.free_tasks
    room.settle(room.take(10, "j1"), is_stored=True, now=0.5)
    room.measure(table, 1.0)
    assert room.free_tasks == free - 10
    decisions.add_job(table, decisions.make_step(count=10), job_id="j1")
    room.measure(table, 2.0)
    assert room.free_tasks == free - 10 == room_module.count_free(table)
    # The log did not store another one, although that was not known.
    room.settle(room.take(10, "j2"), is_stored=True, now=2.5)
    room.measure(table, 3.0)
    assert room.free_tasks == free - 20
    room.measure(table, 4.0)
    assert room.free_tasks == free - 10


@pytest.mark.anyio
async def test_room_of_a_job_that_the_log_refuses_is_free_again():
    # Guards against room that stays taken after a submission without success.
    reply = peers.AskReply(known=False)
    outcomes, _, room = await submit(
        make_job(10), 25, reply, answers=[journals.REFUSED] * 99
    )
    assert outcomes == [_OUTCOME.NOT_RUN] and room.free_tasks == 25


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, 3),
        ({"repeat_count": 5, "start_at_ms": 0, "interval_ms": 60_000}, 15),
        ({"repeat_count": 5, "start_at_ms": 2**53}, 0),
        ({"repeat_count": 5, "start_at_ms": 10**12}, 15),
    ],
)
def test_only_what_is_due_soon_needs_room(fields, expected):
    # Guards against jobs that are refused for what is due in some days.
    journal, _ = journals.make_journal()
    intake = intake_module.Intake(SETTINGS, journal, None)
    tasks = intake_module.count_due_tasks(intake, make_job(3, **fields))
    assert tasks == expected


@pytest.mark.parametrize(
    ("elapsed_s", "expected"),
    [(-0.001, 0), (0, 1), (59.999, 1), (60, 2), (10**9, 7)],
)
def test_due_occurrences_are_counted_to_the_millisecond(elapsed_s, expected):
    # Guards against an occurrence that is left out at the end of the horizon.
    job = make_job(repeat_count=7, start_at_ms=5, interval_ms=60_000)
    assert checks.count_due_occurrences(job, elapsed_s * 1000) == expected


def test_room_is_kept_for_one_job_of_any_size():
    # Guards against jobs that wait though they were accepted, as others were
    # accepted elsewhere at the same time.
    table, room = table_module.JobTable(), room_module.Room()
    step = decisions.make_step(count=20_000)
    accepted = 0
    room.measure(table, 0.0)
    while room.free_tasks >= 20_000:
        accepted += 1
        decisions.add_job(table, step, job_id=f"j{accepted}")
        room.measure(table, float(accepted))
    assert accepted == 5
    decisions.add_job(table, step, job_id="late")
    assert not table.deferred
    assert room_module.count_free(table) == 0


def test_refused_callers_return_when_there_is_room():
    # Guards against callers that return too early again and again, or only long
    # after there is room.
    table, room = table_module.JobTable(), room_module.Room()
    jobs = [
        decisions.add_job(
            table, decisions.make_step(count=1000), job_id=f"j{number}"
        )
        for number in range(100)
    ]
    for number, state in enumerate(jobs[:50]):
        room.measure(table, float(number))
        table.cancel_job(state, 1)
    room.measure(table, 50.0)
    assert room.freed_per_s == pytest.approx(1000, rel=0.02)
    for tasks, expected_s in ((50_000, 1), (60_000, 10), (90_000, 40)):
        for job_id in ("a", "b", "c"):
            chosen_s = room_module.choose_retry_after(
                SETTINGS, room, tasks, job_id
            )
            assert expected_s <= chosen_s <= 1.6 * expected_s + 1


def test_a_full_owner_that_frees_nothing_names_a_limited_time():
    # Guards against a time without end, or one at which nothing has changed.
    room = room_module.Room(0)
    chosen_s = room_module.choose_retry_after(SETTINGS, room, 1, "j")
    assert 60 <= chosen_s <= 90
