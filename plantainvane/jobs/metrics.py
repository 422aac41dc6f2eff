"""Prometheus metrics of the job scheduler; every label set is bounded."""

import prometheus_client

SUBMISSIONS = prometheus_client.Counter(
    "plantainvane_job_submissions_total",
    "Submitted jobs by outcome.",
    ["outcome"],
)
SUBMISSION_SECONDS = prometheus_client.Histogram(
    "plantainvane_job_submission_seconds",
    "Time from a submission to its answer.",
)
QUESTIONS = prometheus_client.Counter(
    "plantainvane_job_questions_total",
    "Questions of callers about jobs, by kind and outcome.",
    ["what", "outcome"],
)
JOBS_ENDED = prometheus_client.Counter(
    "plantainvane_jobs_ended_total", "Jobs whose end is stored.", ["outcome"]
)
STARTS = prometheus_client.Counter(
    "plantainvane_job_task_starts_total",
    "Orders to start a task, by the runner's answer.",
    ["outcome"],
)
ENDS = prometheus_client.Counter(
    "plantainvane_job_task_ends_total",
    "Ends of attempts, by how they ended.",
    ["how"],
)
RUNNER_CRASHES = prometheus_client.Counter(
    "plantainvane_runner_crashes_total", "Runners known to have crashed."
)
TASKS_GIVEN_UP = prometheus_client.Counter(
    "plantainvane_tasks_given_up_total",
    "Tasks that were given up because they crash the runners that start them.",
)
PACES = prometheus_client.Counter(
    "plantainvane_job_paces_total",
    "Orders that pace a filling task, by the runner's answer.",
    ["outcome"],
)
FILL_HALTS = prometheus_client.Counter(
    "plantainvane_fill_halts_total", "Fill tasks that were halted."
)
SERVING_OVER_TARGET = prometheus_client.Gauge(
    "plantainvane_serving_tasks_over_target",
    "Serving tasks whose last reported tail exceeds their target.",
)
FILL_CORES_WITHHELD = prometheus_client.Gauge(
    "plantainvane_fill_cores_withheld",
    "Processors that pacing withholds from fill tasks.",
)
RUNNER_POLLS = prometheus_client.Counter(
    "plantainvane_runner_looks_total",
    "Looks at runners, by outcome.",
    ["outcome"],
)
ACKNOWLEDGEMENTS_LOST = prometheus_client.Counter(
    "plantainvane_acknowledgements_lost_total",
    "Polls without an answer that acknowledged ends; they may act late.",
)
ENDS_MISSED = prometheus_client.Counter(
    "plantainvane_ends_missed_total",
    "Ends that a runner has forgotten before any poll listed them.",
)
CLAIMS = prometheus_client.Counter(
    "plantainvane_job_claims_total",
    "Attempts to become the owner, by outcome.",
    ["outcome"],
)
TAKEOVER_SECONDS = prometheus_client.Histogram(
    "plantainvane_takeover_seconds",
    "Time from a won claim to the first scheduling pass.",
)
STORE_CALLS = prometheus_client.Counter(
    "plantainvane_store_calls_total",
    "Calls to the platform's log, by call and outcome.",
    ["call", "outcome"],
)
LOOP_LAG_SECONDS = prometheus_client.Histogram(
    "plantainvane_loop_lag_seconds",
    "How late the event loop of this process runs.",
)
PASS_SECONDS = prometheus_client.Histogram(
    "plantainvane_scheduling_pass_seconds",
    "Duration of a scheduling pass with its pauses.",
)
TASKS_PLACED = prometheus_client.Counter(
    "plantainvane_tasks_placed_total", "Tasks placed by scheduling passes."
)
BACKLOG_WAIT_SECONDS = prometheus_client.Gauge(
    "plantainvane_backlog_wait_seconds",
    "Longest expected wait of a new task while the owner cannot keep up.",
)
TASK_WAIT_SECONDS = prometheus_client.Histogram(
    "plantainvane_task_wait_seconds",
    "Time from when a task could start to its placement, by kind.",
    ["kind"],
    buckets=(0.01, 0.05, 0.25, 1.0, 2.0, 3.0, 4.0, 6.0, 10.0, 20.0, 60.0),
)
RESTART_WAIT_SECONDS = prometheus_client.Histogram(
    "plantainvane_restart_wait_seconds",
    "Time from the known end of a long-running task's attempt to the placement "
    "of the next one.",
    buckets=(0.01, 0.05, 0.25, 1.0, 2.0, 3.0, 4.0, 6.0, 10.0, 20.0, 60.0),
)
TASK_WAITS = prometheus_client.Counter(
    "plantainvane_task_waits_total",
    "Reports of a ready task that waits, by kind and reason.",
    ["kind", "reason"],
)
TASKS_NOT_AT_WORK = prometheus_client.Counter(
    "plantainvane_tasks_not_at_work_total",
    "Reports of long-running tasks that are neither ready nor known to run.",
    ["state"],
)
STOP_ANSWER_SECONDS = prometheus_client.Histogram(
    "plantainvane_stop_answer_seconds",
    "Time from the order to stop an attempt to the runner's answer.",
)
OLDEST_OUTLIVING_SECONDS = prometheus_client.Gauge(
    "plantainvane_oldest_outliving_attempt_seconds",
    "How long the oldest attempt has outlived its task or job; 0 without one.",
)
CONFIGURATION_VERSION = prometheus_client.Gauge(
    "plantainvane_queue_configuration_version",
    "Version of the queue configuration in force.",
)
CONFIGURATION_GAP_SECONDS = prometheus_client.Histogram(
    "plantainvane_configuration_gap_seconds",
    "Time between two answers of the log to reads of the configuration.",
    buckets=(0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 7.0, 10.0, 20.0, 60.0),
)
CONFIGURATION_FETCHES = prometheus_client.Counter(
    "plantainvane_configuration_fetches_total",
    "Rounds in which peers were asked for the configuration, by outcome.",
    ["outcome"],
)
EVACUATED_DOMAINS = prometheus_client.Gauge(
    "plantainvane_evacuated_domains",
    "Failure domains in which this process starts nothing, as the operator "
    "has them evacuated.",
)
UNKNOWN_QUEUES = prometheus_client.Counter(
    "plantainvane_unknown_queue_requests_total",
    "Requests for a queue that is not in the configuration in force.",
)
EVENTS_DROPPED = prometheus_client.Counter(
    "plantainvane_events_dropped_total",
    "Log lines dropped as the reader of standard output was too slow.",
)


def name_kind(long_running: bool) -> str:
    """Returns the label of the kind of a task."""
    return "long_running" if long_running else "other"


def sum_counter(counter: prometheus_client.Counter) -> int:
    """Returns the sum of a counter over all its labels."""
    return sum(
        int(sample.value)
        for metric in counter.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    )
