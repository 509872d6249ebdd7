"""The two ways of scheduling that plantainsail is compared with."""

from measure.engines import Engine, Generation, Record
from measure.harness import PLAN_WEIGHTS, Run
from plantainsail.policy.forecast import GenerationTokens, peak_tokens

REPORT_INTERVAL_S = 1.0
MAX_CHECKED_REQUESTS = 64
MAX_UNPLACED_REQUESTS = 6
MIN_DECISION_INTERVAL_S = 0.01
MARGIN_TOKENS = 64


class Naive:
    """Least outstanding by lagging reports; all is sent at once.

    Reports are seen after one interval more.  A failed request is sent
    again at once.
    """

    def start(self, run: Run) -> None:
        """Begin to collect reports."""
        self.run = run
        self.newest_loads = dict.fromkeys(run.engines, 0)
        self.visible_loads = dict(self.newest_loads)
        run.every(REPORT_INTERVAL_S, self.collect_loads)

    def collect_loads(self) -> None:
        """Take new reports and show those of before."""
        self.visible_loads = self.newest_loads
        self.newest_loads = {
            name: len(engine.running) + len(engine.waiting)
            for name, engine in self.run.engines.items()
        }

    def arrive(self, record: Record) -> None:
        """Send to the engine with the least reported load."""
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
        """Send again what failed."""
        if not is_whole:
            self.arrive(generation.record)

    def on_caller_left(self, record: Record) -> None:
        """Do nothing."""


class Clairvoyant:
    """One scheduler that knows all lengths and the engines' true state.

    The shortest goes first, unless shares are to be held.  Nothing is
    started that can't end in time or would ever exceed the memory.
    """

    def __init__(self, enforces_shares: bool = False) -> None:
        """Create it with an empty queue."""
        self.enforces_shares = enforces_shares
        self.served_tokens = dict.fromkeys(PLAN_WEIGHTS, 0)
        self.waiting: list[Record] = []
        self.last_decision_s = 0.0

    def start(self, run: Run) -> None:
        """Begin."""
        self.run = run
        run.every(0.02, self.decide)

    def arrive(self, record: Record) -> None:
        """Take a request."""
        self.waiting.append(record)
        self.decide()

    def sort_key(self, record: Record) -> tuple[float, float]:
        """Return the place in the queue."""
        request = record.request
        share = self.served_tokens[request.plan] / PLAN_WEIGHTS[request.plan]
        first_key = share if self.enforces_shares else 0.0
        return first_key, float(request.output_tokens)

    def decide(self) -> None:
        """Start all that fits."""
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
                # Generations start some steps apart.
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
        """Return how busy an engine is."""
        return len(engine.running) + len(engine.waiting)

    def expected_tokens(self, engine: Engine) -> list[GenerationTokens]:
        """Return what runs on an engine."""
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
        """Fill the room."""
        if not is_whole:
            self.waiting.append(generation.record)
        self.decide()

    def on_caller_left(self, record: Record) -> None:
        """Fill the room at the next decision."""
