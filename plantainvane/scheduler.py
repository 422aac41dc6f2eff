"""Batch scheduler of one process.

Submits, finds and cancels tasks of any shard, and runs the shards that this
process owns.
"""

import functools
import time
from typing import Any

import anyio
import anyio.abc
import msgspec
import result

from plantainvane import claims as claims_module
from plantainvane import documents
from plantainvane import dumps
from plantainvane import events
from plantainvane import http_client
from plantainvane import instances
from plantainvane import log
from plantainvane import metrics
from plantainvane import outcomes
from plantainvane import readers
from plantainvane import records
from plantainvane import settings as settings_module
from plantainvane import shard_loop
from plantainvane import shards
from plantainvane import tasks
from plantainvane import views
from plantainvane import worker_loop
from plantainvane import workers
from plantainvane import writers


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """A task to submit.

    callers.TaskRequest has the same fields.
    """

    task: str
    batch_class: str
    work: dict[str, Any]
    domain: str | None = None
    size: documents.Size | None = None


class Scheduler:
    """Runs the shards that this process owns, and submits tasks to any shard.

    Attributes:
      claims: Who owns which shard of this failure domain.
      shards: Shards owned by this process, by shard number.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        configuration: Any,
        membership: Any,
        client: http_client.Client,
        identity: writers.Identity,
        make_worker_client: Any = workers.make_client,
        make_log_client: Any = log.make_client,
    ):
        self._settings = settings
        self._configuration = configuration
        self._membership = membership
        self._client = client
        self._identity = identity
        self._make_worker_client = make_worker_client
        self._make_log_client = make_log_client
        self._claims_settings = _shorten_calls(settings)
        self._claims_client: http_client.Client | None = None
        self._instances: dict[str, instances.Instance] = {}
        self._workers_by_shard: dict[int, dict[str, instances.Instance]] = {}
        self._views: dict[tuple[str, int], views.StreamView] = {}
        self._view_scopes: dict[tuple[str, int], anyio.CancelScope] = {}
        self._writers: dict[str, writers.Writer] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._releasing = False
        self._claim_failing = False
        self._claims_changed = anyio.Event()
        self._lapsed_shards: set[int] = set()
        stream = records.name_claims_stream(settings.domain)
        self._claims_position = readers.Position(stream)
        self.claims = claims_module.Claims(settings, identity)
        self.shards: dict[int, shards.Shard] = {}

    def update_workers(
        self, listed: list[instances.Instance], now: float
    ) -> None:
        """Applies a new instance list, keeping the workers of this domain."""
        self._instances = {
            instance.id: instance
            for instance in listed
            if instance.kind == instances.InstanceKind.WORKER
            and instance.domain == self._settings.domain
        }
        self._workers_by_shard = {}
        for id, instance in self._instances.items():
            number = claims_module.hash_to_shard(self._settings, id)
            self._workers_by_shard.setdefault(number, {})[id] = instance
        for shard in self.shards.values():
            shards.wake_shard(shard)

    async def submit_task(
        self, submission: Any
    ) -> result.Result[str, outcomes.CallError]:
        """Appends a task to the log of its shard.

        Args:
          submission: A Submission, or anything with the same fields.

        Returns:
          Ok with the task id once the log has stored the record. Err REFUSED
          if the batch class or the failure domain is unknown. Err LOST if the
          record may have been stored; submitting again under the same id is
          safe.
        """
        if self._configuration.find_batch_class(submission.batch_class) is None:
            return _refuse(
                f"batch class {submission.batch_class!r} is not in force"
            )
        if self._group is None:
            return _fail(
                outcomes.CallFailure.UNREACHED,
                "the scheduler has not started yet",
            )
        domain, shard = claims_module.find_home_shard(
            self._settings, submission.task, submission.domain
        )
        if domain not in self._settings.domains:
            return _refuse(f"failure domain {domain!r} does not exist")
        writer = self._get_writer(records.name_tasks_stream(domain, shard))
        appended = await writer.append(
            records.TaskSubmit,
            task=submission.task,
            batch_class=submission.batch_class,
            submitted=time.time(),
            work=submission.work,
            size=submission.size,
        )
        return appended.map(lambda _: submission.task).map_err(
            _convert_log_error
        )

    async def find_task(self, task: str) -> dict[str, Any] | None:
        """Returns a task as JSON-ready values, or None if it is unknown.

        Searches the home domain first and then the others, because a
        submission may have named another domain. While the log is down, the
        state is the one last read.
        """
        found = await self._locate_task(task)
        return None if found is None else _describe_task(found[1])

    async def cancel_task(
        self, task: str
    ) -> result.Result[str, outcomes.CallError]:
        """Requests that a task be cancelled.

        Returns:
          Ok with the task id once the log has stored the request, or if the
          task has already ended. Err REFUSED if the task is unknown.
        """
        found = await self._locate_task(task)
        if found is None:
            return _refuse(f"task {task!r} is not known")
        view, state = found
        if state.phase == tasks.TaskPhase.FINISHED:
            return result.Ok(task)
        writer = self._get_writer(view.position.stream)
        appended = await writer.append(records.TaskCancel, task=task)
        return appended.map(lambda _: task).map_err(_convert_log_error)

    async def release_claims(self) -> None:
        """Releases all shards after the commands in flight; for shutdown."""
        self._releasing = True
        for number in list(self.shards):
            await self._release_shard(number)

    async def run(self) -> None:
        """Runs the scheduler until cancelled."""
        async with (
            self._make_log_client(self._claims_settings) as client,
            anyio.create_task_group() as group,
        ):
            self._claims_client = client
            self._group = group
            group.start_soon(self._follow_claims)
            group.start_soon(self._expire_idle_views)
            group.start_soon(self._hand_over_shards)
            group.start_soon(self._export_metrics)
            try:
                await self._maintain_claims()
            finally:
                group.cancel_scope.cancel()

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns claims, shards, streams and writers as JSON-ready values."""
        return {
            "claims": self.claims.dump_state(now),
            "claims_stream": self._claims_position.dump_state(now),
            "releasing": self._releasing,
            "workers_listed": len(self._instances),
            "shards": {
                str(number): dumps.dump_shard(shard, now)
                for number, shard in sorted(self.shards.items())
            },
            "streams": [
                view.position.dump_state(now)
                for view in list(self._views.values())[: dumps.DUMP_LIMIT]
            ],
            "writers": [
                writer.dump_state(now)
                for writer in list(self._writers.values())[: dumps.DUMP_LIMIT]
            ],
        }

    async def _follow_claims(self) -> None:
        def apply(entries: readers.Entries, now: float) -> None:
            self.claims.apply_records(entries, now)
            changed, self._claims_changed = self._claims_changed, anyio.Event()
            changed.set()
            # Immediately, so that a superseded owner renews no more leases.
            self._sync_shards()

        await readers.follow_stream(
            self._claims_settings,
            self._claims_client,
            self._claims_position,
            records.ClaimRecord,
            apply,
        )

    async def _maintain_claims(self) -> None:
        """Renews this process's claims and takes over unowned shards."""
        renewed_at = float("-inf")
        settings = self._settings.claims
        while True:
            now = anyio.current_time()
            members = self._list_members(now)
            proposed = self._propose_claims(members, now)
            own = self.claims.list_own()
            due = now - renewed_at >= settings.renew_s and own
            if (due or proposed) and not self._releasing:
                renewed_at = now
                await self._append_claims(own + proposed, now)
            self._sync_shards()
            await anyio.sleep(settings.check_s)

    async def _hand_over_shards(self) -> None:
        """Releases shards whose preferred owner is another member.

        Runs in a task of its own, so that renewals never wait for a handover.
        """
        while True:
            # A handover, unlike a takeover, has no deadline.
            claims = self._settings.claims
            await anyio.sleep(min(claims.renew_s, claims.handover_after_s / 10))
            now = anyio.current_time()
            number = self.claims.propose_handover(self._list_members(now), now)
            for shard in list(self.shards.values()):
                chosen = shard.number == number and shard.opened_at is not None
                # While the log is down, no other member could take over.
                if (shard.superseded or chosen) and shards.may_act(shard):
                    await self._release_shard(shard.number)

    async def _export_metrics(self) -> None:
        while True:
            metrics.set_batch_gauges(
                len(self.shards),
                [dumps.count_states(s) for s in self.shards.values()],
            )
            await anyio.sleep(self._settings.claims.renew_s)

    def _list_members(self, now: float) -> list[str]:
        domain = self._settings.domain
        return [member.id for member in self._membership.list_live(domain, now)]

    def _propose_claims(
        self, members: list[str], now: float
    ) -> list[records.ShardClaim]:
        used = self._claims_settings.log
        slack_s = used.poll_wait_s + used.call_timeout_s
        if now - self._claims_position.caught_up_at > slack_s:
            return []
        return self.claims.propose_claims(members, now)

    async def _append_claims(
        self, claimed: list[records.ShardClaim], sent_at: float
    ) -> None:
        writer = self._get_writer(self._claims_position.stream)
        self.claims.begin_append(sent_at)
        appended = await writer.append(
            records.Claim, shards=claimed, ttl_s=self._settings.claims.ttl_s
        )
        if appended.is_ok():
            self._claim_failing = False
            self.claims.note_append(appended.ok_value, sent_at)
            with anyio.move_on_after(self._settings.tasks.fold_wait_s):
                while self.claims.next_offset <= appended.ok_value:
                    await self._claims_changed.wait()
        elif not self._claim_failing:
            self._claim_failing = True
            events.log_event(
                events.CLAIM_FAILING, detail=appended.err_value.detail
            )

    def _sync_shards(self) -> None:
        """Starts and stops the shard loops as the claims change."""
        now = anyio.current_time()
        for number, shard in list(self.shards.items()):
            if not self.claims.is_own(number, shard.epoch):
                events.log_event(
                    events.CLAIM_LOST, shard=number, epoch=shard.epoch
                )
                self._drop_shard(number)
            else:
                self._track_validity(number, shard, now)
        for claim in self.claims.list_own():
            number, epoch = claim.shard, claim.epoch
            known = number in self.shards
            if known or not self.claims.holds_shard(number, epoch, now):
                continue
            if self._group is not None and not self._releasing:
                self._start_shard(number, epoch)

    def _track_validity(
        self, number: int, shard: shards.Shard, now: float
    ) -> None:
        if self.claims.holds_shard(number, shard.epoch, now):
            self._lapsed_shards.discard(number)
        elif number not in self._lapsed_shards:
            self._lapsed_shards.add(number)
            events.log_event(
                events.CLAIM_LAPSED, shard=number, epoch=shard.epoch
            )

    def _start_shard(self, number: int, epoch: int) -> None:
        view = self._get_view(self._settings.domain, number)
        view.owned = True
        shard = shards.Shard(
            settings=self._settings,
            number=number,
            epoch=epoch,
            claims=self.claims,
            configuration=self._configuration,
            stream_view=view,
            writer=self._get_writer(view.position.stream),
            list_instances=functools.partial(self._list_workers, number),
            make_client=self._connect_worker,
            list_started_elsewhere=functools.partial(
                self._list_started_elsewhere, number
            ),
            run_worker=worker_loop.run_worker,
        )
        self.shards[number] = shard
        events.log_event(events.CLAIM_WON, shard=number, epoch=epoch)
        self._group.start_soon(shard_loop.run_shard, shard)

    def _drop_shard(self, number: int) -> None:
        shard = self.shards.pop(number)
        shard.scope.cancel()
        shard.stream_view.owned = False
        shard.stream_view.used_at = anyio.current_time()
        self._lapsed_shards.discard(number)

    async def _release_shard(self, number: int) -> None:
        shard = self.shards.get(number)
        if shard is None:
            return
        shard.draining = True
        with anyio.move_on_after(self._settings.claims.release_wait_s):
            while shard.placing or shard.ending:
                await anyio.sleep(self._settings.claims.check_s / 10)
        if self.shards.get(number) is not shard:
            return
        self._drop_shard(number)
        writer = self._get_writer(self._claims_position.stream)
        claim = records.ShardClaim(number, shard.epoch)
        await writer.append(records.Release, shards=[claim])
        events.log_event(events.CLAIM_RELEASED, shard=number, epoch=shard.epoch)

    def _list_workers(self, number: int) -> dict[str, instances.Instance]:
        return self._workers_by_shard.get(number, {})

    def _list_started_elsewhere(self, number: int) -> list[tasks.Task] | None:
        """Lists the started tasks of all other shards of the deployment.

        The first call starts to follow their streams. Returns None until all
        of these streams are read up to date.
        """
        now = anyio.current_time()
        started: list[tasks.Task] = []
        current = True
        for domain in self._settings.domains:
            for shard in range(self._settings.claims.shards):
                if (domain, shard) == (self._settings.domain, number):
                    continue
                view = self._get_view(domain, shard)
                current &= views.is_current(self._settings, view, now)
                for there in view.table.started.values():
                    started.extend(there.values())
        return started if current else None

    def _connect_worker(
        self, instance: instances.Instance
    ) -> http_client.Client:
        return self._make_worker_client(self._settings, instance.address)

    def _get_writer(self, stream: str) -> writers.Writer:
        """Returns the writer of a stream.

        A stream has one writer per process, because two would interleave
        their sequence numbers.
        """
        writer = self._writers.get(stream)
        if writer is None:
            settings, client = self._settings, self._client
            if stream == self._claims_position.stream:
                settings, client = self._claims_settings, self._claims_client
            writer = writers.Writer(settings, client, self._identity, stream)
            self._writers[stream] = writer
            self._group.start_soon(writer.run)
        return writer

    def _get_view(self, domain: str, shard: int) -> views.StreamView:
        now = anyio.current_time()
        view = self._views.get((domain, shard))
        if view is None:
            view = views.make_view(self._settings, domain, shard, now)
            self._views[domain, shard] = view
            self._group.start_soon(self._follow_view, view)
        view.used_at = now
        return view

    async def _follow_view(self, view: views.StreamView) -> None:
        with anyio.CancelScope() as scope:
            self._view_scopes[view.domain, view.shard] = scope
            await views.follow_view(self._settings, self._client, view)

    async def _expire_idle_views(self) -> None:
        """Stops following streams of other domains that are no longer used.

        The streams of this process's domain are always followed, so that a
        takeover is quick.
        """
        idle_s = self._settings.tasks.follow_idle_s
        for shard in range(self._settings.claims.shards):
            self._get_view(self._settings.domain, shard)
        while True:
            await anyio.sleep(idle_s / 10)
            now = anyio.current_time()
            for key, view in list(self._views.items()):
                idle = now - view.used_at > idle_s and not view.owned
                if idle and view.domain != self._settings.domain:
                    del self._views[key]
                    self._view_scopes.pop(key).cancel()

    async def _locate_task(
        self, task: str
    ) -> tuple[views.StreamView, tasks.Task] | None:
        if self._group is None:
            return None
        home, shard = claims_module.find_home_shard(self._settings, task)
        others = [name for name in self._settings.domains if name != home]
        followed = [self._get_view(domain, shard) for domain in [home, *others]]
        limit_s = self._settings.tasks.fold_wait_s
        for wait_s in (0.0, limit_s):
            for view in followed:
                if wait_s:
                    await views.wait_current(self._settings, view, wait_s)
                found = view.table.find_task(task)
                if found is not None:
                    return view, found
        return None


