"""Price tokens."""

from bamboodeck.configuration.model import Model
from bamboodeck.streaming.messages import Usage

TOKENS_PER_MTOKEN = 1_000_000


def compute_price(model: Model, usage: Usage) -> float:
    """Return the price of tokens in credits."""
    return (
        usage.prompt_tokens * model.input_credits_per_mtoken
        + usage.completion_tokens * model.output_credits_per_mtoken
    ) / TOKENS_PER_MTOKEN
