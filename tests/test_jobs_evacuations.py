"""Which failure domains are evacuated, and what that keeps from starting."""

import anyio
import msgspec
import pytest
import result

from plantainvane.jobs import attempts
from plantainvane.jobs import clock
from plantainvane.jobs import configuration
from plantainvane.jobs import eligibility
from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import evacuations
from plantainvane.jobs import intake as intake_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import orders
from plantainvane.jobs import peers
from plantainvane.jobs import recovery
from plantainvane.jobs import runner_entries
from plantainvane.platform import wire
from tests import test_jobs_configuration as configurations
from tests import test_jobs_decisions as decisions
from tests import test_jobs_intake as intakes
from tests import test_jobs_journal as journals
from tests import test_jobs_scheduling as passes
from tests import test_jobs_waits as waits_tests

pytestmark = pytest.mark.anyio
SETTINGS = decisions.SETTINGS
JOB = intakes.JOB
WEST = (("s", ""),)
EVACUATE_BOUND_S = 5.0
lines = waits_tests.lines
_Request = evacuations.Request


@pytest.fixture
def anyio_backend():
    return "asyncio"


def select(*records):
    """Selects the evacuations among offset, key and value of records."""
    return evacuations.select_records(
        records, wire.EVACUATION_PREFIX, wire.is_evacuation
    )


def apply(held, *records):
    held.apply(select(*records), records[-1][0] + 1)


def test_the_newest_record_of_a_domain_counts():
    # Guards against a domain that is evacuated for ever, or no longer, as
    # records of others follow.
    held = evacuations.Evacuations()
    apply(held, (3, "evacuate/west", b"{}"), (4, "config", b"{}"))
    apply(held, (5, "evacuate/east", b"{}"), (6, "evacuate/west", b"{}"))
    assert held.domains == {"west": 6, "east": 5}
    apply(held, (7, "evacuate/west", None), (8, "evacuate/north", None))
    assert (held.domains, held.followed_to) == ({"east": 5}, 9)


def test_a_list_of_the_newest_records_takes_back_what_it_lacks():
    # Guards against an evacuation whose end was deleted before it was read,
    # and against one that is lost as it began after the list.
    held = evacuations.Evacuations({"west": 4, "east": 5, "north": 30}, 20)
    held.replace(select((5, "evacuate/east", b"{}")), 25)
    assert held.domains == {"east": 5, "north": 30}
    assert held.followed_to == 25


@pytest.mark.parametrize(
    ("domains", "followed_to", "expected"),
    [
        ({"east": 5}, 8, {"west": 4}),
        ({"west": 4}, 12, {"west": 4}),
        ({}, 12, {}),
        ({"west": 4, "east": 11}, 12, {"west": 4, "east": 11}),
        ({"west": 4, "east": 5}, 12, {"west": 4}),
        ({}, -1, {"west": 4}),
    ],
    ids=["behind", "same", "taken back", "newer", "over since", "cannot tell"],
)
def test_peers_add_only_what_is_newer(domains, followed_to, expected):
    # Guards against a peer that is behind and brings back an evacuation, or
    # takes back one that it has not heard of.
    held = evacuations.Evacuations({"west": 4}, 10)
    held.merge(domains, followed_to)
    assert held.domains == expected
    assert held.followed_to == max(10, followed_to)


def test_records_that_a_peer_was_ahead_of_change_nothing():
    # Guards against an evacuation that an older record takes back, as the log
    # is read on from before what a peer has told.
    held = evacuations.Evacuations({"west": 9}, 12)
    apply(held, (3, "evacuate/west", b"{}"), (4, "evacuate/west", None))
    assert held.domains == {"west": 9}


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("evacuate/", b"{}"),
        ("evacuate/w\ufffdst", b"{}"),
        ("evacuate/" + "w" * 201, b"{}"),
        ("evacuate/west", b"{"),
        ("evacuate/east", b"\xff"),
    ],
)
def test_an_unreadable_record_changes_nothing_and_is_logged(lines, key, value):
    # Guards against a record that ends a process, or changes where tasks run
    # without anyone who asked for it.
    for domains in ({}, {"west": 4}):
        held = evacuations.Evacuations(dict(domains), 10)
        apply(held, (12, key, value))
        assert held.domains == domains
        held.replace(select((12, key, value), (4, "evacuate/a", None)), 10)
        if key == "evacuate/west":
            assert held.domains == domains
    assert waits_tests.find_lines(lines, "evacuation_malformed")
    apply(held, (13, "evacuate/west", None), (14, key, value))
    assert not held.domains


