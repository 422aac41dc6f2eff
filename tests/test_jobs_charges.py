"""Each attempt is charged to one runner, or is in doubt without one."""

import random
import types

import msgspec
import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import charges
from plantainvane.jobs import clock
from plantainvane.jobs import interfaces
from plantainvane.jobs import model
from plantainvane.jobs import orders
from plantainvane.jobs import owner as owner_module
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import recovery
from plantainvane.jobs import scheduling
from plantainvane.jobs import sessions
from tests import test_jobs_decisions as decisions
from tests import test_jobs_scheduling as passes

IDS = ("a", "b", "c")
STEPS = 150
OUTCOMES = tuple(o for o in interfaces.OrderOutcome if o is not o.FENCED)
ADAPTERS = types.SimpleNamespace(
    decode_runner=lambda key, value: value,
    connect_runner=lambda address, key: None,
)


def list_runs(owner):
    return [
        run
        for state in owner.table.jobs.values()
        for step_state in state.steps.values()
        for task in step_state.tasks
        for run in task.runs
    ]


def check_charges(owner):
    """Checks that each attempt is charged once, and nothing else is."""
    charged = [
        run
        for key, runner in owner.runners.items()
        for run in runner.runs
        if run.runner == key
    ]
    in_doubt = [
        run
        for key, runs in owner.orphans.items()
        for run in runs
        if run.runner == key and run in run.task.runs
    ]
    known = sorted(map(id, list_runs(owner)))
    assert not owner.orphans.keys() & owner.runners.keys()
    assert sorted(map(id, charged + in_doubt)) == known
    for runner in owner.runners.values():
        assert all(run.runner == runner.entry.id for run in runner.runs)
        steps = [r.task.step.definition for r in runner.runs]
        assert runner.cpu == sum(s.amounts.cpu for s in steps)
    for task in owner.table.tasks.values():
        waits = not task.runs and not task.step.pending_dependencies
        assert (task.name in owner.table.ready) is waits


