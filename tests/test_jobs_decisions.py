"""Decisions of the job scheduler; the present time is an argument."""

import pytest

from plantainvane.jobs import attempts
from plantainvane.jobs import interference
from plantainvane.jobs import model
from plantainvane.jobs import ownership
from plantainvane.jobs import pacing
from plantainvane.jobs import placement
from plantainvane.jobs import preemption
from plantainvane.jobs import progress as progress_module
from plantainvane.jobs import runners as runners_module
from plantainvane.jobs import serving_loads
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import table as table_module

QUEUE = model.Queue("q", "h", "/q/", "s", 2, 2, 2.0, 1.0)
SETTINGS = settings_module.Settings(
    id="entry-1",
    domain="east",
    callers_address="127.0.0.1:1",
    health_address="127.0.0.1:2",
    peer_address="127.0.0.1:3",
    metrics_address="127.0.0.1:5",
    store_address="127.0.0.1:4",
)


def make_step(**fields):
    amounts = model.Amounts(
        fields.pop("cpu", 1000), fields.pop("memory_mb", 1000)
    )
    fields.setdefault("count", 1)
    fields.setdefault("estimate_ms", 1000)
    return model.Step(amounts=amounts, **fields)


def add_job(table, *steps, job_id="j", progress=None, queue=QUEUE, **fields):
    job = model.Job(
        id=job_id,
        queue="q",
        service="s",
        accepted_ms=0,
        spec="",
        steps=steps,
        **fields,
    )
    return table.add_job(job, queue, progress, now=0.0, wall_ms=0)


def start_all(table, now=0.0, runner="r"):
    runs = [table.begin_run(t, runner, now) for t in list(table.ready.values())]
    for run in runs:
        run.phase = attempts.Phase.RUNNING
    return runs


def make_runner(runner_id="r", cpu=16_000, memory_mb=64_000, **fields):
    entry = model.RunnerEntry(
        runner_id,
        1,
        "s",
        "127.0.0.1:9",
        "east",
        fields.pop("draining", False),
        model.Amounts(cpu, memory_mb),
        ("a", fields.pop("rack", "r1")),
        0,
    )
    runner = runners_module.Runner(
        entry, None, entry.labels[-1], heard=True, fenced=True
    )
    for name, value in fields.items():
        setattr(runner, name, value)
    return runner


def place_runs(runner, table, *steps, job_id="other", queue=QUEUE):
    state = add_job(table, *steps, job_id=job_id, queue=queue)
    runs = []
    for step_state in state.steps.values():
        for task in step_state.tasks:
            run = table.begin_run(task, runner.entry.id, 0.0)
            run.phase, run.progress_percent = attempts.Phase.RUNNING, 100.0
            runner.charge(run)
            runs.append(run)
    return runs


def test_step_waits_for_all_tasks_of_the_steps_before():
    # Guards against a step that starts while a task that it depends on runs.
    table = table_module.JobTable()
    add_job(table, make_step(count=2), make_step(depends_on=(0,)))
    first, second = start_all(table)
    table.end_run(first, "done", "", 1.0, 1)
    assert not table.ready
    table.end_run(second, "done", "", 1.0, 1)
    assert list(table.ready) == ["j.0.1.0"]


def test_only_failures_count_against_max_failures():
    # Guards against a job that fails because attempts lost their lease or were
    # stopped, rather than because the task failed.
    table = table_module.JobTable()
    state = add_job(table, make_step())
    for outcome in ("lapsed", "stopped", "failed", "broken"):
        (run,) = start_all(table)
        table.end_run(run, outcome, "", 1.0, 1)
    assert (state.ended, table.tasks["j.0.0.0"].attempt) == ("", 4)
    (run,) = start_all(table)
    table.end_run(run, "failed", "", 1.0, 1)
    assert state.ended == "failed"


def test_long_running_task_is_restarted_however_it_ends():
    # Guards against a service that stays down after its task failed or ended
    # by itself.
    table = table_module.JobTable()
    state = add_job(table, make_step(long_running=True))
    for outcome in ("failed", "failed", "failed", "done", "lapsed"):
        (run,) = start_all(table)
        table.end_run(run, outcome, "", 1.0, 1)
    assert state.ended == "" and list(table.ready) == ["j.0.0.0"]


