"""Client of the platform's instance list; the only module that knows its API.

It relies on these properties: the list is eventually complete, but lags by
seconds and may be unavailable. An instance marked as leaving never becomes live
again under the same id.

Protocol, HTTP/1.1 with JSON:
  GET /instances?domain=NAME
    200 {"instances": [Instance, ...]}
  Every request has the id of the sending process in the header `Client-Id`.
"""

import enum

import httpx
import msgspec
import result

from plantainvane import documents
from plantainvane import http_client
from plantainvane import outcomes
from plantainvane import settings as settings_module


class InstanceKind(enum.StrEnum):
    """Kind of process at the address of an instance."""

    WORKER = "worker"
    RUNNER = "runner"


class Instance(msgspec.Struct, frozen=True):
    """A worker, or a runner (target) on a worker.

    Attributes:
      id: Unique name that is never reused.
      address: `ip:port` of its HTTP interface.
      size: Capacity of a worker; zero for a runner.
      worker: For a runner, the id of the worker that hosts it.
      classes: For a runner, the names of the service classes that it serves.
    """

    id: str
    kind: InstanceKind
    domain: str
    rack: str
    address: str
    leaving: bool = False
    size: documents.Size = documents.Size()
    worker: str = ""
    classes: tuple[str, ...] = ()


class InstanceList(msgspec.Struct, frozen=True):
    """Reply of the platform to `GET /instances`."""

    instances: list[Instance]


_DECODER = msgspec.json.Decoder(InstanceList)


def make_client(settings: settings_module.Settings) -> http_client.Client:
    """Creates the HTTP client for the instance list."""
    return http_client.Client(
        settings.platform.instances,
        settings.log.call_timeout_s,
        headers={"Client-Id": settings.id},
    )


async def fetch_instances(
    client: http_client.Client, domain: str
) -> result.Result[list[Instance], outcomes.CallError]:
    """Fetches the instances of one failure domain.

    Returns:
      The instances, or LOST with a detail if no valid reply came.
    """
    try:
        reply = await client.get("/instances", params={"domain": domain})
        reply.raise_for_status()
        return result.Ok(_DECODER.decode(reply.content).instances)
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        return result.Err(
            outcomes.CallError(outcomes.CallFailure.LOST, str(error))
        )
