"""Answers of runners and outputs of tasks, computed so that both are checked.

An answer depends on the whole request, and an output on every step in order,
so a mixed-up, partial or repeated piece of work cannot pass as the right one.
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
    """Compares an answer with its request.

    `request_id` None accepts any id, because a repeat of a non-idempotent
    request receives the answer to the first one. `padding_bytes` is the
    declared size of the padding, or None when it is not known.

    Returns:
      What is wrong with the answer; empty when it is right.
    """
    try:
        decoded = msgspec.json.decode(answer, type=RunnerAnswer)
    except msgspec.MsgspecError as error:
        return f"answer of {len(answer)} bytes is not decodable: {error}"
    if request_id is not None and decoded.request_id != request_id:
        return f"answer to {decoded.request_id!r} instead of {request_id!r}"
    expected = compute_digest(
        service_class, decoded.request_id, body, decoded.rounds
    )
    if decoded.digest != expected:
        return f"digest of {decoded.request_id!r} does not match its request"
    if padding_bytes not in (None, len(decoded.padding)):
        return f"padding of {len(decoded.padding)}, not {padding_bytes} bytes"
    return ""


def compute_digest(
    service_class: str, request_id: str, body: bytes, rounds: int
) -> str:
    """Computes the hexadecimal digest that proves work on a request."""
    digest = body
    for _ in range(rounds):
        digest = hashlib.sha256(digest).digest()
    name = f"{service_class}\n{request_id}\n".encode()
    return hashlib.sha256(name + digest).hexdigest()


def start_chain(seed: int) -> str:
    """Returns the state of a task before its first step."""
    return hashlib.sha256(f"seed {seed}".encode()).hexdigest()[:16]


def advance_chain(state: str, step: int) -> str:
    """Returns the state of a task after `step`, counted from 0."""
    return hashlib.sha256(f"{state} {step}".encode()).hexdigest()[:16]


def compute_output(work: dict[str, Any]) -> str:
    """Computes the state after all steps of declared `work`."""
    state = start_chain(work["seed"])
    for step in range(work["steps"]):
        state = advance_chain(state, step)
    return state


def check_output(work: dict[str, Any], output: Any) -> str:
    """Compares a task's output with its declared work; empty when right."""
    if not isinstance(output, dict) or output.get("steps") != work["steps"]:
        return f"output {output!r} does not cover {work['steps']} steps"
    if output.get("digest") != compute_output(work):
        return f"output {output!r} was not reached by every step once"
    return ""
