"""Failover of the owner: failure detection, claims and planned handover."""

import dataclasses
import random

import anyio
import msgspec
import result

from plantainvane import events
from plantainvane import outcomes
from plantainvane.jobs import clock
from plantainvane.jobs import configuration
from plantainvane.jobs import former_owners
from plantainvane.jobs import interfaces
from plantainvane.jobs import leases
from plantainvane.jobs import metrics
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import ownership as ownership_module
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import probes
from plantainvane.jobs import process as process_module
from plantainvane.jobs import reach as reach_module
from plantainvane.jobs import room as room_module
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import standbys
from plantainvane.jobs import state as state_module

_HAND_OVER_TIMEOUT_S = 1.5
# Most peers that a weak owner asks in turn, as nothing starts meanwhile.
_MAX_OFFERS = 2
# Shortest time between two lines about epochs that the log does not know.
_EPOCH_REFUTED_INTERVAL_S = 10.0
# The owner goes on renewing its claim, and a renewal makes a claim fail that is
# on its way.
_HAND_OVER_TRIES = 3
# Nobody is answered during a recovery, and a weak owner hands over after it
# anyway. Two pings show that the peer is there.
_RECOVERING_WAIT_S = 0.7


async def hand_over(entry: process_module.Entry) -> None:
    """Stops scheduling and asks peers, the ablest first, to claim ownership."""
    owner = entry.owner
    if owner is None:
        return
    candidates = standbys.list_successors(
        entry.known_peers, entry.settings, clock.read_now()
    )
    await _offer_ownership(
        entry, owner, candidates, limit_s=entry.settings.drain_s
    )


async def _offer_ownership(
    entry: process_module.Entry,
    owner: state_module.Owner,
    candidates: list[str],
    sample: reach_module.Sample = (),
    limit_s: float = float("inf"),
) -> None:
    """Stops scheduling and asks `candidates` in turn to claim ownership.

    It ends after `limit_s` at most. A peer that does not hear the runners of
    `sample` declines.
    """
    owner.draining, began_at = True, clock.read_now()
    # An owner that recovers has started and ended nothing.
    if owner.recovered:
        with anyio.move_on_after(0.5):
            await owner.journal.flush()
    owner.waives_leases = owner.offers = True
    asked = 0
    with anyio.move_on_after(began_at + limit_s - clock.read_now()):
        for address in candidates:
            asked += 1
            await _offer_to_peer(entry, owner, address, sample)
            if owner.stepped_down.is_set():
                return
    if owner.stepped_down.is_set():
        return
    # One of them may still claim. Leases are extended after the next renewal.
    owner.offers, owner.offered_until = False, clock.read_now()
    events.log_event(events.RELEASE_FAILED, epoch=owner.epoch, peers=asked)


async def _offer_to_peer(
    entry: process_module.Entry,
    owner: state_module.Owner,
    address: str,
    sample: reach_module.Sample,
) -> None:
    """Asks a peer to claim; steps down if it has, or knows of a later owner."""
    leases_state = describe_leases(entry, clock.read_now())
    request = peers_module.HandOver(owner.epoch, sample, *leases_state)
    reply = await entry.peers.call(address, request, _HAND_OVER_TIMEOUT_S)
    if reply.is_err():
        return
    answer = reply.ok_value
    if answer.epoch > owner.epoch:
        events.log_event(
            events.OWNER_RELEASED,
            epoch=owner.epoch,
            to=address,
            next_epoch=answer.epoch,
        )
        entry.successor = process_module.Successor(answer.epoch, address)
        owner.step_down("handed over")
        return
    # Peers claim by themselves from an owner that drains.
    is_later = answer.known_epoch > owner.epoch
    if is_later and await _is_superseded(entry, owner):
        entry.successor = process_module.Successor(
            answer.known_epoch, answer.known_address
        )
        owner.step_down("peer")


