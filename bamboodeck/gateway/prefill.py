"""Learn how long models read prompts and how long services answer."""

import msgspec

# Reading speed assumed before the first answer: the smallest model reads 200
# tokens in a millisecond, each larger one a third of the model before it.
INITIAL_MS_PER_TOKEN = 0.005
SIZE_FACTOR = 3.0
# The smallest time to a first token, with nothing to read, in milliseconds.
MIN_FIRST_TOKEN_MS = 40.0
# The share of a new observation in what was learned.
LEARNING_RATE = 0.03
# Bounds one observation, so that a stuck engine doesn't teach much.
MAX_CORRECTION_FACTOR = 2.0


class ModelSpeed(msgspec.Struct):
    """Hold the reading time of a model in milliseconds a token."""

    ms_per_token: float


class PrefillSpeeds:
    """Predict times to the first token and correct them by what is seen."""

    def __init__(self) -> None:
        """Start with the assumed speeds."""
        self._speeds: dict[str, ModelSpeed] = {}

    def add_models(self, models: tuple[str, ...]) -> None:
        """Take models in the order of their size."""
        for rank, model in enumerate(models):
            if model not in self._speeds:
                first_ms = INITIAL_MS_PER_TOKEN * SIZE_FACTOR**rank
                self._speeds[model] = ModelSpeed(first_ms)

    def estimate_ms(self, model: str, tokens: int) -> float:
        """Return how long a model reads so many tokens, in milliseconds."""
        speed = self._speeds.get(model)
        if speed is None:
            speed = ModelSpeed(INITIAL_MS_PER_TOKEN)
            self._speeds[model] = speed
        return speed.ms_per_token * tokens

    def correct(
        self,
        model: str,
        predicted_ms: float,
        observed_ms: float,
    ) -> None:
        """Learn from one first token."""
        speed = self._speeds.get(model)
        if speed is None or predicted_ms <= 0:
            return
        ratio = observed_ms / predicted_ms
        ratio = min(
            max(ratio, 1 / MAX_CORRECTION_FACTOR), MAX_CORRECTION_FACTOR
        )
        speed.ms_per_token *= 1 + LEARNING_RATE * (ratio - 1)
