"""A short chaos run with a fixed seed; `make chaos` does longer ones."""

import json
import subprocess
import sys

from standins import chaos
from standins import launcher

RUN_S = 12.0


def test_short_chaos_run_breaks_no_guarantee(tmp_path):
    """Guards against errors that appear only when whole processes fail."""
    finished = subprocess.run(
        [
            sys.executable,
            "-m",
            "standins.chaos",
            "--seed",
            "1",
            "--seconds",
            str(RUN_S),
            "--directory",
            str(tmp_path),
        ],
        capture_output=True,
        text=True,
        cwd=launcher.ROOT,
        check=False,
    )
    output = finished.stdout + finished.stderr
    assert finished.returncode == 0, output
    line = json.loads(finished.stdout.splitlines()[-1])
    assert set(line["violations"].values()) == {0}
    # Without these checks, a run without faults or load would pass as well.
    assert sum(line["faults"].values()) == len(chaos.plan_faults(1, RUN_S))
    assert line["requests"]["answered"] > 400
    assert line["tasks"]["outcomes"]["succeeded"] > 0
