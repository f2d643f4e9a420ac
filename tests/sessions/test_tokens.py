"""Test session tokens."""

import base64
import dataclasses

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboodeck.configuration.model import SigningKey
from bamboodeck.sessions import messages, tokens

OLD = SigningKey('2031-a', '11' * 32)
NEW = SigningKey('2031-b', '22' * 32)
CLAIMS = messages.SessionClaims('plum', 's-1', 'plan@2', 100.0, 200.0)


def decode(token: str) -> list:
    """Unpack a token without verifying it."""
    padded = token + '=' * (-len(token) % 4)
    return msgspec.msgpack.decode(base64.urlsafe_b64decode(padded))


def encode(parts: list) -> str:
    """Pack the parts of a token."""
    packed = base64.urlsafe_b64encode(msgspec.msgpack.encode(parts))
    return packed.decode().rstrip('=')


@settings(derandomize=True, max_examples=300)
@given(st.data())
def check_any_changed_bit(chosen: st.DataObject) -> None:
    """Refuse a token after any bit of it has changed."""
    packed = bytearray(
        msgspec.msgpack.encode(
            decode(tokens.issue_token((NEW,), CLAIMS)),
        ),
    )
    at = chosen.draw(st.integers(0, len(packed) - 1))
    packed[at] ^= 1 << chosen.draw(st.integers(0, 7))
    text = base64.urlsafe_b64encode(packed).decode().rstrip('=')
    with pytest.raises(messages.SessionError):
        tokens.read_token((NEW,), text, 'plum', 150.0)


class TestTokens:
    """Check which tokens are accepted."""

    def test_round_trip(self) -> None:
        """Return the claims until they expire."""
        token = tokens.issue_token((NEW,), CLAIMS)
        assert tokens.read_token((NEW,), token, 'plum', 199.9) == CLAIMS

    def test_rotation(self) -> None:
        """Accept an old key's tokens until the key is removed."""
        token = tokens.issue_token((OLD,), CLAIMS)
        assert tokens.read_token((NEW, OLD), token, 'plum', 150.0) == CLAIMS
        with pytest.raises(messages.UnknownKeyError):
            tokens.read_token((NEW,), token, 'plum', 150.0)

    def test_refusals(self) -> None:
        """Refuse tokens that are expired, too long or another customer's."""
        token = tokens.issue_token((NEW,), CLAIMS)
        with pytest.raises(messages.ExpiredTokenError):
            tokens.read_token((NEW,), token, 'plum', 200.0)
        with pytest.raises(messages.WrongCustomerError):
            tokens.read_token((NEW,), token, 'pear', 150.0)
        with pytest.raises(messages.MalformedTokenError):
            tokens.read_token((NEW,), 'A' * 1025, 'plum', 150.0)
        with pytest.raises(messages.MalformedTokenError):
            long = dataclasses.replace(CLAIMS, session_id='s' * 1024)
            tokens.issue_token((NEW,), long)

    def test_forged_claims(self) -> None:
        """Refuse claims with a changed version under the old signature."""
        key_id, claims, signature = decode(tokens.issue_token((NEW,), CLAIMS))
        forged = encode([key_id, claims.replace(b'@2', b'@3'), signature])
        with pytest.raises(messages.InvalidSignatureError):
            tokens.read_token((NEW,), forged, 'plum', 150.0)

    def test_key_id_is_signed(self) -> None:
        """Refuse a token moved to another key id with the same secret."""
        twin = SigningKey('2031-c', NEW.secret_hex)
        _, claims, signature = decode(tokens.issue_token((NEW,), CLAIMS))
        moved = encode([twin.key_id, claims, signature])
        with pytest.raises(messages.InvalidSignatureError):
            tokens.read_token((NEW, twin), moved, 'plum', 150.0)

    @pytest.mark.parametrize('secret_hex', ['', 'xy', '11' * 15])
    def test_invalid_keys(self, secret_hex: str) -> None:
        """Refuse to sign with a key that is too short or not hexadecimal."""
        with pytest.raises(messages.SigningKeyError):
            tokens.issue_token((SigningKey('k', secret_hex),), CLAIMS)

    @settings(derandomize=True, max_examples=300)
    @given(
        st.text(max_size=80)
        | st.binary(max_size=60).map(
            lambda raw: base64.urlsafe_b64encode(raw).decode(),
        )
    )
    def test_any_text(self, text: str) -> None:
        """Refuse arbitrary text with a session error."""
        with pytest.raises(messages.SessionError):
            tokens.read_token((NEW,), text, 'plum', 150.0)

    def test_any_changed_bit(self) -> None:
        """Refuse a token after any bit of it has changed."""
        check_any_changed_bit()
