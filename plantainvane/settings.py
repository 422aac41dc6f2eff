"""Settings of an entry process: types, defaults, loading and validation."""

import ipaddress
import pathlib
from typing import Annotated

import msgspec
import result

from plantainvane import validation

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Fraction = Annotated[float, msgspec.Meta(gt=0, le=1)]
# In Python, `$` alone also matches before a trailing newline. Browsers receive
# the pattern with the schemas and require the hyphen to be escaped.
Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9\-]*$(?!\n)", max_length=64)
]


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of immutable structs that reject unknown fields."""


class Seed(StrictStruct):
    """An entry process to contact initially."""

    id: Name
    domain: Name
    peer_address: str


class Listen(StrictStruct):
    """Addresses that the process listens on, each `ip:port`.

    Operators have a separate address so that a firewall can block callers from
    it.
    """

    callers: str
    operators: str
    peers: str


class Platform(StrictStruct):
    """Addresses of the platform's services, each `ip:port`."""

    log: str
    instances: str
    # Interval between reads of the instance list. A leaving target must get no
    # new work after a few seconds; its replies to probes report that it leaves
    # sooner than the list does.
    poll_s: Positive = 2.0


class Log(StrictStruct):
    """Access to the platform's log."""

    # Minimum time between two appends to one stream; 9 processes at 20 ms stay
    # below the several hundred appends per second that the log accepts.
    linger_s: Positive = 0.02
    # Upper limit of the linger time, which doubles while the log refuses
    # appends; an urgent start needs two appends within 5.3 s.
    linger_max_s: Positive = 1.0
    # Maximum number of records in one append; bounds the size of a call.
    batch_records: Count = 500
    # Timeout of a call to the log, in addition to the wait of a long poll.
    call_timeout_s: Positive = 3.0
    # Maximum wait of a long poll; a dead connection is detected only after it.
    poll_wait_s: Positive = 2.0
    # After a lost reply, a record that is still missing from the stream after
    # this time is appended again.
    append_settle_s: Positive = 2.0
    # An append that is still rate limited or unresolved after this time fails.
    append_limit_s: Positive = 10.0
    # Maximum number of records after the last snapshot before a new one is
    # written.
    snapshot_records: Count = 2000
    # Maximum age of the last snapshot before a new one is written.
    snapshot_age_s: Positive = 600.0
    # Retention of the log, as declared by the platform; the snapshot age and
    # the key window must be at most half of it.
    retention_s: Positive = 3600.0


class Membership(StrictStruct):
    """Heartbeats between entry processes."""

    # Heartbeat interval within the domain. Slots and shards are reassigned
    # three intervals after the loss of a member.
    interval_s: Positive = 1.0
    # Heartbeat interval between domains, where only spillover depends on it.
    remote_interval_s: Positive = 2.0
    # A member is suspected after this many intervals without a heartbeat.
    suspect_intervals: Count = 3
    # A member is removed after this many intervals without a heartbeat.
    drop_intervals: Count = 10
    # Timeout for connecting to a peer. Domains are less than 1 ms apart; the
    # rest allows for busy processes.
    connect_timeout_s: Positive = 1.0
    # Peers connected to in each other domain; keeps heartbeats within 4 KB/s.
    remote_peers: Count = 2


class Claims(StrictStruct):
    """Ownership of shards."""

    # Number of shards per domain, each with one owner. Workers are assigned to
    # shards by hash; with fewer than about 20 workers per shard, some shards
    # may have too few workers or none.
    shards: Count = 1
    # Lifetime of a claim. Takeover after a crash takes this time plus
    # `margin_s`; urgent work must start within 5.3 s.
    ttl_s: Positive = 3.0
    # Renewal interval of a claim; two renewals may fail before it lapses.
    renew_s: Positive = 1.0
    # Safety margin for clocks that run at different rates and late timers.
    margin_s: Positive = 0.5
    # Additional delay of each further member in rendezvous order before it
    # takes over a shard. With three members cut off from the log, urgent work
    # still has 0.8 s left.
    fallback_s: Positive = 0.25
    # How long another owner must be preferred before a handover; longer than
    # the flapping of a restart, which shows in heartbeats for 3 s to 10 s.
    handover_after_s: Positive = 15.0
    # Interval between checks of the claims; its delay counts towards the 5.3 s
    # in which urgent work must start.
    check_s: Positive = 0.2
    # Maximum wait for commands in flight before a shard is released.
    release_wait_s: Positive = 2.0


