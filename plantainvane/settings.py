"""Settings of an entry process: types, defaults, loading and checks."""

import ipaddress
import pathlib
from typing import Annotated

import msgspec
import result

from plantainvane import validation

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Fraction = Annotated[float, msgspec.Meta(gt=0, le=1)]
# In Python, `$` alone also matches before a newline at the end. Browsers, which
# get the pattern with the schemas, want the hyphen escaped.
Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9\-]*$(?!\n)", max_length=64)
]


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all settings sections: immutable, no unknown fields."""


class Seed(StrictStruct):
    """An entry process to contact first."""

    id: Name
    domain: Name
    peer_address: str


class Listen(StrictStruct):
    """Addresses that the process listens on, each `ip:port`.

    Operators have their own address so that it can be firewalled off from
    callers.
    """

    callers: str
    operators: str
    peers: str


class Platform(StrictStruct):
    """Addresses of the platform's services, each `ip:port`."""

    log: str
    instances: str
    # Leaving targets must get no new work after a few seconds; their replies
    # to probes tell it sooner than the list.
    poll_s: Positive = 2.0


class Log(StrictStruct):
    """Use of the platform's log."""

    # One append per linger and stream; 9 processes at 20 ms stay below the
    # several hundred appends a second that the log takes.
    linger_s: Positive = 0.02
    # Longest linger, reached while the log refuses appends; urgent starts
    # need two appends within 5.3 s.
    linger_max_s: Positive = 1.0
    # Records of one append; bounds the size of a call.
    batch_records: Count = 500
    # Longest wait for a reply of the log, besides the wait of a long poll.
    call_timeout_s: Positive = 3.0
    # Longest wait of a long poll; a silent connection is noticed after it.
    poll_wait_s: Positive = 2.0
    # A record absent this long after a lost reply is appended again.
    append_settle_s: Positive = 2.0
    # An append that is still limited or unresolved after this is given up.
    append_limit_s: Positive = 10.0
    # Records a stream may hold after its last snapshot before the next one.
    snapshot_records: Count = 2000
    # A snapshot is written at least this often.
    snapshot_age_s: Positive = 600.0
    # Declared by the platform; snapshots and the key window stay below it.
    retention_s: Positive = 3600.0


class Membership(StrictStruct):
    """Heartbeats between entry processes."""

    # Within the domain: slots and shards follow the loss of a member after
    # three of these.
    interval_s: Positive = 1.0
    # Towards other domains, where only spillover depends on it.
    remote_interval_s: Positive = 2.0
    # Heartbeat intervals of silence.
    suspect_intervals: Count = 3
    # A member silent for longer is forgotten.
    drop_intervals: Count = 10
    # Domains are below 1 ms apart; the rest is for busy processes.
    connect_timeout_s: Positive = 1.0
    # Peers held in each other domain; keeps heartbeats within 4 KB/s.
    remote_peers: Count = 2


class Claims(StrictStruct):
    """Ownership of shards."""

    # Each shard has one owner. Workers are divided by a hash, so that with
    # fewer than about 20 workers a shard some shard may have too few or none.
    shards: Count = 1
    # Takeover after a crash takes ttl + margin; urgent work has 5.3 s to start.
    ttl_s: Positive = 3.0
    # Two renewals may fail before a claim lapses.
    renew_s: Positive = 1.0
    # Allows for clocks that run at different rates and for a late timer.
    margin_s: Positive = 0.5
    # Each further member in rendezvous order waits this much longer; three
    # members without access to the log still leave urgent work 0.8 s.
    fallback_s: Positive = 0.25
    # A preference for another holder must last this long before a handover:
    # longer than a restart's flapping, which heartbeats show for 3 s to 10 s.
    handover_after_s: Positive = 15.0
    # Period of the look at claims; its delay is part of the 5.3 s above.
    check_s: Positive = 0.2
    # Longest wait for commands under way before a shard is released.
    release_wait_s: Positive = 2.0


