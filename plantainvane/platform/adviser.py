"""Client of the platform's adviser."""

import msgspec

from plantainvane import decoding
from plantainvane import http_client
from plantainvane.jobs import settings as settings_module
from plantainvane.platform import calls


class _Advice(msgspec.Struct, rename="pascal"):
    """Reply of the adviser: pairs of runner id and ticket."""

    allowed: list[tuple[str, str]] = []


_ADVICE_DECODER = msgspec.json.Decoder(_Advice)


class Adviser:
    """Uses one connection, as the service handles one call at a time."""

    def __init__(self, settings: settings_module.Settings):
        """Creates a client that connects on first use."""
        self._client = http_client.Client(
            settings.adviser_address,
            settings.store_timeout_max_s,
            max_connections=1,
        )

    async def advise(
        self, step: str, runners: list[str], timeout_s: float
    ) -> dict[str, str] | None:
        """Returns tickets by runner id; None if the call failed."""
        body = msgspec.json.encode({"StepId": step, "Workers": runners})
        reply = await calls.call(
            self._client, "POST", "/plantainvane/advise", body, timeout_s
        )
        if reply.is_err() or reply.ok_value.status_code != 200:
            return None
        advice = decoding.decode(_ADVICE_DECODER, reply.ok_value.content)
        return dict(advice.ok_value.allowed) if advice.is_ok() else None
