"""Evacuated failure domains: the operator has nothing more started there.

What runs there goes on. Each process holds the evacuated domains beside its
configuration, from the same records and the same peers; the owner marks the
runners of these domains.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import enum
from typing import NamedTuple

from plantainvane import events
from plantainvane.jobs import backlog
from plantainvane.jobs import model
from plantainvane.jobs import peers
from plantainvane.jobs import settings as settings_module
from plantainvane.jobs import state as state_module

_MAX_SHOWN_CHARACTERS = 100


class Request(enum.Enum):
    """What a record of the operator asks; UNREADABLE changes nothing."""

    EVACUATE = enum.auto()
    TAKE_BACK = enum.auto()
    UNREADABLE = enum.auto()


class Record(NamedTuple):
    """A record that concerns a domain."""

    offset: int
    domain: str
    request: Request


@dataclasses.dataclass(slots=True)
class Evacuations:
    """The evacuated domains as far as a process knows.

    Attributes:
      domains: The evacuated domains, each with the offset of its newest record.
        Replaced at each change.
      followed_to: Offset up to which that is complete, or -1.
    """

    domains: dict[str, int] = dataclasses.field(default_factory=dict)
    followed_to: int = -1

    def apply(self, records: Iterable[Record], next_offset: int) -> None:
        """Applies records that follow each other, up to an offset.

        Those that are older than what is known of the domain are ignored, as
        peers may have told of newer ones before the log is read on.
        """
        domains = dict(self.domains)
        for record in records:
            if record.offset < domains.get(record.domain, -1):
                continue
            if record.request is Request.EVACUATE:
                domains[record.domain] = record.offset
            elif record.request is Request.TAKE_BACK:
                domains.pop(record.domain, None)
        self.domains = domains
        self.followed_to = next_offset

    def replace(self, records: Iterable[Record], followed_to: int) -> None:
        """Takes over the newest record of each domain, up to an offset.

        Only what peers have told of later records is kept besides.
        """
        domains = {
            domain: offset
            for domain, offset in self.domains.items()
            if offset >= followed_to
        }
        for record in records:
            known = self.domains.get(record.domain, -1)
            if record.request is Request.EVACUATE:
                domains[record.domain] = max(known, record.offset)
            elif record.request is Request.UNREADABLE and known >= 0:
                domains[record.domain] = known
        self.domains, self.followed_to = domains, followed_to

    def merge(self, domains: dict[str, int], followed_to: int) -> None:
        """Takes over what is newer in a peer's, complete to an offset."""
        is_newer = followed_to > self.followed_to
        merged = {
            domain: offset
            for domain, offset in self.domains.items()
            if domain in domains or offset >= followed_to or not is_newer
        }
        for domain, offset in domains.items():
            # One that is older and not known has been taken back since.
            if domain in merged or offset >= self.followed_to:
                merged[domain] = max(offset, merged.get(domain, -1))
        self.domains = merged
        self.followed_to = max(self.followed_to, followed_to)


def describe(evacuations: Evacuations) -> tuple[dict[str, int], int]:
    """Returns the domains and the offset for a reply to a peer.

    More domains than fit into a reply tell nothing, as a part would take back
    the others.
    """
    if len(evacuations.domains) > peers.MAX_DOMAINS:
        return {}, -1
    return evacuations.domains, evacuations.followed_to


def select_records(
    records: Iterable[tuple[int, str, bytes | None]],
    prefix: str,
    is_readable: Callable[[bytes], bool],
) -> list[Record]:
    """Selects the evacuations among records, and reports unreadable ones."""
    selected = []
    for offset, key, value in records:
        if not key.startswith(prefix):
            continue
        domain = key[len(prefix) :]
        if value is None:
            selected.append(Record(offset, domain, Request.TAKE_BACK))
            continue
        reason = ""
        if not domain or "\ufffd" in domain:
            reason = "it names no domain"
        elif len(domain) > peers.MAX_NAME_CHARACTERS:
            reason = "the name of the domain is too long"
        elif not is_readable(value):
            reason = f"its value of {len(value)} bytes cannot be read"
        if not reason:
            selected.append(Record(offset, domain, Request.EVACUATE))
            continue
        events.log_event(
            events.EVACUATION_MALFORMED,
            key=key[:_MAX_SHOWN_CHARACTERS],
            offset=offset,
            reason=reason,
        )
        selected.append(Record(offset, domain, Request.UNREADABLE))
    return selected


def change_domains(owner: state_module.Owner, domains: frozenset[str]) -> None:
    """Marks the runners of the evacuated domains from now on."""
    changed = owner.evacuated ^ domains
    owner.evacuated = domains
    for runner in owner.runners.values():
        runner.evacuated = runner.entry.domain in domains
    if owner.recovered:
        report_domains(owner, changed)
        update_shut_out(owner)
    owner.request_pass()


def report_domains(owner: state_module.Owner, domains: Collection[str]) -> None:
    """Reports what the owner has in some domains, as their state changes."""
    for domain in sorted(domains):
        runners = [
            r for r in owner.runners.values() if r.entry.domain == domain
        ]
        evacuated = domain in owner.evacuated
        events.log_event(
            events.DOMAIN_EVACUATED,
            domain=domain,
            evacuated=evacuated,
            runners=len(runners),
            runs=sum(len(r.runs) for r in runners),
            epoch=owner.epoch,
        )
        if evacuated and not runners:
            events.log_event(
                events.EVACUATION_UNKNOWN,
                domain=domain,
                known=sorted({r.entry.domain for r in owner.runners.values()}),
                epoch=owner.epoch,
            )


def update_shut_out(owner: state_module.Owner) -> None:
    """Finds again which work only evacuated runners could run."""
    if not owner.evacuated and not owner.shut_out:
        return
    found = tuple(find_shut_out(owner))
    if found != owner.shut_out:
        events.log_event(
            events.WORK_SHUT_OUT,
            before=owner.shut_out,
            shut_out=found,
            epoch=owner.epoch,
        )
    owner.shut_out = found


def find_shut_out(owner: state_module.Owner) -> list[tuple[str, str]]:
    """Returns the services and labels whose listed runners are all evacuated.

    The label is empty where that holds for all runners of the service.
    """
    evacuated, others = set(), set()
    for runner in owner.runners.values():
        if not runner.listed:
            continue
        service = runner.entry.service
        pairs = {(service, label) for label in ("", *runner.entry.labels)}
        (evacuated if runner.evacuated else others).update(pairs)
    found = evacuated - others
    named = [
        (service, label)
        for service, label in found
        if max(len(service), len(label)) <= peers.MAX_NAME_CHARACTERS
        and (not label or (service, "") not in found)
    ]
    # Few jobs require a rack, and there are many.
    racks = {runner.rack for runner in owner.runners.values()}
    named.sort(key=lambda pair: (pair[1] in racks, pair))
    return named[: peers.MAX_SHUT_OUT]


def is_shut_out(
    job: model.Job, shut_out: Collection[tuple[str, str]], wall_ms: int
) -> bool:
    """Tells whether only evacuated runners could run some step of a job.

    A job that is not due yet is none of these: the evacuation may be over.
    """
    if job.start_at_ms > wall_ms:
        return False
    return any(
        (job.service, label) in shut_out
        for step in job.steps
        for label in {"", step.required_label}
    )


def choose_retry_after(settings: settings_module.Settings, job_id: str) -> int:
    """Returns the seconds after which a job that is shut out may return."""
    return backlog.spread_retry_after(settings.evacuated_retry_s, job_id)
