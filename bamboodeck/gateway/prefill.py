"""Learn the prefill speed of each model from observed first tokens."""

import msgspec

# Assumed before the first answer: the smallest model prefills 200 tokens per
# millisecond, and each larger one is three times slower than the previous one.
INITIAL_MS_PER_TOKEN = 0.005
SIZE_FACTOR = 3.0
# Time to first token without any prefill.
MIN_FIRST_TOKEN_MS = 40.0
# Weight of a new observation in the moving average.
LEARNING_RATE = 0.03
# Bounds a single observation, so that a hung engine doesn't skew the average.
MAX_CORRECTION = 2.0


class ModelSpeed(msgspec.Struct):
    """Hold the prefill time per token of a model."""

    ms_per_token: float


class PrefillSpeeds:
    """Predict prefill times and correct them by observed first tokens."""

    def __init__(self) -> None:
        """Start with the assumed speeds."""
        self._speeds: dict[str, ModelSpeed] = {}

    def add_models(self, models: tuple[str, ...]) -> None:
        """Add models, smallest first."""
        for rank, model in enumerate(models):
            if model not in self._speeds:
                initial_ms = INITIAL_MS_PER_TOKEN * SIZE_FACTOR**rank
                self._speeds[model] = ModelSpeed(initial_ms)

    def estimate_ms(self, model: str, tokens: int) -> float:
        """Return the prefill time of a number of tokens in milliseconds."""
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
        """Adjust a model's speed by one observed time to first token."""
        speed = self._speeds.get(model)
        if speed is None or predicted_ms <= 0:
            return
        ratio = observed_ms / predicted_ms
        ratio = min(max(ratio, 1 / MAX_CORRECTION), MAX_CORRECTION)
        speed.ms_per_token *= 1 + LEARNING_RATE * (ratio - 1)
