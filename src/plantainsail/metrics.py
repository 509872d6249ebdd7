"""Prometheus metrics of one daemon; `docs/METRICS.md` lists them."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from plantainsail.results import Code, Failure, outcome_of

TIME_TO_FIRST_TOKEN_BUCKETS_S = (
    0.05, 0.1, 0.2, 0.4, 0.7, 1.1, 2.0, 4.0, 8.0, 16.0, 32.0,
)  # fmt: skip
TOKEN_GAP_BUCKETS_S = (
    0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.25, 0.5, 1.0, 2.0, 5.0,
)  # fmt: skip


class Metrics:
    """All metrics of one daemon, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "plantainsail_requests",
            "Requests received, by kind of work.",
            ["kind"],
            registry=self.registry,
        )
        self.failures = Counter(
            "plantainsail_failures",
            "Refusals and failures given to callers, by code.",
            ["code", "outcome"],
            registry=self.registry,
        )
        self.retries = Counter(
            "plantainsail_retries",
            "Work sent again, by kind of work and code of the first try.",
            ["kind", "code"],
            registry=self.registry,
        )
        self.drain_requests = Counter(
            "plantainsail_drain_requests",
            "Requests to leave, by signal or by the operators' call.",
            registry=self.registry,
        )
        self.moves = Counter(
            "plantainsail_moves",
            "Generations on engines that leave, by whether they moved.",
            ["result"],
            registry=self.registry,
        )
        self.dropped_chunks = Counter(
            "plantainsail_dropped_chunks",
            "Upstream messages that were not relayed, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.streams = Counter(
            "plantainsail_streams",
            "Streams resumed, joined, cancelled or given up, by event.",
            ["event"],
            registry=self.registry,
        )
        self.hedges = Counter(
            "plantainsail_hedges",
            "Second calls of slow reads, by which answer won.",
            ["winner"],
            registry=self.registry,
        )
        self.tokens = Counter(
            "plantainsail_tokens",
            "Tokens relayed to callers, by model.",
            ["model"],
            registry=self.registry,
        )
        self.tickets = Counter(
            "plantainsail_tickets",
            "Ticketed calls that ended here, by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.ticket_reports = Counter(
            "plantainsail_ticket_reports",
            "Results that were passed on to the witness, or were not.",
            ["result"],
            registry=self.registry,
        )
        self.unknown_outcomes = Counter(
            "plantainsail_ticket_unknown",
            "Tickets whose executor was lost without a result, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.time_to_first_token = Histogram(
            "plantainsail_time_to_first_token_seconds",
            "Time from a request's arrival to its first token.",
            ["model"],
            buckets=TIME_TO_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.token_gap = Histogram(
            "plantainsail_token_gap_seconds",
            "Time between two chunks of a stream.",
            ["model"],
            buckets=TOKEN_GAP_BUCKETS_S,
            registry=self.registry,
        )
        self.waiting = Gauge(
            "plantainsail_waiting_requests",
            "Requests that wait for an engine.",
            registry=self.registry,
        )
        self.heartbeats = Counter(
            "plantainsail_heartbeats",
            "Heartbeats sent to peers, by what came of them.",
            ["result"],
            registry=self.registry,
        )
        self.peer_refusals = Counter(
            "plantainsail_peer_refusals",
            "Peers' calls that were refused, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.peers = Gauge(
            "plantainsail_peers",
            "Peers known, by state.",
            ["state"],
            registry=self.registry,
        )
        self.peer_links_replaced = Gauge(
            "plantainsail_peer_links_replaced",
            "Silent peer connections replaced since the start.",
            registry=self.registry,
        )
        self.running = Gauge(
            "plantainsail_running_work",
            "Work that runs here, by kind.",
            ["kind"],
            registry=self.registry,
        )
        self.slice_tokens = Gauge(
            "plantainsail_slice_tokens",
            "KV memory that this daemon may fill now, by engine.",
            ["host"],
            registry=self.registry,
        )
        self.lists_revision = Gauge(
            "plantainsail_lists_revision",
            "Revision of the operators' lists in force.",
            registry=self.registry,
        )
        self.lists_age = Gauge(
            "plantainsail_lists_age_seconds",
            "Time since anyone confirmed the revision in force.",
            registry=self.registry,
        )

        self.list_refusals = Counter(
            "plantainsail_list_refusals",
            "Published revisions that were not put in force, by reason.",
            ["family", "reason"],
            registry=self.registry,
        )

        self.engine_reports = Counter(
            "plantainsail_engine_reports",
            "Reports asked of engines, by report and what came of it.",
            ["report", "result"],
            registry=self.registry,
        )
        self.task_failures = Counter(
            "plantainsail_task_failures",
            "Lasting tasks that failed and began again, by task.",
            ["task"],
            registry=self.registry,
        )
        self.orders = Counter(
            "plantainsail_orders",
            "Orders to engines, by kind and by what became of them.",
            ["kind", "result"],
            registry=self.registry,
        )
        self.orders_withheld = Counter(
            "plantainsail_orders_withheld",
            "Orders that were decided but not sent, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.owned_engines = Gauge(
            "plantainsail_owned_engines",
            "Engines that this daemon gives orders to.",
            registry=self.registry,
        )

    def count_failure(self, failure: Failure) -> None:
        """Count a failure that is returned to a caller."""
        self.failures.labels(
            Code(failure.code).name.lower(), outcome_of(failure)
        ).inc()
