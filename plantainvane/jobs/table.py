"""In-memory table of the accepted jobs and the state of their tasks.

All changes go through the methods of `JobTable`. Each change marks the job as
changed, so that its progress is stored before anything relies on it.
"""

import dataclasses
import heapq
import itertools

import anyio
import msgspec

from plantainvane.jobs import attempts
from plantainvane.jobs import checks
from plantainvane.jobs import model
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import settings as settings_module

# Longest number in the name of a task; runners may report any text as a name.
_MAX_DIGITS = 9
# Tasks of occurrences that are added, and occurrences that are looked at to be
# dropped, in one turn of the event loop.
_TASKS_PER_TURN = 300
_DROPS_PER_TURN = 1000


@dataclasses.dataclass(slots=True)
class JobTable:
    """All jobs of a shard.

    Attributes:
      jobs: All known jobs, by id.
      tasks: Open tasks of open jobs, by name.
      ready: Open tasks without a run whose step has no pending dependency, by
        name.
      changed: Jobs whose progress has to be stored, by id.
      deferred: Open jobs without tasks yet, by id, as the tasks of others are
        at the limit. None of them has been started.
      unopened: Open jobs with occurrences that are not in memory yet, by id.
      finishing: Occurrences of which a step has ended since they were last
        looked at, by job id and number.
      held_tasks: Number of tasks of open jobs in memory, done ones included.
      freed_tasks: Number of tasks that were held and are not any more.
      horizon_s: Occurrences are added this long before they are due.
      runs_to_stop: Runs that have to be stopped because their task is done or
        the end of their job is stored.
      has_runs_to_stop: Set when there are any.
      has_ends_to_store: Set when a job has ended since it was last cleared.
      suspects: Open tasks that may have crashed a runner, by name.
    """

    jobs: dict[str, attempts.JobState] = dataclasses.field(default_factory=dict)
    tasks: dict[str, attempts.Task] = dataclasses.field(default_factory=dict)
    ready: dict[str, attempts.Task] = dataclasses.field(default_factory=dict)
    changed: dict[str, attempts.JobState] = dataclasses.field(
        default_factory=dict
    )
    deferred: dict[str, attempts.JobState] = dataclasses.field(
        default_factory=dict
    )
    unopened: dict[str, attempts.JobState] = dataclasses.field(
        default_factory=dict
    )
    finishing: dict[tuple[str, int], attempts.JobState] = dataclasses.field(
        default_factory=dict
    )
    held_tasks: int = 0
    freed_tasks: int = 0
    horizon_s: float = settings_module.OCCURRENCE_HORIZON_S
    runs_to_stop: list[attempts.Run] = dataclasses.field(default_factory=list)
    has_runs_to_stop: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    has_ends_to_store: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    suspects: dict[str, attempts.Task] = dataclasses.field(default_factory=dict)

    def add_job(
        self,
        job: model.Job,
        queue: model.Queue,
        progress: model.JobProgress | None,
        now: float,
        wall_ms: int,
    ) -> attempts.JobState:
        """Adds a job unless it is known already, and returns its state.

        Args:
          job: The job as submitted.
          queue: The queue that accepted it.
          progress: Its stored progress, or None.
          now: Present time of this process's clock, in seconds.
          wall_ms: Present time, Unix milliseconds.

        Returns:
          The state of the job.
        """
        known = self.jobs.get(job.id)
        if known is not None:
            return known
        age_s = max(0.0, (wall_ms - job.accepted_ms) / 1000)
        critical_paths_s = measure_critical_paths(job.steps)
        limits = job.limits or model.make_limits(queue)
        objective_s = (
            limits.slack_factor * max(critical_paths_s)
            + limits.base_objective_s
        )
        state = attempts.JobState(
            job,
            queue,
            now - age_s + objective_s,
            objective_s,
            max_failures=limits.max_failures,
        )
        self.jobs[job.id] = state
        state.first_due_at = now
        if job.repeat_count:
            state.first_due_at += (job.start_at_ms - wall_ms) / 1000
        state.dependents = list_dependents(job.steps)
        if progress is not None and progress.ended:
            state.ended = state.stored_ended = progress.ended
            state.ended_ms = progress.ended_ms
            if not progress.tasks:
                return state
        if progress is None and not self._has_room(self._count_due(state, now)):
            self.deferred[job.id] = state
        else:
            self._add_tasks(state, progress, now, wall_ms)
        return state

    def _count_due(self, state: attempts.JobState, now: float) -> int:
        """Counts the tasks that are due soon and not in memory yet."""
        due = self._count_due_occurrences(state, now) - state.opened
        return max(0, due) * checks.count_occurrence_tasks(state.job)

    def _count_due_occurrences(
        self, state: attempts.JobState, now: float
    ) -> int:
        elapsed_s = now + self.horizon_s - state.first_due_at
        return checks.count_due_occurrences(state.job, elapsed_s * 1000)

    def _has_room(self, tasks: int) -> bool:
        held = self.held_tasks
        return not held or held + tasks <= checks.MAX_HELD_TASKS

    def add_deferred_tasks(self, now: float, wall_ms: int) -> bool:
        """Adds what has become due or has room, and drops what is done.

        Deferred jobs come first, in their order, then occurrences in the order
        in which they are due. One call takes one turn of the event loop.

        Returns:
          Whether more is to be added in a further turn.
        """
        self._drop_finished()
        added = 0
        for job_id, state in list(self.deferred.items()):
            tasks = 0 if state.ended else self._count_due(state, now)
            if tasks and not self._has_room(tasks):
                return False
            if added >= _TASKS_PER_TURN:
                return True
            del self.deferred[job_id]
            if not state.ended:
                self._add_tasks(state, None, now, wall_ms)
                added += tasks
        return self._open_due(now)

    def _open_due(self, now: float) -> bool:
        """Opens occurrences; returns whether more is to be done."""
        until = now + self.horizon_s
        due = [
            (due_at, job_id)
            for job_id, state in self.unopened.items()
            if (due_at := find_due(state, state.opened)) <= until
        ]
        heapq.heapify(due)
        added = 0
        while due and added < _TASKS_PER_TURN:
            _, job_id = due[0]
            state = self.jobs[job_id]
            tasks = checks.count_occurrence_tasks(state.job)
            if not self._has_room(tasks):
                return False
            self._open_next(state, now)
            added += tasks
            due_at = find_due(state, state.opened)
            if job_id in self.unopened and due_at <= until:
                heapq.heapreplace(due, (due_at, job_id))
            else:
                heapq.heappop(due)
        return bool(due)

    def count_late(self, now: float) -> int:
        """Counts the jobs with an occurrence that is due and has no room."""
        return sum(
            find_due(state, state.opened) <= now
            for state in self.unopened.values()
        )

    def _open_next(self, state: attempts.JobState, now: float) -> None:
        """Adds the next occurrence of a job that is open."""
        occurrence = state.opened
        for step_state in self._add_occurrence(
            state, occurrence, measure_critical_paths(state.job.steps), now
        ):
            step_state.remaining_tasks = len(step_state.tasks)
            for task in step_state.tasks:
                self.tasks[task.name] = task
                self._mark_ready(task, now)
        if state.opened == count_occurrences(state.job):
            del self.unopened[state.job.id]

    def _drop_finished(self) -> None:
        """Drops occurrences that are done, but for those with runs to stop."""
        keys = list(itertools.islice(self.finishing, _DROPS_PER_TURN))
        for key in keys:
            state = self.finishing.pop(key)
            numbers = range(len(state.job.steps))
            steps = [state.steps[key[1], number] for number in numbers]
            if state.ended or any(step.remaining_tasks for step in steps):
                continue
            if any(task.runs for step in steps for task in step.tasks):
                self.finishing[key] = state
                continue
            state.finished[key[1]] = 1
            for number, step in enumerate(steps):
                self._release_tasks(len(step.tasks))
                del state.steps[key[1], number]

    def _release_tasks(self, count: int) -> None:
        self.held_tasks -= count
        self.freed_tasks += count

    def _add_tasks(
        self,
        state: attempts.JobState,
        progress: model.JobProgress | None,
        now: float,
        wall_ms: int,
    ) -> None:
        """Adds the occurrences that are due soon or have stored progress."""
        job = state.job
        stored, done = 0, set()
        if progress is not None:
            stored, done = progress_module.find_stored_occurrences(
                job, progress
            )
        state.finished = bytearray(job.repeat_count)
        wanted = max(stored, self._count_due_occurrences(state, now))
        if job.repeat_count and (
            state.ended
            or progress is not None
            and not self._has_room(self._count_due(state, now))
        ):
            # What is due is added once there is room, unless the job has ended.
            wanted = stored
        critical_paths_s = measure_critical_paths(job.steps)
        for occurrence in range(wanted):
            if job.repeat_count and occurrence in done:
                state.finished[occurrence] = 1
                state.opened = occurrence + 1
            else:
                self._add_occurrence(state, occurrence, critical_paths_s, now)
        if progress is not None:
            progress_module.restore_tasks(state, progress, now, wall_ms)
            # The next change stores all parts, also if the last release has
            # stored them as one.
            parts = range(progress_module.count_parts(state))
            state.changed_parts.update(parts)
        self._initialize_state(state, now, wall_ms)
        if not state.ended and state.opened < count_occurrences(job):
            self.unopened[job.id] = state

    def add_unservable_job(
        self, job: model.Job, queue: model.Queue, now: float, wall_ms: int
    ) -> None:
        """Adds a stored job that cannot be run, as failed and without tasks."""
        state = attempts.JobState(job, queue, now, 0.0)
        self.jobs[job.id] = state
        self._end_job(state, "failed", wall_ms)

    def _add_occurrence(
        self,
        state: attempts.JobState,
        occurrence: int,
        critical_paths_s: list[float],
        now: float,
    ) -> list[attempts.StepState]:
        """Adds the tasks of an occurrence, all those before it are added."""
        job = state.job
        tasks = checks.count_occurrence_tasks(job)
        self.held_tasks += tasks
        state.opened = occurrence + 1
        due = find_due(state, occurrence)
        position = occurrence * tasks
        added = []
        for number, step in enumerate(job.steps):
            step_state = attempts.StepState(
                state,
                occurrence,
                number,
                step,
                set(step.depends_on),
                critical_paths_s[number],
                due,
                position,
            )
            position += step.count
            prefix = f"{job.id}.{occurrence}.{number}."
            step_state.tasks = [
                attempts.Task(
                    state,
                    step_state,
                    index,
                    f"{prefix}{index}",
                    ready_since=now,
                )
                for index in range(step.count)
            ]
            state.steps[occurrence, number] = step_state
            added.append(step_state)
        return added

    def _initialize_state(
        self, state: attempts.JobState, now: float, wall_ms: int
    ) -> None:
        """Derives counts, ready tasks and the end of a job that was loaded."""
        unopened = count_occurrences(state.job) - state.opened
        state.remaining_steps = unopened * len(state.job.steps)
        for step_state in state.steps.values():
            step_state.remaining_tasks = sum(
                t.result is not attempts.Result.DONE for t in step_state.tasks
            )
            state.remaining_steps += step_state.remaining_tasks > 0
        for (occurrence, number), step_state in state.steps.items():
            if step_state.remaining_tasks == 0:
                self._release_dependents(state, occurrence, number)
                self._note_finished(step_state)
        if state.ended:
            self._close_tasks(state)
            self._stop_job(state)
            return
        for step_state in state.steps.values():
            for task in step_state.tasks:
                if task.result is attempts.Result.OPEN:
                    self.tasks[task.name] = task
                    if task.crashes:
                        self.suspects[task.name] = task
                    self._mark_ready(task, now)
        if state.remaining_steps == 0:
            self._end_job(state, "completed", wall_ms)
        for step_state in state.steps.values():
            if any(
                t.result is attempts.Result.FAILED for t in step_state.tasks
            ):
                self._end_job(state, "failed", wall_ms)

    def _note_finished(self, step_state: attempts.StepState) -> None:
        """Notes that all tasks of a step are done; more may have to end."""
        state = step_state.job
        if state.job.repeat_count:
            self.finishing[state.job.id, step_state.occurrence] = state

    def _release_dependents(
        self, state: attempts.JobState, occurrence: int, number: int
    ) -> list[attempts.StepState]:
        released = []
        for dependent in state.dependents[number]:
            step_state = state.steps[occurrence, dependent]
            step_state.pending_dependencies.discard(number)
            if not step_state.pending_dependencies:
                released.append(step_state)
        return released

    def _mark_ready(self, task: attempts.Task, now: float) -> None:
        if (
            task.result is attempts.Result.OPEN
            and not task.runs
            and not task.step.pending_dependencies
            and not task.job.ended
        ):
            task.ready_since, task.trial_since = now, 0.0
            self.ready[task.name] = task

    def begin_run(
        self, task: attempts.Task, runner: str, now: float
    ) -> attempts.Run:
        """Records a new attempt whose start is about to be ordered."""
        task.attempt += 1
        run = attempts.Run(
            task, task.attempt, runner, attempts.Phase.STARTING, now
        )
        run.progress_changed_at = now
        task.runs.append(run)
        task.job.started = True
        self.ready.pop(task.name, None)
        self.mark_changed(task.job, task)
        return run

    def drop_run(self, run: attempts.Run, now: float) -> None:
        """Removes an attempt that does not run and has not ended as done."""
        task = run.task
        if run not in task.runs:
            return
        task.runs.remove(run)
        task.lost_attempts = (*task.lost_attempts[-3:], run.attempt)
        self.mark_changed(task.job, task)
        self._mark_ready(task, now)

    def end_run(
        self,
        run: attempts.Run,
        outcome: str,
        checkpoint: str,
        now: float,
        wall_ms: int,
    ) -> None:
        """Applies the end of an attempt that a runner has reported."""
        task = run.task
        if run not in task.runs:
            return
        task.runs.remove(run)
        if checkpoint and task.step.definition.checkpointing:
            task.checkpoint = checkpoint
        self.mark_changed(task.job, task)
        self._apply_outcome(task, outcome, run.runner, now, wall_ms)
        self._mark_ready(task, now)

    def end_lost_run(
        self,
        name: str,
        attempt: int,
        outcome: str,
        runner: str,
        now: float,
        wall_ms: int,
    ) -> bool:
        """Applies the end of an attempt that is not charged any more.

        A failure counts only if this owner has given the attempt up, as an
        earlier one may have counted it.

        Returns:
          Whether the end has changed the task.
        """
        task = self.find_task(name)
        if task is None or attempt > task.attempt:
            return False
        is_lost = attempt in task.lost_attempts
        if outcome == "failed" and not is_lost:
            return False
        task.lost_attempts = tuple(
            number for number in task.lost_attempts if number != attempt
        )
        return self._apply_outcome(task, outcome, runner, now, wall_ms)

    def _apply_outcome(
        self,
        task: attempts.Task,
        outcome: str,
        runner: str,
        now: float,
        wall_ms: int,
    ) -> bool:
        """Counts a success or a failure; returns whether it did."""
        step = task.step.definition
        if (
            task.result is not attempts.Result.OPEN
            or task.job.ended
            or step.long_running
        ):
            return False
        if outcome == "done":
            members = task.step.tasks if step.gang else [task]
            for member in members:
                self._finish_task(member, now, wall_ms)
            return True
        if outcome == "failed":
            task.failures += 1
            task.avoided_runners = (*task.avoided_runners[-3:], runner)
            self.mark_changed(task.job, task)
            if task.failures >= task.job.max_failures:
                task.result = attempts.Result.FAILED
                self._end_job(task.job, "failed", wall_ms)
            return True
        return False

    def _finish_task(
        self, task: attempts.Task, now: float, wall_ms: int
    ) -> None:
        if task.result is not attempts.Result.OPEN:
            return
        task.result = attempts.Result.DONE
        self.mark_changed(task.job, task)
        task.crashes = ()
        self.tasks.pop(task.name, None)
        self.ready.pop(task.name, None)
        self.suspects.pop(task.name, None)
        self._stop_runs(task)
        state, step_state = task.job, task.step
        step_state.remaining_tasks -= 1
        if step_state.remaining_tasks:
            return
        state.remaining_steps -= 1
        if state.remaining_steps == 0:
            self._end_job(state, "completed", wall_ms)
            return
        self._note_finished(step_state)
        for released in self._release_dependents(
            state, step_state.occurrence, step_state.number
        ):
            for waiting in released.tasks:
                self._mark_ready(waiting, now)

    def record_crash(self, task: attempts.Task, crash: model.Crash) -> None:
        """Records a crash of a runner that may be the fault of a task."""
        if task.name not in self.tasks:
            return
        others = [
            c
            for c in task.crashes
            if (c.runner, c.born_ms) != (crash.runner, crash.born_ms)
        ]
        self._set_crashes(task, (*others, crash))

    def withdraw_crash(self, task: attempts.Task, crash: model.Crash) -> None:
        """Removes a crash that did not happen."""
        self._set_crashes(task, tuple(c for c in task.crashes if c != crash))

    def confirm_crash(self, task: attempts.Task, crash: model.Crash) -> None:
        """Records that a crash has been proved."""
        confirmed = msgspec.structs.replace(crash, confirmed=True)
        self._set_crashes(
            task, tuple(confirmed if c == crash else c for c in task.crashes)
        )

    def clear_crashes(self, task: attempts.Task) -> None:
        """Removes all crashes of a task that does not crash its runner."""
        if task.crashes:
            self._set_crashes(task, ())

    def _set_crashes(
        self, task: attempts.Task, crashes: tuple[model.Crash, ...]
    ) -> None:
        task.crashes = crashes
        if crashes and task.name in self.tasks:
            self.suspects[task.name] = task
        else:
            self.suspects.pop(task.name, None)
        self.mark_changed(task.job, task)

    def give_up(self, task: attempts.Task, wall_ms: int) -> None:
        """Ends a job as failed, as one of its tasks crashes its runners."""
        task.result = attempts.Result.FAILED
        self._end_job(task.job, "failed", wall_ms)

    def cancel_job(self, state: attempts.JobState, wall_ms: int) -> None:
        """Ends an open job as cancelled."""
        if not state.ended:
            self._end_job(state, "cancelled", wall_ms)

    def _end_job(
        self, state: attempts.JobState, outcome: str, wall_ms: int
    ) -> None:
        if state.ended:
            return
        state.ended, state.ended_ms = outcome, wall_ms
        self._close_tasks(state)
        self.mark_changed(state)
        self.has_ends_to_store.set()

    def confirm_end(self, state: attempts.JobState) -> None:
        """Records that the end of a job is stored, and has its runs stopped.

        An end that is not stored may be unknown to the next owner, which would
        start what had been stopped again.
        """
        state.stored_ended = state.ended
        self._stop_job(state)

    def _stop_job(self, state: attempts.JobState) -> None:
        for step_state in state.steps.values():
            for task in step_state.tasks:
                self._stop_runs(task)

    def _close_tasks(self, state: attempts.JobState) -> None:
        self.unopened.pop(state.job.id, None)
        for step_state in state.steps.values():
            self._release_tasks(len(step_state.tasks))
            for task in step_state.tasks:
                self.tasks.pop(task.name, None)
                self.ready.pop(task.name, None)
                self.suspects.pop(task.name, None)

    def _stop_runs(self, task: attempts.Task) -> None:
        if task.runs:
            self.runs_to_stop.extend(task.runs)
            self.has_runs_to_stop.set()

    def mark_changed(
        self, state: attempts.JobState, task: attempts.Task | None = None
    ) -> None:
        """Marks a job whose progress has to be stored.

        Of a large job only the part that holds `task` is stored; without a
        task all parts are.
        """
        self.changed[state.job.id] = state
        if task is None:
            parts = range(progress_module.count_parts(state))
            state.changed_parts.update(parts)
        else:
            state.changed_parts.add(progress_module.find_part(task))

    def forget_job(self, job_id: str) -> None:
        """Removes an ended job whose retention time has passed."""
        self.jobs.pop(job_id, None)

    def find_run(self, name: str, attempt: int) -> attempts.Run | None:
        """Finds an attempt by the name of its task and its number."""
        task = self.find_task(name)
        for run in task.runs if task else ():
            if run.attempt == attempt:
                return run
        return None

    def find_task(self, name: str) -> attempts.Task | None:
        """Finds a task of any known job by its name."""
        task = self.tasks.get(name)
        if task is not None:
            return task
        parts = name.split(".")
        state = self.jobs.get(parts[0])
        if state is None or len(parts) != 4:
            return None
        if not all(p.isdecimal() and len(p) <= _MAX_DIGITS for p in parts[1:]):
            return None
        step_state = state.steps.get((int(parts[1]), int(parts[2])))
        index = int(parts[3])
        if step_state is None or index >= len(step_state.tasks):
            return None
        return step_state.tasks[index]

    def count_pending(self, queue: str) -> int:
        """Counts open jobs of a queue without a started task."""
        return sum(
            1
            for state in self.jobs.values()
            if state.job.queue == queue
            and not state.started
            and not state.ended
        )


