"""A process that drains gets SIGHUP, and ends without answering."""

import asyncio
import signal

import deployment as deployment_module
import httpx

_JOB = "/outlooks/00000000000000e1"
_RUN_MS = 8000
_CPU = 1600
_MEM_MB = 3200
_REQUESTS = 4
# Times after SIGTERM: of the first request, of the next ones, of SIGHUP.
_FIRST_AFTER_S = 0.3
_GAP_S = 0.05
_HANGUP_AFTER_S = 1.0
_LOSS_SLACK_S = 0.2


def find_faults(requests: list[dict]) -> list[str]:
    """Lists requests whose connections ended without a complete answer."""
    return [
        f"LOST: {r['method']} {r['path']} to {r['process']} was cut without an"
        f" answer {r['took_s']:.2f} s after it was sent ({r['error']})"
        for r in requests
        if r["status"] is None
        and "Timeout" not in r["error"]
        and r["took_s"] > _LOSS_SLACK_S
    ]


async def play(deployment: deployment_module.Deployment) -> list[str]:
    """Sends SIGTERM to the owner, requests, and then SIGHUP."""
    deployment.put_configuration(1, [deployment_module.make_route()])
    await deployment.start()
    await asyncio.sleep(2)
    owner = await deployment.wait_owner()
    step = {"Count": 4, "Cpu": _CPU, "MemMb": _MEM_MB, "EstimateMs": _RUN_MS}
    spec = f'{{"run_ms":{_RUN_MS},"cpu":{_CPU},"mem":{_MEM_MB}}}'
    clients = [httpx.AsyncClient(trust_env=False) for _ in range(_REQUESTS)]
    reply = await deployment.call(
        clients[0], owner, "POST", _JOB, {"Spec": spec, "Steps": [step]}
    )
    if reply is None or reply.status_code != 200:
        raise deployment_module.CannotRunError("the job was not accepted")
    for client in clients:
        # Opens the connection on which the request follows.
        reply = await deployment.call(client, owner, "GET", _JOB)
        if reply is None or reply.status_code != 200:
            raise deployment_module.CannotRunError("a state was not answered")
    first = len(deployment.lines)
    deployment.send_signal(owner, signal.SIGTERM)
    await asyncio.sleep(_FIRST_AFTER_S)
    sent = []
    for client in clients:
        sent.append(
            asyncio.create_task(
                deployment.call(client, owner, "GET", _JOB, deadline_ms=6000)
            )
        )
        await asyncio.sleep(_GAP_S)
    await asyncio.sleep(_HANGUP_AFTER_S - _FIRST_AFTER_S - _REQUESTS * _GAP_S)
    if deployment_module.HAS_TROUBLE:
        deployment.send_signal(owner, signal.SIGHUP)
    await asyncio.gather(*sent)
    for client in clients:
        await client.aclose()
    requests = [
        line
        for line in deployment.lines[first:]
        if line["what"] == "request" and line["process"] == owner.name
    ]
    status = owner.process.poll()
    deployment.note("the drained process", ended_with=status)
    return find_faults(requests)


if __name__ == "__main__":
    deployment_module.run_case(__file__, 3, 4, play)
