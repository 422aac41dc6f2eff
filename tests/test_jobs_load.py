"""Load of a process: lag of the loop, scheduling passes, the owner's work."""

import anyio
import eliot
import prometheus_client
import pytest

from plantainvane.jobs import load as load_module
from plantainvane.jobs import metrics
from tests import test_jobs_decisions as decisions


@pytest.fixture
def lines():
    """Collects the log lines of the test."""
    written = []
    eliot.add_destinations(written.append)
    written.clear()  # eliot passes earlier messages to the first destination.
    yield written
    eliot.remove_destination(written.append)


def find_lines(lines, name):
    return [line for line in lines if line["message_type"].endswith(name)]


def test_a_lag_is_seen_before_the_late_probe_runs():
    # Guards against decisions after a blocked loop that take it for idle, as
    # the probe itself is late.
    load = load_module.Load(probe_due_at=10.0)
    assert load.measure_lag(9.95) == 0.0
    assert load.measure_lag(25.0) == 15.0
    assert load.record_lag(25.0)
    assert load.lag_s == 15.0


def test_late_probes_are_logged_once_a_second_at_most():
    # Guards against a log that grows with the load that it reports.
    load = load_module.Load()
    logged = []
    for now in (1.0, 1.5, 1.9, 2.0, 2.5, 3.1):
        load.probe_due_at = now - 0.3
        if load.record_lag(now):
            logged.append(now)
    assert logged == [1.0, 2.0, 3.1]
    load.probe_due_at = 4.95
    assert not load.record_lag(5.0)


def test_a_blocked_loop_is_logged_with_its_lag_and_processor_time(
    lines, monkeypatch
):
    # Guards against an owner that blocks for seconds without a line, as in
    # issue 18.
    ticks = iter([0.0, 15.1, 15.1])
    cpu = iter([2.0, 16.5, 16.5])
    probes = iter([None])

    async def end_probe(delay_s):
        assert delay_s == pytest.approx(0.1)
        if next(probes, TimeoutError) is TimeoutError:
            raise TimeoutError

    monkeypatch.setattr(load_module.clock, "read_now", lambda: next(ticks))
    monkeypatch.setattr(load_module.time, "process_time", lambda: next(cpu))
    monkeypatch.setattr(load_module.anyio, "sleep", end_probe)
    with pytest.raises(TimeoutError):
        anyio.run(load_module.watch_loop, load_module.Load(), lambda: 7)
    (line,) = find_lines(lines, "loop_late")
    assert line["lag_s"] == 15.0
    assert line["cpu_s"] == 14.5
    assert line["is_owner"] and line["epoch"] == 7


def test_slow_passes_are_logged_and_all_are_counted(lines):
    # Guards against passes of many seconds that leave no trace.
    load = load_module.Load()
    read = prometheus_client.REGISTRY.get_sample_value
    name = "plantainvane_scheduling_pass_seconds_count"
    before = read(name)
    placed = read("plantainvane_tasks_placed_total")
    for took_s, now in ((0.02, 1.0), (15.0, 16.0), (0.5, 16.6), (0.5, 17.1)):
        load_module.record_pass(load, 7, took_s, 9000, 40, 3, 246, now)
    assert read(name) - before == 4
    assert read("plantainvane_tasks_placed_total") - placed == 12
    assert (load.passes, load.longest_pass_s) == (4, 15.0)
    slow = find_lines(lines, "pass_slow")
    assert [line["took_s"] for line in slow] == [15.0, 0.5]
    assert slow[0]["ready"] == 9000
    assert slow[0]["waiting_steps"] == 40
    assert slow[0]["placed"] == 3
    assert slow[0]["runners"] == 246


def make_leased_runner(runner_id, lease_until_ms):
    """Makes a runner whose clock was 1000 ms at 1.0 s, with an attempt."""
    runner = decisions.make_runner(runner_id)
    table = decisions.table_module.JobTable()
    decisions.place_runs(runner, table, decisions.make_step())
    runner.clock_ms, runner.clock_read_at = 1000, 1.0
    runner.lease_until_ms = lease_until_ms
    return runner