async def confirm_owner(
    entry: process_module.Entry, owner: state_module.Owner
) -> bool:
    """Tells whether an owner still owned the jobs after this call began.

    Peers claim from an owner that drains or offers the ownership. Until its
    claim is renewed after that, one may have claimed without its knowledge, so
    the log is read. One read serves all callers that came before it.
    """
    asked_at = clock.read_now()
    if not (entry.draining or owner.waives_leases):
        return True
    async with entry.confirm_lock:
        if owner.stepped_down.is_set():
            return False
        if owner.confirmed_at >= asked_at:
            return True
        began_at = clock.read_now()
        if not await _read_claims(entry):
            return False
        if entry.ownership.epoch > owner.epoch:
            owner.step_down("claim")
            return False
        owner.confirmed_at = began_at
        return True


def find_owner_address(entry: process_module.Entry) -> tuple[str, int]:
    """Returns the peer address and the epoch of the owner to be asked.

    The address is empty if none is known, or only this process itself.
    """
    successor, ownership = entry.successor, entry.ownership
    if successor is not None and successor.epoch > ownership.epoch:
        address, epoch = successor.address, successor.epoch
    elif ownership.claim is not None:
        address, epoch = ownership.claim.address, ownership.epoch
    else:
        return "", -1
    return "" if address == entry.settings.peer_address else address, epoch


def describe_leases(
    entry: process_module.Entry, now: float
) -> tuple[int, float]:
    """Returns the offset of a waiver, or -1, and when all leases end.

    The time is 0 for an owner without a waiver, which may extend them.
    """
    owner = entry.owner
    if owner is None:
        return -1, max(0.0, entry.leases_end_at - now)
    if not owner.offers or entry.ownership.epoch != owner.epoch:
        return -1, 0.0
    left_s = leases.find_latest_expiry(owner, now) - now
    return entry.ownership.offset, max(0.0, left_s)


def choose_abler_peer_wait(
    owner: state_module.Owner, settings: settings_module.Settings
) -> float:
    """Returns how long an abler peer has to be there before a handover."""
    if owner.recovered:
        return settings.abler_peer_wait_s
    return min(_RECOVERING_WAIT_S, settings.abler_peer_wait_s)


async def _seek_abler_owner(
    entry: process_module.Entry, owner: state_module.Owner
) -> None:
    """Hands over to a markedly abler peer that has been there for a while.

    A process that is late takes its own delay for the absence of its peers, or
    of the log, so its wait goes on; a weak owner may be late all the time.

    An owner that claimed because of its reach hands over only to a peer that
    hears as much. So the ownership does not come back while no path changes: a
    claim back takes an owner that hears markedly less, and a handover back a
    markedly abler peer.
    """
    settings = entry.settings
    found_at = None
    while True:
        await anyio.sleep(settings.ping_s)
        now = clock.read_now()
        peer = standbys.find_abler_peer(entry.known_peers, settings, now)
        keeps = now < entry.comparisons.keeps_until
        sample = ()
        if keeps:
            sample = reach_module.choose_handover_sample(
                owner.runners.values(), owner.recovered, settings, now
            )
        if not peer or not _may_own(entry, now) or (keeps and not sample):
            if not entry.load.is_late(now):
                found_at = None
            continue
        if found_at is None:
            found_at = now
        if now - found_at < choose_abler_peer_wait(owner, settings):
            continue
        events.log_event(
            events.ABLER_PEER_FOUND,
            epoch=owner.epoch,
            capacity=settings.capacity,
            peer=peer,
            peer_capacity=entry.known_peers[peer].capacity,
            owned_s=round(now - owner.started_at, 3),
            recovered=owner.recovered,
        )
        others = standbys.list_abler_peers(entry.known_peers, settings, now)
        candidates = dict.fromkeys([peer, *others])
        await _offer_ownership(
            entry, owner, [*candidates][:_MAX_OFFERS], sample
        )
        # Only a failed offer gets here; a step-down cancels this task.
        owner.draining = entry.draining
        await anyio.sleep(settings.abler_peer_retry_s)


