"""One daemon's scheduling of generation requests on shared engines.

Submitted requests wait in queues.  `decide` returns which of them start
on which engine and which are refused.  The caller then reports the
tokens and the end of each generation back to the scheduler.
"""

import random
from collections.abc import Collection, Mapping, Sequence
from itertools import islice

from plantainsail.lists.model import Grant
from plantainsail.policy.accounts import (
    EngineAccount,
    EngineView,
    RunningGeneration,
)
from plantainsail.policy.admission import (
    DEFAULT_GAP_S,
    ServiceRate,
    ShortWorkReserve,
)
from plantainsail.policy.decisions import (
    SHORT_TOKENS,
    QueueKey,
    Refused,
    Started,
    expired_failure,
    priority_of,
    unreachable_failure,
)
from plantainsail.policy.fair_order import (
    MAX_QUEUE_HEADS,
    FairOrder,
)
from plantainsail.policy.lengths import LengthEstimator
from plantainsail.policy.placer import Placer
from plantainsail.policy.prefixes import PrefixHints
from plantainsail.policy.queue import QueueEntry, WaitingQueue
from plantainsail.policy.refusals import (
    ServicePace,
    estimate_times,
    refuse_for_bounds,
    refuse_for_deadline,
    refuse_for_memory,
)
from plantainsail.policy.sampling import EngineSampler
from plantainsail.policy.shares import ShareLedger
from plantainsail.policy.slices import SliceBook
from plantainsail.policy.slowness import SlownessDetector
from plantainsail.policy.work import Placement, Work
from plantainsail.results import Failure

# The expected output length is this quantile of similar work's lengths.
EXPECTED_QUANTILE = 0.5
# A request starts only if this fraction of similar requests would end
# before its deadline.
DEADLINE_QUANTILE = 0.85


