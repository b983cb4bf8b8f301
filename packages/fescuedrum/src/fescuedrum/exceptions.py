"""Define the error kinds; each message names the remedy."""

from fescuedrum.outcomes import Outcome


class FescuedrumError(Exception):
    """Carry a stable code, the outcome and the HTTP status a caller is told."""

    code = "internal"
    status = 500
    outcome = Outcome.UNKNOWN
    remedy = "Report the request's id to the operators."

    # Whether the caller's connection can't be read any further.
    closes_connection = False

    def __init__(self, detail="", *, retry_after=None, field=None):
        super().__init__(f"{detail} {self.remedy}".strip())
        self.detail = detail
        self.retry_after = retry_after
        # Field of the body, or header, that is at fault.
        self.field = field


class BadRequest(FescuedrumError):  # noqa: N818 - the HTTP term
    """Refuse input that no endpoint should see."""

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
    """Refuse a body that does not come within the entry's limit of time."""

    code = "body-too-slow"
    status = 408
    remedy = "Send the whole body without a pause."
    closes_connection = True


class HeadersTooLarge(BadRequest):
    """Refuse a head with too many headers, or one too long."""

    code = "headers-too-large"
    status = 431
    remedy = "Send fewer or shorter headers."
    closes_connection = True


class UnknownRoute(BadRequest):
    """Refuse a path that is none of the callers' interface."""

    code = "unknown-route"
    status = 404
    remedy = "Use /v1/completions, /v1/chat/completions, /v1/models or /services/NAME/."


class UnknownRequest(BadRequest):
    """Tell an operator that an entry holds no trace of a request."""

    code = "unknown-request"
    status = 404
    remedy = "Ask the other entries; each keeps its own recent requests only."


class UnknownClaim(BadRequest):
    """Tell an operator that the table holds no claim under a key."""

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


class Unavailable(Overloaded):
    """Refuse work for which no endpoint can be reached; it was not run."""

    code = "unavailable"


class ProcessStopping(Unavailable):
    """Refuse work that the end of this process might cut; it was not run."""


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
    """Tell the caller that the request may have run."""

    code = "unknown"
    status = 502
    outcome = Outcome.UNKNOWN
    remedy = "Repeat it with the same Idempotency-Key to learn what became of it."


class AnswerTooLate(OutcomeUnknown):
    """Tell the caller that an idempotent request was running at its deadline."""

    code = "answer-too-late"
    status = 504
    remedy = "Send the request again with a later deadline; it may be repeated."


class OutcomeUnknownUnkeyed(OutcomeUnknown):
    """Tell the caller that a request without a key may have run."""

    code = "unknown-unkeyed"
    remedy = "Look at the endpoint's own records; send an Idempotency-Key next time."


class AnswerLost(OutcomeUnknown):
    """Tell the caller that an endpoint got the request and its answer is lost."""

    code = "answer-lost"
    remedy = "It may have run: look at the endpoint's own records before you repeat it."


class AnswerOverdue(AnswerLost):
    """Tell the caller that the request was at an endpoint when its time was over."""

    code = "answer-overdue"
    status = 504


class KeyNotChecked(Overloaded):
    """Refuse a keyed request whose key the platform's table could not show."""

    code = "key-not-checked"
    remedy = (
        "This sending was not run; an earlier one under the key keeps the outcome it "
        "was told. Repeat it with the same Idempotency-Key."
    )


class KeyReused(BadRequest):
    """Refuse a key that stands for a request with another method, path or body."""

    code = "key-reused"
    status = 409
    remedy = "Use a new Idempotency-Key for a new request, or send the first one again."


class EndpointFailed(FescuedrumError):  # noqa: N818 - the field's term
    """Tell the caller that the endpoint ran the request and failed."""

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
    """Report that the store can't tell what changed after a version."""

    code = "history-lost"
    remedy = "Read the whole table and follow the changes from there."


class RowNotUnderstood(FescuedrumError):  # noqa: N818 - tells a state, not a fault
    """Report a row of the platform that is not of the shape that is known."""

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
    """Refuse a form that was not made for the session that sends it."""

    code = "form-refused"
    status = 403
    remedy = "Open the page again and send the form from there."


class TooManySignIns(BadRequest):
    """Refuse an address that failed to sign in too often."""

    code = "too-many-sign-ins"
    status = 429
    remedy = "Wait for the time in Retry-After, then sign in with a valid token."


class ChangeInvalid(BadRequest):
    """Refuse a change whose document has faults; nothing was accepted."""

    code = "change-invalid"
    status = 422
    remedy = "Mend what the findings name and apply again."

    def __init__(self, detail="", *, findings):
        super().__init__(detail)
        self.findings = findings


class ChangeRaced(BadRequest):
    """Refuse a change that began from a version no longer newest."""

    code = "change-raced"
    status = 409
    remedy = "Look at both changes, merge them and apply again."

    def __init__(self, detail="", *, head_version, mine, theirs):
        super().__init__(detail)
        self.head_version = head_version
        self.mine = mine
        self.theirs = theirs


class ChangeUnsettled(FescuedrumError):  # noqa: N818 - tells a state, not a fault
    """Report that the store gave no answer: the change may be accepted or not."""

    code = "change-unsettled"
    status = 503
    remedy = "Apply it again with the same id: it takes effect once at most."


class PeerRefusedError(ProtocolError):
    """Refuse a peer that does not prove a key, or is not the one that was meant."""

    code = "peer-refused"
    remedy = "Give both processes a common key in peer_keys and check their addresses."


class IncompatiblePeerError(ProtocolError):
    """Refuse a peer whose protocols and ours have none in common."""

    code = "incompatible-peer"
    remedy = "Upgrade the older process to a release that speaks a common protocol."