async def monitor_owner(entry: process_module.Entry) -> None:
    """Pings the owner and claims ownership when it has failed."""
    settings, ownership = entry.settings, entry.ownership
    await _read_claims(entry)
    ownership.heard_at = clock.read_now()
    while True:
        await _wait_for_ping(entry)
        if entry.owner is not None:
            continue
        await _ping_owner(entry)
        if entry.configuration is None:
            continue
        reason = ownership_module.find_takeover_reason(
            ownership, settings, clock.read_now()
        )
        if reason and entry.draining:
            # Questions are passed on to the next owner until the end.
            await _read_claims(entry)
        elif reason:
            await _consider_claim(entry, reason)
        elif ownership_module.needs_log_read(
            ownership, settings, clock.read_now()
        ):
            await _read_claims(entry)
        if ownership.is_reach_low():
            await _compare_reach(entry)


async def _wait_for_ping(entry: process_module.Entry) -> None:
    """Waits until the next ping is due, or the owner is in doubt."""
    settings = entry.settings
    jitter = 0.8 + 0.4 * random.random()
    interval_s = ownership_module.choose_ping_interval(
        entry.ownership, settings, clock.read_now()
    )
    await anyio.sleep(settings.ping_s * jitter)
    # A newer configuration is fetched once a second ping has confirmed it.
    if interval_s > settings.ping_s and entry.reported_version < 0:
        with anyio.move_on_after((interval_s - settings.ping_s) * jitter):
            await entry.owner_doubted.wait()
    entry.owner_doubted = anyio.Event()


async def _ping_owner(entry: process_module.Entry) -> None:
    ownership, settings = entry.ownership, entry.settings
    claim = ownership.claim
    if claim is None or claim.released:
        return
    if claim.address == settings.peer_address:
        # The claim belongs to an earlier process of this instance, or to an
        # ownership that this process has lost.
        ownership.denied = entry.owner is None
        return
    now = clock.read_now()
    ping = peers_module.Ping(
        settings.peer_address,
        ownership.epoch,
        configuration.find_version(entry),
        _may_own(entry, now),
        settings.capacity,
    )
    asked_at = now
    pong = await entry.peers.call(claim.address, ping, settings.ping_timeout_s)
    if entry.ownership.claim is not claim:
        return
    now = clock.read_now()
    if pong.is_err():
        unreached = pong.err_value.failure is outcomes.CallFailure.UNREACHED
        if unreached:
            ownership.denied = True
        return
    answer = pong.ok_value
    ownership.record_reply(
        answer.is_owner,
        answer.silent_for_s,
        now,
        answer.ablest_capacity,
        answer.ping_after_s,
        answer.few_runners,
    )
    if answer.is_owner:
        entry.waits, entry.waits_at = dict(answer.waits), now
        entry.shut_out = answer.shut_out
        entry.room = entry.room or room_module.Room()
        entry.room.apply_report(answer.free_tasks, answer.freed_per_s, asked_at)
    for address in answer.addresses:
        entry.sources.add_address(address)
    ownership.record_waiver(
        answer.epoch, answer.waived_offset, answer.leases_end_in_s, now
    )
    if answer.epoch > ownership.epoch:
        await _read_claims(entry)
    await configuration.compare_configuration(
        entry, answer.config_version, claim.address
    )


def _may_own(entry: process_module.Entry, now: float) -> bool:
    return (
        not entry.draining
        and entry.configuration is not None
        and entry.health.failing_since is None
        and now >= entry.comparisons.stands_back_until
    )


