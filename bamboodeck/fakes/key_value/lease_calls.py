"""Execute the lease calls of the etcd JSON gateway."""

from bamboodeck.fakes.key_value.codec import (
    InvalidRequestError,
    Json,
    read_int,
    build_header,
)
from bamboodeck.fakes.key_value.store import RevisionedStore


def grant_lease(store: RevisionedStore, body: Json, now_s: float) -> Json:
    """Grant a lease; raise `InvalidRequestError` without a TTL."""
    ttl_s = read_int(body, 'TTL')
    if ttl_s <= 0:
        raise InvalidRequestError('TTL is not positive')
    lease = store.grant(read_int(body, 'ID'), ttl_s, now_s)
    return {
        'header': build_header(store.revision),
        'ID': str(lease.lease_id),
        'TTL': str(lease.ttl_s),
    }


def renew_lease(store: RevisionedStore, body: Json, now_s: float) -> Json:
    """Renew a lease; the response for a missing one has no TTL."""
    lease_id = read_int(body, 'ID')
    lease = store.renew(lease_id, now_s)
    reply: Json = {
        'header': build_header(store.revision),
        'ID': str(lease_id),
    }
    if lease is not None:
        reply['TTL'] = str(lease.ttl_s)
    return {'result': reply}


def revoke_lease(store: RevisionedStore, body: Json) -> Json:
    """Revoke a lease; raise `LeaseNotFoundError`."""
    store.revoke(read_int(body, 'ID'))
    return {'header': build_header(store.revision)}
