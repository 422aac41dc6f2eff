"""Watches which runners an owner hears, and asks runners for a standby."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import msgspec

from plantainvane import events
from plantainvane.jobs import clock
from plantainvane.jobs import interfaces
from plantainvane.jobs import load as load_module
from plantainvane.jobs import reach as reach_module
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import state as state_module
from plantainvane.jobs import tokens

_OUTCOME = interfaces.OrderOutcome


async def watch_reach(owner: state_module.Owner) -> None:
    """Keeps `owner.reach` up to date while the owner hears few runners."""
    few_since = None
    while True:
        await anyio.sleep(reach_module.WATCH_INTERVAL_S)
        now = clock.read_now()
        heard, silent = reach_module.list_heard_and_silent(
            owner.runners.values(), now
        )
        few = reach_module.hears_few(
            len(heard),
            len(silent),
            few_since is not None,
            owner.load.measure_lag(now) >= load_module.LATE_S,
            owner.settings,
        )
        owner.reach = (
            reach_module.make_report(heard, silent, owner.settings)
            if few
            else None
        )
        if few == (few_since is not None):
            continue
        owner.reach_changed.set()
        events.log_event(
            events.FEW_RUNNERS_HEARD if few else events.ENOUGH_RUNNERS_HEARD,
            epoch=owner.epoch,
            heard=len(heard),
            silent=len(silent),
            lasted_s=0.0 if few else round(now - few_since, 3),
        )
        few_since = now if few else None


async def ask_runners(
    adapters: interfaces.Adapters,
    settings: settings_module.Settings,
    epoch: int,
    reach: reach_module.Reach,
) -> reach_module.Answers:
    """Polls the runners of a report until enough answered, or time is up.

    Each is polled several times, and has answered if it misses no poll. Of an
    owner that hears more than four fifths, nearly all are not markedly more.
    """

    async def ask(runner: reach_module.SampledRunner) -> bool:
        return await ask_runner(
            adapters,
            epoch,
            runner,
            settings.reach_polls,
            settings.reach_poll_gap_s,
        )

    def is_enough(answers: reach_module.Answers) -> bool:
        return reach_module.hears_enough(
            reach, answers, settings
        ) and reach_module.hears_markedly_more(reach, answers, settings)

    return await _ask_all(reach, ask, is_enough, settings.reach_timeout_s)


async def hears_sample(
    adapters: interfaces.Adapters,
    settings: settings_module.Settings,
    epoch: int,
    sample: reach_module.Sample,
) -> bool:
    """Polls runners of the owner of `epoch`; tells whether enough answer."""
    reach = reach_module.Reach(len(sample), 0, sample)
    if not reach.is_usable():
        return False

    async def ask(runner: reach_module.SampledRunner) -> bool:
        return await ask_runner(adapters, epoch, runner)

    def is_enough(answers: reach_module.Answers) -> bool:
        return reach_module.hears_enough(reach, answers, settings)

    return is_enough(
        await _ask_all(reach, ask, is_enough, settings.reach_timeout_s)
    )


async def check_runners(
    owner: state_module.Owner, reach: reach_module.Reach
) -> reach_module.Answers | None:
    """Polls the runners of a report that a standby hears, for their owner.

    Many standbys may ask together, and the polls for each of them would make
    the owner late, so they share a check. Returns None if it was broken off.
    """
    check = owner.reach_checks.get(reach)
    if check is not None:
        await check.done.wait()
        return check.answers
    check = owner.reach_checks[reach] = reach_module.Check()
    try:
        check.answers = await _ask_known(owner, reach)
    finally:
        del owner.reach_checks[reach]
        check.done.set()
    return check.answers


async def _ask_known(
    owner: state_module.Owner, reach: reach_module.Reach
) -> reach_module.Answers:
    """Polls runners; a message may name any, so only known ones are polled."""

    async def ask(runner: reach_module.SampledRunner) -> bool:
        known = owner.runners.get(runner.id)
        if known is None or known.entry.address != runner.address:
            return False
        present = msgspec.structs.replace(runner, token=known.token)
        return await ask_runner(owner.adapters, owner.epoch, present)

    def is_enough(answers: reach_module.Answers) -> bool:
        return reach_module.hears_enough(reach, answers, owner.settings)

    return await _ask_all(
        reach, ask, is_enough, owner.settings.reach_check_timeout_s
    )


async def _ask_all(
    reach: reach_module.Reach,
    ask: Callable[[reach_module.SampledRunner], Awaitable[bool]],
    is_enough: Callable[[reach_module.Answers], bool],
    timeout_s: float,
) -> reach_module.Answers:
    answers = reach_module.Answers()

    async def record(
        runner: reach_module.SampledRunner, is_silent: bool
    ) -> None:
        if not await ask(runner):
            return
        answers.record(is_silent)
        if is_enough(answers):
            group.cancel_scope.cancel()

    with anyio.move_on_after(timeout_s):
        async with anyio.create_task_group() as group:
            for runner in reach.silent_sample:
                group.start_soon(record, runner, True)
            for runner in reach.heard_sample:
                group.start_soon(record, runner, False)
    return answers


async def ask_runner(
    adapters: interfaces.Adapters,
    epoch: int,
    runner: reach_module.SampledRunner,
    polls: int = 1,
    gap_s: float = 0.0,
) -> bool:
    """Polls a runner, `polls` times; returns whether it answered each time.

    The polls carry the token of the owner of `epoch`, so they fence off nobody
    that the owner would not. They renew no lease and acknowledge no end. A
    token of another owner, as a message may name any, is not used.
    """
    token, is_own = runner.token, tokens.find_epoch(runner.token) == epoch
    if not is_own:
        token = tokens.make_token(epoch)
    calls = adapters.connect_runner(runner.address, runner.id)
    try:
        for number in range(polls):
            if number:
                await anyio.sleep(gap_s)
            reply = await calls.poll(token, 0, None, 0.0)
            # A later token of the same owner is likely, and the answer counts.
            is_refused = is_own and reply.err() is _OUTCOME.FENCED
            if reply.is_err() and not is_refused:
                return False
    finally:
        with anyio.CancelScope(shield=True):
            await calls.aclose()
    return True