async def _read_claims(entry: process_module.Entry) -> bool:
    """Reads the newest claim; returns whether the log answered."""
    told = entry.successor
    page = await entry.adapters.store.list_newest(
        ownership_module.TOPIC, entry.settings.store_timeout_s
    )
    now = clock.read_now()
    if page.is_err():
        entry.health.record_failure(page.err_value.detail, now)
        return False
    entry.health.record_success(entry.health.latency_s, now)
    for offset, key, value in page.ok_value.records:
        is_void = ownership_module.decode_claim(value, offset) is None
        if value and is_void and entry.ownership.record_void(offset, now):
            events.log_event(
                events.RECORD_UNDECODABLE,
                stream=ownership_module.TOPIC,
                key=key,
                error="not a claim",
            )
        entry.ownership.apply_record(offset, value, now)
    entry.ownership.end_offset = page.ok_value.end_offset
    entry.ownership.read_at = now
    if entry.successor is told:
        # The log has the claim that a peer told of, or a later one, or none.
        entry.successor = None
    return True


async def _consider_claim(entry: process_module.Entry, reason: str) -> None:
    ownership, settings = entry.ownership, entry.settings
    epoch = ownership.epoch

    async def check_claim() -> bool:
        if not await _read_claims(entry) or ownership.epoch != epoch:
            return False
        return ownership_module.may_claim(
            ownership,
            reason,
            entry.health.regained_at,
            settings,
            clock.read_now(),
        )

    # The wait begins when a claim is justified, as it is then about the same
    # moment for all processes, and the ablest claims first.
    if not await check_claim():
        return
    # Jitter spreads the claims of equals, so that most processes see the
    # winner's claim before they make their own.
    await anyio.sleep(
        ownership_module.choose_claim_wait(ownership, settings)
        + random.random() * settings.claim_jitter_s
    )
    if await check_claim():
        await _claim(entry, reason)


async def _compare_reach(entry: process_module.Entry) -> None:
    """Claims if this process hears markedly more runners than the owner."""
    ownership, settings = entry.ownership, entry.settings
    epoch, now = ownership.epoch, clock.read_now()
    if (
        entry.owner is not None
        or not _may_own(entry, now)
        or not entry.comparisons.is_due(epoch, now)
    ):
        return
    if await _read_reach(entry, epoch) is None:
        return
    # The ablest that hears more claims first.
    await anyio.sleep(
        ownership_module.choose_claim_wait(ownership, settings)
        + random.random() * settings.claim_jitter_s
    )
    reach = await _read_reach(entry, epoch)
    if reach is None:
        return
    answers = await probes.ask_runners(entry.adapters, settings, epoch, reach)
    hears_more = reach_module.hears_markedly_more(reach, answers, settings)
    owner_answers = None
    if hears_more:
        owner_answers = await _ask_owner_to_check(entry, epoch, reach)
        hears_more = owner_answers is None or reach_module.is_confirmed(
            reach, answers, owner_answers, settings
        )
    _log_comparison(entry, reach, answers, owner_answers, hears_more)
    if not hears_more:
        entry.comparisons.record(epoch, settings, clock.read_now())
        return
    if await _read_reach(entry, epoch) is None:
        return
    # A claim that lost against a renewal is made again after the next ping.
    if await _claim(entry, "few runners heard"):
        # Abler processes had their turn, but may not have heard more.
        entry.comparisons.keeps_until = (
            clock.read_now() + settings.reach_stand_back_s
        )


async def _ask_owner_to_check(
    entry: process_module.Entry, epoch: int, reach: reach_module.Reach
) -> reach_module.Answers | None:
    """Returns how many runners of its report answer the owner by now.

    An owner that does not reply has time to report that it hears enough; then
    the result is None.
    """
    settings, asked_at = entry.settings, clock.read_now()
    reply = await entry.peers.call(
        entry.ownership.claim.address,
        peers_module.CheckReach(epoch, reach),
        settings.reach_check_timeout_s + settings.ping_timeout_s,
    )
    if reply.is_ok() and reply.ok_value.is_owner:
        return reach_module.Answers(
            reply.ok_value.heard_sample, reply.ok_value.silent_sample
        )
    left_s = (
        asked_at + reach_module.find_notice_time(settings) - clock.read_now()
    )
    await anyio.sleep(max(0.0, left_s))
    return None


