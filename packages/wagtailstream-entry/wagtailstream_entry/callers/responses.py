"""The bodies, HTTP statuses and headers of answers and refusals."""

import math
import typing

from wagtailstream_core import errors
from wagtailstream_entry.filters import exchange

OUTCOME_HEADER = "Wagtail-Outcome"
REQUEST_ID_HEADER = "Wagtail-Request-Id"
MODEL_HEADER = "Wagtail-Model"
VERSION_HEADER = "Wagtail-Version"
ENDPOINT_HEADER = "Wagtail-Endpoint"
SESSION_HEADER = "Wagtail-Session"
DEADLINE_HEADER = "Wagtail-Deadline"
IDEMPOTENCY_HEADER = "Idempotency-Key"

_STATUSES = {
    errors.Reason.BODY_TOO_LARGE: 413,
    errors.Reason.CLAIM_ABANDONED: 409,
    errors.Reason.CLAIM_LOST: 409,
    errors.Reason.DEADLINE_PAST: 408,
    errors.Reason.ENDPOINT_FAILED: 502,
    errors.Reason.ENDPOINT_LOST: 502,
    errors.Reason.ENDPOINT_STALLED: 502,
    errors.Reason.IDEMPOTENCY_KEY_INVALID: 400,
    errors.Reason.IDEMPOTENCY_KEY_MISSING: 400,
    errors.Reason.IDEMPOTENCY_KEY_REUSED: 422,
    errors.Reason.IDEMPOTENCY_KEY_STALE: 400,
    errors.Reason.INTERNAL: 500,
    errors.Reason.MALFORMED: 400,
    errors.Reason.MODEL_FORBIDDEN: 403,
    errors.Reason.MODEL_UNKNOWN: 404,
    errors.Reason.OVER_LIMIT: 429,
    errors.Reason.QUARANTINED: 422,
    errors.Reason.SERVICE_FORBIDDEN: 403,
    errors.Reason.SESSION_INVALID: 400,
    errors.Reason.UNAUTHENTICATED: 401,
    errors.Reason.VERSION_WITHDRAWN: 409,
}
_UNAVAILABLE = 503
_MIN_RETRY_SECONDS = 1

Json = dict[str, typing.Any]


def find_status(refusal: errors.Refusal) -> int:
    """Return the HTTP status of a refusal.

    :param refusal: the refusal.
    """
    return _STATUSES.get(refusal.reason, _UNAVAILABLE)


def find_retry_after(refusal: errors.Refusal, now: float) -> int | None:
    """Return the seconds for Retry-After, or None.

    None means that the refusal names no time for a retry.

    :param refusal: the refusal.
    :param now: Unix time in seconds.
    """
    if refusal.retry_at is None:
        return None
    return max(_MIN_RETRY_SECONDS, math.ceil(refusal.retry_at - now))


def make_error(refusal: errors.Refusal) -> Json:
    """Return the body of a refusal.

    :param refusal: the refusal.
    """
    return {
        "error": {
            "message": refusal.message,
            "type": _find_type(find_status(refusal)),
            "code": refusal.reason.value,
            "outcome": refusal.outcome.value,
            "step": refusal.step,
        }
    }


def _find_type(status: int) -> str:
    match status:
        case 401:
            return "authentication_error"
        case 403:
            return "permission_error"
        case 429:
            return "rate_limit_error"
    return "invalid_request_error" if status < 500 else "server_error"


def make_completion(
    request: exchange.Exchange, content: str, created: int
) -> Json:
    """Return the response body of a chat completion that is not streamed.

    :param request: the request.
    :param content: the text of the answer.
    :param created: Unix time in seconds.
    """
    return {
        "id": f"chatcmpl-{request.request_id}",
        "object": "chat.completion",
        "created": created,
        "model": request.origin.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": find_finish_reason(request),
            }
        ],
        "usage": make_usage(request),
    }


def find_finish_reason(request: exchange.Exchange) -> str:
    """Return why generation ended: at the token limit or by itself.

    :param request: the answered request.
    """
    last = request.costs[-1].answer_tokens if request.costs else 0
    return "length" if last >= request.max_tokens else "stop"


def make_usage(request: exchange.Exchange) -> Json:
    """Return the token counts of the attempt that completed the answer.

    :param request: the answered request.
    """
    if not request.costs:
        return {"prompt_tokens": 0, "completion_tokens": 0, "total_tokens": 0}
    last = request.costs[-1]
    return {
        "prompt_tokens": last.prompt_tokens,
        "completion_tokens": last.answer_tokens,
        "total_tokens": last.prompt_tokens + last.answer_tokens,
        "prompt_tokens_details": {"cached_tokens": last.cached_tokens},
    }


def make_chunk(
    request: exchange.Exchange,
    created: int,
    delta: Json,
    finish_reason: str | None,
) -> Json:
    """Return the body of one event of a streamed chat completion.

    :param request: the request.
    :param created: Unix time in seconds.
    :param delta: the part of the message that the event adds.
    :param finish_reason: why generation ended; None in all events but the
        last.
    """
    return {
        "id": f"chatcmpl-{request.request_id}",
        "object": "chat.completion.chunk",
        "created": created,
        "model": request.origin.model,
        "choices": [
            {"index": 0, "delta": delta, "finish_reason": finish_reason}
        ],
    }


def make_models(names: list[str]) -> Json:
    """Return the body of the list of models.

    :param names: the models and ladders that the customer may use.
    """
    return {
        "object": "list",
        "data": [
            {
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": "wagtailstream",
            }
            for name in names
        ],
    }
