"""Slopes behind docs/CAPACITY.md: bytes, processor time and memory by size.

Each row is measured at three sizes or more; the slope is the least-squares line
through the medians of several repeats. Bytes are exact; times are of this
machine and carry their spread.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import gc
import json
import statistics
import time
import tracemalloc
from typing import Any

import anyio
import anyio.abc
import msgspec

from plantainvane import claims
from plantainvane import configuration
from plantainvane import documents
from plantainvane import keys
from plantainvane import membership
from plantainvane import messages_pb2
from plantainvane import records
from plantainvane import settings as settings_module
from plantainvane import tasks
from plantainvane import workers
from plantainvane import writers

REPEATS = 5
CALLS = 200
MICROSECONDS = 1e6

SETTINGS_JSON = b"""{
  "id": "entry-a-1", "domain": "a", "domains": ["a", "b", "c"],
  "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2",
             "peers": "127.0.0.1:3"},
  "platform": {"log": "127.0.0.1:4", "instances": "127.0.0.1:5"},
  "tasks": {"finished_kept": 1000000}
}"""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One measured row.

    Attributes:
      name: What was measured.
      unit: Unit of `values`, `slope` (per unit of size) and `base`.
      sizes: What the size counts, and its values.
      values: Median at each size.
      spread: Largest (max - min) / median over the sizes.
    """

    name: str
    unit: str
    counted: str
    sizes: list[int]
    values: list[float]
    slope: float
    base: float
    spread: float


def run_measurements() -> dict[str, Any]:
    """Runs all rows and returns them by name."""
    settings = settings_module.decode_settings(SETTINGS_JSON).ok_value
    rows = [
        *_measure_heartbeats(settings),
        *_measure_claims(settings),
        *_measure_tasks(settings),
        *_measure_renewals(settings),
        *_measure_configuration(settings),
        *_measure_keys(settings),
    ]
    return {row.name: dataclasses.asdict(row) for row in rows}


def _measure_heartbeats(settings: settings_module.Settings) -> list[Row]:
    def make_view(size: int) -> membership.Membership:
        view = membership.Membership(settings, writers.Identity("a", 1))
        for index in range(size):
            view.apply_heartbeat(_make_heartbeat(index, 1), 0.0)
        return view

    def encode(size: int, with_heard: bool) -> bytes:
        return (
            make_view(size)
            .make_heartbeat(
                0.0,
                ready=True,
                draining=False,
                config_version=10**6,
                load=[(f"class-{index}", 3, 12) for index in range(4)],
                with_heard=with_heard,
            )
            .SerializeToString()
        )

    def make_apply(size: int) -> Callable[[], float]:
        view = make_view(size)
        beats = [_make_heartbeat(index, 2) for index in range(size)]

        def apply() -> float:
            for beat in beats:
                beat.sequence += 1
            start = time.perf_counter()
            for beat in beats:
                view.apply_heartbeat(beat, 0.5)
            return (time.perf_counter() - start) / size * MICROSECONDS

        return apply

    sizes = [9, 41, 153]
    return [
        _measure_exact(
            "heartbeat", "bytes", "members", sizes, lambda n: len(encode(n, 0))
        ),
        _measure_exact(
            "heartbeat naming members",
            "bytes",
            "members",
            sizes,
            lambda n: len(encode(n, 1)),
        ),
        _measure_repeated(
            "heartbeat applied", "us", "members", sizes, make_apply
        ),
        _measure_memory(
            "membership view", "bytes", "members", sizes, make_view
        ),
    ]


def _make_heartbeat(index: int, sequence: int) -> messages_pb2.Heartbeat:
    member = messages_pb2.Member(
        id=f"entry-{index % 17}-{index}",
        domain=f"domain-{index % 17}",
        peer_address=f"10.0.{index % 17}.{index % 250}:7003",
        incarnation=1_790_000_000_000 + index,
    )
    return messages_pb2.Heartbeat(
        sender=member,
        sequence=sequence,
        ready=True,
        config_version=10**6,
        load=[
            messages_pb2.ClassLoad(
                service_class=f"class-{number}", queued=3, free_slots=12
            )
            for number in range(4)
        ],
    )