async def answer_check_reach(
    entry: process_module.Entry, request: peers_module.CheckReach
) -> peers_module.CheckReachReply:
    """Polls runners again that a standby hears better, as their owner."""
    owner = entry.owner
    if owner is None or owner.epoch != request.epoch:
        return peers_module.CheckReachReply(False)
    answers = await probes.check_runners(owner, request.reach)
    if answers is None:
        return peers_module.CheckReachReply(False)
    return peers_module.CheckReachReply(
        True, answers.heard_sample, answers.silent_sample
    )


def _log_comparison(
    entry: process_module.Entry,
    reach: reach_module.Reach,
    answers: reach_module.Answers,
    owner_answers: reach_module.Answers | None,
    hears_more: bool,
) -> None:
    estimate = reach_module.estimate_heard(reach, answers)
    owner_estimate = None
    if owner_answers is not None:
        owner_estimate = round(
            reach_module.estimate_heard(reach, owner_answers), 1
        )
    events.log_event(
        events.REACH_COMPARED,
        epoch=entry.ownership.epoch,
        holder=entry.ownership.claim.holder,
        owner_heard=reach.heard,
        owner_silent=reach.silent,
        heard_asked=len(reach.heard_sample),
        heard_answered=answers.heard_sample,
        silent_asked=len(reach.silent_sample),
        silent_answered=answers.silent_sample,
        estimate=round(estimate, 1),
        owner_estimate=owner_estimate,
        hears_more=hears_more,
    )


async def _read_reach(
    entry: process_module.Entry, epoch: int
) -> reach_module.Reach | None:
    """Reads the report of the owner of `epoch`; None without a present one."""
    if not await _read_claims(entry) or entry.ownership.epoch != epoch:
        return None
    return entry.ownership.find_reach()


async def _claim(entry: process_module.Entry, reason: str) -> bool:
    """Appends a claim if the topic is unchanged; returns whether it won."""
    async with entry.claim_lock:
        if entry.owner is not None or entry.draining:
            return entry.owner is not None
        ownership, settings = entry.ownership, entry.settings
        before = ownership.epoch
        former, former_renewed_at = None, None
        if ownership.is_newest():
            former, former_renewed_at = ownership.claim, ownership.renewed_at
        waived_end = ownership.find_waived_end()
        events.log_event(
            events.CLAIM_STARTED,
            reason=reason,
            epoch=ownership.epoch,
            holder=ownership.claim.holder if ownership.claim else "",
            heard_ago_s=round(clock.read_now() - ownership.heard_at, 3),
            renewed_ago_s=round(clock.read_now() - ownership.renewed_at, 3),
            end_offset=ownership.end_offset,
            waived=waived_end is not None,
        )
        claim = ownership_module.Claim(
            settings.id, entry.incarnation, settings.peer_address
        )
        sent_at = clock.read_now()
        appended = await _append_claim(entry, claim)
        now = clock.read_now()
        won = appended.is_ok() and appended.ok_value.offset >= 0
        if appended.is_err():
            # The append may have been carried out; reading the log settles it.
            entry.health.record_failure(appended.err_value.detail, now)
            await _read_claims(entry)
            newest = ownership.claim
            won = (
                ownership.epoch > before
                and newest is not None
                and newest.incarnation == entry.incarnation
                and newest.holder == settings.id
            )
            epoch = ownership.epoch
        elif won:
            epoch = appended.ok_value.offset
            ownership.apply_record(
                epoch, ownership_module.encode_claim(claim), now
            )
            ownership.end_offset = appended.ok_value.end_offset
        outcome = "won" if won else "lost"
        metrics.CLAIMS.labels(outcome).inc()
        events.log_event(
            events.CLAIM_DECIDED, outcome=outcome, epoch=ownership.epoch
        )
        if won:
            ready = anyio.Event()
            succeeded = _Succeeded(
                former, before, former_renewed_at, waived_end
            )
            entry.group.start_soon(
                _run_owner, entry, epoch, ready, sent_at, succeeded
            )
            await ready.wait()
        return won


