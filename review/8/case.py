"""Checkpoints of some hundred bytes: the progress of a job is not stored."""

import asyncio
import pathlib
import sys

import rig

FOLDER = pathlib.Path(__file__).resolve().parent
JOB, OTHER = "5c0e7a21d94b36f8", "00000000000000aa"
RUNNERS = 10
TASKS = 500
WORK_MS = 4000
CHECKPOINT_BYTES = 512


async def play(world: rig.World, disturbs: bool) -> str:
    """Plays the case."""
    size = CHECKPOINT_BYTES if disturbs else 16
    make_short = world.make_checkpoint

    def make_checkpoint(run: rig.Run, done_s: float) -> str:
        short = make_short(run, done_s)
        text = short + "0" * (size - len(short))
        world.saved[text] = done_s
        return text

    world.make_checkpoint = make_checkpoint
    await world.start(3, RUNNERS, lambda n: ["a", f"r1-{n // 4}"])
    job = rig.make_job(
        WORK_MS, Count=TASKS, Cpu=100, MemMb=64, Checkpointing=True
    )
    if not await world.submit(world.nodes[0], JOB, job):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(6.0)
    if not await world.submit(world.nodes[1], OTHER, rig.make_job(300)):
        raise RuntimeError("the other job was not accepted")
    await asyncio.sleep(40.0)
    for name in (OTHER, JOB):
        state = await world.read_state(world.nodes[1], name)
        if state != "completed":
            done = sum(e["how"] == "done" for e in world.find("end", name))
            return f"{name} is {state or 'not answered'}, {done} tasks done"
    return ""


if __name__ == "__main__":
    sys.exit(rig.run_case(FOLDER, play))
