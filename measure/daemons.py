"""Simulated daemons with real schedulers, and their exchanges."""

import random
from collections.abc import Generator
from typing import Any

from measure.engines import Engine, Generation, Record
from measure.harness import PLAN_WEIGHTS, Run
from plantainsail.identity import Incarnation
from plantainsail.lists.model import Grant
from plantainsail.policy.accounts import EngineView
from plantainsail.policy.decisions import Refused
from plantainsail.policy.exchange import CrowdMessage, Exchange
from plantainsail.policy.scheduler import Scheduler
from plantainsail.policy.work import Work

MODEL = "model"
DECISION_INTERVAL_S = 0.05
HEARTBEAT_INTERVAL_S = 1.0
MIN_DELAY_S = 0.001
MAX_DELAY_S = 0.01
LOSS_SHARE = 0.02
GRANTS = {name: Grant(name, weight) for name, weight in PLAN_WEIGHTS.items()}


class Daemon:
    """One simulated daemon with its scheduler and waiting requests."""

    def __init__(self, run: Run, number: int, nonce: int = 1) -> None:
        """Create one incarnation of a daemon."""
        self.run = run
        self.number = number
        self.incarnation = Incarnation(f"daemon-{number}", nonce)
        self.is_up = True
        self.waiting: dict[str, Record] = {}
        self.scheduler = Scheduler(
            self.incarnation.address,
            f"zone-{number % 3}",
            random.Random(run.random.getrandbits(32)),
            run.now_s,
        )
        self.exchange = Exchange(self.scheduler, self.incarnation)
        views = [
            EngineView(engine.name, f"zone-{n % 3}", "0", engine.kv_tokens)
            for n, engine in enumerate(run.engines.values())
        ]
        names = [f"daemon-{n}" for n in range(run.pool.daemons)]
        self.scheduler.configure({MODEL: views}, names, GRANTS, run.now_s)

    def decide(self) -> None:
        """Start or refuse requests as the scheduler decides."""
        if not self.is_up:
            return
        for decision in self.scheduler.decide(self.run.now_s):
            record = self.waiting.pop(decision.work.request)
            if isinstance(decision, Refused):
                record.is_refused = True
                continue
            placement = decision.placement
            self.run.launch(record, placement.host, placement.priority)


class Fleet:
    """All daemons together, as the system that is measured."""

    def start(self, run: Run) -> None:
        """Create the daemons and start decisions and exchanges."""
        self.run = run
        self.works: dict[int, Work] = {}
        self.severed_links: set[tuple[int, int]] = set()
        self.refused = 0
        self.daemons = [Daemon(run, n) for n in range(run.pool.daemons)]
        self.failed_hosts: dict[int, tuple[str, ...]] = {}
        run.every(DECISION_INTERVAL_S, self.decide_all)
        for daemon in self.daemons:
            run.env.process(self.start_exchanges(daemon.number))

    def decide_all(self) -> None:
        """Let each daemon make its scheduling decisions."""
        for daemon in self.daemons:
            daemon.decide()

    def start_exchanges(self, number: int) -> Generator[Any, Any, None]:
        """Start regular exchanges with peers of higher numbers."""
        yield self.run.env.timeout(
            self.run.random.random() * HEARTBEAT_INTERVAL_S
        )
        while True:
            for peer in range(number + 1, len(self.daemons)):
                if self.daemons[number].is_up:
                    self.run.env.process(self.run_exchange(number, peer))
            yield self.run.env.timeout(HEARTBEAT_INTERVAL_S)

    def run_exchange(
        self, number: int, peer: int
    ) -> Generator[Any, Any, None]:
        """Send one message and its answer, with delay and loss."""
        for sender, receiver in ((number, peer), (peer, number)):
            source = self.daemons[sender]
            if not source.is_up or not self.daemons[receiver].is_up:
                return
            message = self.make_message(source, receiver)
            delay_s = self.run.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
            yield self.run.env.timeout(delay_s)
            target = self.daemons[receiver]
            is_severed = (sender, receiver) in self.severed_links
            if (
                is_severed
                or self.run.random.random() < LOSS_SHARE
                or not target.is_up
            ):
                return
            target.exchange.absorb(source.incarnation, message, self.run.now_s)
            target.decide()

    def make_message(self, source: Daemon, receiver: int) -> CrowdMessage:
        """Return the message from one daemon to another."""
        address = f"daemon-{receiver}"
        nonce = source.exchange.nonces.get(address)
        peer = None if nonce is None else Incarnation(address, nonce)
        return source.exchange.fill(address, peer, self.run.now_s)

    def arrive(self, record: Record) -> None:
        """Submit a request to its daemon, or to another if down."""
        request = record.request
        up = [d for d in self.daemons if d.is_up]
        daemon = self.daemons[request.daemon]
        if not daemon.is_up:
            daemon = up[request.number % len(up)]
        work = Work(
            request=str(request.number),
            organisation=request.organisation,
            plan=request.plan,
            model=MODEL,
            prompt_tokens=request.prompt_tokens,
            prompt_bytes=4 * request.prompt_tokens,
            max_tokens=request.max_tokens,
            arrived_s=self.run.warmup_s + request.at_s,
            deadline_s=self.run.warmup_s + request.deadline_s,
            operation=request.operation,
        )
        self.works[request.number] = work
        excluded = self.failed_hosts.get(request.number, ())
        failure = daemon.scheduler.submit(work, excluded, self.run.now_s)
        if failure is not None:
            record.is_refused = True
            self.refused += 1
            return
        daemon.waiting[work.request] = record
        record.daemon = daemon.number
        daemon.decide()

    def on_token(self, engine: Engine, generation: Generation) -> None:
        """Report a token to the scheduler that placed the request."""
        record = generation.record
        daemon = self.daemons[record.daemon]
        work = self.works[record.request.number]
        daemon.scheduler.record_tokens(work, engine.name, 1, self.run.now_s)

    def on_end(
        self, engine: Engine, generation: Generation, is_whole: bool
    ) -> None:
        """Report an end to the scheduler; resubmit a failed request."""
        record = generation.record
        daemon = self.daemons[record.daemon]
        work = self.works[record.request.number]
        daemon.scheduler.release(work, engine.name, self.run.now_s, is_whole)
        if not is_whole:
            daemon.scheduler.record_failure(engine.name, self.run.now_s)
            earlier_hosts = self.failed_hosts.get(record.request.number, ())
            self.failed_hosts[record.request.number] = (
                *earlier_hosts,
                engine.name,
            )
            self.arrive(record)
        daemon.decide()

    def on_caller_left(self, record: Record) -> None:
        """Withdraw a request and release it where it runs."""
        daemon = self.daemons[record.daemon]
        work = self.works[record.request.number]
        daemon.scheduler.withdraw(work)
        daemon.waiting.pop(work.request, None)
        for account in list(daemon.scheduler.accounts.values()):
            if work.request in account.running:
                daemon.scheduler.release(
                    work, account.engine.host, self.run.now_s, False
                )
