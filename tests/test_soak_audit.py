"""The auditor of a soak, on observations that are written by hand."""

import dataclasses

import pytest

from standins import soak_audit
from standins import soak_observations as observations_module

SEEN = observations_module
CPU = 500
FINITE, LASTING, CANCELLED = "a" * 16, "b" * 16, "c" * 16
P1, P2 = "entry-1", "entry-2"
R1, R2 = "i-1", "i-2"


def make_run(
    at, runner, job, attempt=1, until=None, how="done", noted=None, life=1
):
    task = f"{job}.0.0.0"
    events = [SEEN.RunnerEvent(at, runner, "start", task, attempt)]
    if until is not None:
        events.append(
            SEEN.RunnerEvent(until, runner, "end", task, attempt, how)
        )
    if noted is not None:
        events.append(
            SEEN.RunnerEvent(noted, runner, "noted", task, attempt, how)
        )
    for event in events:
        event.life = life
    return events


def answer(kind, what, at, status=200, state="", process=P1, **fields):
    exchange = SEEN.Exchange(
        process, 1, kind, what, at, at + 0.05, status, state=state
    )
    return dataclasses.replace(exchange, **fields)


def make_sound():
    """Makes a session of 60 s in which no rule is broken."""
    return SEEN.Observations(
        jobs=[
            SEEN.Job(FINITE, 1, CPU),
            SEEN.Job(LASTING, 1, CPU, lasts=True),
            SEEN.Job(CANCELLED, 1, CPU, lasts=True),
        ],
        exchanges=[
            answer("submit", FINITE, 1.0),
            answer("submit", LASTING, 1.0),
            answer("submit", CANCELLED, 1.0),
            answer("state", FINITE, 3.0, state="completed"),
            answer("cancel", CANCELLED, 5.0),
            answer("probe", "1", 4.0, soak_audit.KNOWN),
            answer("probe", "3", 13.0, soak_audit.KNOWN),
            answer("probe", "1", 13.0, soak_audit.UNKNOWN),
            answer("state", LASTING, 50.0, state="running"),
            answer("state", CANCELLED, 50.0, state="cancelled"),
        ],
        configurations=[
            SEEN.Configuration(1, 0.0, 0.0),
            SEEN.Configuration(3, 10.0, 10.0),
        ],
        runner_events=sorted(
            [
                SEEN.RunnerEvent(0.0, R1, "ready", cpu=16_000),
                SEEN.RunnerEvent(0.0, R2, "ready", cpu=16_000),
                *make_run(1.2, R1, FINITE, until=2.0, noted=2.1),
                *make_run(1.2, R2, LASTING),
                *make_run(1.2, R2, CANCELLED, until=5.5, how="stopped"),
            ],
            key=lambda event: event.at,
        ),
        process_events=[
            SEEN.ProcessEvent(0.0, P1, 1, "started"),
            SEEN.ProcessEvent(0.0, P2, 1, "started"),
            SEEN.ProcessEvent(59.0, P1, 1, "SIGTERM"),
            SEEN.ProcessEvent(59.5, P1, 1, "exited", 0),
        ],
        samples=[
            SEEN.Sample(float(at), P1, 1, 60_000_000, 40) for at in range(60)
        ],
        disturbances=[SEEN.Disturbance("end", P1, 59.0, 60.0, planned=True)],
        calm_from=40.0,
        ended=60.0,
    )


def add_events(seen, *events):
    seen.runner_events = sorted(
        [*seen.runner_events, *events], key=lambda event: event.at
    )


def disturb(seen, began, ended, target=P1, planned=False, kind="pause"):
    seen.disturbances.append(
        SEEN.Disturbance(kind, target, began, ended, planned)
    )


def list_rules(seen):
    return [finding.rule for finding in soak_audit.find_faults(seen)]


def forget_run(seen):
    seen.runner_events = [e for e in seen.runner_events if FINITE not in e.task]


