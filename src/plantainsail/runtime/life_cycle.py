"""The states of a daemon and the transitions between them."""

from collections.abc import Callable
from typing import NamedTuple

from transitions import Machine

from plantainsail.logs import get_logger


class Transition(NamedTuple):
    """A state transition; without a target the state stays."""

    trigger: str
    source: str
    target: str | None


TRANSITIONS = (
    Transition("refreshed", "starting", "serving"),
    Transition("refreshed", "unsure", "serving"),
    Transition("refreshed", "draining_unsure", "draining"),
    Transition("refreshed", "serving", None),
    Transition("refreshed", "settling", None),
    Transition("refreshed", "draining", None),
    Transition("refreshed", "left", None),
    Transition("paused", "starting", None),
    Transition("paused", "serving", "unsure"),
    Transition("paused", "unsure", None),
    Transition("paused", "settling", "draining_unsure"),
    Transition("paused", "draining", "draining_unsure"),
    Transition("paused", "draining_unsure", None),
    Transition("paused", "left", None),
    Transition("settle", "starting", "draining"),
    Transition("settle", "serving", "settling"),
    Transition("settle", "unsure", "draining_unsure"),
    Transition("settle", "settling", None),
    Transition("settle", "draining", None),
    Transition("settle", "draining_unsure", None),
    Transition("settle", "left", None),
    Transition("drain", "starting", "draining"),
    Transition("drain", "serving", "draining"),
    Transition("drain", "settling", "draining"),
    Transition("drain", "unsure", "draining_unsure"),
    Transition("drain", "draining", None),
    Transition("drain", "draining_unsure", None),
    Transition("drain", "left", None),
    Transition("leave", "*", "left"),
)

SURE_STATES = ("serving", "settling", "draining")
# Names of `LifeCycle` methods that the machine calls for a trigger.
CONDITIONS = {"refreshed": "are_peers_asked"}
SIDE_EFFECTS = {"paused": "count_pause"}


class LifeCycle:
    """The state machine of a daemon, from "starting" to "left".

    After a pause the daemon is "unsure" until it has asked its peers
    and refreshed its lists.  It admits work while "serving" and, for a
    short time, while "settling": its readiness check then already
    fails, but the balancer may not have noticed yet.
    """

    state: str
    # `Machine` adds the state and the methods below.
    refreshed: Callable[[], bool]
    paused: Callable[[], bool]
    settle: Callable[[], bool]
    drain: Callable[[], bool]
    leave: Callable[[], bool]

    def __init__(self) -> None:
        self.logger = get_logger("daemon")
        self.logged_state = ""
        self.pauses = 0
        # The pause count at the last full query of the peers; None
        # for a daemon without peers.
        self.peers_asked: int | None = None
        self.machine = Machine(
            model=self,
            states=[
                "starting",
                "serving",
                "unsure",
                "settling",
                "draining",
                "draining_unsure",
                "left",
            ],
            initial="starting",
            after_state_change="log_state",
        )
        for trigger, source, target in TRANSITIONS:
            self.machine.add_transition(
                trigger,
                source,
                target,
                conditions=CONDITIONS.get(trigger),
                before=SIDE_EFFECTS.get(trigger),
            )

    def count_pause(self) -> None:
        """Count a pause; earlier answers of peers no longer count."""
        self.pauses += 1

    def record_peers_asked(self, pauses: int) -> None:
        """Record that all peers were asked after `pauses` pauses."""
        self.peers_asked = pauses

    def are_peers_asked(self) -> bool:
        """Return whether all peers were asked since the last pause."""
        return self.peers_asked in (None, self.pauses)

    def drain_now(self) -> None:
        """Stop admitting work, without the settle time."""
        self.drain()

    def log_state(self) -> None:
        """Log the state if it differs from the last logged one."""
        if self.state == self.logged_state:
            return
        self.logged_state = self.state
        self.logger.info("state changed", state=self.state)