class Tasks(StrictStruct):
    """Leases, placement, pressure and attempts of batch tasks."""

    # Two renewals may fail before a lease expires.
    lease_s: Positive = 9.0
    # Allows for clocks that run at different rates and for a late stop.
    lease_margin_s: Positive = 2.0
    # A start is void this long after the listing that preceded it, by the
    # worker's clock; above the time of one call.
    start_valid_s: Positive = 4.0
    # Time that attempts are renewed past the claim while the log is down.
    outage_renewal_s: Positive = 900.0
    # Longest wait for a reply of a worker.
    call_timeout_s: Positive = 2.0
    # Period in which a worker with attempts is listed.
    poll_s: Positive = 0.5
    # A task that failed on this many workers has failed.
    max_attempts: Count = 3
    # Distinct tasks that fail on a worker and run elsewhere.
    suspect_failures: Count = 2
    # Wait of a suspected worker after a failure until its next canary.
    probation_s: Positive = 30.0
    # Ratio of service latency to its target that starts and ends throttling.
    throttle_above: Positive = 1.0
    # Lower than `throttle_above`, so that a worker does not alternate.
    release_below: Positive = 0.7
    # Part of their declared processors that throttled attempts keep.
    throttle_share: Fraction = 0.5
    # Throttling needs this long to show in lagging samples.
    evict_after_s: Positive = 10.0
    # Calm time before attempts get all their processors back.
    release_after_s: Positive = 5.0
    # Weight of the class prior, in samples, in an interference estimate.
    prior_weight: Positive = 8.0
    # Waiting that raises a task by one priority, up to just below urgent, and
    # after which a task that fits nowhere keeps a worker free for itself.
    aging_s: Positive = 60.0
    # Ended tasks that a shard remembers; an older id counts as new.
    finished_kept: Count = 2000
    # Samples that an estimate remembers; at one a second, some minutes.
    memory_samples: Count = 200
    # Part of a worker open to batch work without a cluster_limits document;
    # equal to the default of that document.
    batch_fraction: Fraction = 0.75
    # Attempts at once on a worker that has not yet shown that it runs
    # anything: the number of tasks that a worker that fails all may cost.
    unproven_attempts: Count = 3
    # A run this long shows that a worker starts tasks properly.
    proven_s: Positive = 2.0
    # Failures count against a worker for this long.
    evidence_s: Positive = 600.0
    # Starts handed to one worker, and to all of a shard, in one round.
    starts_per_round: Count = 16
    # Bounds the time of one round, during which nothing else runs.
    placements_per_round: Count = 200
    # Workers compared for one placement: the best of 16 is on average within
    # the best 6%, and the cost does not grow with the cluster.
    candidates: Count = 16
    # Weights in a worker's score, in units of one service's ratio of p99 to
    # target: interference, share of a class in one rack, estimated load.
    interference_weight: Positive = 1.0
    # Weight of the part of a class that runs in the same rack.
    rack_weight: Positive = 0.2
    # Weight of the estimated real use of a worker.
    load_weight: Positive = 0.1
    # A task that fits no listed worker ends after this time; instance lists
    # lag by seconds.
    impossible_after_s: Positive = 30.0
    # Usage is sampled about once a second; one fetch brings all samples.
    usage_s: Positive = 2.0
    # Two samples closer than this are the same one, seen in two reports; it
    # covers the delay of a reply and is below the sampling interval.
    sample_gap_s: Positive = 0.2
    # A checkpoint that takes longer is given up.
    checkpoint_limit_s: Positive = 30.0
    # Time that a stream read for one question is followed afterwards.
    follow_idle_s: Positive = 60.0
    # An unreachable worker keeps a task that was not yet started this long.
    start_retry_s: Positive = 1.0
    # Longest wait until the own reader shows a record that was appended.
    fold_wait_s: Positive = 3.0


