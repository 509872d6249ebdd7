"""The share of one generation in the load of its engine."""

from plantainsail.entry import limits
from plantainsail.entry.node import EntryNode
from plantainsail.routing.fleet_loads import UpstreamLoad
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.placement import GenerationNeed


class Reservation:
    """Counts a generation in the load of the engine that runs it.

    `upstream` is that engine, also after the release.  It was reserved
    at `placed_s`, and its unread prompts, with that of the generation,
    then had `unread_tokens_at_start`.
    """

    def __init__(self, node: EntryNode, need: GenerationNeed) -> None:
        self.node = node
        self.need = need
        self.upstream: RoutedUpstream | None = None
        self.load: UpstreamLoad | None = None
        self.placed_s = 0.0
        self.unread_tokens_at_start = 0

    def reserve(self, upstream: RoutedUpstream) -> None:
        """Count the generation in an engine's load and rate limit."""
        node = self.node
        load = UpstreamLoad(
            running=1,
            long_running=int(self.need.is_long),
            memory_tokens=self.need.memory_tokens,
            unread_tokens=self.need.prompt_tokens,
        )
        node.fleet_loads.add(upstream.identifier, load)
        node.load_changed.set()
        limits.note_sent(node, upstream.identifier)
        self.upstream = upstream
        self.load = load
        self.placed_s = node.now_s()
        total = node.fleet_loads.load_of(upstream.identifier, self.placed_s)
        self.unread_tokens_at_start = total.unread_tokens

    def release(self) -> None:
        """Remove the generation from its engine's load."""
        if self.upstream is None or self.load is None:
            return
        self.node.fleet_loads.subtract(self.upstream.identifier, self.load)
        self.load = None
        self.node.load_changed.set()

    def transfer(self, upstream: RoutedUpstream, load: UpstreamLoad) -> None:
        """Release the engine; keep a load that another one has now."""
        self.release()
        self.upstream = upstream
        self.load = load

    def record_first_event(self, now_s: float) -> None:
        """Record that the engine has read the prompt."""
        assert self.upstream is not None and self.load is not None
        identifier = self.upstream.identifier
        read_prompt = UpstreamLoad(unread_tokens=self.load.unread_tokens)
        self.node.fleet_loads.subtract(identifier, read_prompt)
        self.load = self.load.minus(read_prompt)
        self.node.load_changed.set()
        self.node.registry.note_success(identifier)
        self.node.read_rates.record_first_event(
            identifier, self.unread_tokens_at_start, now_s - self.placed_s
        )
