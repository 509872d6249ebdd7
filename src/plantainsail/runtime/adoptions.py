"""Takes over streams that another daemon relayed.

Their engines already run the generations.  Each keeps the deadline of
its caller and reserves memory as if this daemon had placed it.
"""

import asyncio

from plantainsail.lists.model import HostEntry
from plantainsail.policy.work import Work
from plantainsail.results import Code, Failure
from plantainsail.runtime.generation_endings import (
    cancel_at_engine,
    deadline_expired_failure,
    generation_lost_failure,
)
from plantainsail.runtime.generation_messages import Prompt
from plantainsail.runtime.generations import GenerationRunner
from plantainsail.runtime.live_streams import LiveStream
from plantainsail.runtime.moves import Place
from plantainsail.runtime.node import Node
from plantainsail.streams.events import StreamFacts
from plantainsail.streams.naming import StreamName, remaining_s
from plantainsail.streams.relay import Relay

# A daemon that takes over a stream uses attempt numbers of a new epoch,
# which are above those of the daemon before it.
ATTEMPTS_PER_EPOCH = 65_536
MAX_EPOCHS = 8


def adopt_generation(
    node: Node,
    name: StreamName,
    engine: HostEntry,
    position: int,
    facts: StreamFacts,
) -> LiveStream:
    """Take over a generation from a position and return its stream."""
    stream = LiveStream(_work_of(node, name), facts, node.now_s())
    stream.is_delivered = True
    node.streams.add(stream)
    adoption = Adoption(node, stream, name, engine, position)
    stream.task = asyncio.create_task(adoption.run())
    node.running.count_task("generation", stream.task)
    return stream


def _work_of(node: Node, name: StreamName) -> Work:
    now_s = node.now_s()
    limit_s = node.settings.time_limits.request_s
    return Work(
        request=name.request,
        organisation=name.organisation,
        plan=_plan_of(node, name.organisation),
        model=name.model,
        prompt_tokens=name.prompt_tokens,
        prompt_bytes=0,
        max_tokens=name.max_tokens,
        arrived_s=now_s,
        deadline_s=now_s + remaining_s(name, node.unix_s(), limit_s),
    )


class Adoption:
    """Relays one adopted generation until it ends or fails."""

    def __init__(
        self,
        node: Node,
        stream: LiveStream,
        name: StreamName,
        engine: HostEntry,
        position: int,
    ) -> None:
        self.node = node
        self.stream = stream
        self.name = name
        self.engine = engine
        self.position = position
        prompt = Prompt("", name.max_tokens)
        self.runner = GenerationRunner(node, stream, prompt)
        self._begin_epoch(1)

    async def run(self) -> None:
        """Relay the generation until it ends, fails or times out."""
        work = self.stream.work
        placement = self.node.dispatcher.adopt(
            work, self.engine.host, self.position
        )
        self.runner.place = Place(work, placement)
        self.runner.last_chunk_s = self.node.now_s()
        failure: Failure | None
        is_completed = False
        try:
            async with asyncio.timeout(work.deadline_s - self.node.now_s()):
                failure = await self._relay_epochs()
            is_completed = failure is None
        except TimeoutError:
            failure = deadline_expired_failure(self.stream.relay)
            await self._cancel()
        except Exception as error:
            self.runner.logger.error("adoption failed", error=repr(error))
            failure = Failure(Code.INTERNAL, type(error).__name__)
        finally:
            self.runner.place = None
            self.node.dispatcher.release(
                work, placement, self.node.now_s(), is_completed
            )
        self.stream.end(failure, self.node.now_s())

    async def _relay_epochs(self) -> Failure | None:
        """Relay, using a higher epoch if the engine refuses this one.

        An engine refuses an attempt as superseded once it has served a
        higher one.  If this daemon had already relayed some output,
        another one has taken over since, and this daemon stops.
        """
        failure: Failure | None = None
        for epoch in range(1, MAX_EPOCHS + 1):
            relay = self.stream.relay
            if relay is None:
                break
            failure = await self.runner.relay_attempts(
                self.engine, relay, is_known_to_engine=True
            )
            if failure is None or failure.code != Code.STREAM_SUPERSEDED:
                break
            if relay.position > self.position:
                self.stream.mark_taken_over()
                break
            self._begin_epoch(epoch + 1)
        if failure is not None and failure.code != Code.STREAM_SUPERSEDED:
            return generation_lost_failure(failure)
        return failure

    def _begin_epoch(self, epoch: int) -> None:
        """Set up a relay with the attempt numbers of an epoch."""
        name = self.name
        attempt = name.attempt + epoch * ATTEMPTS_PER_EPOCH
        relay = Relay(
            name.request,
            name.generation,
            name.max_tokens,
            self.position,
            attempt,
        )
        adopted_name = name._replace(
            relay=self.node.incarnation, attempt=attempt
        )
        self.stream.begin(relay, self.engine, adopted_name)

    async def _cancel(self) -> None:
        if self.stream.relay is not None:
            await cancel_at_engine(self.node, self.engine, self.stream.relay)


def _plan_of(node: Node, organisation: str) -> str:
    entry = node.store.lists.organisations.get(organisation)
    return "" if entry is None else entry.plan
