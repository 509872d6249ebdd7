"""Builds the requests to engines and the names of streams."""

from typing import NamedTuple

from plantainsail.lists.model import HostEntry
from plantainsail.policy.work import Work
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.runtime.node import Node
from plantainsail.streams.naming import StreamName
from plantainsail.streams.relay import Relay
from plantainsail.upstreams.protocols import GenerationRequest

MS_PER_S = 1_000


class Prompt(NamedTuple):
    """The prompt and sampling parameters that the caller sent.

    `parts` identify the parts of the prompt that other requests may
    share.
    """

    text: str
    max_tokens: int
    stop: tuple[str, ...] = ()
    temperature: float | None = None
    seed: int | None = None
    parts: tuple[str, ...] = ()


def make_generation_request(
    work: Work, prompt: Prompt, relay: Relay, priority: int, now_s: float
) -> GenerationRequest:
    """Return the request that starts or resumes a generation."""
    remaining_s = work.deadline_s - now_s
    return GenerationRequest(
        request=work.request,
        generation=relay.expected.generation,
        model=work.model,
        prompt=prompt.text,
        max_tokens=prompt.max_tokens,
        priority=priority,
        attempt=relay.expected.attempt,
        stop=prompt.stop,
        temperature=prompt.temperature,
        seed=prompt.seed,
        deadline_ms=max(0, int(remaining_s * MS_PER_S)),
    )


def make_stream_name(
    node: Node, stream: LiveStream, relay: Relay, engine: HostEntry
) -> StreamName:
    """Return the name by which a caller can resume a stream."""
    work = stream.work
    return StreamName(
        organisation=work.organisation,
        model=work.model,
        request=work.request,
        generation=relay.expected.generation,
        host=engine.host,
        host_incarnation=engine.incarnation,
        relay=node.incarnation,
        attempt=relay.expected.attempt,
        max_tokens=relay.max_tokens,
        prompt_tokens=work.prompt_tokens,
        is_chat=stream.facts.shape.is_chat,
        lists_revision=node.store.lists.revision,
        deadline_unix_ms=_deadline_unix_ms(node, work),
    )


def _deadline_unix_ms(node: Node, work: Work) -> int:
    remaining_s = work.deadline_s - node.now_s()
    return int((node.unix_s() + remaining_s) * MS_PER_S)
