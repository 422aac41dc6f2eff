"""HTTP server for callers, the readiness check and metrics."""

from plantainvane import asgi
from plantainvane import metrics
from plantainvane.jobs import backlog
from plantainvane.jobs import clock
from plantainvane.jobs import evacuations
from plantainvane.jobs import intake
from plantainvane.jobs import model
from plantainvane.jobs import process as process_module
from plantainvane.platform import wire

_READY_PATH = "/plantainvane/readyz"
_METRICS_PATH = "/metrics"
_DEFAULT_DEADLINE_MS = 3000
# No request is held for longer, whatever its caller would wait.
_MAX_DEADLINE_MS = 60_000
_NO_JOB = asgi.HttpReply(410)
_NO_QUEUE = asgi.HttpReply(404)
_STATUS_CODES = {
    intake.Outcome.ACCEPTED: 200,
    intake.Outcome.UNKNOWN: 504,
}


def make_handler(entry: process_module.Entry) -> asgi.Handler:
    """Creates the handler of all HTTP requests to a process."""

    async def handle(request: asgi.HttpRequest) -> asgi.HttpReply:
        if request.path == _READY_PATH:
            return asgi.HttpReply(200 if entry.ready else 503)
        if request.path == _METRICS_PATH:
            return asgi.HttpReply(
                200, metrics.encode_metrics(), "text/plain; version=0.0.4"
            )
        return await _answer_caller(entry, request)

    return handle


async def _answer_caller(
    entry: process_module.Entry, request: asgi.HttpRequest
) -> asgi.HttpReply:
    if entry.configuration is None:
        return _make_unavailable_reply(entry)
    host = request.headers.get("host", "").partition(":")[0]
    queue = model.find_queue_by_path(entry.configuration, host, request.path)
    if queue is None:
        entry.sources.report_unknown_queue(
            host, request.path, entry.configuration.version, clock.read_now()
        )
        return _NO_QUEUE
    job_id = request.path[len(queue.path_prefix) :]
    deadline_s = _read_deadline(request.headers.get("deadline-ms", ""))
    if not job_id and request.method == "GET":
        return await _answer_pending(entry, queue, deadline_s)
    if not wire.is_job_id(job_id):
        return asgi.make_json_reply(400, {"Error": "no job id in the path"})
    if request.method == "POST":
        return await _submit(entry, queue, job_id, request.body, deadline_s)
    if request.method not in ("GET", "DELETE"):
        return asgi.HttpReply(405)
    what = "state" if request.method == "GET" else "cancel"
    outcome, reply = await intake.ask(entry.intake, what, job_id, deadline_s)
    if outcome is intake.Outcome.MISSING:
        return _NO_JOB
    if outcome is not intake.Outcome.DONE:
        return _make_unavailable_reply(entry)
    return asgi.make_json_reply(200, {"State": reply.state})


def _read_deadline(text: str) -> float:
    if not text.isdecimal():
        text = str(_DEFAULT_DEADLINE_MS)
    if len(text) > len(str(_MAX_DEADLINE_MS)):
        return _MAX_DEADLINE_MS / 1000
    return min(_MAX_DEADLINE_MS, int(text)) / 1000


async def _answer_pending(
    entry: process_module.Entry, queue: model.Queue, deadline_s: float
) -> asgi.HttpReply:
    outcome, reply = await intake.ask(
        entry.intake, "pending", queue.name, deadline_s
    )
    if outcome is not intake.Outcome.DONE:
        return _make_unavailable_reply(entry)
    return asgi.make_json_reply(200, {"Pending": reply.count})


async def _submit(
    entry: process_module.Entry,
    queue: model.Queue,
    job_id: str,
    body: bytes,
    deadline_s: float,
) -> asgi.HttpReply:
    job = wire.decode_job(body, job_id, queue, clock.read_wall_ms())
    if job.is_err():
        return asgi.make_json_reply(400, {"Error": job.err_value})
    outcome = await intake.submit_job(entry.intake, job.ok_value, deadline_s)
    if outcome is intake.Outcome.NOT_RUN:
        return _make_unavailable_reply(entry)
    if outcome is intake.Outcome.OVERLOADED:
        retry_after_s = backlog.choose_retry_after(
            entry.settings, entry.intake.find_wait(queue.name), job_id
        )
        return _make_unavailable_reply(entry, retry_after_s)
    if outcome is intake.Outcome.SHUT_OUT:
        retry_after_s = evacuations.choose_retry_after(entry.settings, job_id)
        return _make_unavailable_reply(entry, retry_after_s)
    if outcome is intake.Outcome.FULL:
        retry_after_s = intake.choose_retry_after(entry.intake, job.ok_value)
        return _make_unavailable_reply(entry, retry_after_s)
    if outcome is intake.Outcome.TOO_LARGE:
        return asgi.make_json_reply(400, {"Error": "the job is too large"})
    return asgi.HttpReply(_STATUS_CODES[outcome], b"{}")


def _make_unavailable_reply(
    entry: process_module.Entry, retry_after_s: int | None = None
) -> asgi.HttpReply:
    """Makes a 503 reply: nothing was done, retry after the given time."""
    if retry_after_s is None:
        retry_after_s = entry.settings.retry_after_s
    retry_after = str(retry_after_s).encode()
    return asgi.HttpReply(503, headers=((b"retry-after", retry_after),))


async def serve(entry: process_module.Entry) -> None:
    """Serves HTTP until the process has drained."""
    settings = entry.settings
    await asgi.serve_application(
        asgi.make_application(make_handler(entry), settings.body_limit_bytes),
        [
            settings.callers_address,
            settings.health_address,
            settings.metrics_address,
        ],
        entry.stopping.wait,
        settings.grace_s / 2,
    )
