"""The two scheduling systems that plantainsail is compared with."""

from measure.engines import Engine, Generation, Record
from measure.harness import PLAN_WEIGHTS, Run
from plantainsail.policy.forecast import GenerationTokens, peak_tokens

REPORT_INTERVAL_S = 1.0
MAX_CHECKED_REQUESTS = 64
MAX_UNPLACED_REQUESTS = 6
MIN_DECISION_INTERVAL_S = 0.01
MARGIN_TOKENS = 64


class Naive:
    """Sends each request at once to the engine with the least load.

    Loads are reported at intervals and become visible one interval
    later.  A failed request is sent again at once.
    """

    def start(self, run: Run) -> None:
        """Start collecting load reports."""
        self.run = run
        self.newest_loads = dict.fromkeys(run.engines, 0)
        self.visible_loads = dict(self.newest_loads)
        run.every(REPORT_INTERVAL_S, self.collect_loads)

    def collect_loads(self) -> None:
        """Collect new loads and make the previous ones visible."""
        self.visible_loads = self.newest_loads
        self.newest_loads = {
            name: len(engine.running) + len(engine.waiting)
            for name, engine in self.run.engines.items()
        }

    def arrive(self, record: Record) -> None:
        """Send a request to the engine with the least visible load."""
        best = min(
            self.visible_loads,
            key=lambda e: (self.visible_loads[e], self.run.random.random()),
        )
        self.run.launch(record, best)

    def on_token(self, engine: Engine, generation: Generation) -> None:
        """Do nothing."""

    def on_end(
        self, engine: Engine, generation: Generation, is_whole: bool
    ) -> None:
        """Send a failed request again."""
        if not is_whole:
            self.arrive(generation.record)

    def on_caller_left(self, record: Record) -> None:
        """Do nothing."""


class Clairvoyant:
    """A single scheduler that knows all lengths and the engines' state.

    The shortest request goes first, unless shares are enforced.  No
    request is started that can't finish in time or would make the
    memory of its engine overflow later.
    """

    def __init__(self, enforces_shares: bool = False) -> None:
        """Create a scheduler with an empty queue."""
        self.enforces_shares = enforces_shares
        self.served_tokens = dict.fromkeys(PLAN_WEIGHTS, 0)
        self.waiting: list[Record] = []
        self.last_decision_s = 0.0

    def start(self, run: Run) -> None:
        """Start regular scheduling decisions."""
        self.run = run
        run.every(0.02, self.decide)

    def arrive(self, record: Record) -> None:
        """Queue a request."""
        self.waiting.append(record)
        self.decide()

    def sort_key(self, record: Record) -> tuple[float, float]:
        """Return the key that orders the queue, lowest first."""
        request = record.request
        share = self.served_tokens[request.plan] / PLAN_WEIGHTS[request.plan]
        first_key = share if self.enforces_shares else 0.0
        return first_key, float(request.output_tokens)

    def decide(self) -> None:
        """Start waiting requests that fit; refuse those too late."""
        since_last_s = self.run.now_s - self.last_decision_s
        if not self.waiting or since_last_s < MIN_DECISION_INTERVAL_S:
            return
        self.last_decision_s = self.run.now_s
        expected_tokens = {
            n: self.expected_tokens(e) for n, e in self.run.engines.items()
        }
        self.waiting = [r for r in self.waiting if not r.has_caller_left]
        unplaced_requests = 0
        for record in sorted(self.waiting, key=self.sort_key)[
            :MAX_CHECKED_REQUESTS
        ]:
            request = record.request
            token_interval_s = 0.02
            remaining_s = (
                request.deadline_s + self.run.warmup_s - self.run.now_s
            )
            if remaining_s < token_interval_s * request.output_tokens:
                self.waiting.remove(record)
                record.is_refused = True
                continue
            request_tokens = GenerationTokens(
                request.prompt_tokens, request.output_tokens
            )
            for engine in sorted(self.run.engines.values(), key=self.load):
                if engine.is_failing or engine.slow_factor > 1.0:
                    continue
                peak_kv_tokens = peak_tokens(
                    [*expected_tokens[engine.name], request_tokens]
                )
                # The margin covers generations that start some steps
                # apart.
                if peak_kv_tokens + MARGIN_TOKENS > engine.kv_tokens:
                    continue
                expected_tokens[engine.name].append(request_tokens)
                self.waiting.remove(record)
                self.served_tokens[request.plan] += request.output_tokens
                self.run.launch(record, engine.name)
                break
            else:
                unplaced_requests += 1
                if unplaced_requests > MAX_UNPLACED_REQUESTS:
                    return

    def load(self, engine: Engine) -> int:
        """Return the number of generations on an engine."""
        return len(engine.running) + len(engine.waiting)

    def expected_tokens(self, engine: Engine) -> list[GenerationTokens]:
        """Return the held and remaining tokens of an engine's work."""
        return [
            GenerationTokens(
                g.occupied_kv_tokens,
                g.record.request.output_tokens - g.produced,
            )
            for g in [*engine.running, *engine.waiting]
            if not g.is_cancelled
        ]

    def on_token(self, engine: Engine, generation: Generation) -> None:
        """Do nothing."""

    def on_end(
        self, engine: Engine, generation: Generation, is_whole: bool
    ) -> None:
        """Queue a failed request again and use the freed memory."""
        if not is_whole:
            self.waiting.append(generation.record)
        self.decide()

    def on_caller_left(self, record: Record) -> None:
        """Do nothing; the next decision uses the freed memory."""
