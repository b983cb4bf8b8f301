"""Keep operators signed in with signed cookies, which any entry can verify."""

import hashlib
import secrets

from aiohttp import web
from itsdangerous import BadData, URLSafeSerializer, URLSafeTimedSerializer

from fescuedrum.exceptions import FormRefused, NotSignedIn
from fescuedrum_entry.operators.access import ACCOUNT, sign_in
from fescuedrum_entry.operators.accounts import check_role

COOKIE = "fescuedrum-session"
SESSION_SECONDS = 8 * 3600
CSRF_FIELD = "csrf"
SESSION = web.RequestKey("session", dict)


class Sessions:
    """Sign cookies, drafts and CSRF tokens with the console's secret."""

    __slots__ = ("cookies", "csrf_serializer", "drafts", "entry")

    def __init__(self, entry):
        secret = entry.settings.console_secret
        self.entry = entry
        self.cookies = URLSafeTimedSerializer(secret, salt="session")
        self.csrf_serializer = URLSafeSerializer(secret, salt="csrf")
        self.drafts = URLSafeSerializer(secret, salt="draft")

    def open(self, request, response, token):
        """Set a session cookie; raise NotSignedIn or TooManySignIns."""
        account = sign_in(self.entry, request, token)
        session = {
            "id": secrets.token_urlsafe(16),
            "name": account.name,
            "token": fingerprint(find_matching_hash(account, token)),
        }
        response.set_cookie(
            COOKIE,
            self.cookies.dumps(session),
            max_age=SESSION_SECONDS,
            httponly=True,
            samesite="Strict",
            secure=request.secure,
            path="/console",
        )

    def authenticate(self, request):
        """Set the request's session and account; raise NotSignedIn."""
        try:
            session = self.cookies.loads(
                request.cookies.get(COOKIE, ""), max_age=SESSION_SECONDS
            )
        except BadData as error:
            raise NotSignedIn("There is no valid session.") from error
        for account in self.entry.settings.operators:
            # Removing a token ends the sessions that were opened with it.
            valid_fingerprints = {fingerprint(each) for each in account.tokens}
            if (
                account.name == session["name"]
                and session["token"] in valid_fingerprints
            ):
                request[ACCOUNT] = account
                request[SESSION] = session
                return
        raise NotSignedIn("The session's token is no longer valid.")

    def build_csrf_token(self, request):
        """Return the CSRF token for forms of this session."""
        return self.csrf_serializer.dumps(request[SESSION]["id"])

    def check_csrf_token(self, request, form):
        """Raise FormRefused if the form was not rendered for this session (CSRF)."""
        try:
            session_id = self.csrf_serializer.loads(form.get(CSRF_FIELD, ""))
        except BadData as error:
            raise FormRefused("The form has no valid CSRF token.") from error
        if session_id != request[SESSION]["id"]:
            raise FormRefused("The form belongs to another session.")

    def check_role(self, request, role):
        """Raise NotAllowed if the request's account does not include a role."""
        check_role(request[ACCOUNT], role)


def find_matching_hash(account, token):
    """Return the hash among an account's tokens that matches a token."""
    return next(each for each in account.tokens if each.matches(token))


def fingerprint(key_hash):
    """Return a digest that identifies a token's hash without revealing it."""
    return hashlib.sha256(f"{key_hash.salt}/{key_hash.sha256}".encode()).hexdigest()
