"""What came of sending a request to an upstream of a plain service."""

from enum import Enum, auto
from typing import NamedTuple

from plantainsail.entry.dialect import parse_decimal
from plantainsail.entry.node import EntryNode
from plantainsail.entry.request import (
    RoutedRequest,
    is_not_executed,
    is_valid_answer_head,
)
from plantainsail.upstreams.single_use import AnswerHead, Headers

FIRST_SERVER_ERROR_STATUS = 500
CUT_SHORT = "cut short"
# The reason if an order to drain the upstream's availability zone came
# before the request was sent.
ZONE_DRAINED = "zone drained"


class SendOutcome(Enum):
    """How one attempt at an upstream ended."""

    ANSWERED = auto()
    NOT_RUN = auto()
    FAILED = auto()


class SendResult(NamedTuple):
    """The outcome of one attempt, with the upstream's answer if any.

    `named_limit` is the rate limit that the upstream named in it, in
    requests a second.  `detail` says how an answer was cut short.
    """

    outcome: SendOutcome
    status: int = 0
    headers: Headers = []
    body: bytes = b""
    reason: str = ""
    named_limit: float | None = None
    detail: str = ""

    @property
    def ends_with_connection(self) -> bool:
        """Return whether a crash may have ended the answer unseen."""
        head = AnswerHead(self.status, self.headers)
        return head.ends_with_connection


def classify_answer(
    head: AnswerHead, body: bytes, request: RoutedRequest, node: EntryNode
) -> SendResult:
    """Return what a complete answer says about its attempt."""
    if is_not_executed(head, request, node.dialect):
        return SendResult(SendOutcome.NOT_RUN, reason="refused")
    if not is_valid_answer_head(head, request, node.dialect):
        return SendResult(SendOutcome.FAILED, reason="not its answer")
    return SendResult(
        SendOutcome.ANSWERED,
        head.status,
        head.headers,
        body,
        "error status" if head.status >= FIRST_SERVER_ERROR_STATUS else "",
        parse_decimal(head.get(node.dialect.rate_limit)),
    )