class Tasks(StrictStruct):
    """Leases, placement, pressure control and attempts of batch tasks."""

    # Lease duration of an attempt; two renewals may fail before it expires.
    lease_s: Positive = 9.0
    # Safety margin for clocks that run at different rates and late stops.
    lease_margin_s: Positive = 2.0
    # A worker refuses a start that arrives later than this after the preceding
    # listing, by the worker's clock; must exceed the timeout of one call.
    start_valid_s: Positive = 4.0
    # How long leases are renewed beyond the claim while the log is down.
    outage_renewal_s: Positive = 900.0
    # Timeout of a call to a worker.
    call_timeout_s: Positive = 2.0
    # Interval between listings of a worker that has attempts.
    poll_s: Positive = 0.5
    # A task fails after failing on this many workers.
    max_attempts: Count = 3
    # Number of distinct tasks that must fail on a worker, but run elsewhere,
    # before the worker is suspected.
    suspect_failures: Count = 2
    # Delay after a failure on a suspected worker until its next canary.
    probation_s: Positive = 30.0
    # Throttling starts when the ratio of a service's latency to its target is
    # above this.
    throttle_above: Positive = 1.0
    # Throttling ends when that ratio is below this; lower than
    # `throttle_above` to avoid oscillation.
    release_below: Positive = 0.7
    # Fraction of their declared processors that throttled attempts keep.
    throttle_share: Fraction = 0.5
    # Minimum time between throttling and eviction; throttling takes this long
    # to show in the samples, which lag.
    evict_after_s: Positive = 10.0
    # Time without pressure before throttled attempts get all processors back.
    release_after_s: Positive = 5.0
    # Weight of the class prior in an interference estimate, in samples.
    prior_weight: Positive = 8.0
    # Waiting time that raises a task by one priority, up to just below urgent.
    # After this time, a worker is also kept free for a task that fits nowhere.
    aging_s: Positive = 60.0
    # Number of ended tasks that a shard remembers; the id of a forgotten task
    # counts as new.
    finished_kept: Count = 2000
    # Number of samples kept for an estimate; a few minutes at one per second.
    memory_samples: Count = 200
    # Fraction of a worker available to batch work if there is no
    # cluster_limits document; equal to the default in that document.
    batch_fraction: Fraction = 0.75
    # Maximum concurrent attempts on a worker that has not yet proven that it
    # can run tasks; limits the tasks lost to a worker that fails all of them.
    unproven_attempts: Count = 3
    # Run time of an attempt that proves that a worker can run tasks.
    proven_s: Positive = 2.0
    # How long a failure counts against a worker.
    evidence_s: Positive = 600.0
    # Maximum number of starts on one worker per round.
    starts_per_round: Count = 16
    # Maximum number of starts of a shard per round; bounds the duration of a
    # round, during which nothing else runs.
    placements_per_round: Count = 200
    # Number of workers compared for one placement: the best of 16 is on average
    # among the best 6%, and the cost does not grow with the cluster.
    candidates: Count = 16
    # Weight of interference in a worker's score. All weights are in units of a
    # service's ratio of p99 latency to its target.
    interference_weight: Positive = 1.0
    # Weight of the share of the task's class that runs in the same rack.
    rack_weight: Positive = 0.2
    # Weight of the estimated actual usage of a worker.
    load_weight: Positive = 0.1
    # A task that fits no listed worker ends as impossible after this time;
    # instance lists lag by seconds.
    impossible_after_s: Positive = 30.0
    # Interval between fetches of usage samples. Usage is sampled about once per
    # second, and one fetch returns all samples.
    usage_s: Positive = 2.0
    # Samples closer together than this are the same sample from two reports;
    # covers the delay of a reply and is below the sampling interval.
    sample_gap_s: Positive = 0.2
    # Timeout of a checkpoint.
    checkpoint_limit_s: Positive = 30.0
    # How long a stream that was read for a query is followed after it.
    follow_idle_s: Positive = 60.0
    # How long a task that was not started yet stays assigned to an unreachable
    # worker.
    start_retry_s: Positive = 1.0
    # Maximum wait until the process reads a record that it appended.
    fold_wait_s: Positive = 3.0


