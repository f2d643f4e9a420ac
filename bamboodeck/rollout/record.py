"""Encode the state of a roll-out for the key-value service."""

import msgspec

from bamboodeck.errors import BamboodeckError
from bamboodeck.rollout.state import RolloutState


class RolloutRecordError(BamboodeckError):
    """Report a roll-out record that can't be decoded."""


def encode_rollout(state: RolloutState) -> bytes:
    """Encode a state as JSON."""
    return msgspec.json.encode(state)


def decode_rollout(body: bytes) -> RolloutState:
    """Decode a state; raise `RolloutRecordError` if it is invalid."""
    try:
        return msgspec.json.decode(body, type=RolloutState)
    except msgspec.MsgspecError as error:
        raise RolloutRecordError(f'roll-out record: {error}') from error
