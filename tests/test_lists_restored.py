"""A configuration service that was restored gives revisions out again.

A daemon that compares revisions alone ignores what is published at one
that it has seen before.
"""

from plantainsail.daemon import Daemon
from tests.standins.platform import Platform


async def test_hosts_published_at_a_revision_given_out_again_are_in_force(
    daemon: Daemon, platform: Platform
) -> None:
    revision = platform.hosts_revision
    hosts = dict(platform.hosts)
    platform.hosts["service-2"] = hosts["service-1"]
    platform.publish_hosts()
    await daemon.list_sync.refresh()
    assert "service-2" in daemon.node.store.hosts.hosts
    # The service comes back without the last change.
    platform.hosts = hosts | {"service-3": hosts["service-1"]}
    platform.hosts_revision = revision
    platform.publish_hosts()
    await daemon.list_sync.refresh()
    assert "service-3" in daemon.node.store.hosts.hosts
