"""Auditor of a soak: checks what clients, store and runners saw.

It shares no code with the scheduler, so that a mistake there is not repeated
here. The bounds are those of the platform's pages.
"""

import collections
from collections.abc import Iterable
import dataclasses
import itertools
import statistics

from standins import soak_observations as observations_module

RULES = {
    "lost": "an accepted job is known, and completes if it can",
    "twice": "a task runs once at a time, and not again once it is done",
    "cut": "a planned end of a process cuts no request that it has read",
    "cancelled": "no task of a cancelled job starts",
    "waits": "a task that lasts runs again soon after its run",
    "configuration": "a version is in force in time, and none goes back",
    "ended": "no process ends by itself",
    "growth": "memory and open descriptors do not grow without bound",
}

# A process is in touch if it was not disturbed for this time.
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.4
VISIBLE_S = 3.0
STATUS_S = 120.0
APPLY_S = 2.0
# A process may answer by an older version for this time after a newer one, and
# eight times that if it was disturbed.
ROLLBACK_S = 0.25
SLOWED_FACTOR = 8
# A connection that ends sooner may have been closed before the request came.
CUT_SLACK_S = 0.2
# A task that lasts runs again this long after its run, or after the job was
# accepted, if the last part of that time was calm.
WAIT_S = 9.0
CALM_S = 7.0
# Room has to be there for this time.
ROOM_S = 3.0
ROOM_FACTOR = 2
# Two crashes of runners under a task may give it up.
CRASHES_TO_FAIL = 2
# A probe asks for a job without a valid id: by its answer the process knows
# the route or does not. Any other answer tells nothing.
KNOWN, UNKNOWN = 400, 404
_TELLING = (200, 410)
END_SIGNALS = ("SIGTERM", "SIGINT", "SIGKILL")
# A signal this soon after its start may end a process.
START_S = 1.0
# Growth is judged from two quarters of a life, once it has lasted for:
LIFE_S = 30.0
MEMORY_LIMIT_BYTES = 300_000_000
MEMORY_GROWTH_BYTES = 30_000_000
MEMORY_GROWTH_SHARE = 0.25
DESCRIPTORS_LIMIT = 4_100
DESCRIPTORS_GROWTH = 64
# An owner has connections of all other processes, and to all runners.
DESCRIPTORS_PER_PEER = 4

Observations = observations_module.Observations


@dataclasses.dataclass(slots=True)
class Finding:
    """A broken rule: its name in `RULES`, when it was broken, and how."""

    rule: str
    at: float
    text: str


@dataclasses.dataclass(slots=True)
class _History:
    """What clients saw of one job; times are infinite if it was not seen.

    Attributes:
      given_up: When it was shown as failed, after the crashes that allow it.
    """

    accepted: float = float("inf")
    cancel_sent: float = float("inf")
    cancelled: float = float("inf")
    completed: float = float("inf")
    given_up: float = float("inf")


@dataclasses.dataclass(slots=True)
class _NotedEnd:
    """An end that was acknowledged: when the run ended, and how."""

    at: float
    text: str


def find_faults(seen: Observations) -> list[Finding]:
    """Returns all broken rules, in the order of time."""
    histories = _collect_histories(seen)
    findings = itertools.chain(
        _check_states(seen, histories),
        _check_ends(seen, histories),
        _check_runs(seen),
        _check_cuts(seen),
        _check_cancels(seen, histories),
        _check_waits(seen, histories),
        _check_application(seen),
        _check_rollbacks(seen),
        _check_exits(seen),
        _check_growth(seen),
    )
    return sorted(findings, key=lambda finding: finding.at)


def count_findings(findings: Iterable[Finding]) -> dict[str, int]:
    """Returns the number of findings of each rule."""
    counts = collections.Counter(finding.rule for finding in findings)
    return {rule: counts[rule] for rule in RULES}


def _is_disturbed(
    seen: Observations, targets: set[str], began: float, ended: float
) -> bool:
    return any(
        d.target in targets and d.began <= ended and d.ended >= began
        for d in seen.disturbances
    )


def _is_calm(seen: Observations, began: float, ended: float) -> bool:
    return not any(
        d.began <= ended and d.ended >= began for d in seen.disturbances
    )


