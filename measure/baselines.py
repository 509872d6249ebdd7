"""The two ways of scheduling that plantainsail is compared with."""

from measure.engines import Engine, Generation, Record
from measure.harness import PLAN_WEIGHTS, Run
from plantainsail.policy.forecast import GenerationTokens, peak_tokens

REPORT_INTERVAL_S = 1.0
CHECKED = 64
MAX_MISSES = 6
DECISION_INTERVAL_S = 0.01
MARGIN_TOKENS = 64


class Naive:
    """Least outstanding by lagging reports; all is sent at once.

    Reports are seen after one interval more.  A failed request is sent
    again at once.
    """

    def start(self, run: Run) -> None:
        """Begin to collect reports."""
        self.run = run
        self.taken = dict.fromkeys(run.engines, 0)
        self.seen = dict(self.taken)
        run.every(REPORT_INTERVAL_S, self.report)

    def report(self) -> None:
        """Take new reports and show those of before."""
        self.seen = self.taken
        self.taken = {
            name: len(engine.running) + len(engine.waiting)
            for name, engine in self.run.engines.items()
        }

    def arrive(self, record: Record) -> None:
        """Send to the engine with the least reported load."""
        best = min(
            self.seen, key=lambda e: (self.seen[e], self.run.random.random())
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

    def __init__(self, holds_shares: bool = False) -> None:
        """Create it with an empty queue."""
        self.holds_shares = holds_shares
        self.served = dict.fromkeys(PLAN_WEIGHTS, 0)
        self.waiting: list[Record] = []
        self.decided_s = 0.0

    def start(self, run: Run) -> None:
        """Begin."""
        self.run = run
        run.every(0.02, self.decide)

    def arrive(self, record: Record) -> None:
        """Take a request."""
        self.waiting.append(record)
        self.decide()

    def order(self, record: Record) -> tuple[float, float]:
        """Return the place in the queue."""
        request = record.request
        share = self.served[request.plan] / PLAN_WEIGHTS[request.plan]
        first = share if self.holds_shares else 0.0
        return first, float(request.output_tokens)

    def decide(self) -> None:
        """Start all that fits."""
        since_s = self.run.now_s - self.decided_s
        if not self.waiting or since_s < DECISION_INTERVAL_S:
            return
        self.decided_s = self.run.now_s
        growths = {n: self.growths(e) for n, e in self.run.engines.items()}
        self.waiting = [r for r in self.waiting if not r.has_caller_left]
        misses = 0
        for record in sorted(self.waiting, key=self.order)[:CHECKED]:
            request = record.request
            pace_s = 0.02
            left_s = request.deadline_s + self.run.warmup_s - self.run.now_s
            if left_s < pace_s * request.output_tokens:
                self.waiting.remove(record)
                record.is_refused = True
                continue
            new = GenerationTokens(
                request.prompt_tokens, request.output_tokens
            )
            for engine in sorted(self.run.engines.values(), key=self.load):
                if engine.is_failing or engine.slow_factor > 1.0:
                    continue
                peak = peak_tokens([*growths[engine.name], new])
                # Generations start some steps apart.
                if peak + MARGIN_TOKENS > engine.kv_tokens:
                    continue
                growths[engine.name].append(new)
                self.waiting.remove(record)
                self.served[request.plan] += request.output_tokens
                self.run.launch(record, engine.name)
                break
            else:
                misses += 1
                if misses > MAX_MISSES:
                    return

    def load(self, engine: Engine) -> int:
        """Return how busy an engine is."""
        return len(engine.running) + len(engine.waiting)

    def growths(self, engine: Engine) -> list[GenerationTokens]:
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