def test_end_is_shown_only_after_it_is_stored():
    # Guards against a job that is shown as completed before its end is stored,
    # and that runs again after its owner is lost.
    table = table_module.JobTable()
    state = add_job(table, make_step())
    (run,) = start_all(table)
    table.end_run(run, "done", "", 1.0, 1)
    assert table_module.describe_state(state) == "running"
    state.stored_ended = state.ended
    assert table_module.describe_state(state) == "completed"


def test_stored_progress_restores_the_table():
    # Guards against a successor that repeats tasks that are done, forgets
    # attempts that may be running, or reuses an attempt number.
    table = table_module.JobTable()
    state = add_job(
        table,
        make_step(count=3, checkpointing=True),
        make_step(depends_on=(0,)),
    )
    first, second, third = start_all(table)
    table.end_run(first, "done", "", 1.0, 1)
    table.end_run(second, "stopped", "saved-2", 1.0, 1)
    progress = progress_module.build_progress(state, 0)
    successor = table_module.JobTable()
    loaded = add_job(
        successor,
        make_step(count=3, checkpointing=True),
        make_step(depends_on=(0,)),
        progress=progress,
    )
    assert list(successor.ready) == [second.task.name]
    waiting = successor.ready[second.task.name]
    assert (waiting.attempt, waiting.checkpoint) == (1, "saved-2")
    running = successor.find_run(third.task.name, 1)
    assert (running.runner, running.ordered_at) == ("r", 0)
    assert loaded.started


def cancel_job(table, state):
    """Cancels a job and stores its end."""
    table.cancel_job(state, 1)
    table.confirm_end(state)


def test_members_of_a_gang_end_together():
    # Guards against gang members that run again after another one is done.
    table = table_module.JobTable()
    state = add_job(table, make_step(count=3, gang=True))
    runs = start_all(table)
    table.end_run(runs[0], "done", "", 1.0, 1)
    assert state.ended == "completed"
    assert set(table.runs_to_stop) >= set(runs[1:])


def test_occurrence_starts_at_its_time():
    # Guards against an occurrence of a timed job that runs early.
    table = table_module.JobTable()
    state = add_job(
        table,
        make_step(),
        repeat_count=3,
        start_at_ms=2000,
        interval_ms=500,
    )
    due_times = [step_state.due_at for step_state in state.steps.values()]
    assert due_times == [2.0, 2.5, 3.0]


def test_cancelled_job_stops_its_attempts_and_has_no_ready_task():
    # Guards against tasks of a cancelled job that are started again.
    table = table_module.JobTable()
    state = add_job(table, make_step(count=2))
    runs = start_all(table)
    table.cancel_job(state, 5)
    assert not table.ready and not table.tasks
    assert table.runs_to_stop == []
    table.confirm_end(state)
    assert state.stored_ended == "cancelled"
    table.end_run(runs[0], "stopped", "", 1.0, 1)
    assert table.runs_to_stop == runs
    assert not table.ready and not table.tasks


def test_unknown_effects_count_as_none_and_interference_is_learned():
    # Guards against fill tasks that are slowed beside images that they do not
    # disturb, and against a pair that does interfere but is not detected
    # within a few seconds.
    interference_model = interference.InterferenceModel()
    table = table_module.JobTable()
    runner = make_runner()
    serving, *fills = place_runs(
        runner,
        table,
        make_step(long_running=True, image="web", target_ms=18),
        make_step(fills=True, image="calm"),
        make_step(fills=True, image="noisy"),
    )
    assert interference_model.find_effect("web", "noisy", 0.0) == 0
    for second in range(24):
        now = second / 2
        calm, noisy = second % 3 > 0, second % 2 > 0
        fills[0].measurement = 2000 * calm
        fills[1].measurement = 2000 * noisy
        # Remaining capacity: 0.6, less 0.13 for each core of the noisy image.
        serving.measurement = 4 / (0.6 - 0.26 * noisy)
        interference_model.learn(runner, now)
    assert interference_model.find_effect("web", "calm", now) == 0
    assert interference_model.find_effect("web", "noisy", now) == pytest.approx(
        0.13 / 0.6 * 0.6, abs=0.12
    )
    assert interference_model.find_effect("web", "noisy", now) > 0.05


def test_effect_that_is_no_longer_observed_decays():
    # Guards against an image pair that is avoided for ever because of one wrong
    # estimate.
    interference_model = interference.InterferenceModel()
    interference_model.effects["web", "x"] = interference.Effect(
        0.2, 0.001, updated_at=1.0
    )
    assert interference_model.find_effect("web", "x", 2.0) == pytest.approx(0.2)
    assert interference_model.find_effect("web", "x", 120.0) == 0