def test_a_reply_names_all_evacuated_domains_or_tells_nothing():
    # Guards against a part of them that takes back the others at a peer.
    few = evacuations.Evacuations({"west": 4}, 10)
    assert evacuations.describe(few) == ({"west": 4}, 10)
    many = evacuations.Evacuations({f"d{n}": n for n in range(300)}, 400)
    assert evacuations.describe(many) == ({}, -1)


def test_replies_of_the_last_release_tell_nothing():
    # Guards against a peer without evacuations that takes back all.
    content = msgspec.msgpack.encode([b"", 3, []])
    reply = msgspec.msgpack.decode(content, type=peers.FetchReply)
    assert (reply.evacuated, reply.followed_to) == ({}, -1)


class Log:
    """Answers one list and then reads; counts them."""

    def __init__(self, listed, *pages):
        self.listed, self.pages, self.calls = listed, list(pages), []

    async def list_newest(self, topic, timeout_s):
        self.calls.append("newest")
        return result.Ok(self.listed)

    async def read(self, topic, offset, wait_s, timeout_s):
        self.calls.append(offset)
        if not self.pages:
            await anyio.sleep_forever()
        return result.Ok(self.pages.pop(0))


async def follow_until(entry, condition, limit_s=EVACUATE_BOUND_S):
    """Follows the configuration until a condition holds."""
    with anyio.fail_after(limit_s):
        async with anyio.create_task_group() as group:
            group.start_soon(configuration.follow_configuration, entry)
            while not condition():
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()


async def test_evacuations_cost_no_call_to_the_log_of_their_own():
    # Guards against a second reader, which each process would run on each day.
    listed = interfaces.Page(
        ((2, "config", b"2"), (3, "evacuate/west", b"{}")), 4, 4
    )
    later = interfaces.Page(
        ((4, "evacuate/west", None), (5, "evacuate/east", b"{}")), 6, 6
    )
    log = Log(listed, later)
    entry = configurations.make_entry(log, configurations.Peers({}), version=1)
    await follow_until(entry, lambda: "east" in entry.evacuations.domains)
    assert entry.evacuations.domains == {"east": 5}
    assert entry.configuration.version == 2
    assert log.calls[:2] == ["newest", 4]
    assert len(log.calls) <= 3


async def test_a_process_knows_the_evacuations_with_its_first_version():
    # Guards against an owner that starts tasks between the two, as the records
    # of the operator come in any order.
    seen = []
    listed = interfaces.Page(
        ((2, "config", b"2"), (3, "evacuate/west", b"{}")), 4, 4
    )
    entry = configurations.make_entry(
        Log(listed), configurations.Peers({}), version=0
    )
    decode = entry.adapters.decode_configuration

    def decode_configuration(document):
        seen.append(dict(entry.evacuations.domains))
        return decode(document)

    entry.adapters.decode_configuration = decode_configuration
    await follow_until(entry, lambda: entry.configuration)
    assert seen == [{"west": 3}]


class EvacuatedPeers(configurations.Peers):
    """Peers that know an evacuation."""

    async def call(self, address, message, timeout_s):
        reply = await super().call(address, message, timeout_s)
        if reply.is_ok():
            reply.ok_value.evacuated = {"west": 7}
            reply.ok_value.followed_to = 9
        return reply


@pytest.mark.parametrize(
    "log", [configurations.SilentLog(), configurations.RefusingLog()]
)
@pytest.mark.parametrize("version", [0, 1])
async def test_an_evacuation_comes_from_peers_while_the_log_is_away(
    log, version
):
    # Guards against an owner, or a process that starts, that the log turns
    # away and that goes on to start tasks there.
    known = EvacuatedPeers({"10.0.0.1:1": 1})
    entry = configurations.make_entry(
        log, known, seeds=("10.0.0.1:1",), version=version
    )
    entry.owner = owner = passes.make_owner(decisions.make_runner("w"))
    owner.runners["w"].entry = msgspec.structs.replace(
        owner.runners["w"].entry, domain="west"
    )
    await follow_until(entry, lambda: owner.runners["w"].evacuated)
    assert owner.evacuated == {"west"}
    # It tells others in turn.
    reply = configuration.answer_fetch(entry, peers.Fetch(-1))
    assert (reply.evacuated, reply.followed_to) == ({"west": 7}, 9)


