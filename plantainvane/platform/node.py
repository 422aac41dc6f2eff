"""Converts the platform's settings file into settings of the scheduler."""

import os
import pathlib
import tomllib
from typing import Any

import msgspec
import result

from plantainvane.jobs import settings as settings_module

PATH_VARIABLE = "PLANTAINVANE_NODE_FILE"
# Has to match deploy/system.toml, as the settings file has no port for metrics.
_METRICS_PORT = 9464


class _Listen(msgspec.Struct, rename="pascal"):
    frontend: str
    readiness: str
    control_plane: str


class _Store(msgspec.Struct, rename="pascal"):
    address: str
    max_record_bytes: int = 262_144


class _Limits(msgspec.Struct, rename="pascal"):
    """Resources of the process; `cpu_share` is the time on `cores` cores."""

    cores: float = 1.0
    cpu_share: float = 1.0


class _Bounds(msgspec.Struct):
    """Limits set by the platform; the names give seconds or milliseconds."""

    max_hold_ms: float = msgspec.field(name="MaxHoldMs", default=6000)
    grace_s: float = msgspec.field(name="GracePeriodS", default=6)
    status_s: float = 120
    impact_ms: float = msgspec.field(name="ImpactMs", default=4000)


class _Node(msgspec.Struct, rename="pascal"):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    store: _Store = msgspec.field(name="platform")
    seeds: list[str] = []
    advisor: str = ""
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def decode_settings(
    text: str,
) -> result.Result[settings_module.Settings, str]:
    """Decodes the text of the settings file; an error is its reason."""
    try:
        node = msgspec.convert(tomllib.loads(text), _Node, strict=False)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        return result.Err(str(error))
    return result.Ok(_make_settings(node))


def _make_settings(node: _Node) -> settings_module.Settings:
    bounds = node.bounds
    return settings_module.Settings(
        id=node.node_name,
        domain=node.zone,
        callers_address=node.listen.frontend,
        health_address=node.listen.readiness,
        peer_address=node.listen.control_plane,
        metrics_address=f"{node.ip}:{_METRICS_PORT}",
        store_address=node.store.address,
        seeds=tuple(node.seeds),
        adviser_address=node.advisor,
        capacity=node.limits.cores * node.limits.cpu_share,
        lease_s=min(bounds.max_hold_ms / 1000, settings_module.LEASE_S),
        max_lease_s=bounds.max_hold_ms / 1000,
        grace_s=bounds.grace_s,
        max_record_bytes=node.store.max_record_bytes,
        max_impact_s=bounds.impact_ms / 1000,
        ended_job_retention_s=bounds.status_s,
    )


def load_settings() -> result.Result[settings_module.Settings, str]:
    """Loads the settings file named by the environment variable."""
    path: Any = os.environ.get(PATH_VARIABLE)
    if not path:
        return result.Err(f"{PATH_VARIABLE} is not set")
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        return result.Err(str(error))
    return decode_settings(text)
