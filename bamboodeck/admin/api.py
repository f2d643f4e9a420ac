"""Serve the administration API."""

from collections.abc import Callable
from urllib.parse import unquote

from bamboodeck.admin.access import authenticate, require_role
from bamboodeck.admin.calls import PATH_PREFIX, Call, Method, Respond, Route
from bamboodeck.admin.changing import Changing
from bamboodeck.admin.failures import (
    MethodNotAllowedError,
    NotFoundError,
    build_failure,
)
from bamboodeck.admin.reading import Reading
from bamboodeck.admin.view import NodeView
from bamboodeck.configuration.model import Role
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.configuration.writer import ConfigurationWriter
from bamboodeck.errors import BamboodeckError
from bamboodeck.http.messages import ApiRequest
from bamboodeck.logs import EventLog

_FREE_PART = '*'


class AdminApi:
    """Answer operators' requests on an entry host."""

    def __init__(
        self,
        keeper: ConfigurationReplica,
        writer: ConfigurationWriter,
        view: NodeView,
        log: EventLog,
        *,
        monotonic_s: Callable[[], float],
        wall_s: Callable[[], float],
        bootstrap_key_sha256: str = '',
    ) -> None:
        """Keep what the answers come from."""
        self._keeper = keeper
        self._bootstrap_key_sha256 = bootstrap_key_sha256
        self._routes = _list_routes(
            Reading(keeper, writer, view, monotonic_s),
            Changing(writer, view, wall_s, log),
        )

    def handle(self, request: ApiRequest, respond: Respond) -> None:
        """Answer a request; `respond` is called exactly once, maybe later."""
        try:
            self._serve(request, respond)
        except BamboodeckError as error:
            respond(build_failure(error))

    def _serve(self, request: ApiRequest, respond: Respond) -> None:
        operator = authenticate(
            request.headers,
            self._keeper.configuration,
            self._bootstrap_key_sha256,
        )
        route, name = self._find_route(request)
        require_role(operator, route.role)
        route.serve(Call(operator, request, respond, name))

    def _find_route(self, request: ApiRequest) -> tuple[Route, str]:
        known_path = False
        for route in self._routes:
            name = _match_path(route.path, request.path)
            if name is None:
                continue
            known_path = True
            if route.method.value == request.method:
                return route, name
        if known_path:
            raise MethodNotAllowedError(
                f'{request.path} does not take {request.method}',
            )
        raise NotFoundError(f'path {request.path} does not exist')


def _match_path(pattern: str, path: str) -> str | None:
    expected = f'{PATH_PREFIX}{pattern}'.split('/')
    parts = path.split('/')
    if len(parts) != len(expected):
        return None
    name = ''
    for wanted, part in zip(expected, parts, strict=True):
        if wanted == _FREE_PART and part:
            name = unquote(part)
            continue
        if wanted != part:
            return None
    return name


def _list_routes(reading: Reading, changing: Changing) -> tuple[Route, ...]:
    return (*_list_reads(reading), *_list_changes(changing))


def _list_reads(reading: Reading) -> tuple[Route, ...]:
    served = (
        ('configuration', reading.show_configuration),
        ('configuration/history', reading.show_history),
        ('configuration/history/*', reading.show_past),
        ('preset', reading.show_preset),
        ('rollouts', reading.show_rollouts),
        ('placement', reading.show_placement),
        ('credits', reading.show_credits),
        ('bills', reading.show_bills),
        ('status', reading.show_status),
        ('explain/*', reading.explain),
    )
    routes = [
        Route(Method.GET, path, Role.VIEWER, serve) for path, serve in served
    ]
    check = 'configuration/check'
    routes.append(
        Route(Method.POST, check, Role.VIEWER, reading.check_document),
    )
    return tuple(routes)


def _list_changes(changing: Changing) -> tuple[Route, ...]:
    served = (
        (Role.ADMINISTRATOR, 'configuration', changing.apply_document),
        (Role.ADMINISTRATOR, 'keys', changing.add_signing_key),
        (Role.OPERATOR, 'versions/*/withdraw', changing.withdraw_version),
        (Role.OPERATOR, 'rollouts', changing.start_rollout),
        (Role.OPERATOR, 'rollouts/*/halt', changing.halt_rollout),
        (Role.OPERATOR, 'rollouts/*/finish', changing.finish_rollout),
        (Role.OPERATOR, 'engines/*/drain', changing.drain_engine),
        (Role.OPERATOR, 'engines/*/undrain', changing.undrain_engine),
    )
    routes = [
        Route(Method.POST, path, role, serve) for role, path, serve in served
    ]
    preset = Route(Method.PUT, 'preset', Role.OPERATOR, changing.put_preset)
    return (*routes, preset)
