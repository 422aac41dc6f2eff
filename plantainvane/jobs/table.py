"""In-memory table of the accepted jobs and the state of their tasks.

All changes go through the methods of `JobTable`. Each change marks the job as
changed, so that its progress is stored before anything relies on it.
"""

import dataclasses

import anyio
import msgspec

from plantainvane.jobs import attempts
from plantainvane.jobs import checks
from plantainvane.jobs import model
from plantainvane.jobs import progress as progress_module

# Longest number in the name of a task; runners may report any text as a name.
_MAX_DIGITS = 9


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
      held_tasks: Number of tasks of open jobs, done ones included.
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
    held_tasks: int = 0
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
        state.dependents = list_dependents(job.steps)
        if progress is not None and progress.ended:
            state.ended = state.stored_ended = progress.ended
            state.ended_ms = progress.ended_ms
            if not progress.tasks:
                return state
        if progress is None and not self._has_room(job):
            self.deferred[job.id] = state
        else:
            self._add_tasks(state, progress, now, wall_ms)
        return state

    def _has_room(self, job: model.Job) -> bool:
        tasks = self.held_tasks + checks.count_tasks(job)
        return not self.held_tasks or tasks <= checks.MAX_HELD_TASKS

    def add_deferred_tasks(self, now: float, wall_ms: int) -> None:
        """Adds the tasks of deferred jobs in their order, if there is room."""
        for job_id, state in list(self.deferred.items()):
            if not state.ended:
                if not self._has_room(state.job):
                    return
                self._add_tasks(state, None, now, wall_ms)
            del self.deferred[job_id]

    def _add_tasks(
        self,
        state: attempts.JobState,
        progress: model.JobProgress | None,
        now: float,
        wall_ms: int,
    ) -> None:
        self.held_tasks += checks.count_tasks(state.job)
        critical_paths_s = measure_critical_paths(state.job.steps)
        for occurrence in range(max(1, state.job.repeat_count)):
            self._add_occurrence(
                state, occurrence, critical_paths_s, now, wall_ms
            )
        if progress is not None:
            progress_module.restore_tasks(state, progress, now)
            # The next change stores all parts, also if the last release has
            # stored them as one.
            parts = range(progress_module.count_parts(state))
            state.changed_parts.update(parts)
        self._initialize_state(state, now, wall_ms)

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
        wall_ms: int,
    ) -> None:
        job = state.job
        due = now
        if job.repeat_count:
            due_ms = job.start_at_ms + occurrence * job.interval_ms
            due = now + (due_ms - wall_ms) / 1000
        position = occurrence * sum(step.count for step in job.steps)
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

    def _initialize_state(
        self, state: attempts.JobState, now: float, wall_ms: int
    ) -> None:
        """Derives counts, ready tasks and the end of a job that was loaded."""
        state.remaining_steps = 0
        for step_state in state.steps.values():
            step_state.remaining_tasks = sum(
                t.result is not attempts.Result.DONE for t in step_state.tasks
            )
            state.remaining_steps += step_state.remaining_tasks > 0
        for (occurrence, number), step_state in state.steps.items():
            if step_state.remaining_tasks == 0:
                self._release_dependents(state, occurrence, number)
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
        if task.result is not attempts.Result.OPEN or task.job.ended:
            return
        step = task.step.definition
        if outcome == "done" and not step.long_running:
            members = task.step.tasks if step.gang else [task]
            for member in members:
                self._finish_task(member, now, wall_ms)
            return
        if outcome == "failed" and not step.long_running:
            task.failures += 1
            task.avoided_runners = (*task.avoided_runners[-3:], run.runner)
            if task.failures >= task.job.max_failures:
                task.result = attempts.Result.FAILED
                self._end_job(task.job, "failed", wall_ms)
                return
        self._mark_ready(task, now)

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
        for step_state in state.steps.values():
            self.held_tasks -= len(step_state.tasks)
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
