"""Prometheus metrics of an entry process; every label set is bounded."""

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


def encode_metrics() -> bytes:
    """Encodes all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()