def note_end_at(seen, at):
    forget_run(seen)
    add_events(seen, *make_run(1.2, R1, FINITE, until=2.0, noted=at))


def lose_at_end(seen):
    seen.exchanges = [
        e for e in seen.exchanges if (e.what, e.kind) != (FINITE, "state")
    ]


def lose_lasting_at_end(seen):
    seen.exchanges = [
        e for e in seen.exchanges if (e.what, e.kind) != (LASTING, "state")
    ]


def leave_running(seen):
    lose_at_end(seen)
    seen.exchanges.append(answer("state", FINITE, 50.0, state="running"))


def forget_between(seen):
    seen.exchanges.insert(5, answer("state", LASTING, 9.0, 410))


def fail_without_cause(seen):
    lose_at_end(seen)
    seen.exchanges.append(answer("state", FINITE, 50.0, state="failed"))


def show_cancelled(seen):
    seen.exchanges.append(answer("state", LASTING, 50.0, state="cancelled"))


def run_beside(seen):
    add_events(seen, *make_run(1.5, R2, FINITE, 2, until=1.9, how="stopped"))


def run_after_done(seen):
    add_events(seen, *make_run(8.0, R2, FINITE, 2, until=8.9))


def run_after_done_and_a_later_lapse(seen):
    add_events(seen, SEEN.RunnerEvent(3.0, R1, "lapsed"))
    run_after_done(seen)


def run_before_the_end_is_noted(seen):
    # The end is taken note of later, in the life in which it ended.
    note_end_at(seen, 3.0)
    add_events(seen, *make_run(2.5, R2, FINITE, 2, until=2.8))


def run_after_an_end_of_a_later_life(seen):
    forget_run(seen)
    add_events(
        seen,
        SEEN.RunnerEvent(1.1, R1, "gone"),
        SEEN.RunnerEvent(1.15, R1, "ready", cpu=16_000, life=2),
        *make_run(1.2, R1, FINITE, until=2.0, noted=2.1, life=2),
    )
    run_after_done(seen)


def end_by_hangup(seen):
    seen.process_events += [
        SEEN.ProcessEvent(30.0, P2, 1, "SIGHUP"),
        SEEN.ProcessEvent(30.1, P2, 1, "exited", -1),
    ]


def end_by_itself_at_the_start(seen):
    seen.process_events += [
        SEEN.ProcessEvent(30.0, P2, 2, "started"),
        SEEN.ProcessEvent(30.5, P2, 2, "exited", 1),
    ]


def cut(seen):
    seen.exchanges.append(
        answer("state", LASTING, 59.1, 0, cut=True, ended=59.5)
    )


def start_cancelled(seen):
    add_events(seen, *make_run(8.2, R1, CANCELLED, 2, 8.3, "stopped"))


def start_on_a_held_path(seen, ordered, held, runner=R1, kind="held"):
    """Starts a task 4.15 s after the cancel of its job was answered."""
    task = f"{CANCELLED}.0.0.0"
    add_events(
        seen,
        SEEN.RunnerEvent(ordered, R1, "ordered", task, 2),
        *make_run(9.2, R1, CANCELLED, 2, 9.3, "stopped"),
    )
    disturb(seen, *held, runner, kind=kind)


def order_after_the_cancel(seen):
    start_on_a_held_path(seen, 5.06, (4.0, 9.2))


def start_long_after_the_path_was_held(seen):
    start_on_a_held_path(seen, 5.0, (4.0, 6.1))


def start_while_another_path_is_held(seen):
    start_on_a_held_path(seen, 5.0, (4.0, 9.2), R2)


def start_while_the_path_is_silent(seen):
    start_on_a_held_path(seen, 5.0, (4.0, 9.2), kind="silent")


def keep_cancelled(seen):
    seen.runner_events = [
        e for e in seen.runner_events if (e.kind, e.how) != ("end", "stopped")
    ]