def _measure_claims(settings: settings_module.Settings) -> list[Row]:
    def make_record(size: int, sequence: int = 1) -> records.Claim:
        return records.Claim(
            writer="entry-a-1",
            incarnation=1_790_000_000_000,
            sequence=sequence,
            shards=[records.ShardClaim(shard, 7) for shard in range(size)],
            ttl_s=3.0,
        )

    def make_fold(size: int) -> Callable[[], float]:
        wide = msgspec.structs.replace(
            settings,
            claims=msgspec.structs.replace(settings.claims, shards=size),
        )
        state = claims.Claims(wide, writers.Identity("entry-a-1", 1))
        offset = 0

        def fold() -> float:
            nonlocal offset
            start = time.perf_counter()
            for _ in range(100):
                state.apply_records([(offset, make_record(size, offset))], 0.0)
                offset += 1
            return (time.perf_counter() - start) / 100 * MICROSECONDS

        return fold

    sizes = [1, 3, 9]
    return [
        _measure_exact(
            "claim record",
            "bytes",
            "shards",
            sizes,
            lambda n: len(msgspec.json.encode(make_record(n))),
        ),
        _measure_repeated("claim folded", "us", "shards", sizes, make_fold),
    ]


def _measure_tasks(settings: settings_module.Settings) -> list[Row]:
    def make_book(size: int) -> tasks.TaskTable:
        book = tasks.TaskTable(settings)
        book.apply_records(
            [(0, records.ShardOpen(**_head(1), epoch=1))], now=0.0
        )
        entries = [
            (index + 1, _make_submit(index, index + 2)) for index in range(size)
        ]
        book.apply_records(entries, now=0.0)
        return book

    def make_cycle(size: int) -> Callable[[], float]:
        book = make_book(size)
        serial = size

        def cycle() -> float:
            nonlocal serial
            entries = []
            for _ in range(100):
                serial += 1
                offset = book.next_offset + len(entries)
                entries.extend(_make_life(offset, serial))
            start = time.perf_counter()
            book.apply_records(entries, now=1.0)
            return (time.perf_counter() - start) / 100 * MICROSECONDS

        return cycle

    def make_snapshot(size: int) -> Callable[[], float]:
        book = make_book(size)

        def snapshot() -> float:
            start = time.perf_counter()
            book.encode_state()
            return (time.perf_counter() - start) * 1e3

        return snapshot

    sizes = [100, 1_000, 10_000]
    life = _make_life(0, 1)
    return [
        _measure_exact(
            "records of a task's life",
            "bytes",
            "records",
            [1, 2, 3],
            lambda n: sum(
                len(msgspec.json.encode(record)) for _, record in life[:n]
            ),
        ),
        _measure_repeated(
            "task's life folded", "us", "live tasks", sizes, make_cycle
        ),
        _measure_memory(
            "tasks of a shard", "bytes", "live tasks", sizes, make_book
        ),
        _measure_exact(
            "shard snapshot",
            "bytes",
            "live tasks",
            sizes,
            lambda n: len(bytes(make_book(n).encode_state()[1])),
        ),
        _measure_repeated(
            "shard snapshot encoded", "ms", "live tasks", sizes, make_snapshot
        ),
    ]


def _head(sequence: int) -> dict[str, Any]:
    return {
        "writer": "entry-a-1",
        "incarnation": 1_790_000_000_000,
        "sequence": sequence,
    }


def _make_submit(index: int, sequence: int) -> records.TaskSubmit:
    return records.TaskSubmit(
        **_head(sequence),
        task=f"season-outlook-2028-05-{index:06d}",
        batch_class="season-outlook",
        submitted=1_790_000_000.0,
        work={"steps": 40, "step_ms": 250, "seed": index},
    )


def _make_life(offset: int, serial: int) -> list[tuple[int, records.Record]]:
    submit = _make_submit(serial, offset + 2)
    start = records.TaskStart(
        **_head(offset + 3),
        epoch=1,
        task=submit.task,
        attempt=1,
        worker="worker-a-0123",
    )
    finish = records.TaskFinish(
        **_head(offset + 4),
        epoch=1,
        task=submit.task,
        attempt=1,
        outcome="succeeded",
        output={"digest": "0" * 64},
    )
    return [(offset, submit), (offset + 1, start), (offset + 2, finish)]


