"""Fixtures and test settings that all tests share."""

import asyncio
import os
from collections.abc import AsyncIterator

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.internal.conjecture import providers

from plantainsail.daemon import Daemon
from plantainsail.logs import configure_logging
from tests.standins.office import Office
from tests.standins.platform import Platform, start_daemon, start_fleet
from tests.watchdog import Watchdog

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=50,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
configure_logging("error")
# Hypothesis also draws constants from the modules loaded so far, which
# would make the examples of a test depend on the tests before it.
providers._get_local_constants = lambda: providers._local_constants


def pytest_configure(config: pytest.Config) -> None:
    """Register the watchdog, which reports hanging tests."""
    config.pluginmanager.register(Watchdog())


@pytest.fixture
async def platform() -> AsyncIterator[Platform]:
    stand_ins = Platform()
    await stand_ins.start()
    yield stand_ins
    await stand_ins.stop()


@pytest.fixture
async def daemon(platform: Platform) -> AsyncIterator[Daemon]:
    daemon_under_test = await start_daemon(platform.settings())
    yield daemon_under_test
    await daemon_under_test.stop()


@pytest.fixture
async def fleet(platform: Platform) -> AsyncIterator[list[Daemon]]:
    daemons = await start_fleet(platform, 3)
    yield daemons
    await asyncio.gather(*(daemon.stop() for daemon in daemons))


@pytest.fixture
def address(daemon: Daemon) -> str:
    return f"127.0.0.1:{daemon.caller_listener.port}"


@pytest.fixture
async def office() -> AsyncIterator[Office]:
    made = Office()
    await made.start()
    yield made
    await made.stop()