def make_evacuated_owner(*domains, evacuated=("west",), **fields):
    """Makes an owner with a runner in each domain; `fields` are the last's."""
    runners = []
    for number, domain in enumerate(domains):
        values = fields if number == len(domains) - 1 else {}
        runner = decisions.make_runner(f"r{number}", **values)
        runner.entry = msgspec.structs.replace(runner.entry, domain=domain)
        runners.append(runner)
    owner = passes.make_owner(*runners)
    owner.recovered = True
    evacuations.change_domains(owner, frozenset(evacuated))
    return owner


def test_nothing_is_placed_in_an_evacuated_domain_until_it_is_taken_back():
    # Guards against a start in the domain, and a domain that stays unused.
    owner = make_evacuated_owner("east", "west")
    step = decisions.make_step(count=40, cpu=1000)
    decisions.add_job(owner.table, step)
    passes.run_slices(owner, 10.0)
    placed = passes.list_placed(owner)
    assert {runner for _, runner in placed} == {"r0"}
    assert len(placed) == 16
    assert (
        eligibility.find_refusal(owner.runners["r1"], step, 10.0)
        is eligibility.Obstacle.EVACUATED
    )
    evacuations.change_domains(owner, frozenset())
    passes.run_slices(owner, 11.0)
    assert {r for _, r in passes.list_placed(owner)} == {"r0", "r1"}


def test_a_placed_start_is_withheld_once_its_domain_is_evacuated(monkeypatch):
    # Guards against a start that waited for the log, or for its next try,
    # beyond the bound of the evacuation.
    owner = make_evacuated_owner("west", evacuated=())
    decisions.add_job(owner.table, decisions.make_step())
    passes.run_slices(owner, 10.0)
    (run,) = passes.take_placed(owner)
    runner = owner.runners["r0"]
    monkeypatch.setattr(orders.leases, "is_cut_off", lambda owner, now: False)
    assert not orders._find_obstacle(owner, runner, run, 10.0)
    evacuations.change_domains(owner, frozenset({"west"}))
    assert orders._find_obstacle(owner, runner, run, 10.0)


def test_what_runs_in_an_evacuated_domain_goes_on():
    # Guards against an evacuation that stops work, or preempts some of it for
    # tasks that cannot start there.
    owner = make_evacuated_owner("west", cpu=1000)
    less_urgent = msgspec.structs.replace(decisions.QUEUE, priority=9)
    state = decisions.add_job(
        owner.table,
        decisions.make_step(cpu=1000),
        job_id="running",
        queue=less_urgent,
    )
    run = owner.table.begin_run(state.steps[0, 0].tasks[0], "r0", 1.0)
    run.phase = attempts.Phase.RUNNING
    owner.runners["r0"].charge(run)
    decisions.add_job(owner.table, decisions.make_step(cpu=1000))
    for now in (10.0, 12.0, 30.0):
        passes.run_slices(owner, now)
    assert passes.list_stopped(owner) == []
    assert passes.list_placed(owner) == []


def test_a_runner_that_joins_or_moves_is_marked(monkeypatch):
    # Guards against a start on a runner that was listed after the evacuation,
    # or whose entry names another domain than before.
    owner = make_evacuated_owner("east")
    entry = owner.runners["r0"].entry
    owner.loading = True
    owner.adapters = configurations.types.SimpleNamespace(
        connect_runner=lambda address, runner_id: None
    )
    for domain, evacuated in (("west", True), ("east", False)):
        joined = msgspec.structs.replace(entry, id=domain, domain=domain)
        recovery._add_runner(owner, joined, None, 1.0)
        assert owner.runners[domain].evacuated is evacuated
        moved = msgspec.structs.replace(entry, domain=domain)
        runner_entries.adopt(owner, owner.runners["r0"], moved)
        assert owner.runners["r0"].evacuated is evacuated


def test_a_change_is_logged_with_what_the_owner_has_there(lines):
    # Guards against an evacuation of a name that is no domain and shows
    # nowhere, and one of which nobody can tell when it was in force.
    owner = make_evacuated_owner("east", "west", evacuated=("west", "wset"))
    (known, unknown) = waits_tests.find_lines(lines, "domain_evacuated")
    assert (known["domain"], known["runners"]) == ("west", 1)
    assert (unknown["domain"], unknown["runners"]) == ("wset", 0)
    (line,) = waits_tests.find_lines(lines, "evacuation_unknown")
    assert (line["domain"], line["known"]) == ("wset", ["east", "west"])
    assert not owner.runners["r0"].evacuated
    evacuations.change_domains(owner, frozenset({"wset"}))
    last = waits_tests.find_lines(lines, "domain_evacuated")[-1]
    assert (last["domain"], last["evacuated"]) == ("west", False)