def _is_in_touch(
    seen: Observations, process: str, began: float, ended: float
) -> bool:
    targets = {process, observations_module.EVERYTHING}
    return not _is_disturbed(seen, targets, began - CONTACT_S, ended)


def _collect_histories(seen: Observations) -> dict[str, _History]:
    histories = {job.id: _History() for job in seen.jobs}
    crashed = _list_crashed_jobs(seen)
    for exchange in seen.exchanges:
        history = histories.get(exchange.what)
        if history is None:
            continue
        if exchange.kind == "submit" and exchange.status == 200:
            history.accepted = min(history.accepted, exchange.ended)
        elif exchange.kind == "cancel":
            history.cancel_sent = min(history.cancel_sent, exchange.sent)
            if exchange.status == 200:
                history.cancelled = min(history.cancelled, exchange.ended)
        elif exchange.state == "completed":
            history.completed = min(history.completed, exchange.ended)
        elif (
            exchange.state == "failed"
            and crashed.get(exchange.what, exchange.ended) < exchange.ended
        ):
            history.given_up = min(history.given_up, exchange.ended)
    return histories


def _find_job(task: str) -> str:
    return task.partition(".")[0]


def _check_states(
    seen: Observations, histories: dict[str, _History]
) -> Iterable[Finding]:
    """Checks the answers about jobs that were accepted and not cancelled."""
    crashed = _list_crashed_jobs(seen)
    for exchange in seen.exchanges:
        history = histories.get(exchange.what)
        if (
            exchange.kind != "state"
            or history is None
            or history.cancel_sent <= exchange.ended
        ):
            continue
        job, at = exchange.what, exchange.ended
        if (
            exchange.status == 410
            and exchange.sent > history.accepted + VISIBLE_S
            and exchange.ended < history.completed + STATUS_S
            and _is_in_touch(seen, exchange.process, exchange.sent, at)
        ):
            yield Finding("lost", at, f"{job}: not known at {exchange.process}")
        elif exchange.state == "cancelled":
            yield Finding("lost", at, f"{job}: cancelled by nobody")
        elif exchange.state == "failed" and crashed.get(job, at) >= at:
            yield Finding("lost", at, f"{job}: failed without cause")


def _list_crashed_jobs(seen: Observations) -> dict[str, float]:
    """Returns when jobs had a task under which enough runners were gone."""
    running: dict[str, set[str]] = collections.defaultdict(set)
    counts: collections.Counter[str] = collections.Counter()
    jobs: dict[str, float] = {}
    for event in seen.runner_events:
        if event.kind == "start":
            running[event.runner].add(event.task)
        elif event.kind == "end":
            running[event.runner].discard(event.task)
        elif event.kind == "gone":
            for task in running.pop(event.runner, ()):
                counts[task] += 1
                if counts[task] >= CRASHES_TO_FAIL:
                    jobs.setdefault(_find_job(task), event.at)
    return jobs


def _check_ends(
    seen: Observations, histories: dict[str, _History]
) -> Iterable[Finding]:
    """Checks that accepted jobs are known, and have ended, after the calm."""
    last: dict[str, str] = {}
    for exchange in seen.exchanges:
        is_late = exchange.sent >= seen.calm_from
        # An answer of another kind tells nothing about the job.
        if exchange.kind == "state" and is_late and exchange.status in _TELLING:
            last[exchange.what] = exchange.state
    for job in seen.jobs:
        history = histories[job.id]
        if (
            history.accepted > seen.ended
            or history.cancel_sent <= seen.ended
            or history.completed <= seen.ended
            or history.given_up <= seen.ended
        ):
            continue
        state = last.get(job.id, "")
        if not state:
            text = f"{job.id}: not known at the end"
        elif job.lasts:
            continue
        else:
            text = f"{job.id}: {state} at the end"
        yield Finding("lost", seen.ended, text)


def _check_runs(seen: Observations) -> Iterable[Finding]:
    running: dict[str, set[tuple[str, int]]] = collections.defaultdict(set)
    done = _list_noted_ends(seen)
    for event in seen.runner_events:
        run = (event.runner, event.attempt)
        task, at = event.task, event.at
        if event.kind == "start":
            for other, attempt in running[task]:
                text = (
                    f"{task}: {event.attempt} at {event.runner} beside"
                    f" {attempt} at {other}"
                )
                yield Finding("twice", at, text)
            for end in done[task]:
                if end.at < at:
                    text = (
                        f"{task}: {event.attempt} at {event.runner} after"
                        f" {end.text}"
                    )
                    yield Finding("twice", at, text)
            running[task].add(run)
        elif event.kind == "end":
            running[task].discard(run)
        elif event.kind == "gone":
            for runs in running.values():
                gone = {r for r in runs if r[0] == event.runner}
                runs -= gone


