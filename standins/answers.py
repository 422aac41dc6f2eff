"""Verifiable answers of simulated runners and outputs of simulated tasks.

An answer depends on the complete request, and an output on every step in order,
so that work which was mixed up, partial or repeated is detected.
"""

import hashlib
from typing import Any

import msgspec


class RunnerAnswer(msgspec.Struct, frozen=True):
    """Answer of a runner to one request."""

    request_id: str
    service_class: str
    digest: str
    rounds: int
    runner: str
    padding: str


def make_answer(
    service_class: str,
    request_id: str,
    body: bytes,
    rounds: int,
    runner: str,
    padding_bytes: int,
) -> bytes:
    """Encodes the answer to a request as JSON."""
    return msgspec.json.encode(
        RunnerAnswer(
            request_id=request_id,
            service_class=service_class,
            digest=compute_digest(service_class, request_id, body, rounds),
            rounds=rounds,
            runner=runner,
            padding="." * padding_bytes,
        )
    )


def check_answer(
    service_class: str,
    request_id: str | None,
    body: bytes,
    answer: bytes,
    padding_bytes: int | None = None,
) -> str:
    """Checks that an answer belongs to a request and is complete.

    Args:
      service_class: Service class of the request.
      request_id: Id of the request; None accepts any id, because a repeat of a
        non-idempotent request receives the answer to the first one.
      body: Body of the request.
      answer: Body of the answer.
      padding_bytes: Expected size of the padding, or None if not known.

    Returns:
      A description of the first error found; empty if the answer is correct.
    """
    try:
        decoded = msgspec.json.decode(answer, type=RunnerAnswer)
    except msgspec.MsgspecError as error:
        return f"answer of {len(answer)} bytes cannot be decoded: {error}"
    if request_id is not None and decoded.request_id != request_id:
        return f"answer to {decoded.request_id!r} instead of {request_id!r}"
    expected = compute_digest(
        service_class, decoded.request_id, body, decoded.rounds
    )
    if decoded.digest != expected:
        return (
            f"digest in the answer to {decoded.request_id!r} does not match"
            " its request"
        )
    if padding_bytes not in (None, len(decoded.padding)):
        return (
            f"answer has {len(decoded.padding)} bytes of padding, not"
            f" {padding_bytes}"
        )
    return ""


def compute_digest(
    service_class: str, request_id: str, body: bytes, rounds: int
) -> str:
    """Computes the hexadecimal digest that an answer to a request contains."""
    digest = body
    for _ in range(rounds):
        digest = hashlib.sha256(digest).digest()
    name = f"{service_class}\n{request_id}\n".encode()
    return hashlib.sha256(name + digest).hexdigest()


def start_chain(seed: int) -> str:
    """Returns the state of a task's hash chain before its first step."""
    return hashlib.sha256(f"seed {seed}".encode()).hexdigest()[:16]


def advance_chain(state: str, step: int) -> str:
    """Returns the state of the hash chain after `step`, counted from 0."""
    return hashlib.sha256(f"{state} {step}".encode()).hexdigest()[:16]


def compute_output(work: dict[str, Any]) -> str:
    """Computes the state of the hash chain after all steps of `work`."""
    state = start_chain(work["seed"])
    for step in range(work["steps"]):
        state = advance_chain(state, step)
    return state


def check_output(work: dict[str, Any], output: Any) -> str:
    """Checks a task's output against its work; returns "" if it is correct."""
    if not isinstance(output, dict) or output.get("steps") != work["steps"]:
        return f"output {output!r} does not have {work['steps']} steps"
    if output.get("digest") != compute_output(work):
        return (
            f"digest of output {output!r} does not result from running every"
            " step once, in order"
        )
    return ""
