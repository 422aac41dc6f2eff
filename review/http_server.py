"""Small HTTP/1.1 server for the stand-ins of the review.

It answers the requests of a connection in their order. Handlers have the form
that the project's own stand-ins use, so both can be served.
"""

import asyncio
import urllib.parse

from plantainvane import asgi

_REASONS = {200: "OK"}
_writers: set[asyncio.StreamWriter] = set()


async def _read_request(
    reader: asyncio.StreamReader,
) -> asgi.HttpRequest | None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    path, _, query = target.partition("?")
    return asgi.HttpRequest(
        method,
        urllib.parse.unquote(path),
        dict(urllib.parse.parse_qsl(query, keep_blank_values=True)),
        headers,
        body,
    )


def _encode_reply(reply: asgi.HttpReply) -> bytes:
    lines = [
        f"HTTP/1.1 {reply.status} {_REASONS.get(reply.status, 'Status')}",
        f"Content-Type: {reply.content_type}",
        f"Content-Length: {len(reply.body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + reply.body


async def serve(address: str, handler: asgi.Handler) -> asyncio.Server:
    """Starts a server at `ip:port`."""

    async def handle_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        _writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                writer.write(_encode_reply(await handler(request)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            _writers.discard(writer)
            writer.transport.abort()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(handle_connection, host, int(port))


async def break_connections() -> None:
    """Breaks off all connections, before the event loop is closed."""
    for writer in list(_writers):
        writer.transport.abort()
    await asyncio.sleep(0.1)