def end_lasting(seen):
    add_events(
        seen,
        SEEN.RunnerEvent(20.0, R2, "end", f"{LASTING}.0.0.0", 1, "failed"),
    )


def restart_lasting_late(seen):
    end_lasting(seen)
    add_events(seen, *make_run(29.5, R1, LASTING, 2))


def never_start_lasting(seen):
    seen.runner_events = [
        e for e in seen.runner_events if LASTING not in e.task
    ]


def apply_late(seen):
    seen.exchanges.append(answer("probe", "3", 12.1, 404, process=P2))


def drop_late(seen):
    seen.exchanges.append(answer("probe", "1", 12.1, 400, process=P2))


def go_back(seen):
    seen.configurations.append(SEEN.Configuration(7, 13.0, 13.0))
    seen.exchanges += [
        answer("probe", "7", 13.1, 400, process=P2),
        answer("probe", "3", 14.0, 400, process=P2),
    ]


def forget_version(seen):
    seen.configurations.append(SEEN.Configuration(7, 13.0, 13.0))
    seen.exchanges += [
        answer("probe", "7", 13.1, 400, process=P2),
        answer("probe", "7", 14.0, 404, process=P2),
    ]


def end_by_itself(seen):
    seen.process_events.append(SEEN.ProcessEvent(30.0, P2, 1, "exited", 0))


def end_drain_badly(seen):
    seen.process_events[-1].status = 1


def grow_memory(seen):
    for sample in seen.samples:
        sample.memory_bytes += int(sample.at) * 2_000_000


def use_much_memory(seen):
    seen.samples[3].memory_bytes = 301_000_000


def grow_descriptors(seen):
    for sample in seen.samples:
        sample.descriptors += 3 * int(sample.at)


def use_many_descriptors(seen):
    seen.samples[3].descriptors = 4_101


@pytest.mark.parametrize(
    ("change", "rule"),
    [
        (lose_at_end, "lost"),
        (lose_lasting_at_end, "lost"),
        (leave_running, "lost"),
        (forget_between, "lost"),
        (fail_without_cause, "lost"),
        (show_cancelled, "lost"),
        (run_beside, "twice"),
        (run_after_done, "twice"),
        (run_after_done_and_a_later_lapse, "twice"),
        (run_before_the_end_is_noted, "twice"),
        (run_after_an_end_of_a_later_life, "twice"),
        (cut, "cut"),
        (start_cancelled, "cancelled"),
        (order_after_the_cancel, "cancelled"),
        (start_long_after_the_path_was_held, "cancelled"),
        (start_while_another_path_is_held, "cancelled"),
        (start_while_the_path_is_silent, "cancelled"),
        (keep_cancelled, "cancelled"),
        (end_lasting, "waits"),
        (restart_lasting_late, "waits"),
        (never_start_lasting, "waits"),
        (apply_late, "configuration"),
        (drop_late, "configuration"),
        (go_back, "configuration"),
        (forget_version, "configuration"),
        (end_by_itself, "ended"),
        (end_by_itself_at_the_start, "ended"),
        (end_by_hangup, "ended"),
        (end_drain_badly, "ended"),
        (grow_memory, "growth"),
        (use_much_memory, "growth"),
        (grow_descriptors, "growth"),
        (use_many_descriptors, "growth"),
    ],
)
def test_broken_rule_is_reported(change, rule):
    # Guards against an auditor that does not see that a rule is broken.
    seen = make_sound()
    change(seen)
    rules = list_rules(seen)
    # A job that fails without cause is reported each time it is shown.
    assert set(rules) == {rule}


def crash_twice(seen):
    lose_at_end(seen)
    seen.runner_events = [e for e in seen.runner_events if FINITE not in e.task]
    add_events(
        seen,
        *make_run(1.2, R1, FINITE),
        SEEN.RunnerEvent(1.4, R1, "gone"),
        SEEN.RunnerEvent(1.6, R1, "ready", cpu=16_000),
        *make_run(1.7, R1, FINITE, 2),
        SEEN.RunnerEvent(1.8, R1, "gone"),
    )
    seen.exchanges.append(answer("state", FINITE, 50.0, state="failed"))


