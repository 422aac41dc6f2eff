"""Faults of a seeded run, drawn from its seed.

Each kind is a function that brings one fault about and ends it. To add one,
write such a function and list it, with its weight, in `_KINDS`.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

from standins import explore_fleet
from standins import explore_runners
from standins import explore_world as world_module
from standins import soak_observations as observations_module

# Mean time between the beginnings of two faults.
_MEAN_PAUSE_S = 1.0
# Share of the runners that may be in trouble at the same time.
_MAX_HARMED_SHARE = 0.5
_CUT_AFTER_RESTART_SHARE = 0.7
# Longest times for which a life is reached before it is cut off.
_MAX_REACHED_S = (1.0, 4.0)
# Share of the runners that may leave for good.
_MAX_LEFT_SHARE = 0.25
# Share of the lives cut off whose owner is killed, and how soon.
_LOST_WITH_OWNER_SHARE = 0.4
_OWNER_LOST_WITHIN_S = 1.0
# Longest times for which a runner that restarts is down.
_MAX_DOWN_S = (0.4, 2.5)
_LATE_SHARE = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class _Course:
    """Faults under way: names of the targets in trouble."""

    fleet: explore_fleet.Fleet
    harmed: dict[str, None] = dataclasses.field(default_factory=dict)


async def run_faults(
    fleet: explore_fleet.Fleet,
    duration_s: float,
    allow: Callable[[str], bool],
) -> None:
    """Brings faults about for a time, and returns once all have ended."""
    world, course = fleet.world, _Course(fleet)
    kinds = [kind for kind in _KINDS if allow(kind)]
    until = world.read_now() + duration_s
    world.is_rough = bool(kinds)
    weights = [_KINDS[kind][1] for kind in kinds]
    under_way: dict[asyncio.Task, None] = {}
    while kinds and world.read_now() < until:
        await asyncio.sleep(world.draws.expovariate(1 / _MEAN_PAUSE_S))
        kind = world.draws.choices(kinds, weights)[0]
        task = world.spawn(_KINDS[kind][0](course))
        under_way[task] = None
    for task in under_way:
        await asyncio.wait([task])
    await asyncio.sleep(max(0.0, until - world.read_now()))
    world.is_rough = False
    world.fates.clear()
    for process in fleet.processes:
        if not process.is_up:
            fleet.start(process)


@contextlib.contextmanager
def _harm(
    course: _Course, kind: str, target: str, planned: bool = False
) -> Iterator[None]:
    """Records a fault, and keeps others off its target until it ends."""
    world = course.fleet.world
    began = world.read_now()
    # Its end is not known yet.
    disturbance = observations_module.Disturbance(
        kind, target, began, float("inf"), planned
    )
    world.seen.disturbances.append(disturbance)
    course.harmed[target] = None
    world.note(f"fault {kind} begins at {target}")
    try:
        yield
    finally:
        disturbance.ended = world.read_now()
        del course.harmed[target]
        world.note(f"fault {kind} ends at {target}")


def _choose_runner(course: _Course) -> explore_runners.Runner | None:
    """Returns a runner without trouble, if enough are left.

    Every other time one with runs is preferred.
    """
    draws = course.fleet.world.draws
    runners = [r for r in course.fleet.runners if not r.has_left]
    sound = [r for r in runners if r.id not in course.harmed]
    if len(sound) <= len(runners) * (1 - _MAX_HARMED_SHARE):
        return None
    busy = [r for r in sound if r.running]
    if busy and draws.random() < 0.5:
        return draws.choice(busy)
    return draws.choice(sound)


def _choose_process(course: _Course) -> explore_fleet.Process | None:
    """Returns a process, the owner half of the time, if all others run."""
    fleet = course.fleet
    up = fleet.list_up()
    if len(up) < len(fleet.processes):
        return None
    sound = [p for p in up if p.id not in course.harmed]
    owners = [p for p in sound if p.is_owner]
    if owners and fleet.world.draws.random() < 0.5:
        return owners[0]
    return fleet.world.draws.choice(sound) if sound else None


@contextlib.contextmanager
def _cut(
    fleet: explore_fleet.Fleet, target: str, others: list[str]
) -> Iterator[None]:
    """Cuts a target from others, one way or both."""
    world = fleet.world
    way = world.draws.choice(("to", "from", "both"))
    links = []
    for other in others:
        if way != "from":
            links.append((other, target))
        if way != "to":
            links.append((target, other))
    world.note(f"fault cut {way} {target}: {' '.join(others)}")
    for link in links:
        world.cut(*link)
    try:
        yield
    finally:
        for link in links:
            world.mend(*link)


def _choose_others(fleet: explore_fleet.Fleet) -> list[str]:
    """Returns all processes, or every now and then one of them."""
    names = [process.id for process in fleet.processes]
    if fleet.world.draws.random() < 0.25:
        return [fleet.world.draws.choice(names)]
    return names


async def _restart_runner(course: _Course) -> None:
    """Crashes a runner, which comes back and may be cut off then.

    Calls to it may come late, to the next life. The owner may be killed as that
    life is cut off, so that no successor hears what its owner knew of it.
    """
    runner, fleet = _choose_runner(course), course.fleet
    if runner is None:
        return
    world, draws = fleet.world, fleet.world.draws
    with _harm(course, "restart", runner.id):
        late = draws.choice((0.0, 0.2, 0.6))
        world.fates[runner.id] = world_module.Fate(late=late)
        await asyncio.sleep(draws.uniform(0.0, 0.6))
        runner.crash()
        await asyncio.sleep(draws.uniform(0.05, draws.choice(_MAX_DOWN_S)))
        if draws.random() < 0.5:
            world.fates.pop(runner.id)
        runner.begin()
        await asyncio.sleep(draws.uniform(0.0, draws.choice(_MAX_REACHED_S)))
        world.fates.pop(runner.id, None)
        if draws.random() >= _CUT_AFTER_RESTART_SHARE:
            return
        killing = None
        if draws.random() < _LOST_WITH_OWNER_SHARE:
            killing = world.spawn(_kill_owner(course))
        runner.reaches_log = draws.random() < 0.5
        with _cut(fleet, runner.id, _choose_others(fleet)):
            await asyncio.sleep(draws.uniform(0.5, 14.0))
        runner.reaches_log = True
    if killing is not None:
        await asyncio.wait([killing])


async def _remove_runner(course: _Course) -> None:
    """Has a runner leave for good, with all that runs there."""
    runner, fleet = _choose_runner(course), course.fleet
    left = sum(r.has_left for r in fleet.runners)
    if runner is None or left + 1 > len(fleet.runners) * _MAX_LEFT_SHARE:
        return
    with _harm(course, "leave", runner.id):
        runner.has_left = True
        runner.crash()


async def _cut_runner(course: _Course) -> None:
    """Cuts a runner off from processes, and perhaps from the log."""
    runner, fleet = _choose_runner(course), course.fleet
    if runner is None:
        return
    draws = fleet.world.draws
    with _harm(course, "cut", runner.id):
        runner.reaches_log = draws.random() < 0.5
        with _cut(fleet, runner.id, _choose_others(fleet)):
            await asyncio.sleep(draws.uniform(0.3, 12.0))
        runner.reaches_log = True


async def _delete_entry(course: _Course) -> None:
    """Deletes the entry of a runner that lives and is in touch.

    It may be deleted again, or be written late, as long as the fault lasts.
    """
    runner, fleet = _choose_runner(course), course.fleet
    if runner is None:
        return
    draws = fleet.world.draws
    with _harm(course, "entry", runner.id):
        runner.reaches_log = draws.random() < 0.5
        for _ in range(draws.randint(1, 3)):
            runner.delete_entry()
            await asyncio.sleep(draws.uniform(0.1, 4.0))
        runner.reaches_log = True


async def _delay_calls(course: _Course) -> None:
    """Has calls to a runner carried out late."""
    await _draw_fate(course, "late", world_module.Fate(late=_LATE_SHARE))


async def _lose_answers(course: _Course) -> None:
    """Loses, doubles and reorders calls to a runner and their answers."""
    fate = world_module.Fate(
        lost=0.15, unanswered=0.25, doubled=0.25, delay_s=0.3
    )
    await _draw_fate(course, "lossy", fate)


async def _draw_fate(
    course: _Course, kind: str, fate: world_module.Fate
) -> None:
    runner, world = _choose_runner(course), course.fleet.world
    if runner is None:
        return
    with _harm(course, kind, runner.id):
        world.fates[runner.id] = fate
        await asyncio.sleep(world.draws.uniform(0.3, 3.0))
        del world.fates[runner.id]


async def _kill_process(course: _Course) -> None:
    """Kills a process, and starts it again."""
    process = _choose_process(course)
    if process is not None:
        await _kill(course, process)


async def _kill_owner(course: _Course) -> None:
    """Kills the owner a moment later, if it is not in trouble by then."""
    fleet = course.fleet
    await asyncio.sleep(fleet.world.draws.uniform(0.0, _OWNER_LOST_WITHIN_S))
    up = fleet.list_up()
    owners = [p for p in up if p.is_owner and p.id not in course.harmed]
    if owners and len(up) == len(fleet.processes):
        await _kill(course, owners[0])


async def _kill(course: _Course, process: explore_fleet.Process) -> None:
    fleet = course.fleet
    with _harm(course, "kill", process.id):
        fleet.kill(process)
        await asyncio.sleep(fleet.world.draws.uniform(0.5, 5.0))
        fleet.start(process)


async def _drain_process(course: _Course) -> None:
    """Has a process drain, and starts it again once it has ended."""
    process, fleet = _choose_process(course), course.fleet
    if process is None or process.entry is None:
        return
    with _harm(course, "drain", process.id, planned=True):
        fleet.terminate(process)
        while process.is_up:
            await asyncio.sleep(0.1)
        await asyncio.sleep(fleet.world.draws.uniform(0.1, 2.0))
        fleet.start(process)


async def _cut_process(course: _Course) -> None:
    """Cuts a process off from the log, another process or the runners."""
    process, fleet = _choose_process(course), course.fleet
    if process is None:
        return
    draws = fleet.world.draws
    others = draws.choice(
        (
            [world_module.STORE],
            [p.id for p in fleet.processes if p is not process],
            [runner.id for runner in fleet.runners],
        )
    )
    with (
        _harm(course, "separate", process.id),
        _cut(fleet, process.id, others),
    ):
        await asyncio.sleep(draws.uniform(0.3, 8.0))


async def _trouble_log(course: _Course) -> None:
    """Makes the log slow, refuse its calls, or lose their answers."""
    if world_module.STORE in course.harmed:
        return
    log, world = course.fleet.log, course.fleet.world
    kind = world.draws.choice(("slow", "down", "lossy"))
    with _harm(course, f"log_{kind}", world_module.STORE):
        before = log.append_s
        if kind == "slow":
            log.append_s = world.draws.uniform(0.05, 0.4)
        elif kind == "down":
            log.is_down = True
        else:
            world.fates[world_module.STORE] = world_module.Fate(
                late=0.05, lost=0.1, unanswered=0.2, doubled=0.2, delay_s=0.1
            )
        await asyncio.sleep(world.draws.uniform(0.3, 4.0))
        log.append_s, log.is_down = before, False
        world.fates.pop(world_module.STORE, None)


# Each kind of fault, and how often it is drawn compared with others.
_KINDS: dict[str, tuple[Callable[[_Course], Awaitable[None]], int]] = {
    "restart": (_restart_runner, 8),
    "leave": (_remove_runner, 1),
    "cut": (_cut_runner, 4),
    "entry": (_delete_entry, 1),
    "late": (_delay_calls, 3),
    "lossy": (_lose_answers, 3),
    "kill": (_kill_process, 3),
    "drain": (_drain_process, 1),
    "separate": (_cut_process, 2),
    "log": (_trouble_log, 2),
}
