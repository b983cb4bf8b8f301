"""Define the exceptions; each has a message that names the remedy."""

from fescuedrum.outcomes import Outcome


class FescuedrumError(Exception):
    """Hold the stable code, outcome and HTTP status that a caller receives."""

    code = "internal"
    status = 500
    outcome = Outcome.UNKNOWN
    remedy = "Report the request's id to the operators."

    # Whether the connection must be closed because part of the request is unread.
    closes_connection = False

    def __init__(self, detail="", *, retry_after=None, field=None):
        super().__init__(f"{detail} {self.remedy}".strip())
        self.detail = detail
        self.retry_after = retry_after
        # Body field or header that caused the error.
        self.field = field


class BadRequest(FescuedrumError):  # noqa: N818 - the HTTP term
    """Refuse a request that is not sent to any endpoint."""

    code = "bad-request"
    status = 400
    outcome = Outcome.NOT_RUN
    remedy = "Correct the request and send it again."


class UnknownKey(BadRequest):
    """Refuse a caller whose organisation is not known."""

    code = "unknown-key"
    status = 401
    remedy = "Send 'Authorization: Bearer <key>' with a key of your organisation."


class UnknownService(BadRequest):
    """Refuse a service or model that the configuration does not name."""

    code = "unknown-service"
    status = 404
    remedy = "Use a service or model that the configuration names."


class BodyTooLarge(BadRequest):
    """Refuse a body above the entry's limit."""

    code = "body-too-large"
    status = 413
    remedy = "Send a smaller body."
    closes_connection = True


class BodyTooSlow(BadRequest):
    """Refuse a body that does not arrive within the entry's time limit."""

    code = "body-too-slow"
    status = 408
    remedy = "Send the whole body without a pause."
    closes_connection = True


class HeadersTooLarge(BadRequest):
    """Refuse a request with too many or too long headers."""

    code = "headers-too-large"
    status = 431
    remedy = "Send fewer or shorter headers."
    closes_connection = True


class UnknownRoute(BadRequest):
    """Refuse a path that is not part of the callers' interface."""

    code = "unknown-route"
    status = 404
    remedy = "Use /v1/completions, /v1/chat/completions, /v1/models or /services/NAME/."


class UnknownRequest(BadRequest):
    """Report to an operator that an entry has no trace of a request."""

    code = "unknown-request"
    status = 404
    remedy = "Ask the other entries; each keeps its own recent requests only."


class UnknownClaim(BadRequest):
    """Report to an operator that the table has no claim under a key."""

    code = "unknown-claim"
    status = 404
    remedy = "Check organisation, service and key; rows of old keys are cleared away."


class MethodNotAllowed(BadRequest):
    """Refuse a method that a path does not offer."""

    code = "method-not-allowed"
    status = 405
    remedy = "Use the method that the interface's page gives for this path."


class Overloaded(FescuedrumError):  # noqa: N818 - the field's term
    """Refuse work that can't be served by its deadline; it was not run."""

    code = "overloaded"
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = "Send the request again after the time in Retry-After."


class LimitReached(Overloaded):
    """Refuse work above what operators allow the organisation; it was not run."""

    code = "limit-reached"
    status = 429


class TooSlow(Overloaded):
    """Refuse a stream that can't end before its deadline; it was not run."""

    code = "too-slow"


class Unavailable(Overloaded):
    """Refuse work for which no endpoint can be reached; it was not run."""

    code = "unavailable"


class ProcessStopping(Unavailable):
    """Refuse work that this process's stop might interrupt; it was not run."""


class RequestTooLarge(FescuedrumError):  # noqa: N818 - the field's term
    """Refuse a request that fits into no engine's memory; it was not run."""

    code = "request-too-large"
    status = 503
    outcome = Outcome.NOT_RUN
    remedy = "Send a shorter prompt, or ask for fewer tokens."
    # It is refused before its body is read.
    closes_connection = True


class Quarantined(FescuedrumError):  # noqa: N818 - the field's term
    """Refuse what endpoints have ended at; it was not run."""

    status = 503
    outcome = Outcome.NOT_RUN


class PromptQuarantined(Quarantined):
    """Refuse a prompt with a part at which endpoints have ended; it was not run."""

    code = "prompt-quarantined"
    remedy = "Send the request without that part of its prompt."


class RequestQuarantined(Quarantined):
    """Refuse a repeat of a request at which endpoints have ended; it was not run."""

    code = "request-quarantined"
    remedy = "Do not send the request again before its cause is found."


class GroupDown(Unavailable):
    """Refuse work while a group of engines can't run anything; it was not run."""

    code = "group-down"


class DeadlinePassed(FescuedrumError):  # noqa: N818 - the field's term
    """End a request whose deadline passed before any endpoint started it."""

    code = "deadline-passed"
    status = 504
    outcome = Outcome.NOT_RUN
    remedy = "Send the request again with a later deadline."


