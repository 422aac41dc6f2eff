"""Views of task streams that this process follows, as owner or not."""

import dataclasses

import anyio

from plantainvane import http_client
from plantainvane import readers
from plantainvane import records
from plantainvane import settings as settings_module
from plantainvane import tasks


@dataclasses.dataclass(slots=True)
class StreamView:
    """Fold of one shard's task stream.

    Attributes:
      table: The folded tasks.
      position: Position of the reader in the stream.
      used_at: Monotonic time of the last use.
      owned: Whether this process owns the shard; an owned view does not
        expire.
      changed: Set when the next records are applied, then replaced.
    """

    domain: str
    shard: int
    table: tasks.TaskTable
    position: readers.Position
    used_at: float
    owned: bool = False
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)


def make_view(
    settings: settings_module.Settings, domain: str, shard: int, now: float
) -> StreamView:
    """Creates a view; follow_view() fills it."""
    stream = records.name_tasks_stream(domain, shard)
    table = tasks.TaskTable(settings)
    return StreamView(domain, shard, table, readers.Position(stream), now)


async def follow_view(
    settings: settings_module.Settings,
    client: http_client.Client,
    view: StreamView,
) -> None:
    """Follows the stream until cancelled."""

    def apply(entries: readers.Entries, now: float) -> None:
        view.table.apply_records(entries, now)
        if not view.owned:
            view.table.changed_tasks.clear()
            view.table.changed_workers.clear()
        changed, view.changed = view.changed, anyio.Event()
        changed.set()

    await readers.follow_stream(
        settings, client, view.position, records.TaskRecord, apply
    )


async def wait_folded(view: StreamView, offset: int, limit_s: float) -> bool:
    """Waits until the record at `offset` is folded; False after `limit_s`."""
    with anyio.move_on_after(limit_s):
        while view.table.next_offset <= offset:
            await view.changed.wait()
    return view.table.next_offset > offset


def is_current(
    settings: settings_module.Settings, view: StreamView, now: float
) -> bool:
    """Returns whether the view is no older than the long polls allow."""
    slack = settings.log.poll_wait_s + settings.log.call_timeout_s
    return now - view.position.caught_up_at <= slack


async def wait_current(
    settings: settings_module.Settings, view: StreamView, limit_s: float
) -> bool:
    """Waits until the view is current; False after `limit_s`."""
    with anyio.move_on_after(limit_s):
        while not is_current(settings, view, anyio.current_time()):
            await view.changed.wait()
    return is_current(settings, view, anyio.current_time())
