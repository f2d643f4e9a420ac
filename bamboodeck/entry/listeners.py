"""Create the HTTP servers for callers and operators."""

from bamboodeck.admin.api import AdminApi
from bamboodeck.configuration.writer import ConfigurationWriter
from bamboodeck.entry.view import EntryView
from bamboodeck.http.messages import ApiRequest
from bamboodeck.http.responder import Responder
from bamboodeck.http.server import HttpServer
from bamboodeck.refusals import (
    NOT_READY,
    render_bad_request,
    render_failure,
    render_refusal,
)
from bamboodeck.services.refusals import mark_run_unknown


def listen_for_callers(app) -> HttpServer:
    """Serve callers; refuse requests until there is a configuration."""

    def answer(request: ApiRequest, responder: Responder) -> None:
        if app.probes.answer_public(request, responder):
            return
        now_s = app.loop.scheduler.now_s()
        if app.callers is None or not app.replica.is_ready(now_s):
            refusal = mark_run_unknown(NOT_READY, request)
            responder.respond(render_refusal(refusal))
            return
        app.callers.handle(request, responder)

    return HttpServer(
        app.loop,
        app.settings.listen,
        answer,
        render_error=render_bad_request,
        render_failure=render_failure,
        max_body_bytes=app.settings.max_body_bytes,
        max_connections=app.settings.max_connections,
    )


def listen_for_operators(app) -> HttpServer:
    """Serve the administration API and the probes of the platform."""
    admin = AdminApi(
        app.replica,
        ConfigurationWriter(app.store, app.loop.scheduler.call_after),
        EntryView(app),
        app.log,
        monotonic_s=app.environment.monotonic_s,
        wall_s=app.environment.wall_s,
        bootstrap_key_sha256=app.settings.bootstrap_key_sha256,
    )

    def answer(request: ApiRequest, responder: Responder) -> None:
        if not app.probes.answer_internal(request, responder):
            admin.handle(request, responder.respond)

    return HttpServer(app.loop, app.settings.admin_listen, answer)
