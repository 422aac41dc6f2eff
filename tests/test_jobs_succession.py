"""Questions of callers around a change of the owner."""

import anyio
import pytest
import result

from plantainvane.jobs import entry as entry_module
from plantainvane.jobs import intake
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import succession
from standins import platform_system
from tests import test_platform_sessions as sessions

pytestmark = pytest.mark.anyio
ID = sessions.ID
# No drain of these tests ends by itself.
LONG_DRAIN_S = 30.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


def hook_calls(entry, hook):
    """Lets `hook(address, message, timeout_s, call)` call the peers."""
    call = entry.peers.call

    async def call_hooked(address, message, timeout_s):
        return await hook(address, message, timeout_s, call)

    entry.peers = _Peers(call_hooked, entry.peers.close)


class _Peers:
    def __init__(self, call, close):
        self.call, self.close = call, close


async def start_lasting_job(system):
    """Starts one whose owner is known to the others; returns the owner."""
    owner = await sessions.start_job(system, count=1, run_ms=600_000)
    await anyio.sleep(1.0)
    return owner


async def hand_over(system, owner):
    """Begins a drain and waits until the ownership has passed on."""
    owner.group.start_soon(entry_module.drain, owner)
    await sessions.wait_until(lambda: owner.owner is None)


def list_others(system, *entries):
    return [e for e in system.entries if all(e is not o for o in entries)]


async def claim(entry):
    """Lets a process claim the ownership, as one does that misses the owner."""
    assert await succession._read_claims(entry)
    assert await succession._claim(entry, "test")


@pytest.mark.parametrize("log", ["answers", "silent"])
async def test_former_owner_passes_questions_on_to_its_successor(log):
    # Guards against a process that answers each GET and DELETE with 503 from
    # its handover to its end, as it does not know who follows it.
    async with platform_system.run_system(
        entries=3, drain_s=LONG_DRAIN_S
    ) as system:
        owner = await start_lasting_job(system)
        if log == "silent":
            system.cut_from_log(owner)
        await hand_over(system, owner)
        for method, state in (("GET", "running"), ("DELETE", "cancelled")):
            reply = await platform_system.call(owner, method, ID)
            assert reply.status_code == 200
            assert reply.json() == {"State": state}
        reply = await platform_system.call(owner, "GET")
        assert (reply.status_code, reply.json()) == (200, {"Pending": 0})


async def test_cancel_that_is_passed_on_twice_is_answered_as_one():
    # Guards against "no such job", or a refusal, as the answer to a cancel
    # whose first reply from the successor is lost.
    lost = []

    async def lose_first_cancel(address, message, timeout_s, call):
        reply = await call(address, message, timeout_s)
        is_cancel = getattr(message, "what", "") == "cancel"
        if is_cancel and reply.is_ok() and reply.ok_value.owner and not lost:
            lost.append(reply)
            return make_loss()
        return reply

    async with platform_system.run_system(
        entries=3, drain_s=LONG_DRAIN_S
    ) as system:
        owner = await start_lasting_job(system)
        hook_calls(owner, lose_first_cancel)
        await hand_over(system, owner)
        reply = await platform_system.call(owner, "DELETE", ID)
        assert lost and lost[0].ok_value.known
        assert reply.status_code == 200
        assert reply.json() == {"State": "cancelled"}
        reply = await platform_system.call(owner, "DELETE", sessions.OTHER_ID)
        assert reply.status_code == 410


def make_loss():
    return result.Err(peers_module._CANCELLED)


async def test_cancel_under_way_at_the_step_down_goes_to_the_successor():
    # Guards against a cancel that waits for a log that no longer takes the
    # records of this owner, and is refused after 1.5 s, and against an owner
    # without the log that does not know the successor that pings it.
    async with platform_system.run_system(
        entries=3, drain_s=LONG_DRAIN_S
    ) as system:
        owner = await start_lasting_job(system)
        (other, *_) = list_others(system, owner)
        # Its cancel is not stored before the ownership has passed on.
        system.cut_from_log(owner)
        replies = []

        async def cancel():
            replies.append(await platform_system.call(owner, "DELETE", ID))

        async with anyio.create_task_group() as group:
            group.start_soon(cancel)
            await sessions.wait_until(
                lambda: owner.owner.table.jobs[ID].ended == "cancelled"
            )
            await claim(other)
        assert replies[0].status_code == 200
        assert replies[0].json() == {"State": "cancelled"}