class Requests(StrictStruct):
    """Slots, queues, retries and ejection."""

    # Properties of a runner, which refuses what exceeds them.
    slots_per_target: Count = 8
    # What a target accepts from all processes together.
    connections_per_target: Count = 64
    # Slots of this process that long-running classes may not take, as a
    # fraction of all slots it holds.
    reserved_fraction: Fraction = 0.5
    # Measured run time above which a class counts as long.
    long_run_s: Positive = 1.0
    # Part of all slots that a class may hold until its run time is known,
    # so that a wrongly declared one cannot take them all.
    unmeasured_fraction: Fraction = 0.25
    # Waiting requests of all classes; bounds memory with `body_limit_bytes`.
    queue_limit: Count = 1000
    # Largest body read from a caller; a class may set less.
    body_limit_bytes: Count = 1_048_576
    # Largest answer taken from a runner, which is held in memory whole.
    answer_limit_bytes: Count = 16_777_216
    # Callers, entries and runners are about 1 ms apart.
    connect_timeout_s: Positive = 0.5
    # Connections idle for longer are closed; state in between may be gone.
    idle_connection_s: Positive = 30.0
    # A started exchange silent for this many times the class's slow run time
    # (99th percentile) is given up and its connection closed.
    silence_factor: Positive = 4.0
    # Shortest such limit in seconds; pauses of a busy machine stay below it.
    silence_floor_s: Positive = 0.25
    # Retries per answered exchange; bounds the load that retries add.
    retry_ratio: Fraction = 0.1
    # Retries that one short fault may take at once.
    retry_burst: Count = 20
    # Exchanges of one request in which a byte was sent.
    attempt_limit: Count = 3
    # Distinct connections that fail without a success in between.
    eject_failures: Count = 3
    # First delay of an ejected target; it doubles up to the longest.
    eject_base_s: Positive = 1.0
    # Longest delay of an ejected target.
    eject_max_s: Positive = 30.0
    # Part by which a delay varies both ways, so that processes spread out.
    eject_jitter: Fraction = 0.3
    # Part of the targets that may be ejected while they take connections; if
    # more fail together, the load is the cause and not the targets.
    eject_share: Fraction = 0.5
    # A target is slow when its average run time exceeds this many medians.
    slow_ratio: Positive = 5.0
    # Fewer samples say too little about a target.
    slow_samples: Count = 3
    # Weight of the newest run time in a target's moving average.
    latency_weight: Fraction = 0.2
    # Time in which a returned target goes from a tenth to its full work.
    ramp_s: Positive = 5.0
    # Free targets compared for one request; more cost time and gain little.
    routing_choices: Count = 4
    # Run times kept per class; 256 hold two above the 99th percentile.
    run_window: Count = 256
    # Run times needed before a class's percentile limits its exchanges.
    run_samples: Count = 20
    # Pause of a slot after its connection failed, against tight loops.
    reconnect_s: Positive = 0.1
    # A target silent for longer is probed, so that one that leaves is noticed
    # within seconds although the instance list lags.
    probe_interval_s: Positive = 2.0
    # Longest wait for the reply to a probe, which takes a runner no work.
    probe_timeout_s: Positive = 0.5
    # A target missing from the list for longer gets no new work; shorter gaps
    # are faults of the list.
    absence_grace_s: Positive = 5.0
    # A larger share of a target's slots must stand this long before it is
    # used: longer than a heartbeat interval, so that a new process has heard
    # its peers.
    slot_settle_s: Positive = 1.5
    # Period of the checks for expired requests and idle connections.
    sweep_s: Positive = 0.05
    # Bounds of the retry hint; the upper one keeps callers from waiting past
    # the end of a short peak.
    hint_min_s: Positive = 0.1
    # Longest retry hint.
    hint_max_s: Positive = 30.0
    # Request ids remembered to tell apart requests for which callers chose
    # the same id; 4096 take about 0.5 MB.
    recent_ids: Count = 4096
    # Seconds of waiting that raise a request by one priority.
    aging_s: Positive = 5.0
    # Part of a member's free slots that this process fills between two of its
    # heartbeats; the other processes fill theirs meanwhile.
    spill_headroom: Fraction = 0.25


class Keys(StrictStruct):
    """Idempotency keys of non-idempotent requests."""

    # A request issued earlier is refused; bounds the keys kept.
    window_s: Positive = 600.0
    # How far a caller's clock may be ahead.
    skew_s: Positive = 5.0
    # A claim not confirmed by then means "not run".
    claim_timeout_s: Positive = 2.0
    # Largest answer kept for a repeat of the request.
    answer_bytes: Count = 2048


class Operators(StrictStruct):
    """Operators' address and configuration changes."""

    # Changes, valid and void, that a process remembers for operators.
    history_kept: Count = 1000
    # Time for a published change to come back through the log.
    confirm_s: Positive = 5.0
    # Largest document read from an operator.
    body_limit_bytes: Count = 1_048_576


class Drain(StrictStruct):
    """Graceful shutdown."""

    # Time for the balancer to notice before requests are refused.
    notice_s: Positive = 1.0
    # Longest time given to requests in flight.
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
    """Reads and checks a settings file; Err lists every fault."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return result.Err([validation.Fault("$", f"cannot be read: {error}")])
    return decode_settings(text)


def decode_settings(
    text: bytes,
) -> result.Result[Settings, list[validation.Fault]]:
    """Decodes and checks the JSON of a settings file."""
    decoded = validation.decode_document(text, Settings)
    if decoded.is_err():
        return decoded
    faults = check_settings(decoded.ok_value)
    return result.Err(faults) if faults else decoded


def check_settings(settings: Settings) -> list[validation.Fault]:
    """Lists faults between settings that are each valid by themselves."""
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
    """Splits a checked `ip:port` into its parts."""
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
    """Tells whether `address` is of the form ip:port."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 < int(port) < 65536
    except ValueError:
        return False
