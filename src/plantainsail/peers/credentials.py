"""Authentication between daemons: tokens and mutual TLS.

Every call carries a token signed with the fleet's key.  If the
settings name certificate files, connections also use mutual TLS, and
the files are read again when they change.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import grpc

from plantainsail.identity import Incarnation
from plantainsail.settings import TlsFiles
from plantainsail.signing import Signer

TOKEN_PURPOSE = "peer"
TOKEN_HEADER = "token"
NONCE_BYTES = 8


def make_token(signer: Signer, sender: Incarnation) -> str:
    """Return the token that an incarnation sends to its peers."""
    return signer.sign(TOKEN_PURPOSE, sender.nonce.to_bytes(NONCE_BYTES))


def is_valid_token(signer: Signer, token: str) -> bool:
    """Return whether a token was made with a key of the fleet."""
    return signer.verify(TOKEN_PURPOSE, token) is not None


class TlsMaterial(NamedTuple):
    """The contents of the certificate files."""

    certificate: bytes
    private_key: bytes
    authority: bytes


class TlsStore:
    """Holds the contents of the certificate files.

    If the files can't be read, for example while they are replaced,
    the previous contents stay in use.
    """

    def __init__(self, files: TlsFiles) -> None:
        self.files = files
        self.material = self._read()

    def reload(self) -> bool:
        """Read the files again; return whether they changed."""
        try:
            material = self._read()
        except OSError:
            return False
        if material == self.material:
            return False
        self.material = material
        return True

    def server_credentials(self) -> Any:
        """Return server credentials that follow each `reload`."""
        return grpc.dynamic_ssl_server_credentials(
            _server_configuration(self.material),
            self._fetch_server_configuration,
            require_client_authentication=True,
        )

    def channel_credentials(self) -> Any:
        """Return the credentials for a new channel."""
        return grpc.ssl_channel_credentials(
            root_certificates=self.material.authority,
            private_key=self.material.private_key,
            certificate_chain=self.material.certificate,
        )

    def _fetch_server_configuration(self) -> Any:
        return _server_configuration(self.material)

    def _read(self) -> TlsMaterial:
        return TlsMaterial(
            Path(self.files.certificate).read_bytes(),
            Path(self.files.private_key).read_bytes(),
            Path(self.files.authority).read_bytes(),
        )


def _server_configuration(material: TlsMaterial) -> Any:
    return grpc.ssl_server_certificate_configuration(
        [(material.private_key, material.certificate)],
        root_certificates=material.authority,
    )


class UnaryTokenInterceptor(grpc.aio.UnaryUnaryClientInterceptor):  # type: ignore[misc]
    """Adds the token to calls that have one reply."""

    def __init__(self, token: str) -> None:
        self.token = token

    async def intercept_unary_unary(
        self,
        continuation: Callable[..., Any],
        client_call_details: Any,
        request: Any,
    ) -> Any:
        """Send the call with the token."""
        details = _with_token(client_call_details, self.token)
        return await continuation(details, request)


class StreamTokenInterceptor(grpc.aio.UnaryStreamClientInterceptor):  # type: ignore[misc]
    """Adds the token to calls that have a stream of replies."""

    def __init__(self, token: str) -> None:
        self.token = token

    async def intercept_unary_stream(
        self,
        continuation: Callable[..., Any],
        client_call_details: Any,
        request: Any,
    ) -> Any:
        """Send the call with the token."""
        details = _with_token(client_call_details, self.token)
        return await continuation(details, request)


def _with_token(details: Any, token: str) -> Any:
    metadata = grpc.aio.Metadata(*(details.metadata or ()))
    metadata.add(TOKEN_HEADER, token)
    return grpc.aio.ClientCallDetails(
        method=details.method,
        timeout=details.timeout,
        metadata=metadata,
        credentials=details.credentials,
        wait_for_ready=details.wait_for_ready,
    )


class TokenGuard(grpc.aio.ServerInterceptor):  # type: ignore[misc]
    """Refuses calls that carry no valid token of the fleet."""

    def __init__(self, signer: Signer) -> None:
        self.signer = signer
        self.refused = 0
        self.on_refused: Callable[[str], None] | None = None
        self.refusal = grpc.unary_unary_rpc_method_handler(self._refuse)

    async def intercept_service(
        self, continuation: Callable[..., Any], handler_call_details: Any
    ) -> Any:
        """Return the call's handler, or one that refuses the call."""
        metadata = dict(handler_call_details.invocation_metadata)
        token = metadata.get(TOKEN_HEADER, "")
        if isinstance(token, str) and is_valid_token(self.signer, token):
            return await continuation(handler_call_details)
        return self.refusal

    async def _refuse(self, request: Any, context: Any) -> None:
        self.refused += 1
        if self.on_refused is not None:
            self.on_refused("token")
        await context.abort(
            grpc.StatusCode.UNAUTHENTICATED, "not of this fleet"
        )
