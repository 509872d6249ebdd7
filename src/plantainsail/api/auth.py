"""Authentication by API key and the checks of a plan's grants."""

import hashlib
from typing import NamedTuple

from expression import Error, Ok, Result
from starlette.requests import Request

from plantainsail.lists.model import Grant, PublishedLists
from plantainsail.results import Code, Failure

AUTHORIZATION_SCHEME = "bearer"


class Caller(NamedTuple):
    """An authenticated organisation and the grant of its plan."""

    organisation: str
    grant: Grant


def identify_caller(
    request: Request, lists: PublishedLists
) -> Result[Caller, Failure]:
    """Return the organisation that holds the call's API key.

    Only hashes of keys are compared, so that the duration of the
    look-up reveals nothing about a key.
    """
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != AUTHORIZATION_SCHEME or not key.strip():
        return Error(Failure(Code.MISSING_KEY, "no API key was given"))
    key_hash = hashlib.sha256(key.strip().encode()).hexdigest()
    name = lists.organisation_by_key_hash.get(key_hash)
    if name is None:
        return Error(Failure(Code.UNKNOWN_KEY, "the API key is not known"))
    organisation = lists.organisations[name]
    return Ok(Caller(name, lists.grants[organisation.plan]))


def check_model(
    caller: Caller, model: str, lists: PublishedLists
) -> Result[None, Failure]:
    """Return a failure unless the caller's plan grants the model."""
    if model in caller.grant.models:
        return Ok(None)
    if any(model in grant.models for grant in lists.grants.values()):
        return Error(
            Failure(Code.MODEL_NOT_GRANTED, f"{model} is not granted")
        )
    return Error(Failure(Code.UNKNOWN_MODEL, f"there is no model {model}"))


def check_operation(
    caller: Caller, service: str, operation: str, lists: PublishedLists
) -> Result[bool, Failure]:
    """Return whether the granted operation is idempotent."""
    name = f"{service}/{operation}"
    published = lists.services.get(service)
    for candidate in published.operations if published is not None else ():
        if candidate.operation != operation:
            continue
        if name not in caller.grant.operations:
            return Error(
                Failure(Code.OPERATION_NOT_GRANTED, f"{name} is not granted")
            )
        return Ok(candidate.is_idempotent)
    return Error(
        Failure(Code.UNKNOWN_OPERATION, f"there is no operation {name}")
    )
