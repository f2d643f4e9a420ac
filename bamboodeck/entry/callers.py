"""Authenticate and dispatch the requests of callers."""

import hashlib
import uuid

import msgspec

from bamboodeck.chat.context import ChatContext
from bamboodeck.chat.exchange import ChatExchange
from bamboodeck.chat.report import ChatParties
from bamboodeck.chat.requests import (
    NEW_SESSION,
    REQUEST_ID_HEADER,
    ChatInputError,
    ChatRequest,
    parse_chat_request,
)
from bamboodeck.configuration.model import (
    Configuration,
    Customer,
    RequestClass,
    VersionState,
)
from bamboodeck.http.messages import ApiRequest, ApiResponse
from bamboodeck.http.responder import Responder
from bamboodeck.orders.book import OrderBook
from bamboodeck.refusals import (
    FORBIDDEN,
    INVALID_REQUEST,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    TOO_LARGE,
    UNAUTHORIZED,
    Refusal,
    render_refusal,
)
from bamboodeck.services.call import ServiceCall, find_method
from bamboodeck.services.exchange import ServiceExchange
from bamboodeck.services.refusals import mark_run_unknown
from bamboodeck.sessions.messages import SessionClaims, SessionError
from bamboodeck.sessions.tokens import issue_token, read_token

CHAT_PATH = '/v1/chat/completions'
MODELS_PATH = '/v1/models'
SERVICES_PATH = '/v1/services/'
_BEARER = 'bearer '
_SERVICE_PARTS = 2
_OK = 200


class ModelRow(msgspec.Struct, frozen=True):
    """Describe a model version to a caller."""

    id: str
    object: str
    owned_by: str
    state: str


class ModelList(msgspec.Struct, frozen=True):
    """List the model versions that a customer may use."""

    object: str
    data: tuple[ModelRow, ...]


class CallerApi:
    """Authenticate callers and start their exchanges."""

    def __init__(
        self,
        context: ChatContext,
        orders: OrderBook,
    ) -> None:
        """Use one context and order book for all exchanges."""
        self._context = context
        self._orders = orders

    def handle(self, request: ApiRequest, responder: Responder) -> None:
        """Authenticate a request, then answer or refuse it."""
        configuration = self._context.configuration()
        customer = find_customer(configuration, request)
        if customer is None:
            _refuse(
                request,
                responder,
                Refusal(
                    UNAUTHORIZED,
                    'invalid_api_key',
                    'the API key is missing or unknown',
                ),
            )
            return
        if len(request.body) > customer.max_body_bytes:
            _refuse(request, responder, _build_too_large(customer))
            return
        self._dispatch(request, responder, customer)

    def _dispatch(
        self,
        request: ApiRequest,
        responder: Responder,
        customer: Customer,
    ) -> None:
        path = request.path
        if path == MODELS_PATH and request.method == 'GET':
            responder.respond(
                _list_models(self._context.configuration(), customer),
            )
            return
        if path != CHAT_PATH and not path.startswith(SERVICES_PATH):
            message = f'path "{path}" does not exist'
            _refuse(
                request, responder, Refusal(NOT_FOUND, 'not_found', message)
            )
            return
        if request.method != 'POST':
            message = f'method {request.method} is not allowed, use POST'
            _refuse(
                request,
                responder,
                Refusal(METHOD_NOT_ALLOWED, 'method_not_allowed', message),
            )
            return
        if path == CHAT_PATH:
            self._start_chat(request, responder, customer)
            return
        self._start_service_call(request, responder, customer)

    def _start_chat(
        self,
        request: ApiRequest,
        responder: Responder,
        customer: Customer,
    ) -> None:
        configuration = self._context.configuration()
        try:
            chat = parse_chat_request(request, uuid.uuid4().hex)
            request_class = find_class(configuration, chat.class_name)
            claims = self._read_session(chat, customer)
        except ChatInputError as error:
            _refuse(
                request,
                responder,
                Refusal(INVALID_REQUEST, 'invalid_request', str(error)),
            )
            return
        except SessionError as error:
            _refuse(
                request,
                responder,
                Refusal(FORBIDDEN, 'invalid_session', str(error)),
            )
            return
        session_id = claims.session_id if claims else uuid.uuid4().hex
        ChatExchange(
            self._context,
            chat,
            ChatParties(
                customer,
                request_class,
                claims.version if claims else None,
                chat.session_token,
            ),
            responder,
            lambda version: self._issue_session(customer, session_id, version),
        ).start()

    def _read_session(
        self,
        chat: ChatRequest,
        customer: Customer,
    ) -> SessionClaims | None:
        if chat.session_token in {'', NEW_SESSION}:
            return None
        return read_token(
            self._context.configuration().signing_keys,
            chat.session_token,
            customer.name,
            self._context.environment.wall_s(),
        )

    def _issue_session(
        self,
        customer: Customer,
        session_id: str,
        version: str,
    ) -> str:
        configuration = self._context.configuration()
        now_s = self._context.environment.wall_s()
        return issue_token(
            configuration.signing_keys,
            SessionClaims(
                customer.name,
                session_id,
                version,
                now_s,
                now_s + configuration.session_ttl_s,
            ),
        )

    def _start_service_call(
        self,
        request: ApiRequest,
        responder: Responder,
        customer: Customer,
    ) -> None:
        parts = request.path.removeprefix(SERVICES_PATH).split('/')
        services = self._context.configuration().services_by_name
        if len(parts) != _SERVICE_PARTS or parts[0] not in services:
            message = f'no service at "{request.path}"'
            _refuse(
                request,
                responder,
                Refusal(NOT_FOUND, 'unknown_service', message),
            )
            return
        service = services[parts[0]]
        unknown = find_method(service, parts[1])
        if unknown is not None:
            _refuse(request, responder, unknown)
            return
        request_id = request.headers.get(REQUEST_ID_HEADER, uuid.uuid4().hex)
        ServiceExchange(
            self._context,
            self._orders,
            ServiceCall(request_id, customer, service, parts[1], request),
            responder,
        ).start()


def find_customer(
    configuration: Configuration,
    request: ApiRequest,
) -> Customer | None:
    """Return the customer of a request's bearer key."""
    text = request.headers.get('authorization', '')
    if not text.lower().startswith(_BEARER):
        return None
    key = text[len(_BEARER) :].strip()
    digest = hashlib.sha256(key.encode()).hexdigest()
    return configuration.customers_by_key.get(digest)


def find_class(configuration: Configuration, name: str) -> RequestClass:
    """Return a request class; raise `ChatInputError` if it is unknown."""
    if not name:
        return configuration.classes[0]
    found = configuration.classes_by_name.get(name)
    if found is None:
        known = ', '.join(configuration.classes_by_name)
        raise ChatInputError(f'class "{name}" is unknown, use one of {known}')
    return found


def _list_models(
    configuration: Configuration,
    customer: Customer,
) -> ApiResponse:
    rows = tuple(
        ModelRow(model.name, 'model', model.provider, model.state.value)
        for model in configuration.models
        if model.name in customer.allowed_versions
        and model.state is not VersionState.WITHDRAWN
    )
    return ApiResponse(_OK, msgspec.json.encode(ModelList('list', rows)))


def _build_too_large(customer: Customer) -> Refusal:
    return Refusal(
        TOO_LARGE,
        'body_too_large',
        f'body is larger than {customer.max_body_bytes} bytes',
    )


def _refuse(
    request: ApiRequest,
    responder: Responder,
    refusal: Refusal,
) -> None:
    responder.respond(render_refusal(mark_run_unknown(refusal, request)))
