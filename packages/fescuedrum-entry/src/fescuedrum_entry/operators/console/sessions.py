"""Keep operators signed in by signed cookies, so that any entry knows them."""

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
    """Sign cookies, drafts and form marks with the console's secret."""

    __slots__ = ("cookies", "drafts", "entry", "marks")

    def __init__(self, entry):
        secret = entry.settings.console_secret
        self.entry = entry
        self.cookies = URLSafeTimedSerializer(secret, salt="session")
        self.marks = URLSafeSerializer(secret, salt="csrf")
        self.drafts = URLSafeSerializer(secret, salt="draft")

    def open(self, request, response, token):
        """Sign an operator in; raise NotSignedIn or TooManySignIns."""
        account = sign_in(self.entry, request, token)
        session = {
            "id": secrets.token_urlsafe(16),
            "name": account.name,
            "token": fingerprint(used_hash(account, token)),
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
        """Put the session and the account into the request; raise NotSignedIn."""
        try:
            session = self.cookies.loads(
                request.cookies.get(COOKIE, ""), max_age=SESSION_SECONDS
            )
        except BadData as error:
            raise NotSignedIn("There is no valid session.") from error
        for account in self.entry.settings.operators:
            # A token that was taken away ends the sessions that it opened.
            known = {fingerprint(each) for each in account.tokens}
            if account.name == session["name"] and session["token"] in known:
                request[ACCOUNT] = account
                request[SESSION] = session
                return
        raise NotSignedIn("The session's token is no longer valid.")

    def mark(self, request):
        """Return the mark that forms of this session carry."""
        return self.marks.dumps(request[SESSION]["id"])

    def check_mark(self, request, form):
        """Refuse a form that another site made the operator's browser send."""
        try:
            session_id = self.marks.loads(form.get(CSRF_FIELD, ""))
        except BadData as error:
            raise FormRefused("The form carries no valid mark.") from error
        if session_id != request[SESSION]["id"]:
            raise FormRefused("The form belongs to another session.")

    def check_role(self, request, role):
        check_role(request[ACCOUNT], role)


def used_hash(account, token):
    return next(each for each in account.tokens if each.matches(token))


def fingerprint(key_hash):
    """Name a token's hash without telling it."""
    return hashlib.sha256(f"{key_hash.salt}/{key_hash.sha256}".encode()).hexdigest()
