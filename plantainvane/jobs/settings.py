"""Settings of the job scheduler; every default carries its unit and source."""

import msgspec

# Longest lease that is asked for. A task that lasts has to run again 6 s after
# its runner was lost, and a takeover takes about 2 s.
LEASE_S = 5.5

# A lease is taken as expired this long after it must have, for rounding.
LEASE_MARGIN_S = 0.3


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """What one entry process knows of its place, its peers and its limits.

    Attributes:
      id: Name of the entry instance.
      domain: Failure domain of the instance.
      callers_address: `ip:port` towards callers.
      health_address: `ip:port` of the readiness check.
      peer_address: `ip:port` for other entry processes.
      metrics_address: `ip:port` where metrics are served.
      seeds: Peer addresses of a few entry processes; may be stale.
      store_address: `ip:port` of the platform's log service.
      advisor_address: `ip:port` of the adviser, or empty.
      lease_s: Length of a lease; at most the platform's bound.
      grace_s: Time between SIGTERM and SIGKILL; the platform's bound.
      max_impact_s: Longest time that fills may hold a service over its target.
      status_s: How long the state of an ended job stays known.
      clock_rate_error: Runner clocks are slow by at most this share.
    """

    id: str
    domain: str
    callers_address: str
    health_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    seeds: tuple[str, ...] = ()
    advisor_address: str = ""
    lease_s: float = LEASE_S
    grace_s: float = 6.0
    max_impact_s: float = 4.0
    status_s: float = 120.0
    clock_rate_error: float = 0.02

    # Log service. A call takes about 10 ms; a slow service takes 60 times
    # that, and an append may be repeated safely.
    store_timeout_s: float = 0.6
    store_timeout_max_s: float = 2.5
    store_retry_s: float = 0.1
    # A read whose connection went silent is noticed after its wait; the
    # platform allows 2 s for a configuration to be in force.
    read_wait_s: float = 1.2
    runner_list_poll_s: float = 0.4
    body_limit_bytes: int = 262_144

    # Ownership. Takeover has to end well within a lease of 6 s.
    renew_s: float = 1.0
    renew_overdue_s: float = 1.6
    ping_s: float = 0.35
    ping_timeout_s: float = 0.5
    suspect_after_s: float = 1.2
    # After the first ping without an answer, so that renewals are watched from
    # there on.
    reread_after_s: float = 0.5
    # An owner without the log renews leases for this long; a lease then lasts
    # through an outage of about 10 s.
    log_outage_limit_s: float = 5.0
    claim_jitter_s: float = 0.12

    # Runners. A call inside the deployment takes 1 to 3 ms.
    call_timeout_s: float = 0.4
    poll_wait_s: float = 2.0
    service_poll_wait_s: float = 0.5
    idle_poll_s: float = 2.0
    poll_gap_s: float = 0.01
    start_retries: int = 2

    # Callers: the share of a deadline that is spent on finding the owner.
    owner_wait_s: float = 1.5
    ask_timeout_s: float = 0.6
    retry_after_s: int = 1
    drain_s: float = 2.6

    @property
    def old_lease_limit_s(self) -> float:
        """Time from a takeover until nothing of earlier owners can run.

        An earlier owner that is cut off from the log may renew leases until
        it stops by itself, and a lease lasts longer on a slow clock.
        """
        lease_s = self.lease_s / (1 - self.clock_rate_error)
        return self.log_outage_limit_s + lease_s + LEASE_MARGIN_S
