"""Simulated load balancer of the platform in front of the entry processes.

Distributes requests round-robin over the entry processes that answered their
last health check with 200. Tries another process only if it cannot connect.
"""

import collections
import dataclasses

import anyio

from standins import connection as connection_module

CHECK_INTERVAL_S = 0.25
CONNECT_TIMEOUT_S = 1.0
# hypercorn closes connections that were idle for 75 s.
IDLE_LIMIT_S = 30.0


@dataclasses.dataclass(slots=True)
class Balancer:
    """State of the load balancer.

    Attributes:
      addresses: Addresses `ip:port` of the entry processes.
      healthy: Addresses that answered the last health check with 200.
      idle: Idle connections by address as (idle since, connection), the most
        recently used last.
      turn: Index of the address that is next in the rotation.
    """

    addresses: list[str]
    healthy: set[str] = dataclasses.field(default_factory=set)
    idle: dict[str, list] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    turn: int = 0


async def run_checks(balancer: Balancer) -> None:
    """Runs health checks of every entry process until cancelled."""
    async with anyio.create_task_group() as group:
        for address in balancer.addresses:
            group.start_soon(_run_check, balancer, address)


async def send_request(
    balancer: Balancer,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> tuple[str, connection_module.Reply | connection_module.FailedExchange]:
    """Sends a request to one entry process.

    Returns:
      The address of the entry process, and its reply. The address is empty if
      no entry process is healthy or none accepted a connection.
    """
    tried: set[str] = set()
    while (address := _pick_address(balancer, tried)) is not None:
        tried.add(address)
        connection = await _take_connection(balancer, address)
        if isinstance(connection, connection_module.FailedExchange):
            balancer.healthy.discard(address)
            continue
        reply = await connection_module.exchange(
            connection, method, path, headers, body, timeout_s
        )
        await _return_connection(balancer, connection, reply)
        return address, reply
    return "", connection_module.FailedExchange(
        False, "no healthy entry process"
    )


async def close_connections(balancer: Balancer) -> None:
    """Closes all idle connections."""
    for entries in balancer.idle.values():
        for _, connection in entries:
            await connection_module.close_connection(connection)
        entries.clear()


def _pick_address(balancer: Balancer, tried: set[str]) -> str | None:
    count = len(balancer.addresses)
    for step in range(count):
        address = balancer.addresses[(balancer.turn + step) % count]
        if address in balancer.healthy and address not in tried:
            balancer.turn = (balancer.turn + step + 1) % count
            return address
    return None


async def _take_connection(
    balancer: Balancer, address: str
) -> connection_module.Connection | connection_module.FailedExchange:
    now = anyio.current_time()
    while balancer.idle[address]:
        since, connection = balancer.idle[address].pop()
        if now - since < IDLE_LIMIT_S:
            return connection
        await connection_module.close_connection(connection)
    return await connection_module.open_connection(address, CONNECT_TIMEOUT_S)


async def _return_connection(
    balancer: Balancer,
    connection: connection_module.Connection,
    reply: connection_module.Reply | connection_module.FailedExchange,
) -> None:
    if isinstance(reply, connection_module.FailedExchange):
        return
    # An unhealthy process may be shutting down and close idle connections, so
    # connections to it are not reused.
    if (
        connection_module.is_reusable(connection)
        and connection.address in balancer.healthy
    ):
        entry = (anyio.current_time(), connection)
        balancer.idle[connection.address].append(entry)
        return
    await connection_module.close_connection(connection)


async def _run_check(balancer: Balancer, address: str) -> None:
    while True:
        if await _is_healthy(address):
            balancer.healthy.add(address)
        else:
            balancer.healthy.discard(address)
            for _, connection in balancer.idle.pop(address, []):
                await connection_module.close_connection(connection)
        await anyio.sleep(CHECK_INTERVAL_S)


async def _is_healthy(address: str) -> bool:
    connection = await connection_module.open_connection(
        address, CONNECT_TIMEOUT_S
    )
    if isinstance(connection, connection_module.FailedExchange):
        return False
    reply = await connection_module.exchange(
        connection, "GET", "/health", {}, b"", CONNECT_TIMEOUT_S
    )
    if isinstance(reply, connection_module.FailedExchange):
        return False
    await connection_module.close_connection(connection)
    return reply.status == 200
