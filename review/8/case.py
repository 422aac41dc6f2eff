"""A job is shown as failed though its task has ended as done."""

import asyncio
import pathlib
import sys

import rig

FOLDER = pathlib.Path(__file__).resolve().parent
JOB = "5c0e7a21d94b36f8"
RUNNERS = 10
WORK_MS = 600
CRASH_AFTER_S = 0.3
DOWN_S = 1.5
# The second runner is cut off this long after the start, and crashes behind the
# cut once the task has ended there.
CUT_AFTER_S, CRASH_BEHIND_S = 0.15, 0.25


async def wait_start(world: rig.World, number: int) -> rig.Runner:
    """Returns the runner of a run of the task, once it has begun."""
    while len(starts := world.find("start", JOB)) < number:
        await asyncio.sleep(0.01)
    return world.find_runner(starts[number - 1]["on"])


async def disturb(world: rig.World) -> None:
    """Crashes the first runner, cuts the second one off and crashes it."""
    first = await wait_start(world, 1)
    await asyncio.sleep(CRASH_AFTER_S)
    await first.crash()
    await asyncio.sleep(DOWN_S)
    await first.start()
    first.write_entry()
    second = await wait_start(world, 2)
    await asyncio.sleep(CUT_AFTER_S)
    second.heard = False
    world.note("cut off", second.id)
    while not world.find("end", JOB):
        await asyncio.sleep(0.01)
    await asyncio.sleep(CRASH_BEHIND_S)
    await second.crash()
    await asyncio.sleep(DOWN_S)
    second.heard = True
    world.note("cut healed", second.id)
    await second.start()
    second.write_entry()


async def play(world: rig.World, disturbs: bool) -> str:
    """Plays the case."""
    await world.start(3, RUNNERS, lambda n: ["a", f"r1-{n // 4}"])
    if not await world.submit(world.nodes[0], JOB, rig.make_job(WORK_MS)):
        raise RuntimeError("the job was not accepted")
    if disturbs:
        await disturb(world)
    state = ""
    async with asyncio.timeout(40):
        while state not in ("completed", "failed", "cancelled"):
            state = await world.read_state(world.nodes[1], JOB)
            await asyncio.sleep(0.25)
    ends = [event["how"] for event in world.find("end", JOB)]
    if state == "failed" and "failed" not in ends:
        runs = len(world.find("start", JOB))
        return (
            f"the job is shown as failed: {runs} runs, whose ends are {ends},"
            " and nobody has cancelled it"
        )
    return ""


if __name__ == "__main__":
    sys.exit(rig.run_case(FOLDER, play))
