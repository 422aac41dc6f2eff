"""gRPC servers whose connections survive the reset of a forgotten stream."""

from collections.abc import Callable
import contextlib
from typing import Any

import grpclib.protocol
import grpclib.server


class _Handler(grpclib.protocol.AbstractHandler):
    """Passes calls on to the handler of grpclib."""

    def __init__(self, handler: grpclib.protocol.AbstractHandler):
        self._handler = handler

    def accept(
        self,
        stream: grpclib.protocol.Stream,
        headers: Any,
        release_stream: Callable[[], Any],
    ) -> None:
        self._handler.accept(stream, headers, release_stream)

    def cancel(self, stream: grpclib.protocol.Stream) -> None:
        # A task that was cancelled before it began never releases its stream,
        # and grpclib 0.4.9 forgets the task, as it is done. A reset of the
        # stream then raises KeyError, and asyncio closes the connection.
        with contextlib.suppress(KeyError):
            self._handler.cancel(stream)

    def close(self) -> None:
        self._handler.close()


class Server(grpclib.server.Server):
    """Server that ignores the reset of a stream whose task is forgotten."""

    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        protocol = super()._protocol_factory()
        protocol.handler = _Handler(protocol.handler)
        return protocol
