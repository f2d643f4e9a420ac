"""Switch off parts of the decision for ablation experiments."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mechanisms:
    """Select the parts of the choice of versions that are in use.

    With `pool_classes` the quality target applies to the mean over all classes
    of a customer, without it to each class. Without `priced_sessions` a session
    starts on a version that meets the target by itself.
    """

    pool_classes: bool = True
    priced_sessions: bool = True


ALL_MECHANISMS = Mechanisms()