def test_successor_knows_what_was_learned():
    # Guards against services that are disturbed again after each takeover,
    # until the successor has learned the same effects.
    interference_model = interference.InterferenceModel()
    interference_model.effects["web", "noisy"] = interference.Effect(
        0.2, 0.001, 9.0
    )
    interference_model.effects["web", "new"] = interference.Effect(
        0.01, 0.006, 9.0
    )
    successor = interference.InterferenceModel()
    successor.import_effects(interference_model.export_effects(10.0), 50.0)
    assert successor.find_effect("web", "noisy", 51.0) == pytest.approx(0.2)
    assert successor.is_known("web", "noisy")
    assert not successor.is_known("web", "new")


@pytest.mark.parametrize(
    ("stored", "taken"), [(1e308, 0.5), (-1.0, 0.0), (0.3, 0.3)]
)
def test_a_stored_effect_is_taken_over_within_its_range(stored, taken):
    # Guards against a malformed record that keeps an image off every runner.
    successor = interference.InterferenceModel()
    successor.import_effects([("web", "noisy", stored)], 50.0)
    assert successor.effects["web", "noisy"].value == taken


def test_fill_goes_where_its_pairs_are_known():
    # Guards against a new fill image that is tried beside every service.
    interference_model = interference.InterferenceModel()
    interference_model.effects["web", "x"] = interference.Effect(
        0.0, 0.0001, 9.0
    )
    table = table_module.JobTable()
    known, unknown = make_runner("known"), make_runner("unknown")
    step = make_step(long_running=True, target_ms=18, image="web")
    place_runs(known, table, step, job_id="a")
    step = make_step(long_running=True, target_ms=18, image="api")
    place_runs(unknown, table, step, job_id="b")
    state = add_job(table, make_step(fills=True, image="x"), job_id="c")
    task = state.steps[0, 0].tasks[0]
    candidates = [unknown, known]
    chosen = placement.choose_runner(task, candidates, interference_model, 10.0)
    assert chosen is known


def decide_paces_under_pressure(over_s):
    interference_model = interference.InterferenceModel()
    table = table_module.JobTable()
    runner = make_runner()
    serving, calm, noisy = place_runs(
        runner,
        table,
        make_step(long_running=True, image="web", target_ms=18),
        make_step(fills=True, image="calm", cpu=2000),
        make_step(fills=True, image="noisy", cpu=2000),
    )
    interference_model.floors["web"] = 0.25
    interference_model.effects["web", "noisy"] = interference.Effect(
        0.2, 0.001, 10.0
    )
    interference_model.loads[serving.task.step] = serving_loads.StepLoad(
        value=0.5, updated_at=10.0
    )
    serving.over_target_since = None if over_s is None else 10.0 - over_s
    changes = dict(pacing.decide_paces(interference_model, runner, 4.0, 10.0))
    return changes, calm, noisy


def test_only_the_fill_that_disturbs_is_slowed():
    # Guards against fill tasks that are slowed for the interference of another
    # one on the same runner.
    changes, calm, noisy = decide_paces_under_pressure(None)
    assert calm not in changes
    assert 0 < changes[noisy] < 100


def test_all_fills_halt_before_the_impact_limit():
    # Guards against a task that stays over its target for longer than
    # `max_impact_s` because the model does not explain its latency.
    changes, calm, noisy = decide_paces_under_pressure(2.7)
    assert (changes[calm], changes[noisy]) == (0, 0)


def test_slowed_fill_leaves_its_processors_to_others():
    # Guards against runners that count as full because of halted fill tasks.
    table = table_module.JobTable()
    runner = make_runner()
    (run,) = place_runs(runner, table, make_step(fills=True, cpu=4000))
    runner.change_pace(run, 0, 1.0)
    assert runner.fill_cpu == 800
    runner.charge(run, -1)
    assert (runner.fill_cpu, runner.memory_mb) == (0, 0)


def test_placement_never_exceeds_the_declared_capacity():
    # Guards against processors or memory that are allocated twice.
    table = table_module.JobTable()
    runner = make_runner(cpu=4000, memory_mb=4000)
    interference_model = interference.InterferenceModel()
    place_runs(runner, table, make_step(count=3, cpu=1000, memory_mb=900))
    state = add_job(table, make_step(cpu=1001), make_step(memory_mb=1400))
    for step_state in state.steps.values():
        assert (
            placement.choose_runner(
                step_state.tasks[0], [runner], interference_model, 1.0
            )
            is None
        )


