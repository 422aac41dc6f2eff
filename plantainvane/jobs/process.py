"""State of one entry process of the job scheduler."""

import dataclasses

import anyio
import anyio.abc

from plantainvane.jobs import clock
from plantainvane.jobs import evacuations as evacuations_module
from plantainvane.jobs import intake as intake_module
from plantainvane.jobs import interfaces
from plantainvane.jobs import journal as journal_module
from plantainvane.jobs import load as load_module
from plantainvane.jobs import model
from plantainvane.jobs import ownership as ownership_module
from plantainvane.jobs import peers as peers_module
from plantainvane.jobs import reach as reach_module
from plantainvane.jobs import room as room_module
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import sources as sources_module
from plantainvane.jobs import state as state_module


@dataclasses.dataclass(slots=True)
class PeerStatus:
    """State of a peer according to its last ping.

    Attributes:
      pinged_at: When the ping was received.
      config_version: Version of the peer's configuration, or -1.
      may_own: The peer is able to become the owner.
      capacity: Processor cores that are available to the peer.
      ping_after_s: Time until its next ping, as this process has asked; 0 for
        the default.
    """

    pinged_at: float
    config_version: int
    may_own: bool
    capacity: float = 1.0
    ping_after_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Successor:
    """A later owner that a peer has told of, and the log perhaps not yet.

    Attributes:
      epoch: Its epoch.
      address: Its peer address.
    """

    epoch: int
    address: str


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """State of one entry process.

    Attributes:
      incarnation: Start time of the process, Unix nanoseconds.
      configuration: Configuration in force, or None before the first.
      document: The operator's document that `configuration` was decoded from.
      sources: What it has heard from the sources of its configuration.
      evacuations: Failure domains that the operator has evacuated.
      owner: Set while this process is the owner.
      successor: Owner after this process, as a peer has told it, or None.
      confirm_lock: Serializes the reads that confirm an ownership on offer.
      known_peers: Peers that have pinged this process, by address.
      reported_version: Newer configuration version that a peer has reported
        once, or -1.
      owner_doubted: Set to ping the owner before the next ping is due.
      recovering_epoch: Epoch of the owner that was last found recovering, or
        -1.
      next_question_at: That owner is not asked before this time.
      draining: A termination signal was received.
      stopping: Set when the drain period is over.
      claim_lock: Serializes claims of this process.
      group: Task group of the components, or None while they do not run.
      load: Load of this process.
      waits: Expected waits by priority, as the owner has last reported them.
      shut_out: Services and labels that it has last reported as shut out.
      room: Tasks of further jobs that the owner takes, likewise.
      waits_at: When it has reported them.
      comparisons: Comparisons of this process's reach with that of the owner.
      started_at: When this process began, by its monotonic clock.
      ended_epoch: Epoch of its last ownership that has ended, or -1.
      leases_end_at: When all leases have expired that this process extended as
        an owner, and those of owners before it.
    """

    settings: settings_module.Settings
    adapters: interfaces.Adapters
    incarnation: int
    health: journal_module.Health
    ownership: ownership_module.Ownership
    peers: peers_module.PeerClient
    intake: intake_module.Intake | None = None
    configuration: model.Configuration | None = None
    document: bytes = b""
    sources: sources_module.Sources = dataclasses.field(
        default_factory=sources_module.Sources
    )
    evacuations: evacuations_module.Evacuations = dataclasses.field(
        default_factory=evacuations_module.Evacuations
    )
    owner: state_module.Owner | None = None
    successor: Successor | None = None
    confirm_lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    known_peers: dict[str, PeerStatus] = dataclasses.field(default_factory=dict)
    reported_version: int = -1
    owner_doubted: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    recovering_epoch: int = -1
    next_question_at: float = 0.0
    draining: bool = False
    stopping: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    claim_lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    group: anyio.abc.TaskGroup | None = None
    load: load_module.Load = dataclasses.field(default_factory=load_module.Load)
    waits: dict[int, float] = dataclasses.field(default_factory=dict)
    shut_out: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    room: room_module.Room | None = None
    waits_at: float = float("-inf")
    comparisons: reach_module.Comparisons = dataclasses.field(
        default_factory=reach_module.Comparisons
    )
    started_at: float = dataclasses.field(default_factory=clock.read_now)
    ended_epoch: int = -1
    leases_end_at: float = float("-inf")

    @property
    def ready(self) -> bool:
        """Whether the process can serve callers."""
        return self.configuration is not None and not self.draining