class World:
    """An owner, its log, and the operations that a test applies to them."""

    def __init__(self, seed, times):
        self.random, self.times = random.Random(seed), times
        self.entries, self.jobs, self.epoch = {}, {}, 5
        self.take_over()
        for key in IDS:
            self.write_entry(key)
        self.add_job()

    def take_over(self):
        """Replaces the owner by one that loads what it has stored."""
        stored = {}
        if self.jobs:
            for job_id, state in self.owner.table.jobs.items():
                progress = progress_module.build_progress(state, 0)
                stored[job_id] = msgspec.json.encode(progress)
        self.epoch += 1
        self.owner = passes.make_owner()
        self.owner.epoch, self.owner.started_at = self.epoch, self.times[0]
        self.owner.adapters = ADAPTERS
        for job_id, progress in stored.items():
            recovery._load_progress(self.owner, job_id, progress)
        late = [j for j in self.jobs if self.random.random() < 0.2]
        for job_id in self.jobs:
            if job_id not in late:
                recovery._add_job(self.owner, job_id, self.jobs[job_id])
        for key, entry in self.entries.items():
            recovery._apply_entry(self.owner, key, entry)
        owner_module.settle_orphans(self.owner, self.times[0])
        self.late = late

    def read_late_job(self):
        if self.late:
            job_id = self.late.pop()
            recovery._add_job(self.owner, job_id, self.jobs[job_id])

    def add_job(self):
        gang = self.random.random() < 0.5
        step = decisions.make_step(
            count=self.random.randint(1, 4),
            cpu=5000,
            gang=gang,
            long_running=not gang,
        )
        job_id = f"j{len(self.jobs)}"
        job = model.Job(
            id=job_id,
            queue="q",
            service="s",
            accepted_ms=0,
            spec="",
            steps=(step,),
        )
        self.jobs[job_id] = msgspec.json.encode(job)
        recovery._add_job(self.owner, job_id, self.jobs[job_id])

    def cancel_job(self):
        state = self.random.choice([*self.owner.table.jobs.values(), None])
        if state is not None:
            self.owner.table.cancel_job(state, 1)
            owner_module._stop_ended(self.owner)

    def write_entry(self, key=None, moves=False):
        """Writes an entry of a runner that has restarted or is new."""
        key = key or self.random.choice(IDS)
        known = self.entries.get(key)
        address = f"{key}:{self.random.randint(1, 9)}" if moves else f"{key}:1"
        if known is not None and not moves:
            address = known.address
        born_ms = int(self.times[0] * 1000)
        entry = msgspec.structs.replace(
            decisions.make_runner(key).entry, address=address, born_ms=born_ms
        )
        self.entries[key] = entry
        recovery._apply_entry(self.owner, key, entry)

    def move(self):
        self.write_entry(moves=True)

    def unlist(self):
        key = self.random.choice(IDS)
        self.entries.pop(key, None)
        recovery._apply_entry(self.owner, key, None)

    def list_all_anew(self):
        recovery._remove_unlisted(self.owner, set(self.entries))

    def place(self):
        scheduling.place_ready_tasks(self.owner, self.times[0])

    def answer_start(self):
        starting = [
            run
            for run in list_runs(self.owner)
            if run.phase is attempts.Phase.STARTING and run.ordered_at
        ]
        if starting:
            run = self.random.choice(starting)
            orders._apply_start_outcome(
                self.owner,
                self.owner.runners[run.runner],
                run,
                self.random.choice(OUTCOMES),
                self.times[0],
                self.random.random() < 0.3,
            )

    def answer_stops(self):
        for run in list_runs(self.owner):
            if run.phase is attempts.Phase.STOPPING:
                run.running_since = self.times[0]

    def choose_runner(self):
        return self.random.choice([*self.owner.runners.values(), None])

    def answer_poll(self, restarts=False):
        runner = self.choose_runner()
        if runner is None:
            return
        listed, ends = [], []
        for run in runner.runs:
            choice = self.random.random()
            if choice < 0.6:
                listed.append(
                    model.RunningAttempt(run.task.name, run.attempt, "", 1, 0.0)
                )
            elif choice < 0.8:
                how = self.random.choice(("done", "failed", "stopped"))
                number = runner.last_stored_end + len(ends) + 1
                ends.append(
                    model.AttemptEnd(
                        number, run.task.name, run.attempt, how, ""
                    )
                )
        born_ms = runner.entry.born_ms
        if restarts:
            born_ms, ends = int(self.times[0] * 1000), []
        status = model.RunnerStatus(
            born_ms, int(self.times[0] * 1000), tuple(listed), tuple(ends)
        )
        sent_at = self.times[0] - self.random.choice((0.01, 1.0))
        sessions._apply_reply(
            self.owner, runner, status, sent_at, self.times[0]
        )

    def answer_poll_after_restart(self):
        self.answer_poll(restarts=True)

    def fail_poll(self):
        runner = self.choose_runner()
        if runner is not None:
            sessions._handle_silence(
                self.owner,
                runner,
                interfaces.OrderOutcome.LOST,
                self.times[0],
            )

    def remove_runner(self):
        """Ends the session of a runner that has left, as `run_session` does."""
        for key, runner in list(self.owner.runners.items()):
            if not runner.listed and not runner.runs:
                del self.owner.runners[key]

    def sweep(self):
        owner_module._expire_orphans(self.owner, self.times[0])

    def run_step(self):
        self.times[0] += self.random.choice((0.01, 0.3, 1.0, 6.0))
        operations = (
            self.take_over,
            self.read_late_job,
            self.add_job,
            self.cancel_job,
            self.write_entry,
            self.move,
            self.unlist,
            self.list_all_anew,
            self.answer_start,
            self.answer_stops,
            self.answer_poll,
            self.answer_poll_after_restart,
            self.fail_poll,
            self.remove_runner,
            self.sweep,
            *[self.place] * 3,
            *[self.answer_poll] * 3,
        )
        self.random.choice(operations)()

    def lose_all_runners(self):
        """Lets all runners leave for longer than any lease."""
        for key in list(self.owner.runners):
            recovery._apply_entry(self.owner, key, None)
        while self.late:
            self.read_late_job()
        for _ in range(3):
            self.times[0] += 20.0
            for runner in list(self.owner.runners.values()):
                sessions._handle_silence(
                    self.owner,
                    runner,
                    interfaces.OrderOutcome.LOST,
                    self.times[0],
                )
            self.sweep()


@pytest.mark.parametrize("seed", range(40))
def test_each_attempt_is_charged_once_and_ends_with_its_runner(
    seed, monkeypatch
):
    # Guards against an attempt that is charged to nobody, so that nothing ends
    # it and its task waits for ever, and against room that stays charged for an
    # attempt that has ended.
    times = [100.0]
    monkeypatch.setattr(clock, "read_now", lambda: times[0])
    world = World(seed, times)
    for _ in range(STEPS):
        world.run_step()
        check_charges(world.owner)
        assert not charges.list_uncharged(world.owner)
    world.lose_all_runners()
    check_charges(world.owner)
    assert not list_runs(world.owner)


def test_an_attempt_that_is_charged_to_nobody_is_logged(monkeypatch):
    # Guards against a task that waits for ever without a line that tells why.
    lines = []
    monkeypatch.setattr(
        charges.events,
        "log_event",
        lambda event, **fields: lines.append((event.name, fields)),
    )
    owner = passes.make_owner(decisions.make_runner("a"))
    decisions.add_job(owner.table, decisions.make_step(count=8))
    runs = decisions.start_all(owner.table, runner="a")
    owner.runners["a"].charge(runs[0])
    owner.orphans["gone"] = [runs[1]]
    charges.report_uncharged(owner)
    ((name, fields),) = lines
    assert (name, fields["count"]) == ("attempts_uncharged", 6)
    assert len(fields["tasks"]) == 5
    for run in runs:
        owner.runners["a"].charge(run)
    charges.report_uncharged(owner)
    assert len(lines) == 1
