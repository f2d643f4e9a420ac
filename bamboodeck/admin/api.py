"""Route requests of the administration API to their handlers."""

from collections.abc import Callable
from urllib.parse import unquote

from bamboodeck.admin.access import authenticate, require_role
from bamboodeck.admin.calls import PATH_PREFIX, Call, Method, Respond, Route
from bamboodeck.admin.change_handlers import ChangeHandlers
from bamboodeck.admin.failures import (
    MethodNotAllowedError,
    NotFoundError,
    build_error_response,
)
from bamboodeck.admin.read_handlers import ReadHandlers
from bamboodeck.admin.view import NodeView
from bamboodeck.configuration.model import Role
from bamboodeck.configuration.replica import ConfigurationReplica
from bamboodeck.configuration.writer import ConfigurationWriter
from bamboodeck.errors import BamboodeckError
from bamboodeck.http.messages import ApiRequest
from bamboodeck.logs import EventLog

_WILDCARD = '*'


class AdminApi:
    """Answer operators' requests on an entry host."""

    def __init__(
        self,
        replica: ConfigurationReplica,
        writer: ConfigurationWriter,
        view: NodeView,
        log: EventLog,
        *,
        monotonic_s: Callable[[], float],
        wall_s: Callable[[], float],
        bootstrap_key_sha256: str = '',
    ) -> None:
        """Build the routes and their handlers."""
        self._replica = replica
        self._bootstrap_key_sha256 = bootstrap_key_sha256
        self._routes = _list_routes(
            ReadHandlers(replica, writer, view, monotonic_s),
            ChangeHandlers(writer, view, wall_s, log),
        )

    def handle(self, request: ApiRequest, respond: Respond) -> None:
        """Answer a request.

        `respond` is called exactly once, possibly after this returns.
        """
        try:
            self._serve(request, respond)
        except BamboodeckError as error:
            respond(build_error_response(error))

    def _serve(self, request: ApiRequest, respond: Respond) -> None:
        operator = authenticate(
            request.headers,
            self._replica.configuration,
            self._bootstrap_key_sha256,
        )
        route, name = self._find_route(request)
        require_role(operator, route.role)
        route.handler(Call(operator, request, respond, name))

    def _find_route(self, request: ApiRequest) -> tuple[Route, str]:
        path_exists = False
        for route in self._routes:
            name = _match_path(route.path, request.path)
            if name is None:
                continue
            path_exists = True
            if route.method.value == request.method:
                return route, name
        if path_exists:
            raise MethodNotAllowedError(
                f'path {request.path} does not support {request.method}',
            )
        raise NotFoundError(f'path {request.path} does not exist')


def _match_path(pattern: str, path: str) -> str | None:
    pattern_parts = f'{PATH_PREFIX}{pattern}'.split('/')
    parts = path.split('/')
    if len(parts) != len(pattern_parts):
        return None
    name = ''
    for pattern_part, part in zip(pattern_parts, parts, strict=True):
        if pattern_part == _WILDCARD and part:
            name = unquote(part)
            continue
        if pattern_part != part:
            return None
    return name


def _list_routes(
    reads: ReadHandlers, changes: ChangeHandlers
) -> tuple[Route, ...]:
    return (*_list_reads(reads), *_list_changes(changes))


def _list_reads(reads: ReadHandlers) -> tuple[Route, ...]:
    endpoints = (
        ('configuration', reads.show_configuration),
        ('configuration/history', reads.show_history),
        ('configuration/history/*', reads.show_past_document),
        ('preset', reads.show_preset),
        ('rollouts', reads.show_rollouts),
        ('placement', reads.show_placement),
        ('credits', reads.show_credits),
        ('bills', reads.show_bills),
        ('status', reads.show_status),
        ('explain/*', reads.explain),
    )
    routes = [
        Route(Method.GET, path, Role.VIEWER, handler)
        for path, handler in endpoints
    ]
    check = 'configuration/check'
    routes.append(
        Route(Method.POST, check, Role.VIEWER, reads.check_document),
    )
    return tuple(routes)


def _list_changes(changes: ChangeHandlers) -> tuple[Route, ...]:
    endpoints = (
        (Role.ADMINISTRATOR, 'configuration', changes.apply_document),
        (Role.ADMINISTRATOR, 'keys', changes.add_signing_key),
        (Role.OPERATOR, 'versions/*/withdraw', changes.withdraw_version),
        (Role.OPERATOR, 'rollouts', changes.start_rollout),
        (Role.OPERATOR, 'rollouts/*/halt', changes.halt_rollout),
        (Role.OPERATOR, 'rollouts/*/finish', changes.finish_rollout),
        (Role.OPERATOR, 'engines/*/drain', changes.drain_engine),
        (Role.OPERATOR, 'engines/*/undrain', changes.undrain_engine),
    )
    routes = [
        Route(Method.POST, path, role, handler)
        for role, path, handler in endpoints
    ]
    preset = Route(Method.PUT, 'preset', Role.OPERATOR, changes.put_preset)
    return (*routes, preset)
