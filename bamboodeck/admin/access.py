"""Authenticate operators by key and authorize them by role."""

import hashlib
import hmac
from collections.abc import Mapping

from bamboodeck.configuration.model import Configuration, Operator, Role
from bamboodeck.errors import BamboodeckError

BOOTSTRAP_OPERATOR = 'bootstrap'
_BEARER_PREFIX = 'bearer '
_ROLES_BY_RANK = (Role.VIEWER, Role.OPERATOR, Role.ADMINISTRATOR)


class UnknownOperatorError(BamboodeckError):
    """Report a missing or unknown operator key."""


class RoleMissingError(BamboodeckError):
    """Report that the operator's role does not permit the request."""


def authenticate(
    headers: Mapping[str, str],
    configuration: Configuration | None,
    bootstrap_key_sha256: str,
) -> Operator:
    """Return the operator of a request; raise `UnknownOperatorError`.

    The bootstrap key is valid only while there is no configuration.
    """
    digest = _hash_key(headers)
    if configuration is None:
        operators = (
            Operator(
                BOOTSTRAP_OPERATOR,
                Role.ADMINISTRATOR,
                bootstrap_key_sha256,
            ),
        )
    else:
        operators = configuration.operators
    for operator in operators:
        if hmac.compare_digest(operator.key_sha256, digest):
            return operator
    raise UnknownOperatorError('key does not belong to an operator')


def require_role(operator: Operator, required: Role) -> None:
    """Raise `RoleMissingError` if the role ranks below the required one."""
    if _ROLES_BY_RANK.index(operator.role) < _ROLES_BY_RANK.index(required):
        raise RoleMissingError(
            f'operator "{operator.name}" has role {operator.role.value}; '
            f'this request requires role {required.value}',
        )


def _hash_key(headers: Mapping[str, str]) -> str:
    text = headers.get('authorization', '')
    if text[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        raise UnknownOperatorError(
            'missing header "Authorization: Bearer KEY"',
        )
    key = text[len(_BEARER_PREFIX) :].strip()
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()
