"""An upstream that says in its answers that it leaves is believed.

It says so in all of them, also while the configuration service, which
lists the upstreams that leave, is out of reach.
"""

from collections.abc import Callable

import pytest

from plantainsail.entry.daemon import EntryDaemon
from tests.standins.office import Office
from tests.standins.waiting import until

LEAVING = b"plantainsail-leaving: 1\r\n"


def is_usable(daemon: EntryDaemon) -> Callable[[], bool]:
    return lambda: daemon.node.registry.is_usable("u0")


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
async def test_an_upstream_that_says_it_leaves_gets_no_new_requests(
    office: Office, path: str
) -> None:
    office.extra = LEAVING
    await office.use_first_alone(path)
    assert await office.send_all(path) == 0


async def test_peers_learn_that_an_upstream_says_it_leaves(
    office: Office,
) -> None:
    office.extra = LEAVING
    await office.use_first_alone("/safe/x")
    await until(lambda: not office.daemons[1].node.registry.is_usable("u0"))
    assert await office.send_all("/safe/x", daemon=1) == 0


async def test_an_upstream_that_left_is_used_again_once_it_restarted(
    office: Office,
) -> None:
    office.extra = LEAVING
    await office.use_first_alone("/safe/x")
    office.extra = b""
    for source in office.sources:
        source.put(source.upstreams["u0"]._replace(born_ms=9))
    await until(is_usable(office.daemons[0]))
    assert await office.send_all("/safe/x") > 0
