"""Prometheus metrics of an entry process; every label set is bounded."""

import prometheus_client

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
