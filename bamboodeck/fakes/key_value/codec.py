"""Decode and encode the JSON format of the etcd v3 gateway."""

import base64
import binascii
import dataclasses
from typing import Any

import msgspec

from bamboodeck.errors import InputError
from bamboodeck.fakes.key_value.store import KeyRange, KeyValue, StoreEvent

CLUSTER_ID = '14841639068965178418'
MEMBER_ID = '10276657743932975437'
RAFT_TERM = '2'

Json = dict[str, Any]


class InvalidRequestError(InputError):
    """Report a request that does not match the API."""


def read_object(body: bytes) -> Json:
    """Read a JSON object; raise `InvalidRequestError`."""
    try:
        return msgspec.json.decode(body or b'{}', type=Json)
    except msgspec.DecodeError as error:
        raise InvalidRequestError(f'not a JSON object: {error}')


def read_field(source: Json, name: str) -> Any:
    """Return a field by its snake case name, also if sent in camel case."""
    head, *rest = name.split('_')
    camel = head + ''.join(part.title() for part in rest)
    return source.get(name, source.get(camel))


def read_object_field(source: Json, name: str) -> Json:
    """Return an object, empty if missing; raise `InvalidRequestError`."""
    found = read_field(source, name)
    if found is None:
        return {}
    if not isinstance(found, dict):
        raise InvalidRequestError(f'field "{name}" is not an object')
    return found


def read_list_field(source: Json, name: str) -> list[Json]:
    """Return a list of objects, or []; raise `InvalidRequestError`."""
    found = read_field(source, name)
    if found is None:
        return []
    objects = isinstance(found, list) and all(
        isinstance(each, dict) for each in found
    )
    if not objects:
        raise InvalidRequestError(f'field "{name}" is not a list of objects')
    return found


def read_int(source: Json, name: str) -> int:
    """Read a 64-bit integer, a string in JSON; raise `InvalidRequestError`."""
    found = read_field(source, name)
    if found is None:
        return 0
    try:
        return int(found)
    except (TypeError, ValueError):
        raise InvalidRequestError(f'field "{name}" is not a number')


def read_bytes(source: Json, name: str) -> bytes:
    """Read base64; raise `InvalidRequestError`."""
    found = read_field(source, name)
    if found is None:
        return b''
    try:
        return base64.b64decode(found, validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise InvalidRequestError(f'field "{name}" is not base64')


def read_range(source: Json) -> KeyRange:
    """Read a key and the optional range end; raise `InvalidRequestError`."""
    start = read_bytes(source, 'key')
    if not start:
        raise InvalidRequestError('key is not provided')
    return KeyRange(start, read_bytes(source, 'range_end'))


def build_header(revision: int) -> Json:
    """Build the header of a response."""
    return {
        'cluster_id': CLUSTER_ID,
        'member_id': MEMBER_ID,
        'revision': str(revision),
        'raft_term': RAFT_TERM,
    }


def encode_bytes(text: bytes) -> str:
    """Encode bytes as base64."""
    return base64.b64encode(text).decode('ascii')


def encode_key_value(entry: KeyValue) -> Json:
    """Encode an entry; zero fields are omitted, as in protobuf JSON."""
    written: Json = {'key': encode_bytes(entry.key)}
    numbers = (
        ('create_revision', entry.create_revision),
        ('mod_revision', entry.mod_revision),
        ('version', entry.version),
        ('lease', entry.lease_id),
    )
    for name, number in numbers:
        if number:
            written[name] = str(number)
    if entry.body:
        written['value'] = encode_bytes(entry.body)
    return written


def encode_event(event: StoreEvent) -> Json:
    """Encode an event; PUT is the default type and is omitted."""
    written: Json = {'kv': encode_key_value(event.change)}
    if event.deletion:
        written['type'] = 'DELETE'
    return written


def strip_values(source: Json, entries: list[KeyValue]) -> list[KeyValue]:
    """Drop the values if a range request asks for keys only."""
    if not read_field(source, 'keys_only'):
        return entries
    return [dataclasses.replace(entry, body=b'') for entry in entries]


def build_range_reply(entries: list[KeyValue], revision: int) -> Json:
    """Build the response to a range request."""
    reply: Json = {'header': build_header(revision)}
    if entries:
        reply['kvs'] = [encode_key_value(entry) for entry in entries]
        reply['count'] = str(len(entries))
    return reply
