"""Settings of the job scheduler, with the reasons for their defaults."""

import msgspec

# Longest lease that is requested. A long-running task has to run again 6 s
# after its runner was lost, and a takeover takes about 2 s.
LEASE_S = 5.5

# Added to the expiry of a lease to cover rounding.
LEASE_MARGIN_S = 0.3

# Time before its due time at which an occurrence of a job takes up memory.
OCCURRENCE_HORIZON_S = 30.0


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, time-outs and limits of one entry process.

    Attributes:
      id: Id of the entry instance.
      domain: Failure domain of the instance.
      callers_address: `ip:port` for callers.
      health_address: `ip:port` of the readiness check.
      peer_address: `ip:port` for other entry processes.
      metrics_address: `ip:port` of the metrics endpoint.
      store_address: `ip:port` of the platform's log service.
      seeds: Peer addresses of a few entry processes; may be out of date.
      adviser_address: `ip:port` of the adviser, or empty.
      capacity: Processor cores that are available to the process.
      lease_s: Lease duration; at most `max_lease_s`.
      max_lease_s: Longest lease that a runner grants; it shortens longer ones.
      grace_s: Time between SIGTERM and SIGKILL, set by the platform.
      max_impact_s: Longest time that fill tasks may keep a service above its
        latency target.
      ended_job_retention_s: How long the state of an ended job can be queried.
      max_record_bytes: Largest record that the log takes, with its key.
      clock_rate_error: Largest fraction by which a runner's clock runs slow.
    """

    id: str
    domain: str
    callers_address: str
    health_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    seeds: tuple[str, ...] = ()
    adviser_address: str = ""
    capacity: float = 1.0
    lease_s: float = LEASE_S
    max_lease_s: float = 6.0
    grace_s: float = 6.0
    max_impact_s: float = 4.0
    ended_job_retention_s: float = 120.0
    max_record_bytes: int = 262_144
    clock_rate_error: float = 0.02

    # Log service. A call takes about 10 ms, or up to 60 times that on a slow
    # service. Appends can be retried safely.
    store_timeout_s: float = 0.6
    store_timeout_max_s: float = 2.5
    store_retry_s: float = 0.1
    # A read on a dead connection is detected only after this wait, and the
    # platform allows 2 s until a new configuration is in force.
    read_wait_s: float = 1.2
    # Peers are asked for the configuration when no read has been answered for
    # this time; one that works ends after read_wait_s. Then the pauses between
    # two rounds of questions.
    fetch_after_s: float = 1.5
    fetch_pause_s: float = 0.3
    fetch_pause_max_s: float = 1.2
    # Peers that are asked at the same time for a newer configuration while the
    # log does not answer, as half of the processes may be without the log as
    # well; more, up to the limit, while none answers.
    fetch_peers: int = 4
    fetch_peers_max: int = 16
    runner_list_poll_s: float = 0.4
    body_limit_bytes: int = 262_144

    # Ownership. A takeover has to complete well within a lease of 6 s.
    renew_s: float = 1.0
    renew_overdue_s: float = 1.6
    ping_s: float = 0.35
    ping_timeout_s: float = 0.5
    # Pings that an owner asks for in total. The ablest standbys ping every
    # ping_s; the others less often, but often enough to find a new owner within
    # owner_wait_s.
    ping_budget_per_s: float = 30.0
    # A weak owner asks for fewer: a ping takes it about 0.7 ms of processor
    # time, and all of them are not to take more than a tenth of what it has.
    ping_cost_s: float = 0.0007
    ping_capacity_share: float = 0.1
    fast_standbys: int = 4
    slow_ping_max_s: float = 1.4
    suspect_after_s: float = 1.2
    # Time without a ping reply after which the claims topic is read again, so
    # that renewals are observed before the owner is suspected.
    reread_after_s: float = 0.5
    # An owner that cannot reach the log goes on for this long.
    log_outage_limit_s: float = 5.0
    # No lease reaches beyond this time after the last renewal of the claim. It
    # bridges an outage of the log of 5.5 s, and what a lost owner leaves behind
    # ends early enough to run again within 9 s.
    lease_reach_s: float = 6.5
    claim_jitter_s: float = 0.12
    # A process without any capacity would wait this much longer than the ablest
    # before it claims. The sum of both waits has to separate them despite the
    # jitter, and to leave a takeover well within a lease.
    claim_wait_max_s: float = 0.6
    # Capacity of the ablest process, while no owner has reported it.
    assumed_ablest_capacity: float = 2.0
    # An owner below this share of the capacity of an able peer hands over to
    # it. The wait lets the owner and the peer prove stable, and the share rules
    # out that the peer hands back.
    abler_peer_share: float = 0.6
    abler_peer_wait_s: float = 3.0
    abler_peer_retry_s: float = 10.0
    # An owner reports that it hears few runners below the first share of them,
    # until it hears the second. A rack is less than what is missing there.
    few_runners_share: float = 0.85
    enough_runners_share: float = 0.92
    # A standby claims if it would hear more, by this share of all runners. It
    # polls up to reach_sample runners that the owner hears, and as many that it
    # does not, reach_polls times each. One that misses a poll counts as not
    # heard, so that no lucky sample decides where polls are lost for all.
    reach_gain_share: float = 0.12
    reach_sample: int = 8
    reach_polls: int = 6
    reach_poll_gap_s: float = 0.03
    reach_timeout_s: float = 0.3
    # Then the owner polls the same runners once more, within this time.
    reach_check_timeout_s: float = 0.2
    reach_retry_s: float = 3.0
    reach_retry_max_s: float = 24.0
    # An owner that was replaced while it heard few runners is not a candidate
    # for this time, and its successor hands over only to an abler process that
    # hears a sample of the runners as well.
    reach_stand_back_s: float = 20.0
    reach_handover_sample: int = 32

    # Runners. A call within the deployment takes 1 to 3 ms.
    call_timeout_s: float = 0.4
    poll_wait_s: float = 2.0
    service_poll_wait_s: float = 0.5
    # Bounds what polls cost an owner of a third of a core.
    max_service_polls_per_s: float = 250.0
    idle_poll_s: float = 2.0
    poll_gap_s: float = 0.01
    start_retries: int = 2

    # Callers. owner_wait_s bounds the part of a deadline that is spent on
    # finding the owner.
    owner_wait_s: float = 1.5
    ask_timeout_s: float = 0.6
    retry_after_s: int = 1
    # A job is refused while the owner cannot keep up and its tasks would wait
    # for longer than this. The users ask for accepted jobs 14 s after their
    # traffic has ended, and each must be at work by then.
    max_start_wait_s: float = 8.0
    # A job is refused for this time while all runners that could run it are
    # evacuated. Only the operator knows for how long; a caller that returns is
    # served that much later at most, and asks no more often.
    evacuated_retry_s: int = 10
    # The owner adds occurrences once a second; the time bridges long pauses.
    # Of a job that repeats each second 30 occurrences are held.
    occurrence_horizon_s: float = OCCURRENCE_HORIZON_S
    drain_s: float = 2.6

    @property
    def affordable_pings_per_s(self) -> float:
        """Pings in total that this process can answer as the owner."""
        affordable = self.capacity * self.ping_capacity_share / self.ping_cost_s
        return min(self.ping_budget_per_s, affordable)

    @property
    def old_lease_limit_s(self) -> float:
        """Time after the last renewal of a claim until its leases have expired.

        An owner that is cut off from the log goes on extending leases up to
        `lease_reach_s`, and the last one may last longer on a slow clock.
        """
        return self.lease_reach_s + self.lease_limit_s - self.lease_s

    @property
    def lease_limit_s(self) -> float:
        """Time after which a lease that was just extended has expired."""
        return self.lease_s / (1 - self.clock_rate_error) + LEASE_MARGIN_S