class Requests(StrictStruct):
    """Slots, queues, retries and ejection of targets."""

    # Slots of a runner; it refuses requests beyond them.
    slots_per_target: Count = 8
    # Connections that a target accepts from all processes together; it refuses
    # further ones.
    connections_per_target: Count = 64
    # Fraction of the slots held by this process that long-running classes may
    # not use.
    reserved_fraction: Fraction = 0.5
    # A class whose measured run time is above this counts as long-running.
    long_run_s: Positive = 1.0
    # Fraction of all slots that a class may use until its run time has been
    # measured, so that a class with a wrong declaration cannot take them all.
    unmeasured_fraction: Fraction = 0.25
    # Maximum number of queued requests of all classes; bounds the memory use
    # together with `body_limit_bytes`.
    queue_limit: Count = 1000
    # Maximum size of a request body; a class may set a lower limit.
    body_limit_bytes: Count = 1_048_576
    # Maximum size of a runner's answer, which is kept in memory as a whole.
    answer_limit_bytes: Count = 16_777_216
    # Timeout for connecting to a target. Callers, entry processes and runners
    # are about 1 ms apart.
    connect_timeout_s: Positive = 0.5
    # Connections idle for longer are closed, because connection state along the
    # path may have been lost.
    idle_connection_s: Positive = 30.0
    # An exchange that was started and receives nothing for this many times the
    # 99th percentile run time of its class is aborted and its connection
    # closed.
    silence_factor: Positive = 4.0
    # Minimum of this timeout; pauses of a busy host are shorter.
    silence_floor_s: Positive = 0.25
    # Retries per answered exchange; bounds the load added by retries.
    retry_ratio: Fraction = 0.1
    # Size of the retry budget: how many retries a short fault may use at once.
    retry_burst: Count = 20
    # Maximum number of exchanges of one request in which a byte was sent.
    attempt_limit: Count = 3
    # A target is ejected after this many distinct connections have failed
    # without a success in between.
    eject_failures: Count = 3
    # Duration of the first ejection of a target; it doubles with each further
    # one up to `eject_max_s`.
    eject_base_s: Positive = 1.0
    # Maximum duration of an ejection.
    eject_max_s: Positive = 30.0
    # Fraction by which the duration is randomly increased or decreased, so
    # that processes do not return to a target at the same time.
    eject_jitter: Fraction = 0.3
    # Maximum fraction of the targets that may be ejected while they accept
    # connections; if more fail together, the load is the cause, not the
    # targets.
    eject_share: Fraction = 0.5
    # A target is slow if its average run time exceeds the median by this
    # factor.
    slow_ratio: Positive = 5.0
    # Minimum number of samples for judging whether a target is slow.
    slow_samples: Count = 3
    # Weight of the newest run time in a target's moving average.
    latency_weight: Fraction = 0.2
    # Time in which the load of a returning target rises from a tenth to its
    # full share.
    ramp_s: Positive = 5.0
    # Number of free targets compared for one request; comparing more takes
    # time and gains little.
    routing_choices: Count = 4
    # Number of run times kept per class; 256 include two above the 99th
    # percentile.
    run_window: Count = 256
    # Number of run times required before the percentile of a class limits its
    # exchanges.
    run_samples: Count = 20
    # Delay before a slot reconnects after a failure; avoids tight loops.
    reconnect_s: Positive = 0.1
    # A target that has been silent for longer is probed, so that a leaving
    # target is detected within seconds although the instance list lags.
    probe_interval_s: Positive = 2.0
    # Timeout of a probe, which requires no work from a runner.
    probe_timeout_s: Positive = 0.5
    # A target missing from the instance list for longer gets no new work;
    # shorter gaps are faults of the list.
    absence_grace_s: Positive = 5.0
    # An increased share of a target's slots is used only after it has been
    # stable for this long: longer than a heartbeat interval, so that a new
    # process has heard its peers.
    slot_settle_s: Positive = 1.5
    # Interval between checks for expired requests and idle connections.
    sweep_s: Positive = 0.05
    # Minimum of the retry hint.
    hint_min_s: Positive = 0.1
    # Maximum of the retry hint; keeps callers from waiting beyond the end of a
    # short peak.
    hint_max_s: Positive = 30.0
    # Number of remembered request ids, used to distinguish requests for which
    # callers chose the same id; 4096 take about 0.5 MB.
    recent_ids: Count = 4096
    # Waiting time in seconds that raises a request by one priority.
    aging_s: Positive = 5.0
    # Fraction of another member's free slots that this process may fill between
    # two heartbeats of that member; other processes fill their share meanwhile.
    spill_headroom: Fraction = 0.25


class Keys(StrictStruct):
    """Idempotency keys of non-idempotent requests."""

    # Requests issued longer ago are refused; bounds the number of keys kept.
    window_s: Positive = 600.0
    # Maximum time by which a caller's clock may be ahead.
    skew_s: Positive = 5.0
    # A request whose claim is not confirmed within this time is not run.
    claim_timeout_s: Positive = 2.0
    # Maximum size of an answer that is kept for repeated requests.
    answer_bytes: Count = 2048


