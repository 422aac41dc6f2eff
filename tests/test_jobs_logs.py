"""Writing of log lines to a pipe whose reader may be slow."""

import asyncio
import os
import select
import subprocess
import sys

import anyio
import msgspec
import pytest

from plantainvane.jobs import logs
from plantainvane.jobs import metrics

LOG_AND_END = """
import anyio
from plantainvane import events
from plantainvane.jobs import logs
logs.start_logging()
async def run():
    for number in range(300):
        events.log_event(events.JOB_LOADED, job="j", number=number)
    {end}
anyio.run(run)
"""


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    os.set_blocking(write_end, False)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def read_available(read_end):
    """Reads what is in the pipe now."""
    data = b""
    try:
        while chunk := os.read(read_end, 1 << 20):
            data += chunk
    except BlockingIOError:
        pass
    return data


def decode_numbers(data):
    """Decodes whole lines; fails on a line that was cut."""
    return [msgspec.json.decode(line)["n"] for line in data.splitlines()]


def count_dropped():
    (metric,) = metrics.EVENTS_DROPPED.collect()
    return metric.samples[0].value


def test_lines_of_one_turn_are_one_write_in_order(pipe, monkeypatch):
    # Guards against a system call for each line of a busy owner.
    read_end, write_end = pipe
    writer = logs.LineWriter(write_end)
    sizes = []
    write = os.write

    def count_write(output, data):
        if output == write_end:
            sizes.append(len(data))
        return write(output, data)

    async def log_in_two_turns():
        for number in range(20):
            writer.write_line({"n": number})
        assert sizes == []
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert len(sizes) == 1
        writer.write_line({"n": 20})

    monkeypatch.setattr(logs.os, "write", count_write)
    anyio.run(log_in_two_turns)
    assert len(sizes) == 2
    assert decode_numbers(read_available(read_end)) == list(range(21))


def test_lines_outside_a_loop_and_in_a_later_loop_are_written(pipe):
    # Guards against lines that wait for a loop that has ended.
    read_end, write_end = pipe
    writer = logs.LineWriter(write_end)

    async def log_line(number):
        writer.write_line({"n": number})

    writer.write_line({"n": 0})
    assert decode_numbers(read_available(read_end)) == [0]
    for number in (1, 2):
        anyio.run(log_line, number)
        assert decode_numbers(read_available(read_end)) == [number]
    ended = asyncio.new_event_loop()
    ended.close()
    writer.loop = ended
    anyio.run(log_line, 3)
    assert decode_numbers(read_available(read_end)) == [3]


def test_a_slow_reader_gets_whole_lines_and_the_rest_is_counted(pipe):
    # Guards against lines that are cut or mixed when the pipe is full, and
    # against a process that waits for its reader.
    read_end, write_end = pipe
    writer = logs.LineWriter(write_end)
    before = count_dropped()
    total = 2000
    for number in range(total):
        writer.write_line({"n": number, "text": "x" * (200 + number % 97)})
    dropped = int(count_dropped() - before)
    assert 0 < dropped < total
    data = b""
    while writer.buffer:
        data += read_available(read_end)
        writer.flush()
    data += read_available(read_end)
    assert decode_numbers(data) == list(range(total - dropped))
    assert data.endswith(b"\n")
    writer.write_line({"n": total})
    assert decode_numbers(read_available(read_end)) == [total]


def test_a_line_longer_than_the_pipe_is_completed_before_the_next(pipe):
    # Guards against the rest of a line that a write took only in part.
    read_end, write_end = pipe
    writer = logs.LineWriter(write_end)
    writer.write_line({"n": 0, "text": "x" * 100_000})
    assert writer.buffer
    first = read_available(read_end)
    writer.write_line({"n": 1})
    assert decode_numbers(first + read_available(read_end)) == [0, 1]


@pytest.mark.parametrize("end", ["pass", "raise SystemExit(0)"])
def test_the_last_lines_reach_the_reader_when_the_process_ends(end):
    # Guards against the loss of the lines that tell why a process ended.
    child = subprocess.run(
        [sys.executable, "-c", LOG_AND_END.format(end=end)],
        stdout=subprocess.PIPE,
        check=True,
        timeout=60,
    )
    lines = [msgspec.json.decode(line) for line in child.stdout.splitlines()]
    assert [line["number"] for line in lines] == list(range(300))


def test_what_a_slow_reader_left_is_written_at_the_end(pipe, monkeypatch):
    # Guards against a line that stays cut at the end of a process.
    read_end, write_end = pipe
    writer = logs.LineWriter(write_end)
    writer.write_line({"n": 0, "text": "x" * 200_000})
    data = []

    class FakePoll:
        def register(self, output, events):
            assert (output, events) == (write_end, select.POLLOUT)

        def poll(self, wait_ms):
            assert wait_ms <= 1000
            data.append(read_available(read_end))

    monkeypatch.setattr(logs.select, "poll", FakePoll)
    monkeypatch.setattr(logs.time, "monotonic", lambda: 5.0)
    writer.finish()
    assert writer.buffer == b""
    assert len(data) > 1
    data.append(read_available(read_end))
    assert decode_numbers(b"".join(data)) == [0]


def test_the_end_does_not_wait_for_a_reader_that_takes_nothing(
    pipe, monkeypatch
):
    # Guards against a process that outlives its grace for its log, or that
    # tries again and again when the reader has gone.
    _, write_end = pipe
    writer = logs.LineWriter(write_end)
    writer.write_line({"n": 0, "text": "x" * 200_000})
    polls = []

    class FakePoll:
        def register(self, output, events):
            pass

        def poll(self, wait_ms):
            polls.append(wait_ms)

    monkeypatch.setattr(logs.select, "poll", FakePoll)
    writer.finish()
    assert len(polls) == 1


def test_many_lines_are_written_in_blocks_that_end_with_a_line(
    pipe, monkeypatch
):
    # Guards against lines that a reader cuts, because they came in a write that
    # was larger than the block that it reads.
    read_end, write_end = pipe
    writer = logs.LineWriter(write_end)
    blocks = []
    write = os.write

    def keep_block(output, data):
        blocks.append(bytes(data))
        return write(output, data)

    async def log_lines():
        for number in range(100):
            writer.write_line({"n": number, "text": "x" * 300})
        writer.write_line({"n": 100, "text": "x" * 9000})
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    monkeypatch.setattr(logs.os, "write", keep_block)
    anyio.run(log_lines)
    assert decode_numbers(read_available(read_end)) == list(range(101))
    assert all(block.endswith(b"\n") for block in blocks)
    assert all(len(b) <= 8192 or b.count(b"\n") == 1 for b in blocks)