def _measure_renewals(settings: settings_module.Settings) -> list[Row]:
    def make_command(size: int) -> workers.RenewCommand:
        return workers.RenewCommand(
            epoch=7, lease_s=9.0, attempts=_make_refs(size)
        )

    def make_renewal(size: int) -> Callable[[], float]:
        command = make_command(size)
        reply = msgspec.json.encode(workers.RenewReply(command.attempts))
        return lambda: _time_calls(
            settings, reply, lambda c: workers.renew_attempts(c, command)
        )

    def make_listing(size: int) -> Callable[[], float]:
        reply = _encode_listing(size)
        return lambda: _time_calls(
            settings, reply, lambda c: workers.list_attempts(c, 7)
        )

    sizes = [1, 7, 50]
    return [
        _measure_exact(
            "renewal, both ways",
            "bytes",
            "attempts",
            sizes,
            lambda n: 2 * len(msgspec.json.encode(make_command(n))),
        ),
        _measure_repeated(
            "renewal at the owner", "us", "attempts", sizes, make_renewal
        ),
        _measure_exact(
            "listing",
            "bytes",
            "attempts",
            sizes,
            lambda n: len(_encode_listing(n)),
        ),
        _measure_repeated(
            "listing at the owner", "us", "attempts", sizes, make_listing
        ),
    ]


def _make_refs(size: int) -> list[workers.AttemptRef]:
    return [
        workers.AttemptRef(f"season-outlook-2028-05-{index:06d}", 1)
        for index in range(size)
    ]


def _encode_listing(size: int) -> bytes:
    attempts = [
        workers.ListedAttempt(
            task=ref.task,
            attempt=ref.attempt,
            epoch=7,
            state=workers.AttemptState.SUCCEEDED,
            batch_class="season-outlook",
            size=documents.Size(2.0, 2**32),
            output={"digest": "0" * 64},
        )
        for ref in _make_refs(size)
    ]
    size_of_worker = documents.Size(16.0, 60 * 10**9, 1)
    return msgspec.json.encode(
        workers.Listing("worker-a-0123", size_of_worker, attempts, 1e6)
    )


def _time_calls(
    settings: settings_module.Settings,
    reply: bytes,
    call: Callable[[Any], Any],
) -> float:
    """Times calls to a server that answers `reply` to whatever it reads.

    The result holds the server's part too, one receive and one send a call.
    """
    answer = (
        b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(reply)
    ) + reply

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    await stream.receive()
                    await stream.send(answer)

    async def run() -> float:
        async with (
            await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
            anyio.create_task_group() as group,
        ):
            group.start_soon(listener.serve, serve)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            client = workers.make_client(settings, f"127.0.0.1:{port}")
            await call(client)
            start = time.process_time()
            for _ in range(CALLS):
                await call(client)
            spent = time.process_time() - start
            await client.aclose()
            group.cancel_scope.cancel()
        return spent / CALLS * MICROSECONDS

    return anyio.run(run)


def _measure_configuration(settings: settings_module.Settings) -> list[Row]:
    def make_state(size: int) -> configuration.Configuration:
        state = configuration.Configuration(settings)
        entries = [
            (index, _make_change(index, 0, index + 1)) for index in range(size)
        ]
        state.apply_records(entries, 0.0)
        return state

    def make_change(size: int) -> Callable[[], float]:
        state = make_state(size)
        count = 0

        def change() -> float:
            nonlocal count
            entries = []
            for _ in range(20):
                offset = size + count
                entries.append((offset, _make_change(0, 1 + count, offset + 1)))
                count += 1
            start = time.perf_counter()
            state.apply_records(entries, 0.0)
            return (time.perf_counter() - start) / 20 * MICROSECONDS

        return change

    sizes = [100, 570, 3_000]
    return [
        _measure_exact(
            "configuration snapshot",
            "bytes",
            "documents",
            sizes,
            lambda n: len(msgspec.json.encode(make_state(n).make_snapshot())),
        ),
        _measure_repeated(
            "configuration change folded",
            "us",
            "documents",
            sizes,
            make_change,
        ),
        _measure_memory(
            "configuration", "bytes", "documents", sizes, make_state
        ),
    ]


