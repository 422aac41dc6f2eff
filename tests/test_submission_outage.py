"""Submitting and cancelling tasks while the log refuses appends."""

from plantainvane import outcomes
from plantainvane import scheduler
from tests import batch_session


@batch_session.in_session()
async def test_a_refusal_of_the_log_is_not_one_of_the_task(session):
    # A refused append must not be reported as a refused task ("404 refused"),
    # after which a submitter does not try again.
    session.add_workers("w1")
    process = session.add_process("p1")
    await session.submit("t1", steps=150)
    await session.wait_for(lambda: session.list_runs("t1"))
    session.set_log_down(True)
    submission = scheduler.Submission(task="t2", batch_class="job", work={})
    submitted = await process.scheduler.submit_task(submission)
    cancelled = await process.scheduler.cancel_task("t1")
    for refused in (submitted, cancelled):
        failure = refused.err_value.failure
        assert failure is outcomes.CallFailure.UNREACHED
    unknown = scheduler.Submission(task="t3", batch_class="none", work={})
    refused = await process.scheduler.submit_task(unknown)
    assert refused.err_value.failure is outcomes.CallFailure.REFUSED
