"""The life cycle of a ticket at its executor and at its witness."""

from typing import NamedTuple

from transitions import Machine, MachineError


class Transition(NamedTuple):
    """One permitted change of a record's state."""

    trigger: str
    source: str
    target: str


EXECUTOR_STATES = (
    "intending",
    "cleared",
    "sent",
    "answered",
    "doubtful",
    "burned",
)
EXECUTOR_TRANSITIONS = (
    # The witness recorded the intent, or the ticket names none.
    Transition("clear", "intending", "cleared"),
    Transition("burn", "intending", "burned"),
    Transition("burn", "cleared", "burned"),
    Transition("send", "cleared", "sent"),
    # The connection was refused, so the upstream saw nothing.
    Transition("withdraw", "sent", "cleared"),
    Transition("answer", "sent", "answered"),
    Transition("doubt", "sent", "doubtful"),
)
WITNESS_STATES = ("intended", "answered", "burned")
WITNESS_TRANSITIONS = (
    Transition("answer", "intended", "answered"),
    # Only the executor gives up an intent, before it has sent.
    Transition("abandon", "intended", "burned"),
)


class StatefulRecord:
    """An object whose state a shared machine moves."""

    __slots__ = ("state",)

    def __init__(self, state: str) -> None:
        self.state = state


class LifeCycle:
    """One machine that serves all records of a kind.

    A machine of its own for each record would cost kilobytes apiece.
    """

    def __init__(
        self, states: tuple[str, ...], transitions: tuple[Transition, ...]
    ) -> None:
        self.machine = Machine(
            model=None,
            states=list(states),
            initial=states[0],
            auto_transitions=False,
        )
        for trigger, source, target in transitions:
            self.machine.add_transition(trigger, source, target)

    def move(self, record: StatefulRecord, trigger: str) -> None:
        """Change a record's state.

        Raises `MachineError` for a change that the table does not
        list: a fault of the program, since each message that may come
        at any time is checked against the state first.
        """
        self.machine.events[trigger].trigger(record)


EXECUTOR_LIFE_CYCLE = LifeCycle(EXECUTOR_STATES, EXECUTOR_TRANSITIONS)
WITNESS_LIFE_CYCLE = LifeCycle(WITNESS_STATES, WITNESS_TRANSITIONS)

__all__ = [
    "EXECUTOR_LIFE_CYCLE",
    "EXECUTOR_STATES",
    "EXECUTOR_TRANSITIONS",
    "WITNESS_LIFE_CYCLE",
    "WITNESS_STATES",
    "WITNESS_TRANSITIONS",
    "LifeCycle",
    "MachineError",
    "StatefulRecord",
    "Transition",
]
