"""Check the invariants of dispatching a chat request."""

from bamboodeck.chat.context import ChatContext
from bamboodeck.chat.report import ChatParties
from bamboodeck.routing.messages import RouteChosen


def check_route(
    context: ChatContext,
    parties: ChatParties,
    chosen: RouteChosen,
) -> None:
    """Check that a version is allowed, not withdrawn and kept by sessions."""
    customer = parties.customer
    check = context.invariants.check
    model = context.configuration().models_by_name[chosen.version]
    check(
        'version_allowed',
        f'{customer.name} {chosen.version}',
        holds=chosen.version in customer.allowed_versions,
    )
    check(
        'version_not_withdrawn',
        chosen.version,
        holds=not model.withdrawn_since_revision,
    )
    kept = parties.session_version in {None, chosen.version}
    check(
        'session_version_kept',
        f'{parties.session_version} {chosen.version}',
        holds=kept or customer.move_sessions,
    )