def _list_noted_ends(seen: Observations) -> dict[str, list[_NotedEnd]]:
    """Returns the ends `done` that count, by task.

    An end counts from when the run ended, if it is acknowledged then or later
    in the same life of its runner, with no end of the lease between.
    """
    noted: dict[str, list[_NotedEnd]] = collections.defaultdict(list)
    # Ends that count once they are acknowledged, and when they were listed.
    open_ends: dict[tuple[str, int, str, int], list[float]] = {}
    for event in seen.runner_events:
        run = (event.runner, event.life, event.task, event.attempt)
        if event.kind == "end" and event.how == "done":
            open_ends[run] = [event.at]
        elif event.kind == "listed" and run in open_ends:
            open_ends[run].append(event.at)
        elif event.kind == "noted" and run in open_ends:
            ended, *listed = open_ends.pop(run)
            listed_text = (
                f"listed {listed[0] - ended:.2f} s later"
                if listed
                else "not listed"
            )
            text = (
                f"{event.attempt} done at {event.runner}, life {event.life},"
                f" {listed_text}, acknowledged"
                f" {event.at - ended:.2f} s later by token {event.token}"
            )
            noted[event.task].append(_NotedEnd(ended, text))
        elif event.kind in ("lapsed", "gone"):
            open_ends = {
                key: times
                for key, times in open_ends.items()
                if key[0] != event.runner
            }
    return noted


def _check_cuts(seen: Observations) -> Iterable[Finding]:
    ends = [
        event
        for event in seen.process_events
        if event.kind in ("SIGTERM", "SIGINT", "SIGHUP")
    ]
    for exchange in seen.exchanges:
        if not exchange.cut or exchange.ended < exchange.sent + CUT_SLACK_S:
            continue
        is_planned = any(
            event.process == exchange.process
            and event.life == exchange.life
            and event.at <= exchange.ended
            for event in ends
        )
        is_disturbed = any(
            d.target in (exchange.process, observations_module.EVERYTHING)
            and not d.planned
            and d.began <= exchange.ended
            and d.ended >= exchange.sent - CONTACT_S
            for d in seen.disturbances
        )
        if is_planned and not is_disturbed:
            text = (
                f"{exchange.kind} {exchange.what} at {exchange.process}, sent"
                f" {exchange.ended - exchange.sent:.2f} s before"
            )
            yield Finding("cut", exchange.ended, text)


def _check_cancels(
    seen: Observations, histories: dict[str, _History]
) -> Iterable[Finding]:
    running: dict[tuple[str, str], int] = {}
    ordered: dict[tuple[str, str, int], float] = {}
    for event in seen.runner_events:
        key = (event.task, event.runner)
        if event.kind == "ordered":
            ordered[*key, event.attempt] = event.at
        elif event.kind == "start":
            running[key] = event.attempt
            history = histories.get(_find_job(event.task), _History())
            cancelled = history.cancelled
            late_s = event.at - cancelled
            # An order that was under way waits as long as its path is held up.
            if ordered.get((*key, event.attempt), event.at) <= cancelled:
                late_s -= _find_held_s(seen, event.runner, cancelled, event.at)
            # One that the runner carried out late has no time bound.
            if late_s > CANCEL_S and not event.late:
                text = (
                    f"{event.task}: {event.attempt} at {event.runner},"
                    f" {event.at - cancelled:.2f} s after the answer"
                )
                yield Finding("cancelled", event.at, text)
        elif event.kind == "end":
            running.pop(key, None)
        elif event.kind == "gone":
            running = {k: a for k, a in running.items() if k[1] != event.runner}
    for task, runner in running:
        history = histories.get(_find_job(task), _History())
        began = max(history.cancelled, seen.calm_from)
        if began + CANCEL_S + STOP_S < seen.ended:
            text = f"{task}: still runs at {runner} at the end"
            yield Finding("cancelled", seen.ended, text)


