"""HTTP calls to the platform's services that return errors as values."""

from collections.abc import Callable

import httpx
import result

from plantainvane import http_client
from plantainvane import outcomes

_FAILURE = outcomes.CallFailure


async def call(
    client: http_client.Client,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float | None = None,
    headers: dict[str, str] | None = None,
    is_wanted: Callable[[], bool] = lambda: True,
) -> result.Result[http_client.Reply, outcomes.CallError]:
    """Sends a request; a status of 429, 503 or 507 is returned as an error.

    These statuses mean that the service did nothing. A failed connection, and
    a POST that `is_wanted` withdraws before it is sent, is UNREACHED; any other
    failure is LOST, as the request may have been handled.
    """
    try:
        if method == "GET":
            reply = await client.get(path, timeout=timeout_s)
        else:
            reply = await client.post(
                path,
                content=body,
                timeout=timeout_s,
                headers=headers,
                is_wanted=is_wanted,
            )
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as e:
        return _fail(_FAILURE.UNREACHED, f"{type(e).__name__}: {e}")
    except httpx.HTTPError as error:
        return _fail(_FAILURE.LOST, f"{type(error).__name__}: {error}")
    if reply.status_code == 429:
        return _fail(_FAILURE.LIMITED, "status 429")
    if reply.status_code in (503, 507):
        return _fail(_FAILURE.REFUSED, f"status {reply.status_code}")
    return result.Ok(reply)


def _fail(
    failure: outcomes.CallFailure, detail: str
) -> result.Result[http_client.Reply, outcomes.CallError]:
    return result.Err(outcomes.CallError(failure, detail))
