"""The demo, as `make demo` runs it."""

import json
import subprocess
import sys

from standins import launcher

LIMIT_S = 60.0


def test_last_line_is_the_result_and_no_traceback_precedes_it():
    # Guards against a result that stands among the errors of connections which
    # were open at the end.
    finished = subprocess.run(
        [sys.executable, "-m", "standins.platform_demo"],
        cwd=launcher.ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        timeout=LIMIT_S,
        text=True,
    )
    *logged, last = finished.stdout.splitlines()
    assert finished.returncode == 0, last
    assert [line for line in logged if not line.startswith("{")] == []
    result = json.loads(last)
    assert result["handed_in"] == result["completed"]
