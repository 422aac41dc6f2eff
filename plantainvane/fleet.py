"""The targets of the failure domain: listing, retirement and ejection."""

import collections
from collections.abc import Callable
from typing import Any

from plantainvane import ejection
from plantainvane import events
from plantainvane import instances
from plantainvane import metrics
from plantainvane import routing
from plantainvane import settings as settings_module
from plantainvane import slots

# Number of leaving targets whose ids are remembered. A lagging list that still
# names one of them as live is ignored.
_LEAVING_IDS_LIMIT = 10_000
_DUMP_LIMIT = 500


class Fleet:
    """Targets of this failure domain and the slots held on them."""

    def __init__(
        self, settings: settings_module.Settings, draw: Callable[[], float]
    ):
        self._settings = settings
        self._draw = draw
        self._leaving_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.targets: dict[str, routing.Target] = {}
        self.free_targets = routing.FreeTargets()
        # Slots whose connection answered a probe: total, and by class.
        self.open_slots = 0
        self.open_slots_by_class: collections.Counter[str] = (
            collections.Counter()
        )
        self.target_count_by_class: collections.Counter[str] = (
            collections.Counter()
        )

    def update_targets(
        self, listed: list[instances.Instance], now: float
    ) -> None:
        """Applies the platform's list of instances.

        A list without runners is ignored if targets are known, because having
        no target at all would be worse than using some that refuse. A target
        that is missing from the list for `absence_grace_s` is retired.
        """
        runners = {
            instance.id: instance
            for instance in listed
            if instance.kind is instances.InstanceKind.RUNNER
            and instance.domain == self._settings.domain
        }
        if not runners and self.targets:
            events.log_event(events.TARGET_LIST_EMPTY, known=len(self.targets))
            return
        for id_, instance in runners.items():
            self._update_listed(id_, instance)
        for id_, target in list(self.targets.items()):
            if id_ not in runners:
                self._update_missing(target, now)

    def mark_leaving(self, target: routing.Target, cause: str) -> None:
        """Retires the target for good, whatever later lists say.

        Args:
          target: The target.
          cause: What showed it, for the log: reply, probe or list.
        """
        self._leaving_ids[target.instance.id] = None
        if len(self._leaving_ids) > _LEAVING_IDS_LIMIT:
            self._leaving_ids.popitem(last=False)
        self._retire_target(target, cause)

    def eject_if_due(self, target: routing.Target, now: float) -> None:
        """Ejects the target if it fails or is slow beyond the limits."""
        health = target.health
        if health.ejected_until or not ejection.should_eject(
            self._settings, health
        ):
            return
        failing = (
            len(health.failed_connections)
            >= self._settings.requests.eject_failures
        )
        # A target without a working connection gets no work anyway.
        if target.open_slots and not self._may_eject_another():
            return
        reason = "failures" if failing else "slow"
        ratio = health.run_time_ratio
        ejection.eject_target(self._settings, health, now, self._draw)
        metrics.EJECTIONS.labels(reason).inc()
        events.log_event(
            events.TARGET_EJECTED,
            target=target.instance.id,
            reason=reason,
            run_time_ratio=round(ratio, 2),
            seconds=round(health.ejected_until - now, 3),
        )
        self.wake_idle_slots(target)

    def add_idle_slot(self, target: routing.Target, slot: Any) -> None:
        """Adds an idle slot, so that its target can be picked."""
        target.idle_slots.append(slot)
        if len(target.idle_slots) == 1:
            self.free_targets.add_target(target)

    def take_idle_slot(self, target: routing.Target) -> Any:
        """Removes and returns the most recently used idle slot of a target."""
        slot = target.idle_slots.pop()
        if not target.idle_slots:
            self.free_targets.remove_target(target)
        return slot

    def remove_idle_slot(self, target: routing.Target, slot: Any) -> None:
        """Removes one idle slot, for example one that must reconnect."""
        target.idle_slots.remove(slot)
        if not target.idle_slots:
            self.free_targets.remove_target(target)

    def wake_idle_slots(self, target: routing.Target) -> None:
        """Wakes all idle slots of a target without a request, so they close."""
        while target.idle_slots:
            self.take_idle_slot(target).wake.set()

    def count_open_slot(self, target: routing.Target, change: int) -> None:
        """Changes the count of slots with a usable connection by `change`."""
        target.open_slots += change
        self.open_slots += change
        for name in target.instance.classes:
            self.open_slots_by_class[name] += change

    def remove_retired(self) -> None:
        """Removes retired targets whose slot tasks have all ended."""
        for id_, target in list(self.targets.items()):
            if target.retired and not target.slot_numbers:
                del self.targets[id_]

    def dump_state(self, now: float) -> dict[str, Any]:
        """Returns totals, and the first targets by id up to a limit."""
        return {
            "targets": {
                id_: self.targets[id_].dump_state(now)
                for id_ in sorted(self.targets)[:_DUMP_LIMIT]
            },
            "target_count": len(self.targets),
            "open_slots": self.open_slots,
            "left": len(self._leaving_ids),
        }

    def _update_listed(self, id_: str, instance: instances.Instance) -> None:
        target = self.targets.get(id_)
        if target is None:
            if instance.leaving or id_ in self._leaving_ids:
                return
            target = routing.Target(instance, ejection.Health(), slots.Share())
            self.targets[id_] = target
            self._count_target(target, 1)
            return
        target.missing_since = None
        if target.retired:
            return
        if instance.leaving:
            self.mark_leaving(target, "list")
        elif instance.classes != target.instance.classes:
            self._replace_instance(target, instance)

    def _replace_instance(
        self, target: routing.Target, instance: instances.Instance
    ) -> None:
        if target.idle_slots:
            self.free_targets.remove_target(target)
        self._count_target(target, -1)
        open_slots = target.open_slots
        self.count_open_slot(target, -open_slots)
        target.instance = instance
        self.count_open_slot(target, open_slots)
        self._count_target(target, 1)
        if target.idle_slots:
            self.free_targets.add_target(target)

    def _update_missing(self, target: routing.Target, now: float) -> None:
        if target.missing_since is None:
            target.missing_since = now
        grace_s = self._settings.requests.absence_grace_s
        if not target.retired and now - target.missing_since >= grace_s:
            self._retire_target(target, "missing")

    def _retire_target(self, target: routing.Target, cause: str) -> None:
        if target.retired:
            return
        target.retired = True
        self._count_target(target, -1)
        events.log_event(
            events.TARGET_RETIRED, target=target.instance.id, cause=cause
        )
        self.wake_idle_slots(target)

    def _count_target(self, target: routing.Target, change: int) -> None:
        for name in target.instance.classes:
            self.target_count_by_class[name] += change

    def _may_eject_another(self) -> bool:
        """Tells whether `eject_share` allows one more ejected target.

        When many targets fail or slow down together, the cause is the load or a
        pause of the instance, and ejecting all of them would end the service.
        """
        ejected = sum(
            1 for other in self.targets.values() if other.health.ejected_until
        )
        allowed = self._settings.requests.eject_share * len(self.targets)
        return ejected + 1 <= allowed
