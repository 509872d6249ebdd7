"""Counts and logs the failures that a daemon itself answers."""

from plantainsail.entry.node import EntryNode
from plantainsail.entry.request import RoutedRequest
from plantainsail.results import Code, Failure


def record_failure(
    node: EntryNode, request: RoutedRequest, failure: Failure
) -> None:
    """Count and log a failure with its configuration."""
    code = Code(failure.code)
    node.metrics.refusals.labels(code.name.lower()).inc()
    organisation = request.organisation
    node.log.info(
        "request failed",
        request=request.identifier,
        organisation=None if organisation is None else organisation.name,
        code=int(code),
        reason=failure.detail,
        kind=request.route.kind.value,
        route=request.route.name,
        service=request.service.name,
        after_ms=int((node.now_s() - request.arrived_s) * 1000),
        configuration=request.configuration_version,
        configuration_age_ms=node.in_force.age_ms(node.now_s()),
    )