def count_occurrences(job: model.Job) -> int:
    """Returns the number of occurrences; a job that runs once has one."""
    return max(1, job.repeat_count)


def find_due(state: attempts.JobState, occurrence: int) -> float:
    """Returns when an occurrence is due, in seconds of this process's clock."""
    return state.first_due_at + occurrence * state.job.interval_ms / 1000


def list_dependents(steps: tuple[model.Step, ...]) -> list[list[int]]:
    """Returns the numbers of the steps that depend on each step."""
    dependents: list[list[int]] = [[] for _ in steps]
    for number, step in enumerate(steps):
        for earlier in set(step.depends_on):
            dependents[earlier].append(number)
    return dependents


def measure_critical_paths(steps: tuple[model.Step, ...]) -> list[float]:
    """Returns the critical path of each step to the job's end, in seconds."""
    critical_paths_s = [step.estimate_ms / 1000 for step in steps]
    for number in reversed(range(len(steps))):
        for earlier in steps[number].depends_on:
            own_s = steps[earlier].estimate_ms / 1000
            critical_paths_s[earlier] = max(
                critical_paths_s[earlier], own_s + critical_paths_s[number]
            )
    return critical_paths_s


def describe_state(state: attempts.JobState) -> str:
    """Returns the state for callers; an end is shown only once it is stored."""
    if state.stored_ended:
        return state.stored_ended
    return "running" if state.started else "queued"
