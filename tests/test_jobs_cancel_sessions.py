"""Sessions in which jobs are cancelled while owners and the log fail."""

import pytest

from tests import cancel_sessions

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize(
    ("seed", "last_s", "jobs"),
    [
        (1, 3.0, 8),
        (2, 3.0, 8),
        # An odd answer of the log was taken for a job that is stored.
        (201, 8.0, 12),
    ],
)
async def test_an_acknowledged_cancel_is_known_to_all_later_owners(
    seed, last_s, jobs
):
    # Guards against tasks that start or run on after their job's cancel was
    # acknowledged, against an accepted job that is answered as unknown, and
    # against a refused job that runs.
    session = await cancel_sessions.play(seed, last_s, jobs)
    assert not session.faults, "\n".join(session.events)
    assert any(j.acknowledged_at is not None for j in session.jobs.values())
