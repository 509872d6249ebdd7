"""Finds a generation that an idempotency key started at a peer.

The identifier of a keyed request is derived from its organisation, key
and body, so any daemon can ask its peers for the generation.  The call
then reads from the peer that relays it; no table of keys is shared.
"""

import asyncio
import hashlib

from plantainsail.identity import Incarnation
from plantainsail.membership.view import PeerState
from plantainsail.peers.stream_service import ask_holds
from plantainsail.policy.work import Work
from plantainsail.results import Failure
from plantainsail.runtime.live_streams import IdempotencyKey
from plantainsail.runtime.node import Node
from plantainsail.runtime.resumes import ResumedReader
from plantainsail.streams.naming import MS_PER_S, StreamName, sign_name

# A peer that doesn't answer in this time counts as not relaying it.
HOLDER_TIMEOUT_S = 0.3
DIGEST_BYTES = 12


def keyed_request_identifier(key: IdempotencyKey, fingerprint: bytes) -> str:
    """Return the request identifier, equal on all daemons."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (key.organisation.encode(), key.key.encode(), fingerprint):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return f"req-{digest.hexdigest()}"


async def join_at_peer(
    node: Node, work: Work, is_chat: bool
) -> ResumedReader | Failure | None:
    """Return a reader of a generation that a peer relays, or None.

    A failure is returned if a peer relays it but it can't be read.
    """
    holder = await find_holder(node, work.request)
    if holder is None:
        return None
    name = _partial_name(node, work, is_chat, holder)
    reader = ResumedReader(node, name, sign_name(name, node.signer), 0)
    failure = await reader.open()
    if failure is not None:
        return failure
    node.metrics.streams.labels("joined_at_peer").inc()
    return reader


async def find_holder(node: Node, request: str) -> Incarnation | None:
    """Return a peer that relays a request's generation, or None."""
    peers = [
        peer.incarnation
        for peer in node.peers.peers(node.now_s())
        if peer.state is PeerState.ALIVE
    ]
    answers = await asyncio.gather(
        *(
            ask_holds(node, peer, request, "", HOLDER_TIMEOUT_S)
            for peer in peers
        )
    )
    for peer, is_held in zip(peers, answers, strict=True):
        if is_held:
            return peer
    return None


def _partial_name(
    node: Node, work: Work, is_chat: bool, holder: Incarnation
) -> StreamName:
    """Return a stream name without the engine and the generation.

    Only the holder knows these, and it sends the complete name.
    """
    remaining_s = work.deadline_s - node.now_s()
    return StreamName(
        organisation=work.organisation,
        model=work.model,
        request=work.request,
        generation="",
        host="",
        host_incarnation="",
        relay=holder,
        attempt=0,
        max_tokens=work.max_tokens,
        prompt_tokens=work.prompt_tokens,
        is_chat=is_chat,
        lists_revision=node.store.lists.revision,
        deadline_unix_ms=int((node.unix_s() + remaining_s) * MS_PER_S),
    )