class OutcomeUnknown(FescuedrumError):  # noqa: N818 - the outcome's name
    """Report to the caller that the request may have run."""

    code = "unknown"
    status = 502
    outcome = Outcome.UNKNOWN
    remedy = "Repeat it with the same Idempotency-Key to learn its outcome."


class AnswerTooLate(OutcomeUnknown):
    """Report that an idempotent request was still running at its deadline."""

    code = "answer-too-late"
    status = 504
    remedy = "Send the request again with a later deadline; it may be repeated."


class OutcomeUnknownUnkeyed(OutcomeUnknown):
    """Report that a request without a key may have run."""

    code = "unknown-unkeyed"
    remedy = "Look at the endpoint's own records; send an Idempotency-Key next time."


class AnswerLost(OutcomeUnknown):
    """Report that an endpoint received the request and its answer was lost."""

    code = "answer-lost"
    remedy = "It may have run: look at the endpoint's own records before you repeat it."


class AnswerOverdue(AnswerLost):
    """Report that an endpoint had the request at its deadline."""

    code = "answer-overdue"
    status = 504


class KeyNotChecked(Overloaded):
    """Refuse a keyed request whose key can't be looked up in the platform's table."""

    code = "key-not-checked"
    remedy = (
        "This attempt was not run; an earlier one with the key keeps its reported "
        "outcome. Repeat it with the same Idempotency-Key."
    )


class KeyReused(BadRequest):
    """Refuse a key that was used for a request with another method, path or body."""

    code = "key-reused"
    status = 409
    remedy = "Use a new Idempotency-Key for a new request, or send the first one again."


class EndpointFailed(FescuedrumError):  # noqa: N818 - the field's term
    """Report that the endpoint ran the request and failed."""

    code = "endpoint-failed"
    status = 502
    outcome = Outcome.FAILED
    remedy = "Look at the endpoint's own message before you repeat it."


class StoreUnavailable(FescuedrumError):  # noqa: N818 - the field's term
    """Report that the platform's service gave no usable answer."""

    code = "store-unavailable"
    status = 503
    remedy = "Wait for the platform's service to return; a write may have happened."


class HistoryLost(StoreUnavailable):
    """Report that the store no longer has the changes after a version."""

    code = "history-lost"
    remedy = "Read the whole table and follow the changes from there."


class RowsUnreadable(StoreUnavailable):
    """Report an answer of the store of which no row can be read."""

    remedy = "Read the whole table, whose other rows may be readable."


class RowNotUnderstood(FescuedrumError):  # noqa: N818 - a state, not a fault
    """Report a row of the platform with a missing or malformed field."""

    code = "row-not-understood"
    remedy = "Correct the named field of the row; until then it is left out."


class ProtocolError(FescuedrumError):
    """Report a peer that breaks the framing rules."""

    code = "protocol"
    remedy = "Check that both processes run a supported release."


class NotSignedIn(BadRequest):
    """Refuse an operator without a valid token."""

    code = "not-signed-in"
    status = 401
    remedy = "Sign in, or send 'Authorization: Bearer <token>' with a valid token."


class NotAllowed(BadRequest):
    """Refuse an operator whose role does not include the action."""

    code = "not-allowed"
    status = 403
    remedy = "Ask an administrator for the role, or let someone who has it do this."


class FormRefused(BadRequest):
    """Refuse a form that was not created for the session that sends it."""

    code = "form-refused"
    status = 403
    remedy = "Open the page again and send the form from there."


class TooManySignIns(BadRequest):
    """Refuse an address with too many failed sign-ins."""

    code = "too-many-sign-ins"
    status = 429
    remedy = "Wait for the time in Retry-After, then sign in with a valid token."


class ChangeInvalid(BadRequest):
    """Refuse a change whose document is invalid; nothing was accepted."""

    code = "change-invalid"
    status = 422
    remedy = "Correct what the findings name and apply again."

    def __init__(self, detail="", *, findings):
        super().__init__(detail)
        self.findings = findings


class ChangeRaced(BadRequest):
    """Refuse a change that is based on a version that is not the newest."""

    code = "change-raced"
    status = 409
    remedy = "Look at both changes, merge them and apply again."

    def __init__(self, detail="", *, head_version, mine, theirs):
        super().__init__(detail)
        self.head_version = head_version
        self.mine = mine
        self.theirs = theirs


class ChangeUnsettled(FescuedrumError):  # noqa: N818 - a state, not a fault
    """Report that the store gave no answer, so the change may have been accepted."""

    code = "change-unsettled"
    status = 503
    remedy = "Apply it again with the same id: it takes effect at most once."


class PeerRefusedError(ProtocolError):
    """Refuse a peer that proves no key or is not the addressed instance."""

    code = "peer-refused"
    remedy = "Give both processes a common key in peer_keys and check their addresses."


class IncompatiblePeerError(ProtocolError):
    """Refuse a peer that has no protocol version in common with this process."""

    code = "incompatible-peer"
    remedy = "Upgrade the older process to a release that speaks a common protocol."