async def test_owner_that_offers_does_not_answer_from_its_memory():
    # Guards against a state that has changed at a successor of which the owner
    # has not heard yet.
    release = anyio.Event()

    async def hold_offers(address, message, timeout_s, call):
        if isinstance(message, peers_module.HandOver):
            with anyio.move_on_after(timeout_s):
                await release.wait()
            return make_loss()
        return await call(address, message, timeout_s)

    async with platform_system.run_system(
        entries=3, drain_s=LONG_DRAIN_S
    ) as system:
        owner = await start_lasting_job(system)
        others = list_others(system, owner)
        for other in others:
            # No ping tells the owner of a later claim.
            system.cuts.add((other.settings.id, owner.settings.peer_address))
        released = owner.owner
        hook_calls(owner, hold_offers)
        owner.group.start_soon(entry_module.drain, owner)
        await sessions.wait_until(lambda: released.offers)
        # It answers as long as the log has no other claim.
        reply = await platform_system.call(owner, "GET", ID)
        assert reply.json() == {"State": "running"}
        await claim(others[0])
        await sessions.wait_until(lambda: others[0].owner.recovered)
        assert owner.owner is released
        reply = await platform_system.call(others[0], "DELETE", ID)
        assert reply.json() == {"State": "cancelled"}
        assert owner.owner is released
        reply = await platform_system.call(owner, "GET", ID)
        assert reply.status_code == 200
        assert reply.json() == {"State": "cancelled"}
        release.set()


async def test_drain_asks_no_more_peers_once_one_tells_of_a_later_owner():
    # Guards against a drain that asks all peers in turn beside an owner that
    # has followed already.
    asked = []

    async def note_offers(address, message, timeout_s, call):
        if isinstance(message, peers_module.HandOver):
            asked.append(address)
        return await call(address, message, timeout_s)

    async with platform_system.run_system(
        entries=5, drain_s=LONG_DRAIN_S
    ) as system:
        owner = await start_lasting_job(system)
        (successor, *others) = list_others(system, owner)
        system.cut_from_log(owner)
        # The successor is not heard, and is the last to be asked.
        system.cuts.add((successor.settings.id, owner.settings.peer_address))
        hook_calls(owner, note_offers)
        await claim(successor)
        for other in others:
            assert await succession._read_claims(other)
        own = successor.settings.peer_address
        owner.known_peers.pop(own, None)
        assert owner.owner is not None
        await hand_over(system, owner)
        assert len(asked) == 1
        reply = await platform_system.call(owner, "GET", ID)
        assert reply.status_code == 200


async def test_drain_asks_peers_no_longer_than_it_lasts():
    # Guards against a process that is killed with the requests that it has
    # read, as it goes on asking peers that do not answer.
    async with platform_system.run_system(entries=5, drain_s=2.0) as system:
        owner = await start_lasting_job(system)
        system.isolate(owner)
        with anyio.fail_after(3.0):
            await entry_module.drain(owner)
        assert owner.stopping.is_set()


async def test_standby_that_drains_learns_of_the_next_owner():
    # Guards against a process that refuses all questions while it drains, as
    # the owner that it knows has failed meanwhile.
    async with platform_system.run_system(
        entries=3, drain_s=LONG_DRAIN_S
    ) as system:
        owner = await start_lasting_job(system)
        (drained, *_) = list_others(system, owner)
        drained.group.start_soon(entry_module.drain, drained)
        await sessions.wait_until(lambda: drained.draining)
        await system.kill(owner)
        await system.wait_owner()

        async def wait_answer():
            while True:
                reply = await platform_system.call(drained, "GET", ID)
                if reply.status_code == 200:
                    return reply
                await anyio.sleep(0.05)

        with anyio.fail_after(2.0):
            assert (await wait_answer()).json() == {"State": "running"}


async def test_owner_that_has_stepped_down_answers_no_question():
    # Guards against an answer from the memory of an owner that is ending.
    async with platform_system.run_system(entries=1) as system:
        entry = await start_lasting_job(system)
        owner = entry.owner
        question = peers_module.Ask("state", ID)
        assert (await intake.answer_question(owner, question)).owner
        owner.step_down("test")
        assert not (await intake.answer_question(owner, question)).owner


async def test_submission_under_way_at_the_end_of_a_drain_is_answered():
    # Guards against a connection that ends without an answer, as a submission
    # that the log does not answer outlasts the process.
    async with platform_system.run_system(entries=1, drain_s=0.5) as system:
        entry = await system.wait_owner()
        system.store.append_delay_s = 60.0
        replies = []

        async def submit():
            reply = await platform_system.call(
                entry, "POST", ID, platform_system.make_job(), deadline_ms=9000
            )
            replies.append(reply.status_code)

        async with anyio.create_task_group() as group:
            group.start_soon(submit)
            await anyio.sleep(0.3)
            await entry_module.drain(entry)
        # The job may be stored.
        assert replies == [504]