@pytest.mark.parametrize(
    "change",
    [
        {"fenced": False},
        {"listed": False},
        {"silent": True},
        {"draining": True},
    ],
    ids=str,
)
def test_unavailable_runner_gets_no_start(change):
    # Guards against a start on a runner that an earlier owner may still
    # control, that has left or is leaving, or that does not answer.
    table = table_module.JobTable()
    state = add_job(table, make_step())
    runner = make_runner(**change)
    task = state.steps[0, 0].tasks[0]
    interference_model = interference.InterferenceModel()
    assert (
        placement.choose_runner(task, [runner], interference_model, 1.0) is None
    )


def test_required_label_and_limit_per_runner_are_respected():
    # Guards against a start on a runner without the required label, or beyond
    # the limit per runner.
    table = table_module.JobTable()
    interference_model = interference.InterferenceModel()
    step = make_step(count=2, max_per_runner=1, required_label="gpu")
    state = add_job(table, step)
    plain, labelled = make_runner("p"), make_runner("l", rack="gpu")
    first, second = state.steps[0, 0].tasks
    chosen = placement.choose_runner(
        first, [plain, labelled], interference_model, 1.0
    )
    assert chosen is labelled
    labelled.charge(table.begin_run(first, "l", 1.0))
    assert (
        placement.choose_runner(
            second, [plain, labelled], interference_model, 1.0
        )
        is None
    )


def test_urgent_task_preempts_less_urgent_ones_for_memory():
    # Guards against an urgent task that waits for less urgent ones, and against
    # preempting a task that loses its work although another one can resume
    # from a checkpoint.
    table = table_module.JobTable()
    runner = make_runner(memory_mb=4000)
    cheap, costly = place_runs(
        runner,
        table,
        make_step(fills=True, checkpointing=True, memory_mb=2000),
        make_step(fills=True, memory_mb=2000),
    )
    costly.running_since = -20.0
    urgent = model.Queue("q", "h", "/q/", "s", 0, 2, 2.0, 1.0)
    state = add_job(table, make_step(memory_mb=1500), job_id="u", queue=urgent)
    task = state.steps[0, 0].tasks[0]
    assert preemption.find_victims(task, [runner], 1.0) == [cheap]


def test_long_running_task_is_never_preempted():
    # Guards against an urgent task that interrupts a service.
    table = table_module.JobTable()
    runner = make_runner(memory_mb=4000)
    place_runs(
        runner, table, make_step(long_running=True, memory_mb=3000, count=1)
    )
    urgent = model.Queue("q", "h", "/q/", "s", 0, 2, 2.0, 1.0)
    state = add_job(table, make_step(memory_mb=1500), job_id="u", queue=urgent)
    task = state.steps[0, 0].tasks[0]
    assert preemption.find_victims(task, [runner], 1.0) == []


def test_lease_expiry_allows_for_a_slow_clock():
    # Guards against a second start while the lease has not expired yet on a
    # runner whose clock is slow.
    runner = make_runner()
    runner.record_clock(100_000, 50.0)
    runner.extend_lease(SETTINGS, 50.0)
    longest_s = SETTINGS.lease_s / 0.98
    assert runner.find_lease_expiry(SETTINGS) >= 50.0 + longest_s


def test_newest_claim_wins_and_renewals_keep_the_epoch():
    # Guards against two processes that both consider themselves the owner.
    known = ownership.Ownership()
    first = ownership.Claim("a", 1, "10.0.0.1:1")
    renewal = ownership.Claim("a", 1, "10.0.0.1:1", epoch=3)
    second = ownership.Claim("b", 2, "10.0.0.2:1")
    for offset, claim in ((3, first), (4, renewal), (5, second), (4, renewal)):
        known.apply_record(offset, ownership.encode_claim(claim), 1.0)
    assert (known.claim.holder, known.epoch) == ("b", 5)
    known.apply_record(6, b"not a claim", 1.0)
    late = ownership.Claim("a", 1, "10.0.0.1:1", epoch=3)
    known.apply_record(7, ownership.encode_claim(late), 1.0)
    assert (known.claim.holder, known.epoch) == ("b", 5)


