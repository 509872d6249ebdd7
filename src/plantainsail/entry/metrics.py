"""Prometheus metrics of the entry daemon."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 40.0,
)  # fmt: skip
PAUSE_BUCKETS_S = (0.02, 0.04, 0.08, 0.12, 0.18, 0.25, 0.5, 1.0, 4.0)


class EntryMetrics:
    """The metrics of one entry daemon, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "plantainsail_entry_requests",
            "Routed requests, by kind and outcome.",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "plantainsail_entry_refusals",
            "Requests refused or failed here, by code.",
            ["code"],
            registry=self.registry,
        )
        self.repeats = Counter(
            "plantainsail_entry_repeats",
            "Requests sent to another upstream, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.resumptions = Counter(
            "plantainsail_entry_resumptions",
            "Interrupted streams of resumable routes, by result.",
            ["result"],
            registry=self.registry,
        )
        self.caller_connections = Gauge(
            "plantainsail_entry_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
        self.caller_held_bytes = Gauge(
            "plantainsail_entry_caller_held_bytes",
            "Bytes that callers' connections hold in this process.",
            registry=self.registry,
        )
        self.caller_closes = Counter(
            "plantainsail_entry_caller_closes",
            "Callers' connections closed by a limit, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.caller_refusals = Counter(
            "plantainsail_entry_caller_refusals",
            "Callers' connections refused, as there were too many.",
            registry=self.registry,
        )
        self.engine_deaths = Counter(
            "plantainsail_entry_engine_deaths",
            "Streams that ended since their engine died.",
            registry=self.registry,
        )
        self.quarantined_parts = Gauge(
            "plantainsail_entry_quarantined_parts",
            "Parts of requests that are refused, as they crash engines.",
            registry=self.registry,
        )
        self.limited_upstreams = Gauge(
            "plantainsail_entry_limited_upstreams",
            "Upstreams that name a rate limit in their answers.",
            registry=self.registry,
        )
        self.drained_zones = Gauge(
            "plantainsail_entry_drained_zones",
            "Availability zones to which nothing is sent, by order.",
            registry=self.registry,
        )
        self.zone_orders = Counter(
            "plantainsail_entry_zone_orders",
            "Orders that drain an availability zone, and their liftings.",
            ["kind"],
            registry=self.registry,
        )
        self.cold_upstreams = Gauge(
            "plantainsail_entry_cold_upstreams",
            "Cold upstreams, which get a limited number of requests.",
            registry=self.registry,
        )
        self.hold_offs = Counter(
            "plantainsail_entry_hold_offs",
            "Pauses that upstreams asked this daemon for.",
            registry=self.registry,
        )
        self.ramping_upstreams = Gauge(
            "plantainsail_entry_ramping_upstreams",
            "Upstreams whose load may rise only as their answers allow.",
            registry=self.registry,
        )
        self.ramp_changes = Counter(
            "plantainsail_entry_ramp_changes",
            "Changes of ramp limits by own answers, by direction.",
            ["change"],
            registry=self.registry,
        )
        self.moves = Counter(
            "plantainsail_entry_moves",
            "Running generations moved off an engine, by result.",
            ["result"],
            registry=self.registry,
        )
        self.stop_orders = Counter(
            "plantainsail_entry_stop_orders",
            "Runs ordered to stop, by the proof of their end.",
            ["proof"],
            registry=self.registry,
        )
        self.latency = Histogram(
            "plantainsail_entry_latency_seconds",
            "Time from a request's arrival to the first of its answer.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.pause = Histogram(
            "plantainsail_entry_pause_seconds",
            "Time between two events of a stream.",
            buckets=PAUSE_BUCKETS_S,
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "plantainsail_entry_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.restorations = Counter(
            "plantainsail_entry_restorations",
            "Restorations of the configuration service from a copy.",
            registry=self.registry,
        )
        self.peers = Gauge(
            "plantainsail_entry_peers",
            "Daemons that spoke a short time ago.",
            registry=self.registry,
        )
        self.task_failures = Counter(
            "plantainsail_task_failures",
            "Lasting tasks that failed and began again, by task.",
            ["task"],
            registry=self.registry,
        )
