"""Define the state, messages and effects of the credit ledger."""

from dataclasses import dataclass, field

from bamboodeck.credits.forecast import SpendForecast


@dataclass(frozen=True, slots=True)
class CreditPrice:
    """Set the current price of a provider's credit; 1 is its face value."""

    provider: str
    multiplier: float


@dataclass(frozen=True, slots=True)
class SpendCap:
    """Limit the total spend of a zone until it receives a new cap."""

    zone: str
    provider: str
    expires_s: float
    total_credits: float


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Record the metered spend of a period at one time."""

    time_s: float
    metered_credits: float


@dataclass(frozen=True, slots=True)
class ProviderLedger:
    """Record one provider's credits and spend until expiry."""

    provider: str
    credits: float
    expires_s: float
    multiplier: float = 1.0
    reported_credits: float = 0.0
    covered_s: float = 0.0
    checkpoints: tuple[Checkpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class ZoneMeter:
    """Record a zone's metered spend at a provider in a period."""

    zone: str
    provider: str
    expires_s: float
    metered_credits: float = 0.0
    heard_s: float = 0.0
    credits_per_s: float = 0.0
    cap_credits: float = 0.0


@dataclass(frozen=True, slots=True)
class CreditLedgerState:
    """Describe the ledger as stored by the fleet's controller.

    Times are wall-clock seconds.
    """

    forecast: SpendForecast = field(default_factory=SpendForecast)
    ledgers: tuple[ProviderLedger, ...] = ()
    meters: tuple[ZoneMeter, ...] = ()
    priced_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ProviderCredits:
    """Describe a provider's credits as configured by operators."""

    provider: str
    credits: float
    expires_s: float


@dataclass(frozen=True, slots=True)
class SetCredits:
    """Set the configured providers; a new expiry starts a new period."""

    providers: tuple[ProviderCredits, ...]


@dataclass(frozen=True, slots=True)
class SetForecast:
    """Set a new forecast of the spend."""

    forecast: SpendForecast


@dataclass(frozen=True, slots=True)
class MeterSpend:
    """Report the total that a zone has metered since the period began."""

    zone: str
    provider: str
    expires_s: float
    total_credits: float


@dataclass(frozen=True, slots=True)
class ReportSpend:
    """Report the total that the provider has charged up to a time."""

    provider: str
    expires_s: float
    total_credits: float
    covered_s: float


@dataclass(frozen=True, slots=True)
class Reprice:
    """Recalculate the prices and the caps."""


CreditMessage = SetCredits | SetForecast | MeterSpend | ReportSpend | Reprice


@dataclass(frozen=True, slots=True)
class RecordLedger:
    """Store the state; prices are published once it is stored."""

    state: CreditLedgerState


@dataclass(frozen=True, slots=True)
class PublishPrices:
    """Publish the prices and the spend caps to the zones."""

    prices: tuple[CreditPrice, ...]
    caps: tuple[SpendCap, ...]


CreditEffect = RecordLedger | PublishPrices
