"""Learn how long models read prompts and how long services answer."""

import msgspec

# Reading speed assumed before the first answer: the smallest model reads 200
# tokens in a millisecond, each larger one a third of the model before it.
FIRST_MS_PER_TOKEN = 0.005
SIZE_FACTOR = 3.0
# The smallest time to a first token, with nothing to read, in milliseconds.
FIRST_STEP_MS = 40.0
# The share of a new observation in what was learned.
LEARNING_RATE = 0.03
# Bounds one observation, so that a stuck engine doesn't teach much.
LARGEST_CORRECTION = 2.0


class ModelPace(msgspec.Struct):
    """Hold the reading time of a model in milliseconds a token."""

    ms_per_token: float


class PaceBook:
    """Predict times to the first token and correct them by what is seen."""

    def __init__(self) -> None:
        """Start with the assumed speeds."""
        self._paces: dict[str, ModelPace] = {}

    def learn_sizes(self, models: tuple[str, ...]) -> None:
        """Take models in the order of their size."""
        for rank, model in enumerate(models):
            if model not in self._paces:
                first_ms = FIRST_MS_PER_TOKEN * SIZE_FACTOR**rank
                self._paces[model] = ModelPace(first_ms)

    def reading_ms(self, model: str, tokens: int) -> float:
        """Return how long a model reads so many tokens, in milliseconds."""
        pace = self._paces.get(model)
        if pace is None:
            pace = ModelPace(FIRST_MS_PER_TOKEN)
            self._paces[model] = pace
        return pace.ms_per_token * tokens

    def correct(
        self,
        model: str,
        predicted_ms: float,
        observed_ms: float,
    ) -> None:
        """Learn from one first token."""
        pace = self._paces.get(model)
        if pace is None or predicted_ms <= 0:
            return
        ratio = observed_ms / predicted_ms
        ratio = min(max(ratio, 1 / LARGEST_CORRECTION), LARGEST_CORRECTION)
        pace.ms_per_token *= 1 + LEARNING_RATE * (ratio - 1)
