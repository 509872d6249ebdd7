"""A small platform for tests: published lists, engines and services."""

import asyncio
import hashlib
from typing import Any, NamedTuple

import aiosonic

from plantainsail.clock import BootClock
from plantainsail.daemon import Daemon
from plantainsail.policy.retries import ATTEMPTS_PER_RETRY
from plantainsail.settings import Settings, TimeLimits
from plantainsail.upstreams.cancellation import CancellationGuard
from tests.standins.config_service import ConfigService
from tests.standins.engine import Engine
from tests.standins.plain_service import PlainService

START_LIMIT_S = 20.0
START_RETRY_S = 0.02
MODEL = "letter-7b"
DESK_KEY = "key-desk"
STORE_KEY = "key-store"
FLEET_KEY = "00112233445566778899aabbccddeeff"


class Answer(NamedTuple):
    """The status, headers and complete body of an HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes


def key_hash(key: str) -> str:
    """Return the hash by which the lists name an API key."""
    return hashlib.sha256(key.encode()).hexdigest()


def plan_part() -> dict[str, Any]:
    """Return a part of the lists with two organisations and plans."""
    return {
        "organisations": [
            {
                "organisation": "desk",
                "plan": "large",
                "key_hashes": [key_hash(DESK_KEY)],
            },
            {
                "organisation": "store",
                "plan": "small",
                "key_hashes": [key_hash(STORE_KEY)],
            },
        ],
        "grants": [
            {
                "plan": "large",
                "weight": 30,
                "models": [MODEL],
                "operations": ["ledger/stock.read", "ledger/dispatch"],
            },
            {
                "plan": "small",
                "weight": 5,
                "models": [MODEL],
                "operations": ["ledger/stock.read"],
            },
        ],
        "services": [
            {
                "service": "ledger",
                "operations": [
                    {"operation": "stock.read", "is_idempotent": True},
                    {"operation": "dispatch", "is_idempotent": False},
                ],
            }
        ],
    }


def bare_settings(
    number: int = 1, peer_address: str = "127.0.0.1:0"
) -> Settings:
    """Return settings whose configuration URL is unreachable."""
    return Settings(
        host=f"entry-{number}",
        availability_zone=f"zone-{number % 3}",
        caller_address="127.0.0.1:0",
        operator_address="127.0.0.1:0",
        peer_address=peer_address,
        configuration_url="http://127.0.0.1:9",
        fleet_keys=(FLEET_KEY,),
        seed=number,
        expected_daemons=3,
        time_limits=TimeLimits(silence_s=1.0),
    )


class Platform:
    """Runs the stand-ins of one deployment on loopback addresses."""

    def __init__(self, engines: int = 2, services: int = 1) -> None:
        self.config = ConfigService()
        self.engines = [Engine() for _ in range(engines)]
        self.services = [PlainService() for _ in range(services)]
        self.hosts: dict[str, dict[str, Any]] = {}
        self.hosts_revision = 0

    async def start(self) -> None:
        """Start all stand-ins and publish the lists."""
        await self.config.listener.start()
        for number, engine in enumerate(self.engines, 1):
            await engine.listener.start()
            self.hosts[f"engine-{number}"] = {
                "role": "engine",
                "address": engine.listener.address,
                "availability_zone": f"zone-{number % 3}",
                "models": [MODEL],
                "kv_tokens": 20_000,
            }
        for number, service in enumerate(self.services, 1):
            await service.listener.start()
            self.hosts[f"service-{number}"] = {
                "role": "service",
                "address": service.listener.address,
                "availability_zone": f"zone-{number % 3}",
                "services": ["ledger"],
            }
        self.config.publish_family("lists", 1, {"plans/0": plan_part()})
        self.publish_hosts()

    def publish_hosts(self) -> None:
        """Publish the host list at the next revision."""
        self.hosts_revision += 1
        entries = [
            {"host": host} | entry for host, entry in self.hosts.items()
        ]
        self.config.publish_family(
            "hosts", self.hosts_revision, {"all": {"hosts": entries}}
        )

    def settings(
        self, number: int = 1, peer_address: str = "127.0.0.1:0"
    ) -> Settings:
        """Return the settings of one daemon on free ports."""
        return bare_settings(number, peer_address)._replace(
            configuration_url=self.config.url
        )

    def list_daemon(self, daemon: Daemon) -> None:
        """Add a daemon to the host list without publishing the list."""
        settings = daemon.node.settings
        self.hosts[settings.host] = {
            "role": "entry",
            "address": daemon.node.incarnation.address,
            "availability_zone": settings.availability_zone,
        }

    async def stop(self) -> None:
        """Stop all stand-ins."""
        listeners = [engine.listener for engine in self.engines]
        listeners += [service.listener for service in self.services]
        for listener in listeners:
            await listener.stop()
        await self.config.stop()


async def start_daemon(settings: Settings) -> Daemon:
    """Start a daemon in this process and wait until it is ready."""
    daemon = Daemon(settings, BootClock())
    await daemon.start()
    async with asyncio.timeout(START_LIMIT_S):
        while not await daemon.refresh():  # noqa: ASYNC110
            await asyncio.sleep(START_RETRY_S)
    return daemon


async def start_fleet(platform: Platform, count: int) -> list[Daemon]:
    """Start daemons that list each other as peers."""
    daemons = [
        await start_daemon(platform.settings(number))
        for number in range(1, count + 1)
    ]
    for daemon in daemons:
        platform.list_daemon(daemon)
    platform.publish_hosts()
    for daemon in daemons:
        await daemon.list_sync.refresh()
        await daemon.fleet.refresh()
    return daemons


def earn_retries(daemon: Daemon, count: int) -> None:
    """Record the first attempts that earn `count` retries."""
    node = daemon.node
    for _ in range(count * ATTEMPTS_PER_RETRY):
        node.retries.note_first_attempt("desk", node.now_s())


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    key: str | None = DESK_KEY,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Make one HTTP call on a new connection."""
    sent = {"content-type": "application/json"} | (headers or {})
    if key is not None:
        sent["authorization"] = f"Bearer {key}"
    with CancellationGuard():
        async with aiosonic.HTTPClient() as client:
            response = await client.request(
                f"http://{address}{path}", method, headers=sent, data=body
            )
            content = await response.content()
    received = {k.lower(): v for k, v in response.headers.items()}
    return Answer(int(response.status_code), received, content)
