"""Tests of the seeded runs of whole fleets under virtual time."""

import os
import subprocess
import sys

from standins import explore

_MINUTES = 0.25


def test_calm_run_completes_all_jobs():
    # Guards against a world in which the scheduler gets no work done, so that
    # its seeds show nothing.
    outcome = explore.run_seed(1, _MINUTES, lambda kind: False)
    assert not outcome.findings
    assert outcome.accepted > 30
    assert outcome.starts >= outcome.accepted


def test_seed_gives_the_same_trace_twice():
    # Guards against failing seeds that cannot be played again.
    for seed in range(1, 4):
        first = explore.run_seed(seed, _MINUTES)
        second = explore.run_seed(seed, _MINUTES)
        assert first.trace == second.trace


def test_command_gives_the_same_trace_in_each_process():
    # Guards against an order of events that follows from the hashes of texts or
    # from addresses in memory, which differ between processes.
    command = [sys.executable, "-m", "plantainvane", "explore", "--seed", "3"]
    command += ["--minutes", str(_MINUTES), "--trace"]
    environment = {**os.environ}
    environment.pop("PYTHONHASHSEED", None)
    traces = []
    for _ in range(2):
        done = subprocess.run(
            command, capture_output=True, env=environment, check=False
        )
        lines = done.stdout.splitlines()
        traces.append([line for line in lines if b"of a processor" not in line])
    assert len(traces[0]) > 1000
    assert traces[0] == traces[1]