def crash_lasting_twice(seen):
    never_start_lasting(seen)
    lose_lasting_at_end(seen)
    add_events(
        seen,
        *make_run(1.2, R1, LASTING),
        SEEN.RunnerEvent(2.4, R1, "gone"),
        SEEN.RunnerEvent(2.6, R1, "ready", cpu=16_000, life=2),
        *make_run(2.7, R1, LASTING, 2, life=2),
        SEEN.RunnerEvent(2.8, R1, "gone"),
        SEEN.RunnerEvent(2.9, R1, "ready", cpu=16_000, life=3),
    )
    # Nobody asks again for a job that is known to have ended.
    seen.exchanges.append(answer("state", LASTING, 9.0, state="failed"))


def run_after_a_crash(seen):
    seen.runner_events = [
        e for e in seen.runner_events if e.task[:16] != FINITE
    ]
    add_events(
        seen,
        *make_run(1.2, R1, FINITE),
        SEEN.RunnerEvent(1.4, R1, "gone"),
        *make_run(1.5, R2, FINITE, 2, until=2.0, noted=2.1),
    )


def run_again_before_the_end_is_noted(seen):
    seen.runner_events = [e for e in seen.runner_events if e.kind != "noted"]
    run_after_done(seen)


def run_again_after_the_lease_was_over(seen):
    add_events(seen, SEEN.RunnerEvent(2.05, R1, "lapsed"))
    run_after_done(seen)


def start_cancelled_by_a_late_order(seen):
    started, ended = make_run(8.2, R1, CANCELLED, 2, 8.3, "stopped")
    add_events(seen, dataclasses.replace(started, late=True), ended)


def run_again_before_the_end_is_noted_after_the_lease(seen):
    note_end_at(seen, 3.0)
    add_events(
        seen,
        SEEN.RunnerEvent(2.4, R1, "lapsed"),
        *make_run(2.5, R2, FINITE, 2, until=2.8, noted=2.9),
    )


def run_again_after_the_end_was_gone_with_the_life(seen):
    forget_run(seen)
    add_events(
        seen,
        *make_run(1.2, R1, FINITE, until=2.0),
        SEEN.RunnerEvent(2.1, R1, "gone"),
        SEEN.RunnerEvent(2.2, R1, "ready", cpu=16_000, life=2),
        *make_run(2.3, R1, FINITE, 2, until=2.8, noted=2.9, life=2),
    )


def end_at_the_start_by_a_signal(seen):
    seen.process_events += [
        SEEN.ProcessEvent(30.0, P2, 2, "started"),
        SEEN.ProcessEvent(30.4, P2, 2, "SIGHUP"),
        SEEN.ProcessEvent(30.5, P2, 2, "exited", -1),
    ]


def cut_after_a_pause(seen):
    cut(seen)
    disturb(seen, 57.0, 57.5)


def cut_before_it_was_read(seen):
    seen.exchanges.append(
        answer("state", LASTING, 59.1, 0, cut=True, ended=59.25)
    )


def start_within_the_bound(seen):
    add_events(seen, *make_run(7.9, R1, CANCELLED, 2, 8.0, "stopped"))


def start_by_an_order_that_was_held_up(seen):
    start_on_a_held_path(seen, 5.0, (4.0, 9.2))


def restart_lasting_in_time(seen):
    end_lasting(seen)
    add_events(seen, *make_run(28.9, R1, LASTING, 2))


def restart_lasting_after_a_disturbance(seen):
    restart_lasting_late(seen)
    disturb(seen, 23.0, 24.0, R2)


def wait_without_room(seen):
    restart_lasting_late(seen)
    for runner in (R1, R2):
        add_events(seen, SEEN.RunnerEvent(19.0, runner, "draining"))


