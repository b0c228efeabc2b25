"""Founding of a mesh by an operator: explicit, once, on core machines that are all reachable and blank."""

import asyncio
import secrets
from datetime import timedelta

from returns.result import Failure, Result, Success

from hoistsaddle.common.errors import AlreadyFounded, InvalidRequest, MeshError, NotFounded, Unreachable
from hoistsaddle.registry.node import Registry
from hoistsaddle.rpc.messages import BootstrapAnswer, BootstrapCall, StatusAnswer
from hoistsaddle.statemachine.operators import is_digest, is_operator_name

FOUNDING_TIMEOUT = timedelta(seconds=5)
MESH_ID_BYTES = 6
# The author of a bundle and its signer must differ.
MIN_OPERATORS = 2


def _check_operators(operators: dict[str, str]) -> MeshError | None:
    valid = all(is_operator_name(name) and is_digest(digest) for name, digest in operators.items())
    distinct = len(set(operators.values())) == len(operators)
    if valid and distinct and len(operators) >= MIN_OPERATORS:
        return None
    return InvalidRequest(
        "Founding needs at least two operators, each with a token digest of its own.",
        field="operators",
        remedy="Give name = sha256 hex digest for each; an author and a signer must differ.",
    )


def _blank_stores(statuses: dict[int, StatusAnswer | None]) -> Result[dict[int, StatusAnswer], MeshError]:
    """The statuses of all stores, provided that each one answers and none belongs to a mesh."""
    known = {replica: status for replica, status in statuses.items() if status is not None}
    missing = sorted(replica for replica in statuses if replica not in known)
    if missing:
        return Failure(
            Unreachable(
                f"Stores {missing} give no answer.", field="core", remedy="Start every core machine before founding."
            )
        )
    meshes = {status.mesh for status in known.values() if status.mesh}
    if meshes:
        return Failure(AlreadyFounded(f"Mesh {sorted(meshes)} is founded on these machines.", field="mesh"))
    return Success(known)


async def found_mesh(registry: Registry, operators: dict[str, str]) -> Result[dict, MeshError]:
    """Founds a mesh on the core machines that the registry's settings name.

    Args:
        registry: The registry that received the operator's call.
        operators: The hexadecimal SHA-256 digest of each initial operator's token by name.

    Returns:
        The new mesh's id and its voters, or the error that prevented the founding.
    """
    if (error := _check_operators(operators)) is not None:
        return Failure(error)
    match _blank_stores(await registry.store_statuses()):
        case Failure(refusal):
            return Failure(refusal)
        case Success(stores):
            pass
    mesh = secrets.token_hex(MESH_ID_BYTES)
    # A new mesh starts at the highest level that all its core machines support; it has no older members to wait for.
    level = min(registry.level, *(status.level for status in stores.values()))
    voters = {replica: status.incarnation for replica, status in stores.items()}
    call = BootstrapCall(mesh, voters, operators, level)
    answers = await asyncio.gather(
        *(
            registry.runtime.rpc_client.call(address, call, within=FOUNDING_TIMEOUT)
            for address in registry.stores.values()
        )
    )
    founded = sum(_is_founded(answer) for answer in answers)
    if founded * 2 <= len(voters):
        return Failure(NotFounded(f"Only {founded} of {len(voters)} stores accepted the founding.", field="core"))
    return Success({"mesh": mesh, "voters": voters})


def _is_founded(answer: Result[tuple, MeshError]) -> bool:
    match answer:
        case Success(BootstrapAnswer(error="")):
            return True
    return False
