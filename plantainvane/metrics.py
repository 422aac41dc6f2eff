"""Prometheus metrics of an entry process; all label values are bounded."""

import dataclasses

import prometheus_client

MEMBERS = prometheus_client.Gauge(
    "plantainvane_members",
    "Other entry processes known, by state.",
    ["state"],
)
CONFIG_VERSION = prometheus_client.Gauge(
    "plantainvane_config_version",
    "Version of the configuration in force.",
)
LOG_LAG = prometheus_client.Gauge(
    "plantainvane_log_lag_seconds",
    "Time since a stream was last read to its end, by stream kind.",
    ["stream"],
)
KEYS = prometheus_client.Gauge(
    "plantainvane_keys",
    "Idempotency keys within the window, by progress.",
    ["progress"],
)
KEY_CLAIMS = prometheus_client.Counter(
    "plantainvane_key_claims_total",
    "Claims of idempotency keys, by verdict.",
    ["verdict"],
)
REQUESTS = prometheus_client.Counter(
    "plantainvane_requests_total",
    "Requests by service class and outcome.",
    ["service_class", "outcome"],
)
REQUEST_SECONDS = prometheus_client.Histogram(
    "plantainvane_request_seconds",
    "Time from arrival to answer, by service class.",
    ["service_class"],
)
QUEUED = prometheus_client.Gauge(
    "plantainvane_queued_requests",
    "Requests waiting, by service class.",
    ["service_class"],
)
SLOTS = prometheus_client.Gauge(
    "plantainvane_slots",
    "Slots of this process by state: open, running, long (running).",
    ["state"],
)
RETRIES = prometheus_client.Counter(
    "plantainvane_retries_total",
    "Attempts after the first one, by what went wrong before.",
    ["reason"],
)
BAD_REPLIES = prometheus_client.Counter(
    "plantainvane_bad_replies_total",
    "Exchanges that gave no answer, by reason.",
    ["reason"],
)
EJECTIONS = prometheus_client.Counter(
    "plantainvane_ejections_total",
    "Ejections of targets, by reason.",
    ["reason"],
)
SHEDS = prometheus_client.Counter(
    "plantainvane_sheds_total",
    "Requests shed, by service class and reason.",
    ["service_class", "reason"],
)
SPILLS = prometheus_client.Counter(
    "plantainvane_spills_total",
    "Requests sent to another domain, by outcome there.",
    ["outcome"],
)
CLAIMS = prometheus_client.Gauge(
    "plantainvane_claims_held", "Shards that this process owns."
)
ATTEMPTS = prometheus_client.Gauge(
    "plantainvane_attempts",
    "Attempts of the owned shards by state: starting, running, evicting,"
    " unreachable.",
    ["state"],
)
PENDING_TASKS = prometheus_client.Gauge(
    "plantainvane_pending_tasks",
    "Tasks of the owned shards that wait for a start, by priority.",
    ["priority"],
)
TASK_STARTS = prometheus_client.Counter(
    "plantainvane_task_starts_total",
    "Start commands by result: started, refused, unreached, lost, stale.",
    ["result"],
)
TASK_ENDS = prometheus_client.Counter(
    "plantainvane_task_ends_total", "Ended tasks by outcome.", ["outcome"]
)
REQUEUES = prometheus_client.Counter(
    "plantainvane_requeues_total", "Requeued attempts by cause.", ["cause"]
)
EVICTIONS = prometheus_client.Counter(
    "plantainvane_evictions_total",
    "Evictions by step: started, completed, abandoned.",
    ["step"],
)
THROTTLES = prometheus_client.Counter(
    "plantainvane_throttles_total",
    "Changes of a worker's limit by step: throttle, release.",
    ["step"],
)
SUSPECTED_WORKERS = prometheus_client.Gauge(
    "plantainvane_suspected_workers",
    "Workers of the owned shards that get canaries only.",
)
# Reasons with a label value of their own; all others count as `connection`.
REPLY_REASONS = frozenset(
    {
        "refused",
        "timeout",
        "framing",
        "wrong_id",
        "no_length",
        "answer_too_large",
        "cancelled",
        "status_2xx",
        "status_3xx",
        "status_4xx",
        "status_5xx",
    }
)
# Caches of label children: looking one up takes a lock, which is too slow to do
# for every request.
_REQUEST_COUNTERS: dict[tuple[str, str], prometheus_client.Counter] = {}
_REQUEST_HISTOGRAMS: dict[str, prometheus_client.Histogram] = {}


def count_request(service_class: str, outcome: str, seconds: float) -> None:
    """Records a request and the time from its arrival to its answer."""
    counter = _REQUEST_COUNTERS.get((service_class, outcome))
    if counter is None:
        counter = REQUESTS.labels(service_class, outcome)
        _REQUEST_COUNTERS[service_class, outcome] = counter
    counter.inc()
    histogram = _REQUEST_HISTOGRAMS.get(service_class)
    if histogram is None:
        histogram = REQUEST_SECONDS.labels(service_class)
        _REQUEST_HISTOGRAMS[service_class] = histogram
    histogram.observe(seconds)


@dataclasses.dataclass(slots=True)
class BatchCounts:
    """Counts of one owned shard by label value of the gauges.

    Attributes:
      attempts: Number of attempts by state.
      pending: Number of pending tasks by priority.
      suspected: Number of suspected workers.
    """

    attempts: dict[str, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(
            ("starting", "running", "evicting", "unreachable"), 0
        )
    )
    pending: dict[str, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(("urgent", "normal", "bulk"), 0)
    )
    suspected: int = 0


def set_batch_gauges(claims: int, shards: list[BatchCounts]) -> None:
    """Sets the batch gauges to the sums over the owned shards.

    Args:
      claims: Number of shards that this process owns.
      shards: Counts of each of these shards.
    """
    CLAIMS.set(claims)
    none = BatchCounts()
    for state in none.attempts:
        total = sum(counts.attempts[state] for counts in shards)
        ATTEMPTS.labels(state).set(total)
    for priority in none.pending:
        total = sum(counts.pending[priority] for counts in shards)
        PENDING_TASKS.labels(priority).set(total)
    SUSPECTED_WORKERS.set(sum(counts.suspected for counts in shards))


def encode_metrics() -> bytes:
    """Encodes all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()
