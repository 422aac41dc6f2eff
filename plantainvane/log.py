"""Client of the platform's append-only log; the only module that knows it.

Properties relied on: offsets of a stream are a total order; the records of one
append are contiguous and take effect together; a read that starts after an
acknowledged append sees it. A reply may be lost after the append took effect.

Dialect, HTTP/1.1 with JSON bodies:
  POST /streams/{stream}/records  {"records": [...]}
    200 {"first_offset": int}; 429 rate limit; 503 down (no effect).
  GET /streams/{stream}/records?from=INT&limit=INT&wait_s=FLOAT
    200 {"earliest": int, "next": int,
         "records": [{"offset": int, "record": {...}}]}
    `earliest` is the first retained offset, `next` the offset of the next
    append. Waits up to `wait_s` for the first record at or after `from`; a
    `from` above `next` is allowed and yields no records.
  Every request names its sender's process id in the header `Client-Id`.
"""

import httpx
import msgspec
import result

from plantainvane import http_client
from plantainvane import outcomes
from plantainvane import settings as settings_module


class StoredRecord(msgspec.Struct, frozen=True):
    """A record with its offset; typed by the reader of the stream."""

    offset: int
    record: msgspec.Raw


class Page(msgspec.Struct, frozen=True):
    """Reply to a read.

    Attributes:
      earliest: First offset that is still retained.
      next: Offset that the next append will get.
      records: Records at or after the requested offset, in order.
    """

    earliest: int
    next: int
    records: list[StoredRecord]


class _Appended(msgspec.Struct, frozen=True):
    first_offset: int


_PAGE_DECODER = msgspec.json.Decoder(Page)
_APPENDED_DECODER = msgspec.json.Decoder(_Appended)


def make_client(settings: settings_module.Settings) -> http_client.Client:
    """Creates the HTTP client that all log calls of the process share."""
    return http_client.Client(
        settings.platform.log,
        settings.log.call_timeout_s,
        headers={"Client-Id": settings.id},
    )


async def append_records(
    client: http_client.Client, stream: str, encoded: list[bytes]
) -> result.Result[int, outcomes.CallError]:
    """Appends JSON records to a stream in one call.

    Returns:
      Ok with the offset of the first record. Err LOST means that the records
      may have been appended; every other failure means that they were not.
    """
    body = b'{"records":[' + b",".join(encoded) + b"]}"
    try:
        reply = await client.post(f"/streams/{stream}/records", content=body)
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as e:
        return _fail(outcomes.CallFailure.UNREACHED, e)
    except httpx.HTTPError as error:
        return _fail(outcomes.CallFailure.LOST, error)
    if reply.status_code == 429:
        return _fail(outcomes.CallFailure.LIMITED, "append rate limit")
    if reply.status_code != 200:
        status = f"append answered {reply.status_code}"
        # 503 is the log's own refusal; other answers promise nothing.
        refused = reply.status_code == 503
        failure = outcomes.CallFailure
        return _fail(failure.REFUSED if refused else failure.LOST, status)
    try:
        return result.Ok(_APPENDED_DECODER.decode(reply.content).first_offset)
    except msgspec.MsgspecError as error:
        return _fail(outcomes.CallFailure.LOST, error)


async def read_records(
    client: http_client.Client,
    stream: str,
    from_offset: int,
    wait_s: float = 0.0,
    limit: int = 1000,
) -> result.Result[Page, outcomes.CallError]:
    """Reads a page of a stream, waiting up to `wait_s` for a first record."""
    timeout = client.timeout.read or 0.0
    try:
        reply = await client.get(
            f"/streams/{stream}/records",
            params={"from": from_offset, "limit": limit, "wait_s": wait_s},
            timeout=timeout + wait_s,
        )
    except httpx.HTTPError as error:
        return _fail(outcomes.CallFailure.LOST, error)
    if reply.status_code != 200:
        return _fail(
            outcomes.CallFailure.REFUSED, f"read answered {reply.status_code}"
        )
    try:
        return result.Ok(_PAGE_DECODER.decode(reply.content))
    except msgspec.MsgspecError as error:
        return _fail(outcomes.CallFailure.LOST, error)


def _fail(
    failure: outcomes.CallFailure, detail: object
) -> result.Err[outcomes.CallError]:
    text = str(detail) or type(detail).__name__
    return result.Err(outcomes.CallError(failure, text))