def _find_held_s(
    seen: Observations, runner: str, began: float, ended: float
) -> float:
    """Returns the longest time for which the path to a runner was held up."""
    held = (
        min(ended, d.ended) - max(began, d.began)
        for d in seen.disturbances
        if (d.kind, d.target) == ("held", runner)
    )
    return max(0.0, max(held, default=0.0))


def _check_waits(
    seen: Observations, histories: dict[str, _History]
) -> Iterable[Finding]:
    for job in seen.jobs:
        history = histories[job.id]
        until = min(history.cancel_sent, history.given_up, seen.ended)
        if not job.lasts or history.accepted >= until:
            continue
        for index in range(job.tasks):
            task = f"{job.id}.0.0.{index}"
            for began, ended in _list_gaps(seen, task, history.accepted, until):
                at = _find_calm_wait(seen, began, ended)
                if at is not None and _has_room(seen, job.cpu, at):
                    text = f"{task}: has not run for {ended - began:.1f} s"
                    yield Finding("waits", at, text)


def _list_gaps(
    seen: Observations, task: str, began: float, until: float
) -> list[tuple[float, float]]:
    """Returns the times in which a task did not run, from `began` on."""
    gaps, idle_from, runs = [], began, set()
    for event in seen.runner_events:
        if event.kind == "start" and event.task == task:
            if not runs:
                gaps.append((idle_from, min(event.at, until)))
            runs.add(event.runner)
        elif event.runner in runs and (
            event.kind == "gone" or (event.kind == "end" and event.task == task)
        ):
            runs.discard(event.runner)
            idle_from = event.at
    if not runs:
        gaps.append((idle_from, until))
    return gaps


def _find_calm_wait(
    seen: Observations, began: float, ended: float
) -> float | None:
    """Returns when the wait was too long after a calm time, or None."""
    if ended - began < WAIT_S:
        return None
    candidates = [began + WAIT_S]
    candidates += [d.ended + CALM_S + 0.001 for d in seen.disturbances]
    for at in sorted(candidates):
        if began + WAIT_S <= at <= ended and _is_calm(seen, at - CALM_S, at):
            return at
    return None


def _has_room(seen: Observations, cpu: int, at: float) -> bool:
    """Tells whether one runner had room all the last `ROOM_S` before `at`."""
    needs = {job.id: job.cpu for job in seen.jobs}
    free: dict[str, int] = {}
    lowest: dict[str, int] | None = None
    for event in seen.runner_events:
        if event.at > at:
            break
        if event.at >= at - ROOM_S and lowest is None:
            lowest = dict(free)
        need = needs.get(_find_job(event.task), 0)
        if event.kind == "ready":
            free[event.runner] = event.cpu
        elif event.kind in ("draining", "gone"):
            free.pop(event.runner, None)
        elif event.runner in free and event.kind in ("start", "end"):
            free[event.runner] += need if event.kind == "end" else -need
        if lowest is not None:
            lowest = {
                runner: min(amount, free[runner])
                for runner, amount in lowest.items()
                if runner in free
            }
    amounts = (free if lowest is None else lowest).values()
    return any(amount >= ROOM_FACTOR * cpu for amount in amounts)


def _list_probes(
    seen: Observations,
) -> list[tuple[observations_module.Exchange, int]]:
    return [
        (exchange, int(exchange.what))
        for exchange in seen.exchanges
        if exchange.kind == "probe" and exchange.status in (KNOWN, UNKNOWN)
    ]


def _check_application(seen: Observations) -> Iterable[Finding]:
    """Checks that each version is in force in time."""
    following = [c.written for c in seen.configurations[1:]] + [float("inf")]
    versions = {
        c.version: (c, next_written)
        for c, next_written in zip(seen.configurations, following, strict=True)
    }
    numbers = sorted(versions)
    for probe, version in _list_probes(seen):
        configuration, next_written = versions[version]
        if not _is_in_touch(seen, probe.process, probe.sent, probe.ended):
            continue
        if probe.status == UNKNOWN:
            late_s = probe.sent - configuration.acknowledged
            is_late = late_s > APPLY_S and probe.ended < next_written
        else:
            later = [n for n in numbers if n > version]
            acknowledged = [versions[n][0].acknowledged for n in later]
            late_s = probe.sent - min(acknowledged, default=float("inf"))
            is_late = late_s > APPLY_S
        if is_late:
            text = (
                f"{probe.process} answers {probe.status} for the route of"
                f" version {version} after {late_s:.2f} s"
            )
            yield Finding("configuration", probe.ended, text)


