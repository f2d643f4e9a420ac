"""Execute puts, deletes, range reads and transactions."""

from typing import Any

from bamboodeck.fakes.key_value.codec import (
    InvalidRequestError,
    Json,
    strip_values,
    read_bytes,
    read_field,
    read_int,
    read_list_field,
    read_object_field,
    read_range,
    build_header,
    build_range_reply,
)
from bamboodeck.fakes.key_value.store import (
    KeyRange,
    KeyValue,
    RevisionedStore,
)

MAX_OPERATIONS = 128
_MISSING = KeyValue(b'', b'', 0, 0, 0)
_PUT = 'request_put'
_RANGE = 'request_range'
_DELETE = 'request_delete_range'


def run_put(store: RevisionedStore, body: Json) -> Json:
    """Put one key at a new revision."""
    _check_put(store, body)
    store.next_revision()
    return _put(store, body)


def run_delete(store: RevisionedStore, body: Json) -> Json:
    """Delete a range, at a new revision if it contains any key."""
    key_range = read_range(body)
    if store.read(key_range):
        store.next_revision()
    return _delete(store, body)


def run_range(store: RevisionedStore, body: Json) -> Json:
    """Read a range."""
    entries = strip_values(body, store.read(read_range(body)))
    return build_range_reply(entries, store.revision)


def run_transaction(store: RevisionedStore, body: Json) -> Json:
    """Evaluate the comparisons and run the operations of the chosen branch."""
    comparisons = read_list_field(body, 'compare')
    succeeded = all(_comparison_holds(store, each) for each in comparisons)
    branch = 'success' if succeeded else 'failure'
    operations = read_list_field(body, branch)
    if len(operations) > MAX_OPERATIONS:
        raise InvalidRequestError(f'more than {MAX_OPERATIONS} operations')
    # Check all operations first, so that the transaction is atomic.
    for operation in operations:
        _check_operation(store, operation)
    if any(_modifies(store, each) for each in operations):
        store.next_revision()
    responses = [_run_operation(store, each) for each in operations]
    reply: Json = {'header': build_header(store.revision)}
    if succeeded:
        reply['succeeded'] = True
    if responses:
        reply['responses'] = responses
    return reply


def has_writes(body: Json) -> bool:
    """Return whether a transaction contains a write operation."""
    operations = [
        *read_list_field(body, 'success'),
        *read_list_field(body, 'failure'),
    ]
    return any(read_field(each, _RANGE) is None for each in operations)


def _comparison_holds(store: RevisionedStore, comparison: Json) -> bool:
    found = store.read(KeyRange(read_range(comparison).start))
    entry = found[0] if found else _MISSING
    actual, wanted = _pick_operands(entry, comparison)
    match comparison.get('result', 'EQUAL'):
        case 'EQUAL':
            return actual == wanted
        case 'NOT_EQUAL':
            return actual != wanted
        case 'GREATER':
            return actual > wanted
        case 'LESS':
            return actual < wanted
    raise InvalidRequestError('unknown result of a comparison')


def _pick_operands(entry: KeyValue, comparison: Json) -> tuple[Any, Any]:
    match comparison.get('target', 'VERSION'):
        case 'VERSION':
            return entry.version, read_int(comparison, 'version')
        case 'CREATE':
            wanted = read_int(comparison, 'create_revision')
            return entry.create_revision, wanted
        case 'MOD':
            return entry.mod_revision, read_int(comparison, 'mod_revision')
        case 'LEASE':
            return entry.lease_id, read_int(comparison, 'lease')
        case 'VALUE':
            return entry.body, read_bytes(comparison, 'value')
    raise InvalidRequestError('unknown target of a comparison')


def _check_operation(store: RevisionedStore, operation: Json) -> None:
    put = read_object_field(operation, _PUT)
    if put:
        _check_put(store, put)
        return
    removal = read_object_field(operation, _DELETE)
    read_range(removal or read_object_field(operation, _RANGE))


def _check_put(store: RevisionedStore, put: Json) -> None:
    read_range(put)
    store.check_put(read_bytes(put, 'value'), read_int(put, 'lease'))


def _modifies(store: RevisionedStore, operation: Json) -> bool:
    if read_object_field(operation, _PUT):
        return True
    removal = read_object_field(operation, _DELETE)
    return bool(removal) and bool(store.read(read_range(removal)))


def _run_operation(store: RevisionedStore, operation: Json) -> Json:
    put = read_object_field(operation, _PUT)
    if put:
        return {'response_put': _put(store, put)}
    removal = read_object_field(operation, _DELETE)
    if removal:
        return {'response_delete_range': _delete(store, removal)}
    range_request = read_object_field(operation, _RANGE)
    return {'response_range': run_range(store, range_request)}


def _put(store: RevisionedStore, put: Json) -> Json:
    store.put(
        read_bytes(put, 'key'),
        read_bytes(put, 'value'),
        read_int(put, 'lease'),
    )
    return {'header': build_header(store.revision)}


def _delete(store: RevisionedStore, removal: Json) -> Json:
    deleted = store.delete(read_range(removal))
    reply: Json = {'header': build_header(store.revision)}
    if deleted:
        reply['deleted'] = str(deleted)
    return reply
