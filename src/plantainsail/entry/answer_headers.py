"""Acts on what upstreams say of themselves in the heads of answers."""

from plantainsail.entry import limits
from plantainsail.entry.node import EntryNode
from plantainsail.routing.model import RoutedUpstream
from plantainsail.upstreams.single_use import AnswerHead

IS_LEAVING = b"1"


def note_answer(
    node: EntryNode, upstream: RoutedUpstream, head: AnswerHead
) -> None:
    """Act on the head of any answer of an upstream."""
    limits.note_answer(node, upstream.identifier, head)
    if head.get(node.dialect.leaving) == IS_LEAVING:
        node.note_leaving_answer(upstream)