async def _append_claim(
    entry: process_module.Entry, claim: ownership_module.Claim
) -> result.Result[interfaces.Appended, outcomes.CallError]:
    """Appends a claim if no record was appended since the last read."""
    return await entry.adapters.store.append(
        ownership_module.TOPIC,
        [(ownership_module.KEY, ownership_module.encode_claim(claim))],
        entry.settings.store_timeout_s,
        expected_end=entry.ownership.end_offset,
    )


@dataclasses.dataclass(slots=True)
class _Succeeded:
    """What a new owner knows of the claim before its own.

    Attributes:
      claim: That claim, or None without one that was surely the last.
      epoch: Its epoch.
      renewed_at: When its last record was first seen, or None.
      leases_end_at: What its owner has told of the end of all leases, or None.
    """

    claim: ownership_module.Claim | None = None
    epoch: int = -1
    renewed_at: float | None = None
    leases_end_at: float | None = None


async def _run_owner(
    entry: process_module.Entry,
    epoch: int,
    ready: anyio.Event,
    claimed_at: float,
    succeeded: _Succeeded,
) -> None:
    """Runs as the owner of `epoch`; sets `ready` once it has begun.

    `claimed_at` is when its claim was sent.
    """

    def on_created(owner: state_module.Owner) -> None:
        entry.owner, owner.load = owner, entry.load
        owner.evacuated = frozenset(entry.evacuations.domains)
        owner.renewed_at = claimed_at
        owner.former_renewed_at = succeeded.renewed_at
        owner.earlier_leases_until = succeeded.leases_end_at
        owner.claims_seen = entry.ownership.seen_at
        ready.set()
        group.start_soon(_renew_claims, entry, owner)
        group.start_soon(_seek_abler_owner, entry, owner)
        if succeeded.claim is not None and succeeded.leases_end_at is None:
            group.start_soon(
                former_owners.ask_former_owner,
                entry,
                owner,
                succeeded.claim,
                succeeded.epoch,
            )

    try:
        async with anyio.create_task_group() as group:
            await owner_module.run_owner(
                entry.settings,
                entry.adapters,
                epoch,
                entry.health,
                lambda: entry.configuration,
                on_created,
            )
            group.cancel_scope.cancel()
    finally:
        if entry.owner is not None:
            _note_end(entry, entry.owner, clock.read_now())
        entry.owner = None
        ready.set()


def _note_end(
    entry: process_module.Entry, owner: state_module.Owner, now: float
) -> None:
    """Notes what binds this process, or its successors, after an ownership."""
    entry.ended_epoch = owner.epoch
    entry.leases_end_at = max(
        entry.leases_end_at, leases.find_latest_expiry(owner, now)
    )
    if owner.reach is not None:
        entry.comparisons.stands_back_until = (
            now + entry.settings.reach_stand_back_s
        )


async def _renew_claims(
    entry: process_module.Entry, owner: state_module.Owner
) -> None:
    """Renews the claim in the log, for peers that cannot reach this process.

    Nothing else runs in this task, as the renewals tell a slow owner from one
    that has failed.
    """
    settings = entry.settings
    while True:
        due_at = entry.ownership.renewed_at + settings.renew_s
        left_s = due_at - clock.read_now()
        with anyio.move_on_after(max(settings.store_retry_s, left_s)):
            await owner.reach_changed.wait()
        owner.reach_changed = anyio.Event()
        await _renew_claim(entry, owner)


