"""Applies updates of the endpoint list.

The ring of a long list is rebuilt in steps. Each step has a timer without delay, so that other events are
handled between the steps.
"""

from .actions import Actions, SetTimer, WatchEndpoints
from .admission import AdmissionController
from .backend_table import BackendTable
from .events import EndpointUpdate, UpdateKind
from .settings import Settings
from .timers import TimerKind, TimerToken


class EndpointUpdateHandler:
    """Passes endpoint updates to the backend table, and the number of backends to admission control."""

    def __init__(self, settings: Settings, backends: BackendTable, admission: AdmissionController) -> None:
        self.backends = backends
        self.admission = admission
        self.polls_endpoints = settings.polls_endpoints
        self.watch_retry_ms = settings.safety_rules.drain_grace_ms
        self.has_rebuild_timer = False

    def start(self, actions: Actions) -> None:
        """Open the watch of the endpoint list at the first event, unless a local agent pushes the list."""
        if self.polls_endpoints:
            actions.append(WatchEndpoints())

    def on_update(self, _now: float, update: EndpointUpdate, actions: Actions) -> None:
        """Apply an update; after a failed watch, keep the last list and set a timer to reopen the watch."""
        if update.kind is UpdateKind.WATCH_FAILED:
            actions.append(SetTimer(self.watch_retry_ms, TimerToken(TimerKind.WATCH_ENDPOINTS)))
            return
        self.backends.apply(update)
        self.admission.set_backend_count(len(self.backends.endpoint_subset.records))
        self._schedule_rebuild(actions)

    def on_rebuild_timer(self, actions: Actions) -> None:
        """Run the next step of a rebuild."""
        self.has_rebuild_timer = False
        self.backends.endpoint_subset.continue_rebuild()
        self._schedule_rebuild(actions)

    def _schedule_rebuild(self, actions: Actions) -> None:
        """Set a timer for the next step of a rebuild, so that waiting events are handled before it."""
        if self.backends.endpoint_subset.is_rebuilding and not self.has_rebuild_timer:
            self.has_rebuild_timer = True
            actions.append(SetTimer(0.0, TimerToken(TimerKind.REBUILD_SUBSET)))
