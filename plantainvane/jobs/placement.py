"""Decides which runner starts a task.

Serving tasks are long-running tasks with a latency target. Fill tasks use the
processors that all other tasks leave idle, and may interfere with the serving
tasks on the same runner.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq

from plantainvane.jobs import attempts
from plantainvane.jobs import eligibility
from plantainvane.jobs import interference
from plantainvane.jobs import model
from plantainvane.jobs import pacing
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import trials

# Share of its declared processors that a serving task uses on average; the
# rest is available to fill tasks.
SERVING_CPU_UTILIZATION = 0.6
# Fill tasks may be charged with up to this multiple of the unused processors.
FILL_OVERCOMMIT = 1.15
# A fill task waits this long for a runner where its excess pressure, which is
# the pressure above the level that keeps the latency target, is within the
# limit.
INTERFERENCE_WAIT_S = 8.0
MAX_EXCESS_PRESSURE = 0.12
# Score penalty of one unit of excess pressure. A completely idle runner
# scores 1.
EXCESS_PRESSURE_WEIGHT = 8.0
# Score penalty of a runner that is compatible with all known fill images.
FILL_COMPATIBILITY_WEIGHT = 0.4
# Score penalty of each serving image whose interference with the task's image
# is not known.
UNKNOWN_PAIR_WEIGHT = 0.3
# Score penalty of a long-running task that would exclude all known fill images
# from the runner.
FILL_EXCLUSION_WEIGHT = 1.0
# Weights of a runner's score, relative to an idle runner: a runner where an
# attempt of the task failed, each recent fault, the rack of the data (work
# elsewhere takes 1.5 to 3 times as long on the users' sites), each task of the
# step in the same rack.
AVOIDED_RUNNER_WEIGHT = 5.0
FAULT_WEIGHT = 0.5
DATA_RACK_WEIGHT = 2.0
SAME_RACK_WEIGHT = 0.5
# Score penalties of a task that may crash its runner: the share of the
# processors that belongs to long-running tasks, each attempt there, and each
# that has just started there.
SUSPECT_SERVING_WEIGHT = 3.0
SUSPECT_COMPANY_WEIGHT = 0.2
SUSPECT_NEW_WEIGHT = 1.0
# For long-running tasks: weight of the share of a runner's processors that is
# charged, relative to its image similarity, and the similarity of an empty
# runner, which is preferred to one with mixed images.
PACKING_WEIGHT = 0.3
EMPTY_RUNNER_SIMILARITY = 0.5
# Share of the memory that fill tasks leave free for urgent work.
FILL_MEMORY_RESERVE = 0.08


@dataclasses.dataclass(slots=True)
class Ranking:
    """Scores of the runners for tasks with the same requirements.

    Attributes:
      scores: Score of each runner that can start a task, by runner id.
      seen: Number of entries of `Estimates.charged` that are applied.
      seen_changes: Number of entries of `Estimates.changed` that are applied.
    """

    scores: dict[str, float]
    seen: int
    seen_changes: int = 0


@dataclasses.dataclass(slots=True)
class Estimates:
    """Intermediate results, valid for one time and state of the runners.

    Whoever charges a runner in the meantime has to call `forget_runner`, and
    `count_run` for an attempt that is begun or dropped. `forget_changes` finds
    all other changes of the runners. The places of attempts of a step with a
    limit that end in the meantime are left out.

    Attributes:
      effects: Effects by serving image and fill image.
      pressures: Result of `interference.list_pressures`, by runner id.
      serving_images: Images of the serving tasks, by runner id.
      compatible_fills: Known fill images that disturb none of a set of serving
        images.
      fill_images: Known fill images, or None if not listed yet.
      rankings: Rankings by requirements.
      charged: Ids of the runners that were charged in the meantime, in order.
      changed: Ids of those that were added, removed or changed in any way.
      stamps: State of each runner that scores depend on, by runner id.
      counts: Attempts by runner id, of each step with a limit on a runner.
    """

    effects: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    pressures: dict[str, list[tuple[str, float]]] = dataclasses.field(
        default_factory=dict
    )
    serving_images: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    compatible_fills: dict[frozenset[str], list[str]] = dataclasses.field(
        default_factory=dict
    )
    fill_images: set[str] | None = None
    rankings: dict[tuple[object, ...], Ranking] = dataclasses.field(
        default_factory=dict
    )
    charged: list[str] = dataclasses.field(default_factory=list)
    changed: list[str] = dataclasses.field(default_factory=list)
    stamps: dict[str, tuple[object, ...]] = dataclasses.field(
        default_factory=dict
    )
    counts: dict[attempts.StepState, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )

    def count_run(self, run: attempts.Run, sign: int = 1) -> None:
        """Counts an attempt that was begun, or dropped with `sign` -1."""
        counts = self.counts.get(run.task.step)
        if counts is not None:
            counts[run.runner] = counts.get(run.runner, 0) + sign

    def forget_runner(self, runner: str) -> None:
        """Drops what depends on the attempts that are charged to a runner.

        It has no more room than before.
        """
        self._drop_runner(runner)
        self.charged.append(runner)

    def note_change(self, runner: str) -> None:
        """Drops what depends on a runner that may have more room as well."""
        self._drop_runner(runner)
        self.changed.append(runner)

    def _drop_runner(self, runner: str) -> None:
        self.pressures.pop(runner, None)
        self.serving_images.pop(runner, None)


def forget_changes(
    estimates: Estimates, runners: dict[str, runners_module.Runner], now: float
) -> None:
    """Drops the results for the runners that changed since the last call."""
    stamps = {name: _read_stamp(r, now) for name, r in runners.items()}
    earlier = estimates.stamps
    if stamps == earlier:
        return
    for name in stamps.keys() | earlier.keys():
        if stamps.get(name) != earlier.get(name):
            estimates.note_change(name)
    estimates.stamps = stamps


def _read_stamp(
    runner: runners_module.Runner, now: float
) -> tuple[object, ...]:
    return (
        runner.entry,
        runner.listed and runner.fenced,
        runner.silent or runner.expiry_promised,
        not (runner.foreign or runner.ignores_stops),
        runner.backoff_until > now,
        runner.probation_until > now,
        (runner.trial_until > now, runner.kept_for),
        runner.faults,
        runner.speed,
        runner.fill_cpu,
        runner.charges,
        runner.reserved,
    )


def measure_unused_cpu(runner: runners_module.Runner) -> float:
    """Returns the thousandths of a core that fill tasks can expect to use."""
    busy = runner.cpu - runner.serving_cpu * (1 - SERVING_CPU_UTILIZATION)
    return runner.entry.capacity.cpu - busy


def measure_fill_room(runner: runners_module.Runner) -> float:
    """Returns the thousandths of a core that more fill tasks may ask for."""
    return measure_unused_cpu(runner) * FILL_OVERCOMMIT - runner.fill_cpu


def has_waited(task: attempts.Task, now: float) -> bool:
    """Tells whether a fill task waits no longer for less interference."""
    return now - task.ready_since >= INTERFERENCE_WAIT_S


def choose_runner(
    task: attempts.Task,
    candidates: list[runners_module.Runner],
    interference_model: interference.InterferenceModel,
    now: float,
    estimates: Estimates | None = None,
    racks: dict[str, int] | None = None,
) -> runners_module.Runner | None:
    """Returns the best runner with capacity for the task, or None.

    Args:
      task: The task.
      candidates: The runners that may be used.
      interference_model: Learned effects of fill images on serving images.
      now: Present time, in seconds.
      estimates: Intermediate results, or None.
      racks: Attempts of the step by rack, or None to count them.
    """
    estimates = estimates or Estimates()
    step = task.step.definition
    best, best_score = None, float("-inf")
    has_place = check_places(task, estimates)
    if racks is None:
        racks = _count_runs_by_rack(task, candidates) if step.same_rack else {}
    if trials.is_waiting_for_trial(task, now):
        candidates = _list_trial_runners(task, candidates, now)
    for runner in candidates:
        if not has_place(runner.entry.id):
            continue
        score = _evaluate_runner(
            task, runner, racks, interference_model, estimates, now
        )
        if score is not None and score > best_score:
            best, best_score = runner, score
    return best


def keep_member_choice(
    step: model.Step,
    candidates: list[runners_module.Runner],
    interference_model: interference.InterferenceModel,
    now: float,
    estimates: Estimates,
) -> Callable[[attempts.Task], runners_module.Runner | None]:
    """Returns `choose_runner` for the members of a gang of which none runs.

    Each runner that it returns has to be charged before the next call, and
    nothing else may change.
    """
    racks: dict[str, int] = {}
    # The best score first, and of equal ones the first candidate.
    heap: list[tuple[float, int]] = []
    positions = {r.entry.id: number for number, r in enumerate(candidates)}
    stale = set(positions.values())

    def choose_anew(task: attempts.Task) -> runners_module.Runner | None:
        runner = choose_runner(
            task, candidates, interference_model, now, estimates, racks
        )
        if runner is not None and step.same_rack:
            racks[runner.rack] = racks.get(runner.rack, 0) + 1
        return runner

    def push_stale(task: attempts.Task) -> None:
        for number in stale:
            score = _evaluate_runner(
                task, candidates[number], {}, interference_model, estimates, now
            )
            if score is not None:
                heapq.heappush(heap, (-score, number))
        stale.clear()

    def choose(task: attempts.Task) -> runners_module.Runner | None:
        if task.avoided_runners or task.crashes:
            runner = choose_anew(task)
            if runner is not None:
                number = positions[runner.entry.id]
                stale.add(number)
                heap[:] = [entry for entry in heap if entry[1] != number]
                heapq.heapify(heap)
            return runner
        push_stale(task)
        has_place = check_places(task, estimates)
        while heap:
            number = heapq.heappop(heap)[1]
            if has_place(candidates[number].entry.id):
                stale.add(number)
                return candidates[number]
        return None

    return choose_anew if step.same_rack or step.fills else choose


def _list_trial_runners(
    task: attempts.Task,
    candidates: list[runners_module.Runner],
    now: float,
) -> list[runners_module.Runner]:
    """Returns the runners on which a suspect may start now."""
    kept = [r for r in candidates if trials.is_kept(r, task, now)]
    if not kept and not _has_trial_left(candidates, now):
        return []
    sites = _list_trial_sites(task, candidates)
    if kept:
        sites = [r for r in sites if trials.is_kept(r, task, now)]
    return [r for r in sites if not trials.count_new(r, now)]


def _list_trial_sites(
    task: attempts.Task, candidates: list[runners_module.Runner]
) -> list[runners_module.Runner]:
    """Returns the runners that may be used for a trial, now or later.

    A machine that crashed under the task would prove less than another one, so
    it is used only if there is no other. Without a ticket for another one, the
    adviser may still give one.
    """
    others = [r for r in candidates if not trials.is_crash_site(task, r)]
    if any(r.listed for r in others) or task.job.queue.advice is not None:
        return others
    return candidates


def _has_trial_left(
    candidates: list[runners_module.Runner], now: float
) -> bool:
    """Tells whether one more runner may be kept for a trial."""
    usable = [r for r in candidates if r.listed and r.fenced and not r.silent]
    under_way = sum(runner.trial_until > now for runner in usable)
    return under_way < max(1, trials.MAX_TRIALS_SHARE * len(usable))


def choose_kept_runner(
    task: attempts.Task,
    candidates: list[runners_module.Runner],
    interference_model: interference.InterferenceModel,
    now: float,
) -> runners_module.Runner | None:
    """Returns the runner to keep free for a suspect that found none."""
    if any(trials.is_kept(r, task, now) for r in candidates) or (
        not _has_trial_left(candidates, now)
    ):
        return None
    best, best_score = None, float("-inf")
    for runner in _list_trial_sites(task, candidates):
        score = _evaluate_runner(
            task, runner, {}, interference_model, Estimates(), now
        )
        if score is not None and score > best_score:
            best, best_score = runner, score
    return best


def can_start(
    task: attempts.Task,
    candidates: Iterable[runners_module.Runner],
    interference_model: interference.InterferenceModel,
    now: float,
) -> bool:
    """Tells whether `choose_runner` would find a runner for the task."""
    limit = task.step.definition.max_per_runner
    counts = _count_runs_by_runner(task) if limit else {}
    estimates = Estimates()
    return any(
        not (limit and counts.get(runner.entry.id, 0) >= limit)
        and _evaluate_runner(
            task, runner, {}, interference_model, estimates, now
        )
        is not None
        for runner in candidates
    )


def list_obstacles(
    task: attempts.Task,
    candidates: list[runners_module.Runner],
    interference_model: interference.InterferenceModel,
    now: float,
) -> list[tuple[runners_module.Runner, eligibility.Obstacle | None]]:
    """Returns why `choose_runner` leaves out each candidate, if it does."""
    limit = task.step.definition.max_per_runner
    counts = _count_runs_by_runner(task) if limit else {}
    trial_runners = None
    if trials.is_waiting_for_trial(task, now):
        trial_runners = _list_trial_runners(task, candidates, now)
    estimates = Estimates()
    found: list[tuple[runners_module.Runner, eligibility.Obstacle | None]] = []
    for runner in candidates:
        obstacle = _find_obstacle(
            task, runner, interference_model, estimates, now
        )
        if obstacle is None:
            if limit and counts.get(runner.entry.id, 0) >= limit:
                obstacle = eligibility.Obstacle.LIMIT_PER_RUNNER
            elif trial_runners is not None and runner not in trial_runners:
                obstacle = eligibility.Obstacle.NO_TRIAL
        found.append((runner, obstacle))
    return found


def _find_obstacle(
    task: attempts.Task,
    runner: runners_module.Runner,
    interference_model: interference.InterferenceModel,
    estimates: Estimates,
    now: float,
) -> eligibility.Obstacle | None:
    """Returns why `_evaluate_runner` gives no score, or None if it does."""
    step = task.step.definition
    reserve = FILL_MEMORY_RESERVE if step.fills else 0.0
    refusal = eligibility.find_refusal(runner, step, now)
    if refusal is not None:
        return refusal
    if not eligibility.has_capacity(runner, step, reserve):
        return eligibility.Obstacle.NO_ROOM
    if eligibility.takes_reserved(
        runner, step, task.job.queue.priority, reserve, task.name
    ):
        return eligibility.Obstacle.RESERVED
    if trials.is_kept_for_other(runner, task, now):
        return eligibility.Obstacle.KEPT_FOR_TRIAL
    if step.fills and measure_fill_room(runner) < step.amounts.cpu:
        return eligibility.Obstacle.NO_FILL_ROOM
    score = _evaluate_runner(
        task, runner, {}, interference_model, estimates, now
    )
    return eligibility.Obstacle.INTERFERENCE if score is None else None


def choose_ranked_runner(
    task: attempts.Task,
    service: str,
    runners: dict[str, runners_module.Runner],
    interference_model: interference.InterferenceModel,
    now: float,
    estimates: Estimates,
    excluded: str = "",
) -> runners_module.Runner | None:
    """Chooses as `choose_runner` among the runners of a service.

    The scores are kept for further tasks with the same requirements. The runner
    with the id `excluded` is not chosen.
    """
    step = task.step.definition
    if task.crashes or step.same_rack:
        candidates = [
            r
            for r in runners.values()
            if r.entry.service == service and r.entry.id != excluded
        ]
        return choose_runner(
            task, candidates, interference_model, now, estimates
        )

    def evaluate(runner: runners_module.Runner) -> float | None:
        if runner.entry.service != service:
            return None
        return _evaluate_runner(
            task, runner, {}, interference_model, estimates, now, avoids=False
        )

    key = _find_ranking_key(task, service, now)
    ranking = estimates.rankings.get(key)
    if ranking is None:
        ranking = Ranking({}, len(estimates.charged), len(estimates.changed))
        estimates.rankings[key] = ranking
        for runner in runners.values():
            score = evaluate(runner)
            if score is not None:
                ranking.scores[runner.entry.id] = score
    _renew_scores(ranking, runners, estimates, evaluate)
    scores = ranking.scores
    avoided = {
        name: _evaluate_runner(
            task, runners[name], {}, interference_model, estimates, now
        )
        for name in task.avoided_runners
        if name in scores
    }
    if avoided:
        # None if the runner no longer accepts the task, as time has passed.
        scores = {
            name: avoided.get(name, score)
            for name, score in scores.items()
            if avoided.get(name, score) is not None
        }
    places: Iterable[str] = scores
    if step.max_per_runner:
        places = filter(check_places(task, estimates), places)
    if excluded:
        places = (name for name in places if name != excluded)
    best = max(places, key=scores.__getitem__, default=None)
    return None if best is None else runners[best]


def may_have_room(
    task: attempts.Task, service: str, now: float, estimates: Estimates
) -> bool:
    """Tells whether a runner may have room but for the limit of the step.

    It does not evaluate anything; True if the runners have not been ranked.
    """
    key = _find_ranking_key(task, service, now)
    ranking = estimates.rankings.get(key)
    return ranking is None or bool(ranking.scores)


def _find_ranking_key(
    task: attempts.Task, service: str, now: float
) -> tuple[object, ...]:
    step = task.step.definition
    return (
        service,
        step.amounts,
        step.fills,
        step.long_running,
        step.image,
        step.required_label,
        step.preferred_rack,
        has_waited(task, now),
        task.job.queue.priority,
    )


def _renew_scores(
    ranking: Ranking,
    runners: dict[str, runners_module.Runner],
    estimates: Estimates,
    evaluate: Callable[[runners_module.Runner], float | None],
) -> None:
    """Renews the scores of the runners that have changed since the last call.

    A runner that could not start a task cannot after another charge either.
    """
    charged = estimates.charged[ranking.seen :]
    changed = dict.fromkeys(r for r in charged if r in ranking.scores)
    changed.update(dict.fromkeys(estimates.changed[ranking.seen_changes :]))
    for runner in changed:
        known = runners.get(runner)
        score = evaluate(known) if known is not None else None
        if score is None:
            ranking.scores.pop(runner, None)
        else:
            ranking.scores[runner] = score
    ranking.seen = len(estimates.charged)
    ranking.seen_changes = len(estimates.changed)


def _evaluate_runner(
    task: attempts.Task,
    runner: runners_module.Runner,
    racks: dict[str, int],
    interference_model: interference.InterferenceModel,
    estimates: Estimates,
    now: float,
    *,
    avoids: bool = True,
) -> float | None:
    """Scores a runner for a task; None if it cannot start the task now.

    With `avoids` false, the score holds for all tasks with the same
    requirements: the runners that the task avoids count as any other, and what
    is reserved for it as for another one.
    """
    step = task.step.definition
    reserve = FILL_MEMORY_RESERVE if step.fills else 0.0
    if not eligibility.has_capacity(runner, step, reserve):
        return None
    own = task.name if avoids else ""
    if eligibility.takes_reserved(
        runner, step, task.job.queue.priority, reserve, own
    ):
        return None
    if not eligibility.accepts_step(runner, step, now) or (
        trials.is_kept_for_other(runner, task, now)
    ):
        return None
    score = _score_runner(
        task, step, runner, racks, interference_model, estimates, now, avoids
    )
    if step.fills and score is not None:
        score = _apply_interference_penalty(
            task, runner, interference_model, estimates, score, now
        )
    return score


def _score_runner(
    task: attempts.Task,
    step: model.Step,
    runner: runners_module.Runner,
    racks: dict[str, int],
    interference_model: interference.InterferenceModel,
    estimates: Estimates,
    now: float,
    avoids: bool,
) -> float | None:
    """Scores a runner; higher is better, None means not to use it now."""
    capacity_cpu = max(1, runner.entry.capacity.cpu)
    unused = measure_unused_cpu(runner)
    if step.fills:
        if measure_fill_room(runner) < step.amounts.cpu:
            return None
        score = (unused - runner.fill_cpu) / capacity_cpu
    elif step.long_running:
        # Tasks of one image are packed together, so that a fill image that
        # disturbs only some images finds runners where it can work.
        score = PACKING_WEIGHT * runner.cpu / capacity_cpu
        score += _measure_image_similarity(runner, step)
        score -= FILL_EXCLUSION_WEIGHT * _measure_fill_exclusion(
            runner, step, interference_model, estimates, now
        )
    else:
        score = (unused - runner.fill_cpu - step.amounts.cpu) / capacity_cpu
    if avoids and runner.entry.id in task.avoided_runners:
        score -= AVOIDED_RUNNER_WEIGHT
    if task.crashes:
        if trials.is_crash_site(task, runner):
            score -= AVOIDED_RUNNER_WEIGHT
        score -= SUSPECT_SERVING_WEIGHT * runner.serving_cpu / capacity_cpu
        score -= SUSPECT_COMPANY_WEIGHT * len(runner.runs)
        score -= SUSPECT_NEW_WEIGHT * trials.count_new(runner, now)
    if runner.runs and runner.faults:
        score -= FAULT_WEIGHT * runner.faults
    if step.preferred_rack and step.preferred_rack in runner.entry.labels:
        score += DATA_RACK_WEIGHT
    score += SAME_RACK_WEIGHT * racks.get(runner.rack, 0)
    return score * min(1.0, runner.speed) if score > 0 else score


def score_runner(
    task: attempts.Task,
    runner: runners_module.Runner,
    interference_model: interference.InterferenceModel,
    estimates: Estimates,
    now: float,
) -> float:
    """Scores a runner for a task as if it had room for it."""
    score = _score_runner(
        task,
        task.step.definition,
        runner,
        {},
        interference_model,
        estimates,
        now,
        True,
    )
    return float("-inf") if score is None else score


def _measure_image_similarity(
    runner: runners_module.Runner, step: model.Step
) -> float:
    """Returns the share of the runner's `serving_cpu` with the step's image."""
    if not runner.serving_cpu:
        return EMPTY_RUNNER_SIMILARITY
    same = sum(
        run.task.step.definition.amounts.cpu
        for run in runner.runs
        if run.task.step.definition.image == step.image
    )
    return same / runner.serving_cpu


def _apply_interference_penalty(
    task: attempts.Task,
    runner: runners_module.Runner,
    interference_model: interference.InterferenceModel,
    estimates: Estimates,
    score: float,
    now: float,
) -> float | None:
    """Lowers a score by the expected interference with serving tasks.

    Returns None when the task should wait for a runner with less interference.
    """
    step = task.step.definition
    excess = _estimate_excess(runner, step, interference_model, estimates, now)
    if excess <= 0:
        # Prefers a runner that suits few fill images, so that runners that
        # suit many stay free for other images. An image pair that is not
        # known is tried only if there is no other choice.
        unknown = sum(
            not interference_model.is_known(image, step.image)
            for image in _list_serving_images(runner, estimates)
        )
        return (
            score
            - FILL_COMPATIBILITY_WEIGHT
            * _measure_fill_compatibility(
                runner, interference_model, estimates, now
            )
            - UNKNOWN_PAIR_WEIGHT * unknown
        )
    if excess > MAX_EXCESS_PRESSURE and not has_waited(task, now):
        return None
    return score - EXCESS_PRESSURE_WEIGHT * excess


def _estimate_excess(
    runner: runners_module.Runner,
    step: model.Step,
    interference_model: interference.InterferenceModel,
    estimates: Estimates,
    now: float,
) -> float:
    """Estimates as `interference.estimate_excess_pressure` for a fill step."""
    rows = estimates.pressures.get(runner.entry.id)
    if rows is None:
        rows = estimates.pressures[runner.entry.id] = (
            interference.list_pressures(
                interference_model,
                runner,
                pacing.TARGET_SHARE,
                now,
                estimates.effects,
            )
        )
    return interference.measure_excess(
        interference_model,
        rows,
        step.image,
        step.amounts.cpu / 1000 * interference.find_scale(runner),
        now,
        estimates.effects,
    )


def _measure_fill_compatibility(
    runner: runners_module.Runner,
    interference_model: interference.InterferenceModel,
    estimates: Estimates,
    now: float,
) -> float:
    """Returns the share of known fill images that disturb no task there."""
    fill_images = _list_fill_images(interference_model, estimates)
    if not fill_images:
        return 1.0
    compatible = _list_compatible_fills(
        runner, interference_model, estimates, now
    )
    return len(compatible) / len(fill_images)


def _list_fill_images(
    interference_model: interference.InterferenceModel, estimates: Estimates
) -> set[str]:
    if estimates.fill_images is None:
        estimates.fill_images = interference_model.list_fill_images()
    return estimates.fill_images


def _list_compatible_fills(
    runner: runners_module.Runner,
    interference_model: interference.InterferenceModel,
    estimates: Estimates,
    now: float,
) -> list[str]:
    """Returns the known fill images that disturb no serving task there."""
    serving = _list_serving_images(runner, estimates)
    known = estimates.compatible_fills.get(serving)
    if known is None:
        known = estimates.compatible_fills[serving] = [
            fill
            for fill in _list_fill_images(interference_model, estimates)
            if all(
                interference_model.find_effect(image, fill, now) <= 0
                for image in serving
            )
        ]
    return known


def _measure_fill_exclusion(
    runner: runners_module.Runner,
    step: model.Step,
    interference_model: interference.InterferenceModel,
    estimates: Estimates,
    now: float,
) -> float:
    """Returns the share of known fill images that the step would exclude.

    Only images that are still compatible with the runner are counted.
    """
    excluded = sum(
        interference_model.find_effect(step.image, fill, now) > 0
        for fill in _list_compatible_fills(
            runner, interference_model, estimates, now
        )
    )
    fill_images = _list_fill_images(interference_model, estimates)
    return excluded / max(1, len(fill_images))


def _list_serving_images(
    runner: runners_module.Runner, estimates: Estimates
) -> frozenset[str]:
    """Returns the images of the serving tasks of a runner."""
    images = estimates.serving_images.get(runner.entry.id)
    if images is None:
        steps = [run.task.step.definition for run in runner.runs]
        images = frozenset(step.image for step in steps if step.target_ms)
        estimates.serving_images[runner.entry.id] = images
    return images


def find_full_speed_runner(
    run: attempts.Run,
    service: str,
    runners: dict[str, runners_module.Runner],
    interference_model: interference.InterferenceModel,
    now: float,
    estimates: Estimates,
) -> runners_module.Runner | None:
    """Finds another runner where a slowed fill task could run at full speed."""
    runner = choose_ranked_runner(
        run.task,
        service,
        runners,
        interference_model,
        now,
        estimates,
        excluded=run.runner,
    )
    if runner is None:
        return None
    excess = _estimate_excess(
        runner, run.task.step.definition, interference_model, estimates, now
    )
    return runner if excess <= 0 else None


def check_places(
    task: attempts.Task, estimates: Estimates
) -> Callable[[str], bool]:
    """Returns whether the step may have one more attempt on a runner."""
    limit = task.step.definition.max_per_runner
    if not limit:
        return lambda runner: True
    counts = estimates.counts.get(task.step)
    if counts is None:
        counts = estimates.counts[task.step] = _count_runs_by_runner(task)
    return lambda runner: counts.get(runner, 0) < limit


def _count_runs_by_runner(task: attempts.Task) -> dict[str, int]:
    counts: dict[str, int] = {}
    for other in task.step.tasks:
        for run in other.runs:
            counts[run.runner] = counts.get(run.runner, 0) + 1
    return counts


def _count_runs_by_rack(
    task: attempts.Task, candidates: list[runners_module.Runner]
) -> dict[str, int]:
    racks = {runner.entry.id: runner.rack for runner in candidates}
    counts: dict[str, int] = {}
    for other in task.step.tasks:
        for run in other.runs:
            rack = racks.get(run.runner, "")
            counts[rack] = counts.get(rack, 0) + 1
    return counts
