"""Asks the process that owned the jobs before when its leases have ended.

Without its answer a new owner waits for as long as the last renewal of the
claim before allows leases to last. Only the process itself, or a later process
of its instance, can tell that it extends none any more: one that does not
answer may be cut off from this process and still reach runners.
"""

import anyio

from plantainvane import events
from plantainvane.jobs import clock
from plantainvane.jobs import ownership as ownership_module
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import process as process_module
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import state as state_module


def find_leases_end(
    former: ownership_module.Claim,
    epoch: int,
    reply: peers_module.Pong,
    earlier_limit: float,
    settings: settings_module.Settings,
    now: float,
) -> float | None:
    """Returns when all leases before the present owner have expired, or None.

    Args:
      former: Claim of the owner before.
      epoch: Its epoch.
      reply: Reply of the process at its address, received at `now`.
      earlier_limit: When the leases of owners before that one have expired.
      settings: Settings of this process.
      now: Present time, in seconds.
    """
    if reply.instance != former.holder:
        return None
    if reply.incarnation != former.incarnation:
        # The former owner had ended when this process of its instance began.
        ended_at = now - reply.age_s
        return max(ended_at + settings.lease_limit_s, earlier_limit)
    # An append without an answer may have made it the owner unknown to itself.
    if reply.extends or reply.ended_epoch < epoch:
        return None
    return now + reply.leases_end_in_s


async def ask_former_owner(
    entry: process_module.Entry,
    owner: state_module.Owner,
    former: ownership_module.Claim,
    epoch: int,
) -> None:
    """Asks until the owner of `epoch` tells, or its leases have ended anyway.

    A question carries the present epoch, at which the former owner steps down.
    """
    settings, earlier_limit = entry.settings, owner.find_claim_limit(epoch)
    while (now := clock.read_now()) < owner.find_earlier_limit():
        reply = await _ask(entry, owner, former, now)
        now = clock.read_now()
        end = None
        if reply is not None:
            end = find_leases_end(
                former, epoch, reply, earlier_limit, settings, now
            )
        if end is not None:
            _apply_end(owner, former, end, now)
            return
        await anyio.sleep(settings.ping_s)


async def _ask(
    entry: process_module.Entry,
    owner: state_module.Owner,
    former: ownership_module.Claim,
    now: float,
) -> peers_module.Pong | None:
    """Returns the reply of the process at the former owner's address, or None.

    If that is the address of this process, it replies itself.
    """
    settings = entry.settings
    if former.address == settings.peer_address:
        return peers_module.Pong(
            True,
            owner.epoch,
            -1,
            0.0,
            instance=settings.id,
            incarnation=entry.incarnation,
            age_s=max(0.0, now - entry.started_at),
            extends=False,
            leases_end_in_s=max(0.0, entry.leases_end_at - now),
            ended_epoch=entry.ended_epoch,
        )
    ping = peers_module.Ping(
        settings.peer_address, owner.epoch, -1, False, settings.capacity, True
    )
    reply = await entry.peers.call(
        former.address, ping, settings.ping_timeout_s
    )
    return reply.ok_value if reply.is_ok() else None


def _apply_end(
    owner: state_module.Owner,
    former: ownership_module.Claim,
    end: float,
    now: float,
) -> None:
    before = owner.find_earlier_limit()
    owner.limit_earlier_leases(end)
    events.log_event(
        events.FORMER_LEASES_KNOWN,
        epoch=owner.epoch,
        holder=former.holder,
        ends_in_s=round(end - now, 3),
        limit_in_s=round(before - now, 3),
        in_doubt=sum(map(len, owner.orphans.values())),
    )