def test_least_lease_is_on_the_runners_clock_and_of_held_attempts():
    # Guards against leases that lapse unannounced, and against idle runners
    # whose old leases would hide them.
    held = [make_leased_runner("a", 6000), make_leased_runner("b", 5000)]
    idle = decisions.make_runner("c")
    idle.lease_until_ms = 1500
    found = load_module.find_least_lease([*held, idle], 3.0)
    assert found == (pytest.approx(2.0), "b")
    assert load_module.find_least_lease(held, 9.0)[0] == pytest.approx(-4.0)
    assert load_module.find_least_lease([idle], 3.0) is None


def make_ready_tasks(count, **fields):
    table = decisions.table_module.JobTable()
    decisions.add_job(table, decisions.make_step(count=count, **fields))
    return table.ready


def test_summary_names_a_silent_runner_and_a_waiting_service(lines):
    # Guards against a log that counts silent runners and ready tasks, but does
    # not tell a cut of a second from a runner that is never heard again.
    load = load_module.Load(summarized_at=1.0)
    runners = {
        name: decisions.make_runner(name, silent=True, silent_since=since)
        for name, since in (("a", 5.0), ("b", 2.0))
    }
    runners["c"] = decisions.make_runner("c")
    ready = make_ready_tasks(2, long_running=True)
    ready["j.0.0.1"].ready_since = 4.0
    load_module.summarize_owner(load, 7, runners, ready, 0.02, 9.0)
    load_module.summarize_owner(load, 7, {}, make_ready_tasks(1), 0.02, 10.0)
    first, second = find_lines(lines, "owner_load")
    assert (first["longest_silence_s"], first["silent_runner"]) == (7.0, "b")
    assert (first["longest_wait_s"], first["waiting_task"]) == (9.0, "j.0.0.0")
    assert second["longest_silence_s"] is None
    assert second["longest_wait_s"] is None


def test_summary_gives_rates_and_maxima_since_the_last_one(lines):
    # Guards against an owner that falls behind while its log says nothing of
    # polls, passes, lag or leases.
    load = load_module.Load()
    runners = {"a": make_leased_runner("a", 6000)}
    load_module.summarize_owner(load, 7, runners, {}, 0.02, 1.0)
    assert find_lines(lines, "owner_load") == []
    metrics.RUNNER_POLLS.labels("done").inc(30)
    metrics.STARTS.labels("done").inc(8)
    load_module.record_pass(load, 7, 1.5, 10, 1, 0, 1, 2.0)
    load.max_lag_s = 1.6
    ready = make_ready_tasks(500)
    load_module.summarize_owner(load, 7, runners, ready, 0.02, 3.0)
    load_module.summarize_owner(load, 7, runners, ready, 0.02, 4.0)
    first, second = find_lines(lines, "owner_load")
    assert (first["polls_per_s"], first["starts_per_s"]) == (15.0, 4.0)
    assert (first["passes"], first["longest_pass_ms"]) == (1, 1500)
    assert first["lag_ms"] == 1600
    assert (first["ready"], first["running"], first["runners"]) == (500, 1, 1)
    assert first["least_lease_s"] == 3.0
    assert first["least_lease_runner"] == "a"
    assert first["append_ms"] == 20
    assert (second["passes"], second["lag_ms"]) == (0, 0)
    assert second["polls_per_s"] == 0.0


@pytest.mark.parametrize(("now", "late"), [(10.05, False), (10.5, True)])
def test_process_is_late_before_its_late_probe_has_resumed(now, late):
    # Guards against a decision that is made first after a delay and takes the
    # process for one that is on time.
    load = load_module.Load(probe_due_at=10.0)
    assert load.is_late(now) is late
