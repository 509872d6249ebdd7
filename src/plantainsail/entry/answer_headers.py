"""Acts on what upstreams say of themselves in the heads of answers."""

from plantainsail.entry import limits, ramping
from plantainsail.entry.dialect import parse_decimal
from plantainsail.entry.node import EntryNode
from plantainsail.routing.hold_offs import MAX_HOLD_OFF_S
from plantainsail.routing.model import RoutedUpstream
from plantainsail.upstreams.single_use import AnswerHead

IS_LEAVING = b"1"
TURNED_AWAY_STATUS = 503


def note_answer(
    node: EntryNode,
    upstream: RoutedUpstream,
    head: AnswerHead,
    sent_s: float,
) -> None:
    """Act on the head of any answer to a request sent at `sent_s`."""
    limits.note_answer(node, upstream.identifier, head)
    limits.note_cold_answer(node, upstream, head)
    ramping.note_answer_head(node, upstream, head, sent_s)
    if head.get(node.dialect.leaving) == IS_LEAVING:
        node.note_leaving_answer(upstream)
    if head.status == TURNED_AWAY_STATUS:
        _hold_off(node, upstream, head)


def _hold_off(
    node: EntryNode, upstream: RoutedUpstream, head: AnswerHead
) -> None:
    """Send an upstream nothing for the time that it names, if any."""
    value = head.get(node.dialect.retry_after)
    if value is None:
        return
    for_s = parse_decimal(value)
    if for_s is None:
        node.log.info(
            "upstream pause unreadable",
            upstream=upstream.identifier,
            value=value[: limits.MAX_LOGGED_BYTES].decode("latin-1"),
        )
        return
    if for_s <= 0:
        return
    node.hold_offs.note(upstream, for_s, node.now_s())
    node.metrics.hold_offs.inc()
    node.log.info(
        "upstream held off",
        upstream=upstream.identifier,
        for_ms=int(min(for_s, MAX_HOLD_OFF_S) * 1000),
    )