def _make_change(
    index: int, base_revision: int, sequence: int
) -> records.ConfigChange:
    """Makes a change of a team's quota, or of a class of that team."""
    team = f"team-{index // 2:05d}"
    if index % 2 == 0:
        document: documents.Document = documents.Quota(
            name=team, limit=documents.Size(64.0, 2**38, 4)
        )
    else:
        document = documents.BatchClass(
            name=f"class-{index:05d}",
            team=team,
            priority=documents.Priority.NORMAL,
            size=documents.Size(2.0, 2**32),
        )
    key = documents.get_key(document)
    return records.ConfigChange(
        **_head(sequence),
        base_revision=base_revision,
        document=document,
        target_kind=key.kind,
        target_name=key.name,
        author="night shift",
    )


def _measure_keys(settings: settings_module.Settings) -> list[Row]:
    def make_claim(index: int) -> records.KeyClaim:
        return records.KeyClaim(
            **_head(index + 1),
            key=f"wormwood-{index:024d}",
            issued=time.time(),
        )

    def make_book(size: int) -> keys.KeyTable:
        book = keys.KeyTable(settings, writers.Identity("entry-a-1", 1), None)
        book.apply_records(
            [(index, make_claim(index)) for index in range(size)], 0.0
        )
        return book

    def make_fold(size: int) -> Callable[[], float]:
        book = make_book(size)
        offset = size

        def fold() -> float:
            nonlocal offset
            entries = [(offset + n, make_claim(offset + n)) for n in range(100)]
            offset += 100
            start = time.perf_counter()
            book.apply_records(entries, 0.0)
            return (time.perf_counter() - start) / 100 * MICROSECONDS

        return fold

    sizes = [1_000, 10_000, 50_000]
    return [
        _measure_exact(
            "key claim record",
            "bytes",
            "records",
            [1, 2, 3],
            lambda n: n * len(msgspec.json.encode(make_claim(10**6))),
        ),
        _measure_repeated("key claim folded", "us", "keys", sizes, make_fold),
        _measure_memory(
            "keys in the window", "bytes", "keys", sizes, make_book
        ),
    ]


def _measure_exact(
    name: str,
    unit: str,
    counted: str,
    sizes: list[int],
    measure: Callable[[int], float],
) -> Row:
    values = [float(measure(size)) for size in sizes]
    return _make_row(name, unit, counted, sizes, [[v] for v in values])


def _measure_repeated(
    name: str,
    unit: str,
    counted: str,
    sizes: list[int],
    prepare: Callable[[int], Callable[[], float]],
) -> Row:
    samples = []
    for size in sizes:
        measure = prepare(size)
        measure()
        samples.append([measure() for _ in range(REPEATS)])
    return _make_row(name, unit, counted, sizes, samples)


def _measure_memory(
    name: str,
    unit: str,
    counted: str,
    sizes: list[int],
    build: Callable[[int], Any],
) -> Row:
    samples = []
    for size in sizes:
        build(1)
        gc.collect()
        tracemalloc.start()
        state = build(size)
        gc.collect()
        samples.append([float(tracemalloc.get_traced_memory()[0])])
        tracemalloc.stop()
        del state
    return _make_row(name + " in memory", unit, counted, sizes, samples)


def _make_row(
    name: str,
    unit: str,
    counted: str,
    sizes: list[int],
    samples: list[list[float]],
) -> Row:
    values = [statistics.median(sample) for sample in samples]
    slope, base = statistics.linear_regression(sizes, values)
    spread = max(
        (max(sample) - min(sample)) / statistics.median(sample)
        for sample in samples
    )
    return Row(name, unit, counted, sizes, values, slope, base, spread)


if __name__ == "__main__":
    print(json.dumps(run_measurements()))
