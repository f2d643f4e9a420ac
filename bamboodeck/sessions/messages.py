"""Define the claims of a session token and its errors."""

from dataclasses import dataclass

from bamboodeck.errors import BamboodeckError, InputError


@dataclass(frozen=True, slots=True)
class SessionClaims:
    """Hold the claims of a session token; times are wall-clock seconds."""

    customer: str
    session_id: str
    version: str
    issued_s: float
    expires_s: float


class SessionError(BamboodeckError):
    """Report an invalid session token or signing key."""


class MalformedTokenError(SessionError, InputError):
    """Report a session token that is malformed, too long or unlimited."""


class UnknownKeyError(SessionError):
    """Report a token signed with a key that isn't configured."""


class InvalidSignatureError(SessionError):
    """Report a token with an invalid signature."""


class WrongCustomerError(SessionError):
    """Report a token of another customer."""


class ExpiredTokenError(SessionError):
    """Report an expired token."""


class SigningKeyError(SessionError, InputError):
    """Report a signing key that is missing, too short or not in hex."""
