"""End-to-end demo on the platform's stand-ins, with a failover of the owner.

The owner is killed after half of the submissions. The last line of the output
is a JSON object. The exit status is 0 only if every accepted job completed and
no task ran twice.
"""

import collections
import sys

import anyio
import msgspec

from plantainvane.jobs import logs
from standins import platform_system

_JOBS = 24
_TIMEOUT_S = 30.0


async def run_demo() -> dict[str, int]:
    """Submits jobs, kills the owner, and counts the starts on the runners."""
    completed = 0
    async with platform_system.run_system(entries=4, runners=4) as system:
        await system.wait_owner()
        ids = [f"{number:016x}" for number in range(_JOBS)]
        accepted = []
        for number, job_id in enumerate(ids):
            entry = system.entries[number % len(system.entries)]
            body = platform_system.make_job(steps=2, count=4, run_ms=300)
            reply = await platform_system.call(entry, "POST", job_id, body)
            if reply.status_code == 200:
                accepted.append(job_id)
            if number == _JOBS // 2:
                owner = system.find_owner()
                if owner is not None:
                    await system.kill(owner)
        with anyio.move_on_after(_TIMEOUT_S):
            for job_id in accepted:
                await platform_system.wait_state(
                    system, job_id, "completed", _TIMEOUT_S
                )
                completed += 1
        starts = collections.Counter(task for task, _ in system.list_starts())
        return {
            "handed_in": len(ids),
            "accepted": len(accepted),
            "completed": completed,
            "lost": len(accepted) - completed,
            "tasks_started": len(starts),
            "ran_twice": sum(count > 1 for count in starts.values()),
        }


def main() -> int:
    """Prints the report as the last line; returns the exit status."""
    logs.start_logging()
    report = anyio.run(run_demo)
    print(msgspec.json.encode(report).decode(), flush=True)
    return int(report["lost"] > 0 or report["ran_twice"] > 0)


if __name__ == "__main__":
    sys.exit(main())