def test_work_is_shut_out_while_all_its_runners_are_evacuated(lines):
    # Guards against jobs that are accepted and wait as long as the evacuation,
    # and against the refusal of jobs that other runners can run.
    owner = make_evacuated_owner("east", "west", rack="r9")
    assert owner.shut_out == (("s", "r9"),)
    evacuations.change_domains(owner, frozenset({"west", "east"}))
    assert owner.shut_out == (("s", ""),)
    owner.runners["r1"].listed = False
    evacuations.change_domains(owner, frozenset({"west"}))
    assert owner.shut_out == ()
    evacuations.change_domains(owner, frozenset())
    assert owner.shut_out == ()
    assert len(waits_tests.find_lines(lines, "work_shut_out")) == 3


def test_only_jobs_that_need_evacuated_runners_now_are_refused():
    # Guards against a refusal of a job that is due after the evacuation.
    step = decisions.make_step()
    labelled = decisions.make_step(required_label="gpu")
    only_gpu = (("s", "gpu"),)
    for steps, start_at_ms, shut_out, expected in (
        ((step,), 0, only_gpu, False),
        ((step, labelled), 0, only_gpu, True),
        ((step, labelled), 5000, only_gpu, False),
        ((step,), 0, WEST, True),
        ((labelled,), 0, WEST, True),
        ((step,), 0, (("t", ""),), False),
    ):
        job = msgspec.structs.replace(JOB, steps=steps, start_at_ms=start_at_ms)
        assert evacuations.is_shut_out(job, shut_out, 1000) is expected


async def submit(known, is_shut_out):
    """Submits a job that the owner knows or not; returns outcome and log."""
    journal, store = journals.make_journal()

    async def ask_owner(question):
        return known

    intake = intake_module.Intake(
        SETTINGS, journal, ask_owner, is_shut_out=lambda job: is_shut_out
    )
    async with anyio.create_task_group() as group:
        group.start_soon(journal.run)
        with anyio.fail_after(5):
            outcome = await intake_module.submit_job(intake, JOB, 1.0)
        group.cancel_scope.cancel()
    return outcome, store


@pytest.mark.parametrize(
    ("known", "is_shut_out", "expected"),
    [
        (peers.AskReply(known=False), True, intake_module.Outcome.SHUT_OUT),
        (peers.AskReply(known=True), True, intake_module.Outcome.ACCEPTED),
        (None, True, intake_module.Outcome.ACCEPTED),
        (None, False, intake_module.Outcome.ACCEPTED),
    ],
)
async def test_a_job_that_is_shut_out_is_refused_and_not_stored(
    known, is_shut_out, expected
):
    # Guards against a job that is refused although it runs, as it was stored
    # before, and against one that is stored although it was refused.
    outcome, store = await submit(known, is_shut_out)
    assert outcome is expected
    stored = expected is intake_module.Outcome.ACCEPTED and (
        known is None or not known.known
    )
    assert bool(store.appends) is stored


def test_callers_return_spread_and_no_sooner_than_the_setting():
    # Guards against callers that ask every second of a long evacuation, or all
    # at the same moment.
    times = [
        evacuations.choose_retry_after(SETTINGS, f"{n:016x}")
        for n in range(200)
    ]
    least_s = SETTINGS.evacuated_retry_s
    assert least_s <= min(times) and max(times) <= 1.5 * least_s + 1
    assert len(set(times)) >= 4


def test_what_an_owner_reported_long_ago_refuses_nothing():
    # Guards against refusals of a process that has lost its owner, long after
    # the evacuation was taken back.
    entry = configurations.make_entry(None, configurations.Peers({}))
    now = clock.read_now()
    entry.shut_out, entry.waits_at = [("s", "")], now
    assert entry_module._is_shut_out(entry, JOB, now + 1.0)
    assert not entry_module._is_shut_out(entry, JOB, now + 60.0)
    entry.owner = make_evacuated_owner("east")
    assert not entry_module._is_shut_out(entry, JOB, now + 1.0)
