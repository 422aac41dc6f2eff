"""Stand-in for a runner, written from the pages on running tasks.

`python3 review/runner.py ID ADDRESS MACHINE FILE` serves one life of a runner
until it is killed. Each start, end and acknowledgement is a JSON line in FILE.
A task's `Spec` is JSON: `run_ms` is its run time, `how` its end (done), `cpu`
and `mem` what one task needs.
"""

import asyncio
import dataclasses
import json
import sys
import time
from typing import Any

import http_server

from plantainvane import asgi

_MAX_HOLD_MS = 6000
_STOP_S = 0.05
_TICK_S = 0.005
# The pages: ends are returned "500 at a time".
_MAX_ENDS = 500
_CPU = 16_000
_MEM_MB = 62_500


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A running attempt."""

    task: str
    attempt: int
    run_s: float
    how: str
    cpu: int
    mem: int
    began: float
    stops_at: float | None = None


class Runner:
    """One life of a runner."""

    def __init__(self, name: str, address: str, machine: str, path: str):
        """Begins a life that knows nothing of earlier ones."""
        self.name, self.address, self.machine = name, address, machine
        self.born = time.time_ns() // 1_000_000
        self.started = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.runs: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.next_end = 1
        self.acknowledged = 0
        self.ended = asyncio.Event()
        self.file = open(path, "a", buffering=1)  # noqa: SIM115

    def note(self, what: str, **fields: Any) -> None:
        """Writes a line of the record."""
        line = {"at": time.time(), "runner": self.name, "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")

    def clock_ms(self) -> int:
        """Returns the steady clock of this life in milliseconds."""
        return int((time.monotonic() - self.started) * 1000)

    def end(self, run: Run, how: str) -> None:
        """Ends an attempt and lists its end."""
        del self.runs[run.task]
        number, self.next_end = self.next_end, self.next_end + 1
        self.ends.append([number, run.task, run.attempt, how, ""])
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.note(
            "end", task=run.task, attempt=run.attempt, how=how, number=number
        )
        self.ended.set()
        self.ended = asyncio.Event()

    def tick(self) -> None:
        """Ends what is due, and everything once the lease has expired."""
        now, expired = time.monotonic(), self.clock_ms() > self.lease_ms
        for run in list(self.runs.values()):
            if expired:
                self.end(run, "lapsed")
            elif run.stops_at is not None:
                if now >= run.stops_at:
                    self.end(run, "stopped")
            elif now >= run.began + run.run_s:
                self.end(run, run.how)

    def answer(self, status: int, **fields: Any) -> asgi.HttpReply:
        """Creates an answer with the reading of the clock."""
        return asgi.make_json_reply(
            status, {"ClockMs": self.clock_ms(), "born": self.born, **fields}
        )

    def extend(self, deadline_ms: int) -> None:
        """Extends the lease of all attempts; it never gets shorter."""
        limit = self.clock_ms() + _MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit))

    def start(self, body: dict[str, Any]) -> asgi.HttpReply:
        """Starts an attempt."""
        task, attempt = body["Task"], body["Attempt"]
        present = self.runs.get(task)
        if present is not None and present.attempt == attempt:
            self.extend(body["DeadlineMs"])
            return self.answer(200)
        if present is not None or attempt <= self.highest.get(task, 0):
            self.extend(body["DeadlineMs"])
            return self.answer(409, Reason="old")
        if body["DeadlineMs"] <= self.clock_ms():
            return self.answer(409, Reason="late")
        self.extend(body["DeadlineMs"])
        spec = json.loads(body["Spec"])
        cpu, mem = spec.get("cpu", 0), spec.get("mem", 0)
        used = list(self.runs.values())
        if (
            sum(r.cpu for r in used) + cpu > _CPU
            or sum(r.mem for r in used) + mem > _MEM_MB
        ):
            return self.answer(409, Reason="room")
        self.runs[task] = Run(
            task,
            attempt,
            spec["run_ms"] / 1000,
            spec.get("how", "done"),
            cpu,
            mem,
            time.monotonic(),
        )
        self.note(
            "start", task=task, attempt=attempt, token=body["FencingToken"]
        )
        return self.answer(200)

    def stop(self, body: dict[str, Any]) -> asgi.HttpReply:
        """Stops an attempt; its start is rejected from now on."""
        task, attempt = body["Task"], body["Attempt"]
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt and not run.stops_at:
            run.stops_at = time.monotonic() + _STOP_S
            self.note("stop", task=task, attempt=attempt)
        if run is None or run.attempt != attempt:
            self.highest[task] = max(self.highest.get(task, 0), attempt)
        return self.answer(200)

    async def hold(self, body: dict[str, Any]) -> asgi.HttpReply:
        """Renews the leases, forgets ends, and lists runs and ends."""
        self.extend(body.get("DeadlineMs", 0))
        seen = body["LastSeen"]
        if seen > self.acknowledged:
            self.acknowledged = seen
            self.note("acknowledged", number=seen)
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + body.get("WaitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(
                    self.ended.wait(), until - time.monotonic()
                )
            except TimeoutError:
                break
        now = time.monotonic()
        active = [
            [r.task, r.attempt, "", int(100 * (now - r.began) / r.run_s), r.cpu]
            for r in self.runs.values()
        ]
        return self.answer(200, Active=active, Finished=self.ends[:_MAX_ENDS])

    def make_entry(self) -> asgi.HttpReply:
        """Returns what the runner writes to the platform's store."""
        return self.answer(
            200,
            Service="forecast",
            Address=self.address,
            Zone="ulb-a",
            Version="v1",
            Slots=8,
            State="ready",
            ColdRemainingMs=0,
            Capacity={"Cpu": _CPU, "MemMb": _MEM_MB, "Gpu": 0},
            Labels=["a", f"r-{self.name}"],
            Machine=self.machine,
        )

    async def handle(self, request: asgi.HttpRequest) -> asgi.HttpReply:
        """Carries out one call."""
        if request.path == "/entry":
            return self.make_entry()
        if request.headers.get("target-instance", self.name) != self.name:
            return asgi.HttpReply(421)
        body = json.loads(request.body)
        self.tick()
        if body.get("FencingToken", 0) < self.token:
            return self.answer(409, Reason="fence")
        self.token = body.get("FencingToken", 0)
        if request.path == "/plantainvane/run-start":
            return self.start(body)
        if request.path == "/plantainvane/run-stop":
            return self.stop(body)
        if request.path == "/plantainvane/hold":
            return await self.hold(body)
        return self.answer(200)


async def main() -> None:
    """Serves until it is killed."""
    runner = Runner(*sys.argv[1:5])
    runner.note("born", born=runner.born)
    await http_server.serve(runner.address, runner.handle)
    while True:
        await asyncio.sleep(_TICK_S)
        runner.tick()


if __name__ == "__main__":
    asyncio.run(main())
