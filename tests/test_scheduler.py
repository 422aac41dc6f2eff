"""Tests of the scheduler against the stand-ins."""

from tests import batch_session


@batch_session.in_session()
async def test_a_task_runs_to_its_end(session):
    # Guards against a break anywhere between submission and result.
    session.add_workers("w1", "w2")
    session.add_process("p1")
    await session.submit("t1", "t2")
    assert await session.wait_outcome("t1", "t2") == ["succeeded"] * 2
    assert len(session.list_runs("t1")) == 1