def apply_in_time(seen):
    seen.exchanges.append(answer("probe", "3", 11.9, 404, process=P2))


def apply_late_while_paused(seen):
    apply_late(seen)
    disturb(seen, 10.0, 11.0, P2)


def apply_late_during_an_outage(seen):
    apply_late(seen)
    disturb(seen, 10.0, 11.0, SEEN.EVERYTHING)


def answer_by_an_older_version_at_once(seen):
    seen.configurations.append(SEEN.Configuration(7, 13.0, 13.0))
    seen.exchanges += [
        answer("probe", "7", 13.1, 400, process=P2),
        answer("probe", "3", 13.2, 400, process=P2),
    ]


def start_anew_with_an_older_version(seen):
    go_back(seen)
    seen.exchanges[-1].life = 2


def end_by_kill(seen):
    seen.process_events += [
        SEEN.ProcessEvent(30.0, P2, 1, "SIGKILL"),
        SEEN.ProcessEvent(30.1, P2, 1, "exited", -9),
    ]


def become_the_owner_of_many(seen):
    seen.process_events += [
        SEEN.ProcessEvent(0.0, f"entry-{number}", 1, "started")
        for number in range(3, 25)
    ]
    for sample in seen.samples[30:]:
        sample.descriptors = 40 + 2 * 24 + 24


def grow_at_the_start(seen):
    for sample in seen.samples[:10]:
        sample.memory_bytes = 30_000_000 + int(sample.at) * 3_000_000


@pytest.mark.parametrize(
    "change",
    [
        lambda seen: None,
        crash_twice,
        crash_lasting_twice,
        run_after_a_crash,
        run_again_before_the_end_is_noted,
        run_again_after_the_lease_was_over,
        start_cancelled_by_a_late_order,
        run_again_before_the_end_is_noted_after_the_lease,
        run_again_after_the_end_was_gone_with_the_life,
        cut_after_a_pause,
        cut_before_it_was_read,
        start_within_the_bound,
        start_by_an_order_that_was_held_up,
        restart_lasting_in_time,
        restart_lasting_after_a_disturbance,
        wait_without_room,
        apply_in_time,
        apply_late_while_paused,
        apply_late_during_an_outage,
        answer_by_an_older_version_at_once,
        start_anew_with_an_older_version,
        end_by_kill,
        end_at_the_start_by_a_signal,
        become_the_owner_of_many,
        grow_at_the_start,
    ],
)
def test_allowed_course_is_not_reported(change):
    # Guards against an auditor whose findings have to be sorted by hand.
    seen = make_sound()
    change(seen)
    assert soak_audit.find_faults(seen) == []


def test_finding_tells_which_life_has_listed_an_end_and_which_call_took_it():
    # Guards against a finding whose cause cannot be told from another one's.
    seen = make_sound()
    end = next(e for e in seen.runner_events if e.kind == "noted")
    end.token = 7
    add_events(seen, dataclasses.replace(end, kind="listed", at=2.05))
    run_after_done(seen)
    (finding,) = soak_audit.find_faults(seen)
    assert finding.text == (
        f"{FINITE}.0.0.0: 2 at {R2} after 1 done at {R1}, life 1, listed"
        " 0.05 s later, acknowledged 0.10 s later by token 7"
    )


def test_findings_are_counted_by_rule():
    # Guards against a report that leaves out a rule that was not broken.
    seen = make_sound()
    end_by_itself(seen)
    counts = soak_audit.count_findings(soak_audit.find_faults(seen))
    assert counts == {rule: int(rule == "ended") for rule in soak_audit.RULES}


def test_auditor_shares_no_code_with_the_scheduler():
    # Guards against a mistake of the scheduler that its auditor repeats.
    for module in (soak_audit, observations_module):
        with open(module.__file__) as file:
            assert "plantainvane" not in file.read()