def _shorten_calls(
    settings: settings_module.Settings,
) -> settings_module.Settings:
    """Returns settings for the claims stream with shorter timeouts.

    With these, a connection that goes silent does not cost a claim: the call
    times out after half of the claim's ttl, and a claim that is then missing
    from the stream is appended again at once. A duplicate has no effect.
    """
    claims = settings.claims
    shortened = msgspec.structs.replace(
        settings.log,
        call_timeout_s=min(settings.log.call_timeout_s, claims.ttl_s / 2),
        poll_wait_s=min(settings.log.poll_wait_s, claims.renew_s),
        append_settle_s=min(settings.log.append_settle_s, claims.check_s),
        append_limit_s=min(settings.log.append_limit_s, claims.ttl_s),
    )
    return msgspec.structs.replace(settings, log=shortened)


def _describe_task(task: tasks.Task) -> dict[str, Any]:
    """Returns a task as the JSON-ready values that its submitter sees."""
    return {
        "task": task.id,
        "batch_class": task.batch_class,
        "state": task.phase.value,
        "attempt": task.attempt,
        "worker": task.worker,
        "evictions": task.evictions,
        "cancelled": task.cancelled,
        "outcome": task.outcome.value if task.outcome else None,
        "detail": task.detail,
        "output": task.output,
    }


def _convert_log_error(error: outcomes.CallError) -> outcomes.CallError:
    """Reports a refusal by the log as UNREACHED.

    REFUSED would tell the submitter that the task itself is invalid.
    """
    if error.failure is not outcomes.CallFailure.REFUSED:
        return error
    return outcomes.CallError(outcomes.CallFailure.UNREACHED, error.detail)


def _refuse(detail: str) -> result.Err[outcomes.CallError]:
    return _fail(outcomes.CallFailure.REFUSED, detail)


def _fail(
    failure: outcomes.CallFailure, detail: str
) -> result.Err[outcomes.CallError]:
    return result.Err(outcomes.CallError(failure, detail))