async def _renew_claim(
    entry: process_module.Entry, owner: state_module.Owner
) -> None:
    ownership, settings = entry.ownership, entry.settings
    if owner.offers and entry.draining:
        # A renewal would make the claim of the successor fail.
        return
    sent_at = clock.read_now()
    claim = ownership_module.Claim(
        settings.id,
        entry.incarnation,
        settings.peer_address,
        owner.epoch,
        reach=owner.reach or msgspec.UNSET,
    )
    appended = await _append_claim(entry, claim)
    now = clock.read_now()
    # The record of a renewal without an answer may be found in the log later.
    owner.renewal_sent_at = min(owner.renewal_sent_at, sent_at)
    if appended.is_err():
        entry.health.record_failure(appended.err_value.detail, now)
    elif appended.ok_value.offset >= 0:
        _record_renewal(owner, sent_at)
        entry.health.record_success(entry.health.latency_s, now)
        ownership.end_offset = appended.ok_value.end_offset
        ownership.offset = appended.ok_value.offset
        ownership.renewed_at = now
        if not owner.offers and sent_at >= owner.offered_until:
            owner.waives_leases = False
        return
    # The end of the topic has moved: the reply to an own append was lost, or
    # another process has appended a claim.
    offset = ownership.offset
    if not await _read_claims(entry):
        return
    if ownership.epoch > owner.epoch:
        owner.step_down("claim")
    elif ownership.offset > offset:
        _record_renewal(owner, owner.renewal_sent_at)


def _record_renewal(owner: state_module.Owner, sent_at: float) -> None:
    """Records that a renewal is stored that was sent at `sent_at` or later."""
    owner.renewed_at = max(owner.renewed_at, sent_at)
    owner.renewal_sent_at = float("inf")


def check_epoch(
    entry: process_module.Entry, owner: state_module.Owner, named: int
) -> None:
    """Begins to check in the log whether there is a later owner.

    A message may name any epoch. One check at a time is enough, as a peer
    repeats its pings. An owner that has stepped down has no tasks any more.
    """
    if not owner.checks_epoch and not owner.stepped_down.is_set():
        owner.checks_epoch = True
        owner.group.start_soon(_check_epoch, entry, owner, named)


async def _check_epoch(
    entry: process_module.Entry, owner: state_module.Owner, named: int
) -> None:
    if await _is_superseded(entry, owner):
        owner.step_down("peer")
        return
    now = clock.read_now()
    if now - owner.epoch_refuted_at >= _EPOCH_REFUTED_INTERVAL_S:
        owner.epoch_refuted_at = now
        events.log_event(events.EPOCH_REFUTED, epoch=owner.epoch, named=named)
    await anyio.sleep(entry.settings.ping_s)
    owner.checks_epoch = False


async def _is_superseded(
    entry: process_module.Entry, owner: state_module.Owner
) -> bool:
    """Tells whether a later owner that was named is in the log, or may be."""
    is_read = await _read_claims(entry)
    return not is_read or entry.ownership.epoch > owner.epoch


async def answer_hand_over(
    entry: process_module.Entry, request: peers_module.HandOver
) -> peers_module.HandOverReply:
    """Claims ownership from an owner that asks this process to.

    Returns the epoch that this process owns, or -1.
    """
    if request.sample and not await probes.hears_sample(
        entry.adapters, entry.settings, request.epoch, request.sample
    ):
        return peers_module.HandOverReply()
    entry.ownership.record_waiver(
        request.epoch,
        request.waived_offset,
        request.leases_end_in_s,
        clock.read_now(),
    )
    for _ in range(_HAND_OVER_TRIES):
        may_own = _may_own(entry, clock.read_now())
        if not may_own or not await _read_claims(entry):
            return peers_module.HandOverReply()
        if entry.ownership.epoch != request.epoch:
            break
        if await _claim(entry, "handed over"):
            break
    owner, claim = entry.owner, entry.ownership.claim
    return peers_module.HandOverReply(
        owner.epoch if owner is not None else -1,
        entry.ownership.epoch,
        claim.address if claim is not None else "",
    )
