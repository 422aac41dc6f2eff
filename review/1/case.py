"""More than 500 tasks end on a runner while no process owns the jobs."""

import asyncio
import signal

import deployment as deployment_module
import httpx

# A thousand small tasks fit on the runner, and each takes 2 s.
_JOBS = [f"/outlooks/00000000000000{number:02x}" for number in range(10)]
_COUNT = 500
_RUN_MS = 2000
_CPU = 10
_MEM_MB = 30
# The owner stands still from this time after the submissions on.
_FREEZE_AFTER_S = 3.0
_FROZEN_S = 4.0


def find_faults(lines: list[dict]) -> list[str]:
    """Lists starts after a run that ended as done and was taken note of.

    An end is taken note of when an acknowledgement reaches its number; no lease
    lapsed in between, as the record would name an end `lapsed`.
    """
    acknowledged = max(
        (e["number"] for e in lines if e["what"] == "acknowledged"), default=0
    )
    done: dict[str, dict] = {}
    faults = []
    for line in sorted(lines, key=lambda e: e["at"]):
        if line["what"] == "end" and line["how"] == "done":
            if line["number"] <= acknowledged:
                done.setdefault(line["task"], line)
        elif line["what"] == "start" and line["task"] in done:
            end = done[line["task"]]
            faults.append(
                f"TWICE: {line['task']} attempt {line['attempt']} started"
                f" {line['at'] - end['at']:.2f} s after attempt"
                f" {end['attempt']} had ended as done"
            )
    return faults


async def play(deployment: deployment_module.Deployment) -> list[str]:
    """Freezes the owner while small tasks run."""
    deployment.put_configuration(1, [deployment_module.make_route()])
    await deployment.start()
    spec = f'{{"run_ms":{_RUN_MS},"cpu":{_CPU},"mem":{_MEM_MB}}}'
    step = {
        "Count": _COUNT,
        "Cpu": _CPU,
        "MemMb": _MEM_MB,
        "EstimateMs": _RUN_MS,
    }
    caller = deployment.entries[0]
    owner = await deployment.wait_owner()

    async def have_completed() -> bool:
        for job in _JOBS:
            reply = await deployment.call(client, caller, "GET", job)
            if reply is None or reply.text != '{"State":"completed"}':
                return False
        return True

    async with httpx.AsyncClient(trust_env=False) as client:
        await asyncio.sleep(2)
        body = {"Spec": spec, "Steps": [step]}
        for job in _JOBS:
            reply = await deployment.call(client, caller, "POST", job, body)
            if reply is None or reply.status_code != 200:
                raise deployment_module.CannotRunError("a job was not accepted")
        await asyncio.sleep(_FREEZE_AFTER_S)
        if deployment_module.HAS_TROUBLE:
            if caller is owner:
                caller = deployment.entries[1]
            deployment.send_signal(owner, signal.SIGSTOP)
            await asyncio.sleep(_FROZEN_S)
            deployment.send_signal(owner, signal.SIGCONT)
        await deployment_module.wait_until(have_completed, 60, "jobs completed")
        await asyncio.sleep(2)
    lines = deployment.read_runs()
    if any(e["what"] == "end" and e["how"] == "lapsed" for e in lines):
        raise deployment_module.CannotRunError("a lease lapsed")
    return find_faults(lines)


if __name__ == "__main__":
    deployment_module.run_case(__file__, 3, 1, play)