def test_silence_alone_is_no_reason_to_claim():
    # Guards against a process that is cut off from its peers and repeatedly
    # takes over although the owner is alive.
    known = ownership.Ownership()
    claim = ownership.Claim("a", 1, "10.0.0.1:1")
    known.apply_record(3, ownership.encode_claim(claim), 10.0)
    assert ownership.find_takeover_reason(known, SETTINGS, 10.5) == ""
    assert ownership.find_takeover_reason(known, SETTINGS, 12.0) == "silent"
    renewal = ownership.Claim("a", 1, "10.0.0.1:1", epoch=3)
    known.apply_record(4, ownership.encode_claim(renewal), 11.5)
    assert not ownership.may_claim(known, "silent", 0, SETTINGS, 12.0)
    assert ownership.may_claim(known, "silent", 0, SETTINGS, 13.5)
    assert ownership.may_claim(known, "denied", 0, SETTINGS, 12.0)


def test_owner_without_the_log_is_replaced():
    # Guards against an owner that keeps the jobs although it cannot store
    # anything.
    known = ownership.Ownership()
    claim = ownership.Claim("a", 1, "10.0.0.1:1")
    known.apply_record(3, ownership.encode_claim(claim), 10.0)
    known.record_reply(True, 5.0, 10.1)
    assert ownership.find_takeover_reason(known, SETTINGS, 10.2) == "cut_off"


def test_owner_is_not_replaced_when_an_outage_of_the_whole_log_ends():
    # Guards against a takeover by a process that reaches the log again a few
    # milliseconds before the owner does.
    known = ownership.Ownership()
    claim = ownership.Claim("a", 1, "10.0.0.1:1")
    known.apply_record(3, ownership.encode_claim(claim), 10.0)
    assert not ownership.may_claim(known, "cut_off", 22.23, SETTINGS, 22.25)
    assert ownership.may_claim(known, "cut_off", 22.23, SETTINGS, 24.0)
    never = float("-inf")
    assert ownership.may_claim(known, "cut_off", never, SETTINGS, 22.25)


def test_takeover_wait_ends_before_a_long_running_task_has_to_run():
    # Guards against a successor that waits too long before it restarts a
    # long-running task of a runner that has left. The task has to run again
    # 6 s after its end, but only once 3 s and the 4 s before them were free of
    # faults.
    assert SETTINGS.suspect_after_s + SETTINGS.old_lease_limit_s <= 6 + 3 + 4
    # The wait counts from the last renewal, which is read anew soon after the
    # last answer of a lost owner.
    assert SETTINGS.reread_after_s + SETTINGS.old_lease_limit_s <= 6 + 3
    # What runs outlasts an outage of the log of the kind that the users have.
    outage_s = 4.5
    assert SETTINGS.lease_reach_s - SETTINGS.renew_s >= outage_s + 1.0


def test_pace_of_an_earlier_owner_is_ordered_again():
    # Guards against fill tasks that an earlier owner halted and that stay
    # halted, because the successor assumes that they run at full speed.
    table = table_module.JobTable()
    step = make_step(fills=True, image="calm")
    progress = model.JobProgress(
        tasks=[
            model.TaskProgress(
                0, 0, 0, 0, 1, 0, "", [model.RunProgress(1, "r")]
            )
        ]
    )
    state = add_job(table, step, progress=progress)
    (run,) = state.steps[0, 0].tasks[0].runs
    run.phase = attempts.Phase.RUNNING
    runner = make_runner()
    runner.charge(run)
    interference_model = interference.InterferenceModel()
    assert pacing.decide_paces(interference_model, runner, 4.0, 10.0) == [
        (run, 100)
    ]
    run.pace_confirmed = True
    assert pacing.decide_paces(interference_model, runner, 4.0, 10.0) == []


def test_wait_for_a_renewal_begins_when_the_owner_falls_quiet():
    # Guards against a frozen owner that is replaced only after two waits in a
    # row: for its silence, and then for an overdue renewal.
    state = ownership.Ownership()
    claim = ownership.Claim("entry-2", 1, "127.0.0.1:5")
    state.apply_record(4, ownership.encode_claim(claim), 10.0)
    state.read_at = 9.0
    state.record_reply(True, 0.0, 12.0)
    assert not ownership.needs_log_read(state, SETTINGS, 12.4)
    assert ownership.needs_log_read(state, SETTINGS, 12.9)
    state.read_at = 12.9
    assert not ownership.needs_log_read(state, SETTINGS, 13.2)