class Operators(StrictStruct):
    """Operator requests and configuration changes."""

    # Number of changes, valid and rejected, that a process keeps for operators.
    history_kept: Count = 1000
    # Maximum wait until a published change has come back through the log.
    confirm_s: Positive = 5.0
    # Maximum size of a request body from an operator.
    body_limit_bytes: Count = 1_048_576


class Drain(StrictStruct):
    """Graceful shutdown."""

    # Time for the balancer to notice the shutdown before requests are refused.
    notice_s: Positive = 1.0
    # Maximum time for requests in flight to finish.
    limit_s: Positive = 60.0


class Settings(StrictStruct):
    """All settings of one entry process."""

    id: Name
    domain: Name
    # All failure domains of the deployment, in a fixed order.
    domains: Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]
    listen: Listen
    platform: Platform
    seeds: tuple[Seed, ...] = ()
    log: Log = Log()
    membership: Membership = Membership()
    claims: Claims = Claims()
    tasks: Tasks = Tasks()
    requests: Requests = Requests()
    keys: Keys = Keys()
    operators: Operators = Operators()
    drain: Drain = Drain()
    log_file: str | None = None


def load_settings(
    path: pathlib.Path,
) -> result.Result[Settings, list[validation.Fault]]:
    """Reads and validates a settings file; Err lists every fault."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return result.Err([validation.Fault("$", f"cannot be read: {error}")])
    return decode_settings(text)


def decode_settings(
    text: bytes,
) -> result.Result[Settings, list[validation.Fault]]:
    """Decodes and validates the JSON of a settings file."""
    decoded = validation.decode_document(text, Settings)
    if decoded.is_err():
        return decoded
    faults = check_settings(decoded.ok_value)
    return result.Err(faults) if faults else decoded


def check_settings(settings: Settings) -> list[validation.Fault]:
    """Lists conflicts between settings that are each valid on their own."""
    faults = _check_addresses(settings)
    if settings.domain not in settings.domains:
        faults.append(
            validation.Fault("$.domain", "is not listed in $.domains")
        )
    if len(set(settings.domains)) != len(settings.domains):
        faults.append(validation.Fault("$.domains", "lists a domain twice"))
    claims = settings.claims
    if claims.renew_s * 2 > claims.ttl_s:
        faults.append(
            validation.Fault(
                "$.claims.renew_s", "must be at most half of $.claims.ttl_s"
            )
        )
    if settings.tasks.start_valid_s <= settings.tasks.call_timeout_s:
        faults.append(
            validation.Fault(
                "$.tasks.start_valid_s",
                "must be above $.tasks.call_timeout_s",
            )
        )
    if settings.keys.window_s * 2 > settings.log.retention_s:
        faults.append(
            validation.Fault(
                "$.keys.window_s",
                "must be at most half of $.log.retention_s",
            )
        )
    if settings.log.snapshot_age_s * 2 > settings.log.retention_s:
        faults.append(
            validation.Fault(
                "$.log.snapshot_age_s",
                "must be at most half of $.log.retention_s",
            )
        )
    faults.extend(_check_requests(settings.requests))
    membership = settings.membership
    if membership.drop_intervals < membership.suspect_intervals:
        faults.append(
            validation.Fault(
                "$.membership.drop_intervals",
                "must not be below $.membership.suspect_intervals",
            )
        )
    return faults


def _check_requests(requests: Requests) -> list[validation.Fault]:
    pairs = (
        ("slots_per_target", "connections_per_target"),
        ("eject_base_s", "eject_max_s"),
        ("hint_min_s", "hint_max_s"),
        ("run_samples", "run_window"),
        ("sweep_s", "probe_interval_s"),
    )
    return [
        validation.Fault(
            f"$.requests.{low}", f"must not exceed $.requests.{high}"
        )
        for low, high in pairs
        if getattr(requests, low) > getattr(requests, high)
    ]


def split_address(address: str) -> tuple[str, int]:
    """Splits a validated `ip:port` into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _check_addresses(settings: Settings) -> list[validation.Fault]:
    named = {
        "$.listen.callers": settings.listen.callers,
        "$.listen.operators": settings.listen.operators,
        "$.listen.peers": settings.listen.peers,
        "$.platform.log": settings.platform.log,
        "$.platform.instances": settings.platform.instances,
    }
    for index, seed in enumerate(settings.seeds):
        named[f"$.seeds[{index}].peer_address"] = seed.peer_address
    return [
        validation.Fault(path, f"{address!r} is not of the form ip:port")
        for path, address in named.items()
        if not is_address(address)
    ]


def is_address(address: str) -> bool:
    """Returns whether `address` is of the form ip:port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 < int(port) < 65536
    except ValueError:
        return False
