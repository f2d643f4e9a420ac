"""Generate deterministic text from a request."""

import re

import xxhash

from bamboodeck.fakes.engine.messages import ChatRequest

BAD_MARKER = 'BAD-ANSWER'
CHARACTERS_PER_TOKEN = 4

_WORDS = (
    'size school order label batch pupil jacket collar term class plan note '
    'draft market blend scent pour honey wax tin sheet range stock weight '
    'fabric colour length sleeve button pocket parent office review check'
).split()
_TOKENS = tuple(f'{word} ' for word in _WORDS)
_TOKENS_COUNT = len(_TOKENS)
_ECHO = re.compile(r'\[echo:([\w\-]{1,64})\]', re.ASCII)
_SPLITMIX_INCREMENT = 0x9E3779B97F4A7C15
_SPLITMIX_MULTIPLIER = 0xBF58476D1CE4E5B9
_UINT64_MASK = 0xFFFFFFFFFFFFFFFF
_SPLITMIX_SHIFT_BITS = 33


def compute_seed(request: ChatRequest) -> int:
    """Hash the request id, model and prompt, which determine the text."""
    parts = (request.request_id, request.model, request.prompt)
    return xxhash.xxh64_intdigest('\0'.join(parts).encode())


def count_natural_tokens(seed: int, typical: int) -> int:
    """Return a completion length in tokens, 0.5 to 1.5 times the typical."""
    return max(1, typical // 2 + seed % (typical + 1))


def pick_token(seed: int, offset: int) -> str:
    """Return the pseudo-random token at an offset."""
    mixed = (
        (seed + offset * _SPLITMIX_INCREMENT) & _UINT64_MASK
    ) * _SPLITMIX_MULTIPLIER & _UINT64_MASK
    return _TOKENS[(mixed >> _SPLITMIX_SHIFT_BITS) % _TOKENS_COUNT]


def count_prompt_tokens(request: ChatRequest) -> int:
    """Estimate the number of tokens in a prompt."""
    return max(1, len(request.prompt) // CHARACTERS_PER_TOKEN)


def find_echo_tag(prompt: str) -> str:
    """Return the tag of an `[echo:TAG]` directive in the prompt, or ''."""
    found = _ECHO.search(prompt)
    return '' if found is None else found.group(1)


def build_echo_token(tag: str, offset: int) -> str:
    """Build a token that shows the tag and its own offset."""
    return f'{tag}.{offset} '
