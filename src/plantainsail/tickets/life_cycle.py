"""State machines of ticket records at the executor and the witness."""

from typing import NamedTuple

from transitions import Machine, MachineError


class Transition(NamedTuple):
    """A permitted change of a ticket record's state."""

    trigger: str
    source: str
    target: str


# States of a ticket's record at its executor; it starts in the first.
EXECUTOR_STATES = (
    # The witness has not yet acknowledged the intent.
    "intending",
    # The call may be sent to an upstream.
    "cleared",
    # The call is being sent, and the upstream may have received it.
    "sent",
    # The upstream's complete answer arrived.
    "answered",
    # The call was sent, but no answer arrived.
    "doubtful",
    # The call was not sent and never will be.
    "burned",
)
EXECUTOR_TRANSITIONS = (
    # The witness recorded the intent, or the ticket has no witness.
    Transition("clear", "intending", "cleared"),
    Transition("burn", "intending", "burned"),
    Transition("burn", "cleared", "burned"),
    Transition("send", "cleared", "sent"),
    # The upstream refused the connection and received nothing.
    Transition("withdraw", "sent", "cleared"),
    Transition("answer", "sent", "answered"),
    Transition("doubt", "sent", "doubtful"),
)
# States of a ticket's record at its witness: the intent is recorded,
# the call was answered, or the call was not sent and never will be.
WITNESS_STATES = ("intended", "answered", "burned")
WITNESS_TRANSITIONS = (
    Transition("answer", "intended", "answered"),
    # The executor reports that it gave up without sending the call.
    Transition("abandon", "intended", "burned"),
)


class StatefulRecord:
    """A ticket record whose state a shared `LifeCycle` changes."""

    __slots__ = ("state",)

    def __init__(self, state: str) -> None:
        self.state = state


class LifeCycle:
    """A state machine that many ticket records share.

    There is one for executors' records and one for witnesses' records.
    A separate machine for each record would cost kilobytes of memory.
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
        """Apply a transition to a record.

        Raises `MachineError` if the record's state does not permit it.
        That is a programming error, since the handlers of messages,
        which may arrive at any time, check the state first.
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