def _check_rollbacks(seen: Observations) -> Iterable[Finding]:
    """Checks that no process goes back to an older version in one life."""
    written = [(c.version, c.written) for c in seen.configurations]
    shown: dict[tuple[str, int], list[tuple[float, int]]] = (
        collections.defaultdict(list)
    )
    probes = sorted(_list_probes(seen), key=lambda probe: probe[0].ended)
    for probe, version in probes:
        life = shown[probe.process, probe.life]
        slack_s = ROLLBACK_S
        if not _is_in_touch(seen, probe.process, probe.sent, probe.ended):
            slack_s *= SLOWED_FACTOR
        earlier = [number for at, number in life if at + slack_s < probe.sent]
        highest = max(earlier, default=0)
        if probe.status == KNOWN:
            goes_back = version < highest
            if all(version > number for _, number in life):
                life.append((probe.ended, version))
        else:
            # The route of a version is gone with the next one.
            goes_back = version == highest and not any(
                number > version and at <= probe.ended for number, at in written
            )
        if goes_back:
            text = (
                f"{probe.process} answers {probe.status} for the route of"
                f" version {version} after one of {highest}"
            )
            yield Finding("configuration", probe.ended, text)


def _check_exits(seen: Observations) -> Iterable[Finding]:
    signals: dict[tuple[str, int], set[str]] = collections.defaultdict(set)
    began: dict[tuple[str, int], float] = {}
    for event in seen.process_events:
        life = (event.process, event.life)
        sent = signals[life]
        if event.kind == "started":
            began[life] = event.at
        elif event.kind != "exited":
            sent.add(event.kind)
        elif event.at - began[life] < START_S and event.status < 0:
            # A signal reached it before it could handle any.
            continue
        elif not sent.intersection(END_SIGNALS):
            text = f"{event.process} ended with status {event.status}"
            yield Finding("ended", event.at, text)
        elif event.status != 0 and "SIGKILL" not in sent:
            text = f"{event.process} ended its drain with {event.status}"
            yield Finding("ended", event.at, text)


def _check_growth(seen: Observations) -> Iterable[Finding]:
    lives: dict[tuple[str, int], list[observations_module.Sample]] = (
        collections.defaultdict(list)
    )
    for sample in seen.samples:
        lives[sample.process, sample.life].append(sample)
    peers = {event.process for event in seen.process_events}
    peers |= {event.runner for event in seen.runner_events}
    growth = DESCRIPTORS_GROWTH + DESCRIPTORS_PER_PEER * len(peers)
    for (process, _), samples in lives.items():
        yield from _check_life(process, samples, growth)


def _check_life(
    process: str,
    samples: list[observations_module.Sample],
    descriptors_growth: int,
) -> Iterable[Finding]:
    at = samples[-1].at
    memory = [sample.memory_bytes for sample in samples]
    descriptors = [sample.descriptors for sample in samples]
    if max(memory) > MEMORY_LIMIT_BYTES:
        text = f"{process}: {max(memory)} bytes of memory"
        yield Finding("growth", at, text)
    if max(descriptors) > DESCRIPTORS_LIMIT:
        text = f"{process}: {max(descriptors)} open descriptors"
        yield Finding("growth", at, text)
    if at - samples[0].at < LIFE_S or len(samples) < 8:
        return
    before, after = _compare_quarters(memory)
    allowed = before * (1 + MEMORY_GROWTH_SHARE) + MEMORY_GROWTH_BYTES
    if after > allowed:
        text = f"{process}: memory from {before:.0f} to {after:.0f} bytes"
        yield Finding("growth", at, text)
    before, after = _compare_quarters(descriptors)
    if after > before + descriptors_growth:
        text = f"{process}: open descriptors from {before:.0f} to {after:.0f}"
        yield Finding("growth", at, text)


def _compare_quarters(values: list[int]) -> tuple[float, float]:
    """Returns the medians of the second and of the last quarter."""
    quarter = len(values) // 4
    return (
        statistics.median(values[quarter : 2 * quarter]),
        statistics.median(values[-quarter:]),
    )