class Scheduler:
    """The queues, accounts and estimates of one daemon.

    `engines` holds the hosts of each model, and `running` the number of
    generations on all engines.  `accounts` is by host.  `plans` and
    `organisations` hold the tokens served to each.  `service_rate` is
    how many tokens a second all engines produce for this daemon.
    """

    def __init__(
        self,
        address: str,
        availability_zone: str,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.address = address
        self.random = rng
        self.engines: dict[str, list[str]] = {}
        self.accounts: dict[str, EngineAccount] = {}
        self.queues: dict[QueueKey, WaitingQueue] = {}
        self.lengths = LengthEstimator()
        self.slices = SliceBook(address, now_s)
        self.plans = ShareLedger(now_s)
        self.organisations = ShareLedger(now_s)
        self.fair_order = FairOrder(self.plans, self.organisations)
        self.slowness = SlownessDetector()
        self.prefixes = PrefixHints()
        self.service_rate = ServiceRate(now_s)
        self.short_work_reserve = ShortWorkReserve()
        self.placer = Placer(
            availability_zone,
            self.accounts,
            self.slices,
            self.slowness,
            self.prefixes,
            self.short_work_reserve,
            self.lengths,
        )
        self.running = 0
        self.sampler = EngineSampler(rng, self.slices)
        # Requests that fitted no engine in this round of decisions.
        self.unplaced: set[str] = set()

    def configure(
        self,
        engines: Mapping[str, Collection[EngineView]],
        daemons: Collection[str],
        grants: Mapping[str, Grant],
        now_s: float,
    ) -> None:
        """Apply new lists of engines by model, daemons and grants.

        Engines that are no longer listed get no new work, but their
        running generations continue.
        """
        views = {e.host: e for group in engines.values() for e in group}
        self.engines = {
            model: sorted(e.host for e in group)
            for model, group in engines.items()
        }
        for host, view in views.items():
            account = self.accounts.get(host)
            if account is None:
                self.accounts[host] = EngineAccount(view, self.lengths)
            else:
                account.engine = view
        for host in set(self.accounts) - set(views):
            if not self.accounts[host].running:
                del self.accounts[host]
        memory = {host: view.kv_tokens for host, view in views.items()}
        self.placer.corrections.drop_missing(set(views))
        self.slices.configure(tuple(daemons), memory, now_s)
        self.sampler.configure(self.engines)
        self.fair_order.grants = grants
        self.plans.weights = {name: g.weight for name, g in grants.items()}

    def submit(
        self, work: Work, excluded: Collection[str], now_s: float
    ) -> Failure | None:
        """Queue a request, or return why it can't be served."""
        expected_tokens = self.lengths.expect(work, 0, EXPECTED_QUANTILE)
        failure = self._refusal(work, expected_tokens, excluded, now_s)
        if failure is not None:
            return failure
        need = work.prompt_tokens + expected_tokens
        is_short = expected_tokens <= SHORT_TOKENS
        if is_short:
            gap_s = self.slowness.median_gaps_s.get(work.model, DEFAULT_GAP_S)
            self.short_work_reserve.record(
                need, expected_tokens * gap_s, now_s
            )
        queue = self.queues.setdefault(
            QueueKey(work.model, is_short), WaitingQueue()
        )
        queue.push(work, expected_tokens, tuple(excluded))
        return None

    def withdraw(self, work: Work) -> None:
        """Remove a waiting request whose caller has disconnected."""
        for queue in self.queues_for_model(work.model):
            queue.remove(work.request)

    def decide(self, now_s: float) -> list[Started | Refused]:
        """Return the waiting requests to start or to refuse now."""
        decisions: list[Started | Refused] = []
        self.placer.begin_round()
        self.unplaced.clear()
        self._refresh_next_forecast(now_s)
        for queue in self.queues.values():
            for entry in queue.newly_expired(now_s):
                queue.remove(entry.work.request)
                decisions.append(Refused(entry.work, expired_failure()))
        for model, hosts in self.engines.items():
            if not any(
                queue.entries for queue in self.queues_for_model(model)
            ):
                continue
            self.slowness.review(model, hosts, now_s)
            candidate_hosts = self.sampler.candidate_hosts(model)
            while self._serve_one(model, candidate_hosts, decisions, now_s):
                continue
        return decisions

    def _refresh_next_forecast(self, now_s: float) -> None:
        """Refresh the forecast of one engine, in rotation."""
        host = next(iter(self.accounts), None)
        if host is not None:
            account = self.accounts.pop(host)
            self.accounts[host] = account
            account.refresh(now_s)

    def queues_for_model(self, model: str) -> list[WaitingQueue]:
        """Return the queues of a model, with short work first."""
        keys = (QueueKey(model, True), QueueKey(model, False))
        return [self.queues[key] for key in keys if key in self.queues]

    def record_tokens(
        self, work: Work, host: str, tokens: int, now_s: float
    ) -> None:
        """Record produced tokens and charge them to the shares."""
        account = self.accounts.get(host)
        running = account.running.get(work.request) if account else None
        if running is None:
            return
        if running.last_token_s is not None and tokens > 0:
            gap_s = (now_s - running.last_token_s) / tokens
            self.slowness.record_gap(host, gap_s, now_s)
        elif tokens > 0:
            self.slowness.record_first_token(host, now_s)
        running.last_token_s = now_s
        self._record_produced(running, tokens)
        self.plans.charge(work.plan, tokens, now_s)
        self.organisations.charge(work.organisation, tokens, now_s)
        self.service_rate.record(tokens, now_s)

    def adopt(self, work: Work, host: str, produced: int, now_s: float) -> int:
        """Account for a generation that a peer placed on an engine.

        It already runs there, so its memory counts even if it exceeds
        this daemon's slice.  Return its expected final length.
        """
        expected_tokens = self.lengths.expect(
            work, produced, EXPECTED_QUANTILE
        )
        running = RunningGeneration(work, expected_tokens, now_s)
        running.produced = produced
        if host in self.accounts:
            self._add_running(self.accounts[host], running)
            self._change_expected(work, running.outstanding)
        return expected_tokens

    def release(
        self, work: Work, host: str, now_s: float, is_whole: bool = True
    ) -> None:
        """Release the memory of a generation that has ended.

        Its length is learned from only if `is_whole` is set.
        """
        account = self.accounts.get(host)
        running = account.end(work.request) if account else None
        if account is None or running is None:
            return
        self.running -= 1
        self.sampler.record_freed(host)
        self._change_expected(work, -running.outstanding)
        if not account.running:
            self.slowness.record_idle(host)
        if is_whole and running.produced > 0:
            self.lengths.observe(work, running.produced)
        else:
            self.lengths.forget(work)
        position = self.organisations.weighted_usage(work.organisation, now_s)
        for queue in self.queues_for_model(work.model):
            queue.update_position(work.organisation, position)

    def record_failure(self, host: str, now_s: float) -> None:
        """Record that an engine failed before its first token."""
        self.slowness.record_failure(host, now_s)

    def free_tokens(self, host: str, now_s: float) -> int:
        """Return the free memory of an engine for own work."""
        return self.placer.free_tokens(host, now_s)

    def first_waiting(self, model: str, now_s: float) -> QueueEntry | None:
        """Return the next waiting request of a model, if any."""
        queues = self.fair_order.order_queues(
            self.queues_for_model(model), now_s
        )
        if not queues:
            return None
        return next(self.fair_order.heads(queues[0], now_s), None)

    def _refusal(
        self,
        work: Work,
        expected_tokens: int,
        excluded: Collection[str],
        now_s: float,
    ) -> Failure | None:
        memory = [
            self.accounts[host].engine.kv_tokens
            for host in self.engines.get(work.model, ())
            if host not in excluded
        ]
        queues = self.queues_for_model(work.model)
        gap_s = self.slowness.median_gaps_s.get(work.model, DEFAULT_GAP_S)
        tokens_per_s = max(
            self.service_rate.read(now_s), self.running / max(gap_s, 1e-3)
        )
        run_s = gap_s * self._likely_tokens(work)
        estimate = estimate_times(
            work,
            expected_tokens,
            queues,
            self.plans.weights,
            ServicePace(run_s, tokens_per_s),
        )
        failure = refuse_for_memory(work, memory) or refuse_for_bounds(
            work, queues, self.fair_order.grants.get(work.plan), estimate
        )
        if failure is not None or not self.lengths.has_enough_observations(
            work
        ):
            return failure
        return refuse_for_deadline(work, estimate, now_s)

    def _serve_one(
        self,
        model: str,
        hosts: Sequence[str],
        decisions: list[Started | Refused],
        now_s: float,
    ) -> bool:
        """Start or refuse one request; return False if none can be."""
        for queue in self.fair_order.order_queues(
            self.queues_for_model(model), now_s
        ):
            if self._serve_queue(hosts, queue, decisions, now_s):
                return True
        return False

    def _serve_queue(
        self,
        hosts: Sequence[str],
        queue: WaitingQueue,
        decisions: list[Started | Refused],
        now_s: float,
    ) -> bool:
        is_head = True
        for entry in islice(
            self.fair_order.heads(queue, now_s), MAX_QUEUE_HEADS
        ):
            if self.fair_order.is_over_limit(entry.work.plan, now_s):
                continue
            # Only short work may overtake a request that does not fit.
            if not is_head and entry.expected_tokens > SHORT_TOKENS:
                continue
            is_head = False
            if self._cannot_meet_deadline(entry, now_s):
                queue.remove(entry.work.request)
                decisions.append(Refused(entry.work, unreachable_failure()))
                return True
            host = self._place(hosts, entry, now_s)
            if host is None:
                continue
            queue.remove(entry.work.request)
            decisions.append(self._start(entry, host, now_s))
            return True
        return False

    def _place(
        self, hosts: Sequence[str], entry: QueueEntry, now_s: float
    ) -> str | None:
        """Return an engine's host for a request, or None.

        A request is tried once in a round, because free memory only
        shrinks while other work starts.
        """
        work = entry.work
        if work.request in self.unplaced:
            return None
        rank = self.fair_order.rank(work.plan, work.organisation, now_s)
        host = self.placer.place(hosts, entry, rank, now_s)
        if host is None:
            self.unplaced.add(work.request)
        return host

    def _cannot_meet_deadline(self, entry: QueueEntry, now_s: float) -> bool:
        if not self.lengths.has_enough_observations(entry.work):
            return False
        gap_s = self.slowness.median_gaps_s.get(entry.work.model, 0.0)
        run_s = gap_s * self._likely_tokens(entry.work)
        return now_s + run_s > entry.work.deadline_s

    def _likely_tokens(self, work: Work) -> int:
        """Return the length that most similar work does not exceed."""
        return self.lengths.expect(work, 0, DEADLINE_QUANTILE)

    def _start(self, entry: QueueEntry, host: str, now_s: float) -> Started:
        work = entry.work
        account = self.accounts[host]
        running = RunningGeneration(work, entry.expected_tokens, now_s)
        self._add_running(account, running)
        self.placer.max_free_tokens.pop(host, None)
        self.plans.start(work.plan, entry.expected_tokens)
        self.organisations.start(work.organisation, entry.expected_tokens)
        self.slowness.record_sent(host, now_s)
        if work.prefixes:
            self.prefixes.record_sent(
                host, account.engine.incarnation, work.prefixes, now_s
            )
        return Started(
            work, Placement(host, priority_of(entry.expected_tokens))
        )

    def _add_running(
        self, account: EngineAccount, running: RunningGeneration
    ) -> None:
        account.start(running)
        self.running += 1

    def _record_produced(
        self, running: RunningGeneration, tokens: int
    ) -> None:
        """Count produced tokens and update the expected remainder."""
        before = running.outstanding
        running.produced += tokens
        if running.produced >= running.charged_tokens:
            running.charged_tokens = self.lengths.expect(
                running.work, running.produced, EXPECTED_QUANTILE
            )
        self._change_expected(running.work, running.outstanding - before)

    def _change_expected(self, work: Work, tokens: int) -> None:
        self.plans.adjust_outstanding(work.plan, tokens)
        self.organisations.adjust_outstanding(work.organisation, tokens)
