"""Orders engines to stop runs that continue elsewhere.

`routing.run_ends` decides when the end of a run is certain; this
module sends the orders.
"""

import asyncio

from plantainsail.entry.mover import NO_ANSWER, CopyResult, EngineMover
from plantainsail.entry.node import EntryNode
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.run_ends import (
    EndProof,
    OrderedRun,
    StopAnswer,
    StopProgress,
    pause_s,
    proof_in_answer,
    proof_in_list,
)

# A lost order must be repeated before the run counts as one that goes
# on at two engines.
ORDER_TIMEOUT_S = 0.12


class StopOrder:
    """The order to stop one run, repeated until its end is certain.

    It is given as a final copy to `target`, which stops the run first.
    `first_answer` is done with the result of the first attempt.  The
    continuation of the run may use the copy `used_handle`; any other
    one that an answer names is freed, as nobody will use it.
    """

    def __init__(
        self,
        node: EntryNode,
        mover: EngineMover,
        run: OrderedRun,
        target: RoutedUpstream,
        used_handle: str,
    ) -> None:
        self.node = node
        self.mover = mover
        self.run = run
        self.target = target
        self.used_handle = used_handle
        self.is_awaited = False
        self.progress = StopProgress()
        self.began_s = node.now_s()
        self.first_answer: asyncio.Future[CopyResult] = (
            asyncio.get_running_loop().create_future()
        )

    async def wait_for_answer(self, timeout_s: float) -> CopyResult:
        """Return the first attempt's result if it comes in time.

        The order goes on if it does not.
        """
        self.is_awaited = True
        await asyncio.wait((self.first_answer,), timeout=timeout_s)
        if self.first_answer.done():
            return self.first_answer.result()
        self.is_awaited = False
        return NO_ANSWER

    async def give(self) -> None:
        """Order until the run has certainly ended."""
        try:
            proof = await self._order_until_proven()
        finally:
            if not self.first_answer.done():
                self.first_answer.set_result(NO_ANSWER)
        self.node.metrics.stop_orders.labels(proof).inc()
        self.node.log.info(
            "run ended",
            request=self.run.request,
            upstream=self.run.upstream.identifier,
            proof=proof,
            orders=self.progress.orders,
            after_ms=self._age_ms(),
        )

    async def _order_until_proven(self) -> EndProof:
        run = self.run
        while True:
            result = await self._order_once()
            proof = self._proof_in(result)
            if proof is not None:
                return proof
            self._log_unproven(result)
            listed = self._listed()
            await asyncio.sleep(
                pause_s(self.progress, is_listed=listed is not None)
            )
            proof = proof_in_list(run, self._listed(), self.node.now_s())
            if proof is not None:
                return proof

    async def _order_once(self) -> CopyResult:
        run = self.run
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                result = await self.mover.copy_run(
                    run.upstream.address,
                    run.request,
                    self.target.address,
                    is_final=True,
                )
        except TimeoutError:
            result = NO_ANSWER
        is_taken = self.is_awaited and not self.first_answer.done()
        if not self.first_answer.done():
            self.first_answer.set_result(result)
        is_used = is_taken or result.handle == self.used_handle
        if result.handle and not is_used:
            await self.mover.free_copy(
                self.run.upstream.address, result.handle
            )
        return result

    def _proof_in(self, result: CopyResult) -> EndProof | None:
        answer = StopAnswer(
            result.status,
            keeps_memory=bool(result.handle),
            has_process_ended=result.has_process_ended,
        )
        self.progress = self.progress.add(answer)
        return proof_in_answer(
            answer, self.progress, has_begun=self.run.has_begun
        )

    def _listed(self) -> RoutedUpstream | None:
        return self.node.registry.entries.get(self.run.upstream.identifier)

    def _log_unproven(self, result: CopyResult) -> None:
        self.node.log.info(
            "run may go on",
            request=self.run.request,
            upstream=self.run.upstream.identifier,
            status=result.status,
            orders=self.progress.orders,
            after_ms=self._age_ms(),
        )

    def _age_ms(self) -> int:
        return int((self.node.now_s() - self.began_s) * 1000)


class RunStops:
    """The orders that this daemon gives to stop runs.

    They outlast the requests whose runs they stop: a run may go on at
    an engine that can't be reached while its request is completed at
    another one.
    """

    def __init__(self, node: EntryNode, mover: EngineMover) -> None:
        self.node = node
        self.mover = mover
        self.tasks: dict[asyncio.Task[None], OrderedRun] = {}

    def start(
        self, run: OrderedRun, target: RoutedUpstream, used_handle: str = ""
    ) -> StopOrder:
        """Begin to order an engine to stop a run.

        `target` is another engine, to which the order names a copy.
        """
        order = StopOrder(self.node, self.mover, run, target, used_handle)
        task = asyncio.create_task(order.give())
        self.tasks[task] = run
        task.add_done_callback(self.tasks.pop)
        return order

    def withdraw(self, request: str, upstream: RoutedUpstream) -> None:
        """Stop ordering an engine that gets the same request again."""
        for task, run in self.tasks.items():
            is_same = run.upstream.identifier == upstream.identifier
            if is_same and run.request == request:
                task.cancel()

    async def wait(self, timeout_s: float) -> None:
        """Wait until no order is pending, at most `timeout_s`."""
        if self.tasks:
            await asyncio.wait(tuple(self.tasks), timeout=timeout_s)

    async def cancel(self) -> None:
        """Give up all orders, as the daemon ends."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
