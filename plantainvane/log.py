"""Client of the platform's append-only log.

No other module depends on the log's protocol. The client relies on these
guarantees: offsets totally order the records of a stream; the records of one
append are contiguous and appended atomically; a read that starts after an
acknowledged append sees its records. A reply may be lost after the append took
effect.

Protocol, HTTP/1.1 with JSON bodies:
  POST /streams/{stream}/records  {"records": [...]}
    200 {"first_offset": int}; 429 rate limited; 503 unavailable (no effect).
  GET /streams/{stream}/records?from=INT&limit=INT&wait_s=FLOAT
    200 {"earliest": int, "next": int,
         "records": [{"offset": int, "record": {...}}]}
    `earliest` is the first retained offset, `next` the offset of the next
    append. Waits up to `wait_s` for the first record at or after `from`; a
    `from` above `next` is allowed and yields no records.
  Every request carries the process id of its sender in the header `Client-Id`.
"""

import httpx
import msgspec
import result

from plantainvane import http_client
from plantainvane import outcomes
from plantainvane import settings as settings_module


class StoredRecord(msgspec.Struct, frozen=True):
    """An encoded record with its offset; the stream's reader decodes it."""

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
    """Creates the HTTP client that all log calls of a process share."""
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
      may have been appended; any other error means that they were not.
    """
    body = b'{"records":[' + b",".join(encoded) + b"]}"
    try:
        reply = await client.post(f"/streams/{stream}/records", content=body)
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as e:
        return _fail(outcomes.CallFailure.UNREACHED, e)
    except httpx.HTTPError as error:
        return _fail(outcomes.CallFailure.LOST, error)
    if reply.status_code == 429:
        return _fail(outcomes.CallFailure.LIMITED, "append rate limit exceeded")
    if reply.status_code != 200:
        status = f"append answered {reply.status_code}"
        # Of the other statuses, only 503 guarantees that nothing was appended.
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
    """Reads a page of a stream.

    Args:
      client: HTTP client of the log.
      stream: Name of the stream.
      from_offset: Offset of the first record to read.
      wait_s: Longest time to wait for a first record, in seconds.
      limit: Maximum number of records to return.

    Returns:
      Ok with the page. Err REFUSED if the log answered with an error status,
      LOST if there was no valid reply.
    """
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
